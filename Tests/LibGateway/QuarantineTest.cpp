//===-- QuarantineTest.cpp - A request that ends the targets that run it --===//
//
// What users saw: target after target of one pool ended, two a second, and the
// requests that ran there were broken off, late or refused.
//
// Order of events: one request ends each target that begins to run it, within
// tenths of a second. Its instance sends it on to a second target, which ends
// as well, and answers 502. Its caller returns, to whichever instance the
// balancer gives it; so do others with the same request.
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

  /// Sent on after three targets ended, in all.
  static constexpr std::size_t MaxArrivalsAfterThirdExit = 3;
  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 6;
  /// Until then a process is not sure that it has found the others.
  static constexpr milliseconds DiscoveryTime{3200};
  const std::string m_RecordKey =
      gateway::StoreRecord::keyOf(gateway::QuarantineService::RecordName);

  /// Comes again \p Times, each time at the next gateway.
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
    CPPUNIT_ASSERT(Fleet.areAllReady());
    sendRepeatedly(Fleet, "/again/x", EndingBody, 20);
    CPPUNIT_ASSERT(Fleet.ends() >= 3);
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdEnd(EndingBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
    // It was not sent, and is told so.
    CPPUNIT_ASSERT_EQUAL(503U, Fleet.send(0, "/again/x", EndingBody).m_Status);
    // One with another body is another request.
    CPPUNIT_ASSERT_EQUAL(200U, Fleet.send(0, "/again/x", "other").m_Status);
  }

  void testPopularRequestIsServedThroughout() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.areAllReady());
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
    // Targets end under it, for reasons of their own.
    for (std::size_t I = 0; I < 12; ++I) {
      std::this_thread::sleep_for(milliseconds(150));
      Fleet.withTargets([&] { Fleet.target(I % Targets).end(); });
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
    CPPUNIT_ASSERT(Fleet.areAllReady());
    std::this_thread::sleep_for(DiscoveryTime);
    sendRepeatedly(Fleet, "/again/x", EndingBody, 4);
    std::this_thread::sleep_for(milliseconds(1500));
    Fleet.killAll();
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.areAllReady());
    // Learned anew, it would end three more.
    std::size_t Before = Fleet.arrivalsOf(EndingBody);
    sendRepeatedly(Fleet, "/again/x", EndingBody, 6);
    CPPUNIT_ASSERT_EQUAL(Before, Fleet.arrivalsOf(EndingBody));
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdEnd(EndingBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
  }

  void testStreamThatEndsItsTargetIsQuarantined() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.areAllReady());
    sendRepeatedly(Fleet, "/stream/x", EndingMidwayBody, 12);
    CPPUNIT_ASSERT(Fleet.ends() >= 3);
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdEnd(EndingMidwayBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
  }

  void testLiftedContentIsServedByAll() {
    GatewayFleet Fleet(Gateways, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.areAllReady());
    std::this_thread::sleep_for(DiscoveryTime);
    sendRepeatedly(Fleet, "/again/x", EndingBody, 6);
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
    std::size_t Before = Fleet.arrivalsOf(EndingBody);
    Fleet.send(1, "/again/x", EndingBody);
    CPPUNIT_ASSERT(Fleet.arrivalsOf(EndingBody) > Before);
  }

  /// A target that still listens has not ended, whatever broke off.
  void testResetConnectionsDoNotCountAsExits() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.areAllReady());
    for (int I = 0; I < 6; ++I) {
      auto Later = std::async(std::launch::async, [&] {
        return Fleet.send(0, "/once/x", "long").m_Status;
      });
      std::this_thread::sleep_for(milliseconds(15));
      Fleet.withTargets([&] {
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
    CPPUNIT_ASSERT(Fleet.areAllReady());
    Fleet.store().setDown(true);
    sendRepeatedly(Fleet, "/again/x", EndingBody, 4);
    Fleet.kill(0);
    Fleet.start(0);
    CPPUNIT_ASSERT(eventually(
        [&] { return Fleet.metric(0, "yardrill_quarantined_contents") == 1; }));
    CPPUNIT_ASSERT_EQUAL(503U, Fleet.send(0, "/again/x", EndingBody).m_Status);
    CPPUNIT_ASSERT(
        Fleet.arrivalsAfterThirdEnd(EndingBody, core::Duration::zero()) <=
        MaxArrivalsAfterThirdExit);
    CPPUNIT_ASSERT(Fleet.store().valueOf(m_RecordKey).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTest);
