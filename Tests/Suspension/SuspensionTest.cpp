//===-- SuspensionTest.cpp - Suspension of a machine for seconds ----------===//
//
// Guards against processes that act on outdated state because their clocks and
// timers stood still while the machine was suspended.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"
#include "SuspendedClock.h"

#include "LibCore/TimerService.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using namespace std::chrono_literals;

class SuspensionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SuspensionTest);
  CPPUNIT_TEST(testClockAdvancesWhileSuspended);
  CPPUNIT_TEST(testOverdueTimersFireAfterResume);
  CPPUNIT_TEST(testPeerStateExpiresAfterResume);
  CPPUNIT_TEST_SUITE_END();

public:
  void testClockAdvancesWhileSuspended() {
    core::TimePoint Before = core::steadyNow();
    simulateSuspension(7s);
    CPPUNIT_ASSERT(core::steadyNow() - Before >= 7s);
  }

  /// A timer that expired during the suspension fires at the next event of the
  /// loop, not after the rest of its delay.
  void testOverdueTimersFireAfterResume() {
    asio::io_context Context;
    core::SteadyTimerService Timers(Context);
    bool HasFired = false;
    Timers.subscribe(20ms, [](auto) {});
    Timers.callAfter(5s, [&](auto) { HasFired = true; });
    Context.run_for(100ms);
    CPPUNIT_ASSERT(!HasFired);
    simulateSuspension(6s);
    Context.run_for(200ms);
    CPPUNIT_ASSERT(HasFired);
  }

  /// A gateway that was suspended for longer than the peer timeout must not use
  /// the peer state that it received before. The peer is killed first, so that
  /// it cannot report to the gateway after the suspension.
  void testPeerStateExpiresAfterResume() {
    GatewayFleet Fleet(2, 2);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    CPPUNIT_ASSERT_EQUAL(1.0, Fleet.metric(0, "yardrill_peers"));
    Fleet.kill(1);
    simulateSuspension(10s);
    std::this_thread::sleep_for(300ms);
    CPPUNIT_ASSERT_EQUAL(0.0, Fleet.metric(0, "yardrill_peers"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspensionTest);
