//===-- QuarantineTest.cpp - Requests that make targets exit --------------===//
//
// Guards against one request that makes every target exit which begins to run
// it: its instance retries it at a second target, callers repeat it at all
// instances, and other requests at these targets are aborted, delayed or
// refused.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include "LibQuarantine/QuarantineFormat.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class QuarantineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTest);
  CPPUNIT_TEST(testRepeatedRequestStopsFewTargets);
  CPPUNIT_TEST(testPopularRequestIsServedThroughout);
  CPPUNIT_TEST(testQuarantineSurvivesRestartOfAll);
  CPPUNIT_TEST(testStreamThatEndsItsTargetIsQuarantined);
  CPPUNIT_TEST(testLiftedContentIsServedByAll);
  CPPUNIT_TEST(testResetConnectionsDoNotCountAsExits);
  CPPUNIT_TEST(testRestartedInstanceLearnsFromPeers);
  CPPUNIT_TEST_SUITE_END();

  /// Largest number of arrivals at targets after the third exit.
  static constexpr std::size_t MaxArrivalsAfterThirdExit = 3;
  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 6;
  /// Time after which a process has found its peers.
  static constexpr milliseconds DiscoveryTime{3200};
  const std::string m_RecordKey =
      gateway::StoreRecord::keyOf(gateway::QuarantineService::RecordName);

  /// Sends a request \p Times, each time to the next gateway.
  static void sendRepeatedly(GatewayFleet &Fleet, const std::string &Path,
                             const std::string &Body, std::size_t Times) {
    for (std::size_t I = 0; I < Times; ++I) {
      Fleet.send(I % Fleet.size(), Path, Body);
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

public:
  void testRepeatedRequestStopsFewTargets() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    sendRepeatedly(Fleet, "/again/x", ExitRequestBody, 20);
    CPPUNIT_ASSERT(Fleet.exits() >= 3);
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdExit(ExitRequestBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
    // 503 states that the request was not sent to a target.
    CPPUNIT_ASSERT_EQUAL(503U,
                         Fleet.send(0, "/again/x", ExitRequestBody).m_Status);
    // A request with another body is not quarantined.
    CPPUNIT_ASSERT_EQUAL(200U, Fleet.send(0, "/again/x", "other").m_Status);
  }

  void testPopularRequestIsServedThroughout() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::atomic<bool> IsCalling{true};
    std::atomic<int> Served{0};
    std::atomic<int> Refused{0};
    std::vector<std::thread> Callers;
    for (std::size_t I = 0; I < Gateways; ++I)
      Callers.emplace_back([&, I] {
        while (IsCalling) {
          unsigned Status = Fleet.send(I, "/again/popular", "").m_Status;
          ++(Status == 200 ? Served : Refused);
        }
      });
    // Targets exit while they run it, for unrelated reasons.
    for (std::size_t I = 0; I < 12; ++I) {
      std::this_thread::sleep_for(milliseconds(150));
      Fleet.runOnTargetThread(
          [&] { Fleet.target(I % Targets).simulateExit(); });
    }
    std::this_thread::sleep_for(milliseconds(1000));
    Refused = 0;
    Served = 0;
    std::this_thread::sleep_for(milliseconds(500));
    IsCalling = false;
    for (std::thread &Each : Callers)
      Each.join();
    CPPUNIT_ASSERT_EQUAL(0, Refused.load());
    CPPUNIT_ASSERT(Served > 10);
  }

  void testQuarantineSurvivesRestartOfAll() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::this_thread::sleep_for(DiscoveryTime);
    sendRepeatedly(Fleet, "/again/x", ExitRequestBody, 4);
    std::this_thread::sleep_for(milliseconds(1500));
    Fleet.killAll();
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    // If the quarantine were lost, three more targets would exit.
    std::size_t Before = Fleet.arrivalsOf(ExitRequestBody);
    sendRepeatedly(Fleet, "/again/x", ExitRequestBody, 6);
    CPPUNIT_ASSERT_EQUAL(Before, Fleet.arrivalsOf(ExitRequestBody));
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdExit(ExitRequestBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
  }

  void testStreamThatEndsItsTargetIsQuarantined() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    sendRepeatedly(Fleet, "/stream/x", MidStreamExitRequestBody, 12);
    CPPUNIT_ASSERT(Fleet.exits() >= 3);
    CPPUNIT_ASSERT(Fleet.arrivalsAfterThirdExit(MidStreamExitRequestBody,
                                                core::Duration::zero()) <=
                   MaxArrivalsAfterThirdExit);
  }

  void testLiftedContentIsServedByAll() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    std::this_thread::sleep_for(DiscoveryTime);
    sendRepeatedly(Fleet, "/again/x", ExitRequestBody, 6);
    std::string Record;
    CPPUNIT_ASSERT(eventually([&] {
      Record = Fleet.store().valueOf(m_RecordKey);
      return Fleet.metric(0, "yardrill_quarantined_contents") == 1 &&
             std::count(Record.begin(), Record.end(), ' ') >= 3;
    }));
    auto Seen = quarantine::parseObservations(Record);
    CPPUNIT_ASSERT(Seen && !Seen->empty());
    auto Lifted =
        quarantine::withContentCleared(Record, Seen->front().m_Content);
    CPPUNIT_ASSERT(Lifted);
    Fleet.store().put(m_RecordKey, *Lifted);
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      CPPUNIT_ASSERT(eventually([&] {
        return Fleet.metric(I, "yardrill_quarantined_contents") == 0;
      }));
    std::size_t Before = Fleet.arrivalsOf(ExitRequestBody);
    Fleet.send(1, "/again/x", ExitRequestBody);
    CPPUNIT_ASSERT(Fleet.arrivalsOf(ExitRequestBody) > Before);
  }

  /// A target that still listens has not exited.
  void testResetConnectionsDoNotCountAsExits() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    for (int I = 0; I < 6; ++I) {
      auto Later = std::async(std::launch::async, [&] {
        return Fleet.send(0, "/once/x", "long").m_Status;
      });
      std::this_thread::sleep_for(milliseconds(15));
      Fleet.runOnTargetThread([&] {
        for (std::size_t Each = 0; Each < Targets; ++Each)
          Fleet.target(Each).resetConnections();
      });
      CPPUNIT_ASSERT_EQUAL(502U, Later.get());
    }
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.metric(0, "yardrill_suspected_contents"));
    CPPUNIT_ASSERT_EQUAL(200U, Fleet.send(0, "/once/x", "long").m_Status);
  }

  void testRestartedInstanceLearnsFromPeers() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.store().setDown(true);
    sendRepeatedly(Fleet, "/again/x", ExitRequestBody, 4);
    Fleet.kill(0);
    Fleet.start(0);
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet.metric(0, "yardrill_quarantined_contents") == 1; }));
    CPPUNIT_ASSERT_EQUAL(503U,
                         Fleet.send(0, "/again/x", ExitRequestBody).m_Status);
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdExit(ExitRequestBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
    CPPUNIT_ASSERT(Fleet.store().valueOf(m_RecordKey).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
