//===-- TargetLimitTest.cpp - A rate limit for all instances --------------===//
//
// Guards against instances that together exceed the requests a second which a
// target states as its limit for all of them.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// One caller at each gateway, which sends one request after the other with a
/// pause between them.
class SteadyCallers {
public:
  SteadyCallers(GatewayFleet &Fleet, milliseconds Pause) : m_Fleet(Fleet) {
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      m_Callers.emplace_back([this, I, Pause] {
        while (m_IsCalling) {
          unsigned Status = m_Fleet.send(I, "/again/x", "").m_Status;
          ++(Status == 200 ? m_Served : m_Refused);
          std::this_thread::sleep_for(Pause);
        }
      });
  }
  ~SteadyCallers() {
    m_IsCalling = false;
    for (std::thread &Each : m_Callers)
      Each.join();
  }
  std::atomic<int> m_Served{0};
  std::atomic<int> m_Refused{0};

private:
  GatewayFleet &m_Fleet;
  std::atomic<bool> m_IsCalling{true};
  std::vector<std::thread> m_Callers;
};

class TargetLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetLimitTest);
  CPPUNIT_TEST(testLimitHoldsOverAllInstances);
  CPPUNIT_TEST(testLimitOfAWholePoolHolds);
  CPPUNIT_TEST(testLimitHoldsWhileInstancesRestart);
  CPPUNIT_TEST(testLimitEndsWhenItIsNotNamedAnyMore);
  CPPUNIT_TEST(testNewRunStartsWithoutALimit);
  CPPUNIT_TEST(testLapsedAnnouncementDoesNotLiftALimit);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Gateways = 5;
  static constexpr std::size_t Targets = 3;
  static constexpr double LimitPerSecond = 1.2;
  static constexpr milliseconds Window{4000};
  /// Time until a process has completed the discovery of the others.
  static constexpr milliseconds SettleTime{3200};
  /// Time from the first statement of a limit until it must hold.
  static constexpr milliseconds PropagationTime{3000};
  static constexpr milliseconds Pause{60};

  /// Returns the number of arrivals that is allowed within one window of 4 s.
  static std::size_t maxAllowed() {
    return static_cast<std::size_t>(1.5 * LimitPerSecond * 4 + 5);
  }
  /// Returns the most arrivals after \p Since within one window.
  static std::size_t worstWindow(const std::vector<core::TimePoint> &Arrivals,
                                 core::TimePoint Since) {
    std::size_t Max = 0;
    auto First = std::lower_bound(Arrivals.begin(), Arrivals.end(), Since);
    for (auto Last = First; Last != Arrivals.end(); ++Last) {
      while (*Last - *First > Window)
        ++First;
      Max = std::max(Max, static_cast<std::size_t>(Last - First) + 1);
    }
    return Max;
  }
  static std::size_t countSince(const std::vector<core::TimePoint> &Arrivals,
                                core::TimePoint Since) {
    return static_cast<std::size_t>(
        Arrivals.end() -
        std::lower_bound(Arrivals.begin(), Arrivals.end(), Since));
  }
  /// Returns a fleet whose gateways are ready and have found each other.
  static std::unique_ptr<GatewayFleet> settledFleet() {
    auto Out = std::make_unique<GatewayFleet>(Gateways, Targets);
    Out->startAll();
    CPPUNIT_ASSERT(Out->waitUntilReady());
    std::this_thread::sleep_for(SettleTime);
    return Out;
  }
  static void stateLimit(GatewayFleet &Fleet, std::size_t Target) {
    Fleet.runOnTargetThread([&] {
      Fleet.target(Target).setBackpressure(
          {"Server-Limit: " + std::to_string(LimitPerSecond) + "\r\n"});
    });
  }

public:
  void testLimitHoldsOverAllInstances() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    std::this_thread::sleep_for(milliseconds(500));
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    std::this_thread::sleep_for(2 * Window);
    std::vector<core::TimePoint> Arrivals = Fleet.arrivalsAt(0);
    CPPUNIT_ASSERT(worstWindow(Arrivals, Since) <= maxAllowed());
    // The target is limited, not closed: at least half of its limit in 8 s.
    CPPUNIT_ASSERT(countSince(Arrivals, Since) >= 5);
    // The other targets have capacity for the rest.
    CPPUNIT_ASSERT_EQUAL(0, Callers.m_Refused.load());
  }

  void testLimitOfAWholePoolHolds() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    for (std::size_t I = 0; I < Targets; ++I)
      stateLimit(Fleet, I);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    Callers.m_Served = 0;
    std::this_thread::sleep_for(2 * Window);
    for (std::size_t I = 0; I < Targets; ++I)
      CPPUNIT_ASSERT(worstWindow(Fleet.arrivalsAt(I), Since) <= maxAllowed());
    // Half of 28, the limit of three targets at 1.2 a second over 8 s.
    CPPUNIT_ASSERT(Callers.m_Served >= 14);
  }

  void testLimitHoldsWhileInstancesRestart() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    stateLimit(Fleet, 0);
    SteadyCallers Callers(Fleet, Pause);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    // One instance restarts after the other. Each alone may exceed the limit
    // for a while, but their sum may not.
    for (std::size_t I = 0; I < 4; ++I) {
      std::this_thread::sleep_for(milliseconds(1000));
      Fleet.kill(I);
      Fleet.start(I);
    }
    std::this_thread::sleep_for(Window);
    // One more arrival for each restart, before the limit is received.
    CPPUNIT_ASSERT(worstWindow(Fleet.arrivalsAt(0), Since) <= maxAllowed() + 4);
  }

  void testLimitEndsWhenItIsNotNamedAnyMore() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(Window);
    Fleet.runOnTargetThread([&] { Fleet.target(0).setBackpressure({}); });
    // One response shows the end of the limit, at 1.2 a second; then all
    // instances are notified.
    std::this_thread::sleep_for(milliseconds(5000));
    core::TimePoint Since = core::steadyNow();
    std::this_thread::sleep_for(milliseconds(2000));
    CPPUNIT_ASSERT(countSince(Fleet.arrivalsAt(0), Since) > 2 * maxAllowed());
  }

  void testNewRunStartsWithoutALimit() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(Window);
    Fleet.runOnTargetThread([&] {
      Fleet.target(0).setBackpressure({});
      Fleet.target(0).simulateExit();
    });
    std::this_thread::sleep_for(milliseconds(2000));
    core::TimePoint Since = core::steadyNow();
    std::this_thread::sleep_for(milliseconds(2000));
    CPPUNIT_ASSERT(countSince(Fleet.arrivalsAt(0), Since) > 2 * maxAllowed());
  }

  /// The announcement is missing for a while; the incarnation is the same.
  void testLapsedAnnouncementDoesNotLiftALimit() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    Fleet.runOnTargetThread([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(milliseconds(2000));
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    std::this_thread::sleep_for(Window);
    CPPUNIT_ASSERT(worstWindow(Fleet.arrivalsAt(0), Since) <= maxAllowed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);
