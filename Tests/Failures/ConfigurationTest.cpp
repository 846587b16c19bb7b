//===-- ConfigurationTest.cpp - Accepted configuration never reverts ------===//
//
// Guards against an accepted configuration that does not come into force at all
// instances or that reverts to an older version.
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

  static Fleet::Options fleetOptions(int Instances) {
    Fleet::Options Out;
    Out.m_Instances = Instances;
    return Out;
  }

  static int versionAt(Fleet &TestFleet, int Index) {
    return TestFleet.status(Index).at("configuration_version").to_number<int>();
  }

  static bool waitUntilInForce(Fleet &TestFleet, int Instances, int Version) {
    return eventually([&] {
      for (int I = 0; I < Instances; ++I)
        if (versionAt(TestFleet, I) != Version)
          return false;
      return true;
    });
  }

public:
  void testConcurrentPublications() {
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    for (int Base = 1; Base <= 5; ++Base) {
      std::vector<std::future<Reply>> Replies;
      for (int I = 0; I < 6; ++I)
        Replies.push_back(std::async(std::launch::async, [&, I, Base] {
          std::string Change = std::to_string(Base) + "-" + std::to_string(I);
          return TestFleet.publish(I % 3, Base, Change,
                                   TestFleet.configuration() + "# " + Change +
                                       "\n");
        }));
      int Accepted = 0;
      for (auto &Each : Replies) {
        Reply Response = Each.get();
        Accepted += Response.m_Status == 200;
        if (Response.m_Status == 200)
          continue;
        CPPUNIT_ASSERT_EQUAL(409U, Response.m_Status);
        CPPUNIT_ASSERT_EQUAL("version " + std::to_string(Base + 1) + " stands",
                             Response.problem("detail"));
      }
      CPPUNIT_ASSERT_EQUAL(1, Accepted);
      CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 3, Base + 1));
    }
  }

  void testPublicationResponseLost() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(), {{"lose_answers", 1}});
    std::string Text = TestFleet.configuration() + "# second\n";
    Reply First = TestFleet.publish(0, 1, "change-2", Text);
    CPPUNIT_ASSERT_EQUAL(200U, First.m_Status);
    // Publishing the change again through another instance adds no version.
    Reply Again = TestFleet.publish(1, 1, "change-2", Text);
    CPPUNIT_ASSERT_EQUAL(200U, Again.m_Status);
    CPPUNIT_ASSERT_EQUAL(First.m_Body, Again.m_Body);
    CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 2, 2));
  }

  void testPlatformOutage() {
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    Reply Refused =
        TestFleet.publish(0, 1, "in-outage", TestFleet.configuration());
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    // An instance that starts during the outage gets the configuration from a
    // peer.
    TestFleet.at(2).m_Process.kill();
    TestFleet.start(2);
    CPPUNIT_ASSERT(eventually([&] {
      return TestFleet.callOperatorApi(2, "/readyz").m_Status == 200;
    }));
    CPPUNIT_ASSERT_EQUAL(1, versionAt(TestFleet, 2));
    // It serves the highest tier, which needs no command from a leader.
    Reply Served = call(TestFleet.at(2).m_CallerPort,
                        completionRequest("x", 2, true, "hold"));
    CPPUNIT_ASSERT_EQUAL(200U, Served.m_Status);
    // An instance that reaches neither the store nor a peer serves nothing.
    for (int I = 0; I < 3; ++I)
      TestFleet.at(I).m_Process.kill();
    TestFleet.start(2);
    CPPUNIT_ASSERT(eventually([&] {
      return TestFleet.callOperatorApi(2, "/healthz").m_Status == 200;
    }));
    CPPUNIT_ASSERT_EQUAL(503U,
                         TestFleet.callOperatorApi(2, "/readyz").m_Status);
    Reply NotReady =
        call(TestFleet.at(2).m_CallerPort, completionRequest("x", 1, false));
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"), NotReady.problem("outcome"));
    // The fleet recovers after the outage without an operator.
    controlStandIn(TestFleet.platformPort(), {{"down", false}});
    TestFleet.start(0);
    TestFleet.start(1);
    CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 3, 1));
    CPPUNIT_ASSERT(eventually([&] {
      return TestFleet
                 .publish(1, 1, "after", TestFleet.configuration() + "# 2\n")
                 .m_Status == 200;
    }));
    CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 3, 2));
  }

  void testFrozenInstanceCatchesUp() {
    Fleet TestFleet(fleetOptions(3));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    TestFleet.at(1).m_Process.signal(SIGSTOP);
    // Aborts its watch, so that no update is left in its socket's buffer.
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    controlStandIn(TestFleet.platformPort(), {{"down", false}});
    for (int Base = 1; Base <= 3; ++Base)
      CPPUNIT_ASSERT_EQUAL(200U,
                           TestFleet
                               .publish(0, Base, std::to_string(Base),
                                        TestFleet.configuration() + "# more\n")
                               .m_Status);
    // The store is down when it resumes, so only peers can send the update.
    controlStandIn(TestFleet.platformPort(), {{"down", true}});
    TestFleet.at(1).m_Process.signal(SIGCONT);
    CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 3, 4));
  }

  void testOldValueIsRejected() {
    Fleet TestFleet(fleetOptions(2));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    auto Counters = countersOf(TestFleet.platformPort());
    std::string Old(
        Counters.at("keys").at("/yardrill/configuration").as_string());
    CPPUNIT_ASSERT_EQUAL(
        200U,
        TestFleet.publish(0, 1, "second", TestFleet.configuration() + "# 2\n")
            .m_Status);
    CPPUNIT_ASSERT(waitUntilInForce(TestFleet, 2, 2));
    // The store reverts to an older value.
    controlStandIn(
        TestFleet.platformPort(),
        {{"put", {{"key", "/yardrill/configuration"}, {"value", Old}}}});
    Reply Refused = TestFleet.publish(0, 1, "from-old",
                                      TestFleet.configuration() + "# old\n");
    CPPUNIT_ASSERT_EQUAL(409U, Refused.m_Status);
    for (int I = 0; I < 2; ++I)
      CPPUNIT_ASSERT_EQUAL(2, versionAt(TestFleet, I));
    // An instance that starts now doesn't revert either.
    TestFleet.at(1).m_Process.kill();
    TestFleet.start(1);
    CPPUNIT_ASSERT(eventually([&] { return versionAt(TestFleet, 1) == 2; }));
  }

  void testInvalidConfigurationIsRefused() {
    Fleet TestFleet(fleetOptions(1));
    CPPUNIT_ASSERT(TestFleet.waitUntilServing());
    Reply Refused = TestFleet.publish(
        0, 1, "faulty", TestFleet.configuration() + "tears: []\n");
    CPPUNIT_ASSERT_EQUAL(422U, Refused.m_Status);
    CPPUNIT_ASSERT(Refused.m_Body.find("is an unknown key") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(1, versionAt(TestFleet, 0));
    CPPUNIT_ASSERT_EQUAL(
        400U, TestFleet.publish(0, 1, "", TestFleet.configuration()).m_Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);
