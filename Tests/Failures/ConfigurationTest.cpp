//===-- ConfigurationTest.cpp - Accepted configuration never reverts ------===//
//
// Brief, "What must always hold": an accepted configuration is in force
// everywhere within seconds and never reverts.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>

using namespace yardrill;
using namespace yardrill::tests;

class ConfigurationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(testConcurrentPublications);
  CPPUNIT_TEST(testPublicationResponseLost);
  CPPUNIT_TEST(testPlatformOutage);
  CPPUNIT_TEST(testFrozenInstanceCatchesUp);
  CPPUNIT_TEST(testOldValueIsRejected);
  CPPUNIT_TEST(testInvalidConfigurationIsRefused);
  CPPUNIT_TEST_SUITE_END();

  static Fleet::Options shape(int Instances) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    return Out;
  }

  static int versionAt(Fleet &All, int Index) {
    return All.status(Index).at("configuration_version").to_number<int>();
  }

  static bool isInForce(Fleet &All, int Instances, int Version) {
    return eventually([&] {
      for (int I = 0; I < Instances; ++I)
        if (versionAt(All, I) != Version)
          return false;
      return true;
    });
  }

public:
  void testConcurrentPublications() {
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    for (int Base = 1; Base <= 5; ++Base) {
      std::vector<std::future<Reply>> Replies;
      for (int I = 0; I < 6; ++I)
        Replies.push_back(std::async(std::launch::async, [&, I, Base] {
          std::string Change = std::to_string(Base) + "-" + std::to_string(I);
          return All.publish(I % 3, Base, Change,
                             All.configuration() + "# " + Change + "\n");
        }));
      int Won = 0;
      for (auto &Each : Replies) {
        Reply Answer = Each.get();
        Won += Answer.m_Status == 200;
        if (Answer.m_Status == 200)
          continue;
        CPPUNIT_ASSERT_EQUAL(409U, Answer.m_Status);
        CPPUNIT_ASSERT_EQUAL("version " + std::to_string(Base + 1) + " stands",
                             Answer.problem("detail"));
      }
      CPPUNIT_ASSERT_EQUAL(1, Won);
      CPPUNIT_ASSERT(isInForce(All, 3, Base + 1));
    }
  }

  void testPublicationResponseLost() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(), {{"lose_answers", 1}});
    std::string Text = All.configuration() + "# second\n";
    Reply First = All.publish(0, 1, "change-2", Text);
    CPPUNIT_ASSERT_EQUAL(200U, First.m_Status);
    // The same change again, through another instance, is the same version.
    Reply Again = All.publish(1, 1, "change-2", Text);
    CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
    CPPUNIT_ASSERT_EQUAL(First.m_Body, Again.m_Body);
    CPPUNIT_ASSERT(isInForce(All, 2, 2));
  }

  void testPlatformOutage() {
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    controlStandIn(All.platformPort(), {{"down", true}});
    Reply Refused = All.publish(0, 1, "in-outage", All.configuration());
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    // An instance that starts in the outage learns it from a peer.
    All.at(2).m_Process.kill();
    All.start(2);
    CPPUNIT_ASSERT(eventually(
        [&] { return All.callOperatorApi(2, "/readyz").m_Status == 200; }));
    CPPUNIT_ASSERT_EQUAL(1, versionAt(All, 2));
    // The highest tier is served there all the same.
    Reply Served =
        call(All.at(2).m_CallerPort, completionRequest("x", 2, true, "hold"));
    CPPUNIT_ASSERT_EQUAL(200U, Served.m_Status);
    // One that can reach neither the store nor a peer serves nothing.
    for (int I = 0; I < 3; ++I)
      All.at(I).m_Process.kill();
    All.start(2);
    CPPUNIT_ASSERT(eventually(
        [&] { return All.callOperatorApi(2, "/healthz").m_Status == 200; }));
    CPPUNIT_ASSERT_EQUAL(503U, All.callOperatorApi(2, "/readyz").m_Status);
    Reply NotReady =
        call(All.at(2).m_CallerPort, completionRequest("x", 1, false));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), NotReady.problem("outcome"));
    // After the outage everything goes on by itself.
    controlStandIn(All.platformPort(), {{"down", false}});
    All.start(0);
    All.start(1);
    CPPUNIT_ASSERT(isInForce(All, 3, 1));
    CPPUNIT_ASSERT(eventually([&] {
      return All.publish(1, 1, "after", All.configuration() + "# 2\n")
                 .m_Status == 200;
    }));
    CPPUNIT_ASSERT(isInForce(All, 3, 2));
  }

  void testFrozenInstanceCatchesUp() {
    Fleet All(shape(3));
    CPPUNIT_ASSERT(All.waitUntilServing());
    All.at(1).m_Process.signal(SIGSTOP);
    // Its watch is cut, so that nothing waits for it in a socket's buffer.
    controlStandIn(All.platformPort(), {{"down", true}});
    controlStandIn(All.platformPort(), {{"down", false}});
    for (int Base = 1; Base <= 3; ++Base)
      CPPUNIT_ASSERT_EQUAL(200U, All.publish(0, Base, std::to_string(Base),
                                             All.configuration() + "# more\n")
                                     .m_Status);
    // While it slept the store went down: only peers can tell it.
    controlStandIn(All.platformPort(), {{"down", true}});
    All.at(1).m_Process.signal(SIGCONT);
    CPPUNIT_ASSERT(isInForce(All, 3, 4));
  }

  void testOldValueIsRejected() {
    Fleet All(shape(2));
    CPPUNIT_ASSERT(All.waitUntilServing());
    auto Counters = countersOf(All.platformPort());
    std::string Old(
        Counters.at("keys").at("/yardrill/configuration").as_string());
    CPPUNIT_ASSERT_EQUAL(
        200U,
        All.publish(0, 1, "second", All.configuration() + "# 2\n").m_Status);
    CPPUNIT_ASSERT(isInForce(All, 2, 2));
    // The store comes back with what it held before.
    controlStandIn(
        All.platformPort(),
        {{"put", {{"key", "/yardrill/configuration"}, {"value", Old}}}});
    Reply Refused =
        All.publish(0, 1, "from-old", All.configuration() + "# old\n");
    CPPUNIT_ASSERT_EQUAL(409U, Refused.m_Status);
    for (int I = 0; I < 2; ++I)
      CPPUNIT_ASSERT_EQUAL(2, versionAt(All, I));
    // Nor does an instance that starts now go back.
    All.at(1).m_Process.kill();
    All.start(1);
    CPPUNIT_ASSERT(eventually([&] { return versionAt(All, 1) == 2; }));
  }

  void testInvalidConfigurationIsRefused() {
    Fleet All(shape(1));
    CPPUNIT_ASSERT(All.waitUntilServing());
    Reply Refused =
        All.publish(0, 1, "faulty", All.configuration() + "tears: []\n");
    CPPUNIT_ASSERT_EQUAL(422U, Refused.m_Status);
    CPPUNIT_ASSERT(Refused.m_Body.find("is an unknown key") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, versionAt(All, 0));
    CPPUNIT_ASSERT_EQUAL(400U,
                         All.publish(0, 1, "", All.configuration()).m_Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
