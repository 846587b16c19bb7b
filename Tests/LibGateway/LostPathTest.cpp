//===-- LostPathTest.cpp - Instances without a path to the targets --------===//
//
// Guards against callers that are refused by an instance that lost its path to
// all targets, while its peers reach them.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class LostPathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LostPathTest);
  CPPUNIT_TEST(testServedWhileLinksAreSilent);
  CPPUNIT_TEST(testServedWhileLinksReset);
  CPPUNIT_TEST(testServedWhileOpenConnectionsLiveOn);
  CPPUNIT_TEST(testServedWhileAllButOneAreCut);
  CPPUNIT_TEST(testRefusedSoonWhileAllAreCut);
  CPPUNIT_TEST(testTargetsAreUsedAgainAfterTheCut);
  CPPUNIT_TEST(testStreamsCrossTheHopOnce);
  CPPUNIT_TEST(testRefusalsOfAKilledPeerAreTrue);
  CPPUNIT_TEST(testRequestsWithoutATicketAreRejected);
  CPPUNIT_TEST(testContentIsNotBlamedForResetLinks);
  CPPUNIT_TEST(testSlowReaderCrossesTheHop);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 4;
  /// Time after the cut from which callers must be served as elsewhere.
  static constexpr milliseconds NoticeTime{3000};
  static constexpr milliseconds Interval{40};
  static constexpr milliseconds Objective{300};

  /// Sends requests in turn to the first \p Count gateways for \p Time.
  /// \returns the share served in time.
  static double servedFor(GatewayFleet &Fleet, std::size_t Count,
                          milliseconds Time) {
    core::TimePoint End = core::steadyNow() + Time;
    std::vector<std::future<bool>> Calls;
    for (int I = 0; core::steadyNow() < End; ++I) {
      const char *Path = I % 2 == 0 ? "/once/x" : "/again/x";
      std::size_t Gateway = static_cast<std::size_t>(I) % Count;
      Calls.push_back(std::async(std::launch::async, [&Fleet, Gateway, Path] {
        core::TimePoint Begin = core::steadyNow();
        Reply Received = Fleet.send(Gateway, Path, "");
        return Received.m_Status == 200 &&
               core::steadyNow() - Begin < Objective;
      }));
      std::this_thread::sleep_for(Interval);
    }
    double Served = 0;
    for (auto &Each : Calls)
      Served += Each.get() ? 1 : 0;
    return Served / static_cast<double>(Calls.size());
  }
  static void startAndWarmUp(GatewayFleet &Fleet) {
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    CPPUNIT_ASSERT(servedFor(Fleet, Gateways, milliseconds(1000)) > 0.95);
  }
  /// Cuts the first gateway off and waits until it forwards requests.
  static void cutFirst(GatewayFleet &Fleet) {
    Fleet.setLinks(0, ProxyMode::Silent);
    servedFor(Fleet, 1, NoticeTime);
    CPPUNIT_ASSERT(forwarded(Fleet) > 0);
  }
  static double forwarded(GatewayFleet &Fleet) {
    return Fleet.metric(0, "yardrill_forwarded_requests_total");
  }
  /// Cuts the first \p Count gateways off and asserts that their callers are
  /// served from NoticeTime on.
  static void assertServed(std::size_t Count, ProxyMode Mode, bool IsReset) {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    for (std::size_t I = 0; I < Count; ++I) {
      Fleet.setLinks(I, Mode);
      if (IsReset)
        Fleet.resetLinks(I);
    }
    servedFor(Fleet, Count, NoticeTime);
    double Served = servedFor(Fleet, Count, milliseconds(2000));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Served), Served > 0.95);
  }

