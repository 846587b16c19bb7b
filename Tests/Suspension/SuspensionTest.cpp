//===-- SuspensionTest.cpp - A machine that is suspended for seconds ------===//
//
// What users saw: nothing yet; the platform says that a machine may be
// suspended for seconds, and that this counts as a freeze of its processes.
//
// Order of events: a machine sleeps. Its peers miss it, others take its duties,
// targets leave. It wakes; the clock that it reads has stood still.
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

  /// What is due is done at the next event, not after as much time awake.
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

  /// A gateway that slept for as long as it takes to be missed must not go on
  /// counting on what it heard before. Here its peers slept as well, but they
  /// are ended before they can say a word.
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
