//===-- RestoredStateTest.cpp - Old state in a restored store -------------===//
//
// Guards against old state that comes into force again when the store has come
// back from an older copy, until what is missing there is written again.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class RestoredStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RestoredStateTest);
  CPPUNIT_TEST(testLeavingTargetStaysLeaving);
  CPPUNIT_TEST(testGoneTargetStaysGone);
  CPPUNIT_TEST(testAbsentTargetIsKeptForAWhile);
  CPPUNIT_TEST(testConfigurationDoesNotStepBack);
  CPPUNIT_TEST(testDrainedDataHallStaysDrained);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 2;
  static constexpr std::size_t Targets = 3;
  /// Time after which requests no longer reach a target that leaves or is gone.
  static constexpr milliseconds LeaveBound{2000};

  static void start(GatewayFleet &Fleet) {
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
  }
  /// Sends requests to all gateways for \p Time. \returns how many reached the
  /// first target.
  static std::size_t arrivalsAtFirst(GatewayFleet &Fleet, milliseconds Time) {
    std::size_t Before = Fleet.arrivalsAt(0).size();
    core::TimePoint End = core::steadyNow() + Time;
    for (std::size_t I = 0; core::steadyNow() < End; ++I)
      CPPUNIT_ASSERT_EQUAL(200U,
                           Fleet.send(I % Gateways, "/again/x", "").m_Status);
    return Fleet.arrivalsAt(0).size() - Before;
  }
  /// Restores the copy and waits until all gateways have read it.
  static void restore(GatewayFleet &Fleet) {
    Fleet.store().restoreCopy();
    CPPUNIT_ASSERT(eventually([&] {
      for (std::size_t I = 0; I < Gateways; ++I)
        if (Fleet.metric(I, "yardrill_store_era") < 1)
          return false;
      return true;
    }));
  }

public:
  void testLeavingTargetStaysLeaving() {
    GatewayFleet Fleet(Gateways, Targets);
    start(Fleet);
    Fleet.store().keepCopy();
    Fleet.runOnTargetThread([&] { Fleet.target(0).announceLeaving(); });
    std::this_thread::sleep_for(milliseconds(300));
    restore(Fleet);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), arrivalsAtFirst(Fleet, LeaveBound));
  }

  void testGoneTargetStaysGone() {
    GatewayFleet Fleet(Gateways, Targets);
    start(Fleet);
    Fleet.store().keepCopy();
    Fleet.runOnTargetThread([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(LeaveBound);
    restore(Fleet);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), arrivalsAtFirst(Fleet, LeaveBound));
    // It lives and writes its announcement again.
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    std::this_thread::sleep_for(milliseconds(300));
    CPPUNIT_ASSERT(arrivalsAtFirst(Fleet, milliseconds(1000)) > 0);
  }

  void testAbsentTargetIsKeptForAWhile() {
    GatewayFleet Fleet(Gateways, Targets);
    start(Fleet);
    Fleet.runOnTargetThread([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(LeaveBound);
    Fleet.store().keepCopy();
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    restore(Fleet);
    // It writes its announcement again within two seconds.
    std::this_thread::sleep_for(milliseconds(1800));
    for (std::size_t I = 0; I < Gateways; ++I)
      CPPUNIT_ASSERT_EQUAL(static_cast<double>(Targets),
                           Fleet.metric(I, "yardrill_targets"));
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    std::this_thread::sleep_for(milliseconds(100));
    for (std::size_t I = 0; I < Gateways; ++I)
      CPPUNIT_ASSERT_EQUAL(static_cast<double>(Targets),
                           Fleet.metric(I, "yardrill_targets"));
    CPPUNIT_ASSERT(arrivalsAtFirst(Fleet, milliseconds(1000)) > 0);
  }

  void testConfigurationDoesNotStepBack() {
    GatewayFleet Fleet(Gateways, Targets);
    start(Fleet);
    Fleet.store().keepCopy();
    std::string Old = Fleet.store().valueOf("op/config");
    std::string New = Old;
    New.replace(New.find("\"version\":7"), 11, "\"version\":8");
    New.replace(New.find("/again/"), 7, "/added/");
    Fleet.store().put("op/config", New);
    CPPUNIT_ASSERT(eventually([&] {
      return Fleet.send(0, "/added/x", "").m_Status == 200 &&
             Fleet.send(1, "/added/x", "").m_Status == 200;
    }));
    restore(Fleet);
    for (std::size_t I = 0; I < 20; ++I) {
      CPPUNIT_ASSERT_EQUAL(200U,
                           Fleet.send(I % Gateways, "/added/x", "").m_Status);
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

  void testDrainedDataHallStaysDrained() {
    GatewayFleet Fleet(Gateways, Targets);
    start(Fleet);
    Fleet.store().keepCopy();
    Fleet.store().put("op/evacuate/hall", "1");
    auto AreDrained = [&](double Expected) {
      for (std::size_t I = 0; I < Gateways; ++I)
        if (Fleet.metric(I, "yardrill_drained_data_halls") != Expected)
          return false;
      return true;
    };
    CPPUNIT_ASSERT(eventually([&] { return AreDrained(1); }));
    restore(Fleet);
    std::this_thread::sleep_for(milliseconds(1500));
    CPPUNIT_ASSERT(AreDrained(1));
    // It was taken back, and is not written again.
    CPPUNIT_ASSERT(
        eventually([&] { return AreDrained(0); }, milliseconds(5000)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoredStateTest);