public:
  void testServedWhileLinksAreSilent() {
    assertServed(1, ProxyMode::Silent, false);
  }
  void testServedWhileLinksReset() { assertServed(1, ProxyMode::Closed, true); }
  void testServedWhileOpenConnectionsLiveOn() {
    assertServed(1, ProxyMode::Closed, false);
  }
  void testServedWhileAllButOneAreCut() {
    assertServed(Gateways - 1, ProxyMode::Silent, false);
  }

  void testRefusedSoonWhileAllAreCut() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    for (std::size_t I = 0; I < Gateways; ++I)
      Fleet.setLinks(I, ProxyMode::Closed);
    for (std::size_t I = 0; I < Gateways; ++I)
      Fleet.resetLinks(I);
    servedFor(Fleet, Gateways, NoticeTime);
    core::TimePoint Begin = core::steadyNow();
    for (std::size_t I = 0; I < Gateways; ++I) {
      Reply Refused = Fleet.send(I, "/once/x", "all are cut");
      CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
      CPPUNIT_ASSERT(!Refused.header("Retry-After").empty());
    }
    CPPUNIT_ASSERT(core::steadyNow() - Begin < Gateways * Objective);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.arrivalsOf("all are cut"));
  }

  void testTargetsAreUsedAgainAfterTheCut() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    cutFirst(Fleet);
    Fleet.setLinks(0, ProxyMode::PassThrough);
    servedFor(Fleet, 1, milliseconds(1000));
    double Before = forwarded(Fleet);
    CPPUNIT_ASSERT(servedFor(Fleet, 1, milliseconds(1000)) > 0.95);
    CPPUNIT_ASSERT_EQUAL(Before, forwarded(Fleet));
  }

  void testStreamsCrossTheHopOnce() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    cutFirst(Fleet);
    for (int I = 0; I < 20; ++I) {
      std::string Body = "stream " + std::to_string(I);
      Reply Received = Fleet.send(0, "/stream/x", Body);
      CPPUNIT_ASSERT_EQUAL(200U, Received.m_Status);
      CPPUNIT_ASSERT(Received.isComplete());
      CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"),
                           Received.m_Body);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fleet.arrivalsOf(Body));
      CPPUNIT_ASSERT(Received.header("Yardrill-Forward-Outcome").empty());
    }
  }

  void testRefusalsOfAKilledPeerAreTrue() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    cutFirst(Fleet);
    std::vector<std::future<Reply>> Calls;
    for (int I = 0; I < 60; ++I) {
      Calls.push_back(std::async(std::launch::async, [&Fleet, I] {
        return Fleet.send(0, "/once/x", "kill " + std::to_string(I));
      }));
      if (I == 30)
        Fleet.kill(1);
      std::this_thread::sleep_for(milliseconds(15));
    }
    int Served = 0;
    for (int I = 0; I < 60; ++I) {
      Reply Received = Calls[static_cast<std::size_t>(I)].get();
      std::size_t Runs = Fleet.arrivalsOf("kill " + std::to_string(I));
      Served += Received.m_Status == 200 ? 1 : 0;
      CPPUNIT_ASSERT(Runs <= 1);
      CPPUNIT_ASSERT(Received.m_Status != 503 || Runs == 0);
      CPPUNIT_ASSERT(Received.m_Status != 200 || Runs == 1);
    }
    CPPUNIT_ASSERT(Served >= 50);
  }

  void testRequestsWithoutATicketAreRejected() {
    GatewayFleet Fleet(Gateways, Targets);
    startAndWarmUp(Fleet);
    for (const char *Ticket : {"", "x", "WUQHAAAA"}) {
      http::RequestMessage Forged = GatewayFleet::request("/once/x", "forged");
      Forged.m_Headers.set("Yardrill-Forward-Ticket", Ticket);
      CPPUNIT_ASSERT_EQUAL(403U, call(Fleet.peerPort(1), Forged).m_Status);
    }
    CPPUNIT_ASSERT_EQUAL(404U, call(Fleet.peerPort(1),
                                    GatewayFleet::request("/once/x", "forged"))
                                   .m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.arrivalsOf("forged"));
  }

  void testContentIsNotBlamedForResetLinks() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    std::vector<std::future<Reply>> Calls;
    for (int I = 0; I < 12; ++I)
      Calls.push_back(std::async(std::launch::async, [&Fleet] {
        return Fleet.send(0, "/once/x", "same content");
      }));
    CPPUNIT_ASSERT(eventually(
        [&Fleet] { return Fleet.arrivalsOf("same content") >= Targets; }));
    Fleet.setLinks(0, ProxyMode::Closed);
    Fleet.resetLinks(0);
    for (auto &Each : Calls)
      Each.get();
    std::this_thread::sleep_for(milliseconds(500));
    for (std::size_t I = 0; I < Gateways; ++I)
      CPPUNIT_ASSERT_EQUAL(0.0, Fleet.metric(I, "yardrill_suspected_contents"));
  }

  void testSlowReaderCrossesTheHop() {
    GatewayFleet Fleet(Gateways, Targets, true);
    startAndWarmUp(Fleet);
    cutFirst(Fleet);
    http::RequestMessage Request =
        GatewayFleet::request("/again/large", "slow reader");
    Request.m_Headers.set("Deadline-Ms", "9000");
    bool HasPaused = false;
    Reply Received =
        call(Fleet.callerPort(0), Request, [&](const std::string &) {
          // Longer than a response may stay unread and hold a slot.
          if (!HasPaused)
            std::this_thread::sleep_for(milliseconds(2000));
          HasPaused = true;
          return true;
        });
    CPPUNIT_ASSERT(HasPaused);
    CPPUNIT_ASSERT_EQUAL(200U, Received.m_Status);
    CPPUNIT_ASSERT_EQUAL(ExitingTarget::LargeBytes, Received.m_Body.size());
    CPPUNIT_ASSERT(servedFor(Fleet, 1, milliseconds(500)) > 0.95);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LostPathTest);
