//===-- TargetLimitTest.cpp - A target that names a limit for all ---------===//
//
// What users saw: targets in need named the requests a second that they take
// from all instances together, and got almost twice that.
//
// Order of events: a target names a limit in its answers. Each instance goes on
// sending to it as before, and it gets as much as the targets beside it.
//
// Cause: what a target says of itself was not read, only guessed from its
// failures; and a target with a limit does not fail. Evidence: the logs of all
// instances had as many requests sent to the limited targets as to the others,
// and no refusal.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Callers at every gateway that ask one after the other, with a pause.
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
  static constexpr double Limit = 1.2;
  static constexpr milliseconds Window{4000};
  /// Until then a process is not sure that it has found the others.
  static constexpr milliseconds SettleTime{3200};
  /// From the first naming until the limit must hold.
  static constexpr milliseconds PropagationTime{3000};
  static constexpr milliseconds Pause{60};

  static std::size_t maxAllowed() {
    return static_cast<std::size_t>(1.5 * Limit * 4 + 5);
  }
  /// Most arrivals within the window, of those after \p Since.
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
  /// All gateways are ready and have found each other.
  static std::unique_ptr<GatewayFleet> settledFleet() {
    auto Out = std::make_unique<GatewayFleet>(Gateways, Targets);
    Out->startAll();
    CPPUNIT_ASSERT(Out->areAllReady());
    std::this_thread::sleep_for(SettleTime);
    return Out;
  }
  static void stateLimit(GatewayFleet &Fleet, std::size_t Target) {
    Fleet.withTargets([&] {
      Fleet.target(Target).state(
          {"Server-Limit: " + std::to_string(Limit) + "\r\n"});
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
    // It is in need, not closed: half of what it takes in 8 s, at least.
    CPPUNIT_ASSERT(countSince(Arrivals, Since) >= 5);
    // The others have room for what it does not take.
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
    // Three targets of 1.2 a second over 8 s: half of 28.
    CPPUNIT_ASSERT(Callers.m_Served >= 14);
  }

  void testLimitHoldsWhileInstancesRestart() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    stateLimit(Fleet, 0);
    SteadyCallers Callers(Fleet, Pause);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    // One after the other; each is excused for a while, their sum is not.
    for (std::size_t I = 0; I < 4; ++I) {
      std::this_thread::sleep_for(milliseconds(1000));
      Fleet.kill(I);
      Fleet.start(I);
    }
    std::this_thread::sleep_for(Window);
    // One arrival more for each restart: what it had not heard yet.
    CPPUNIT_ASSERT(worstWindow(Fleet.arrivalsAt(0), Since) <= maxAllowed() + 4);
  }

  void testLimitEndsWhenItIsNotNamedAnyMore() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(Window);
    Fleet.withTargets([&] { Fleet.target(0).state({}); });
    // One request finds out, 1.2 come in a second; then all are told.
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
    Fleet.withTargets([&] {
      Fleet.target(0).state({});
      Fleet.target(0).end();
    });
    std::this_thread::sleep_for(milliseconds(2000));
    core::TimePoint Since = core::steadyNow();
    std::this_thread::sleep_for(milliseconds(2000));
    CPPUNIT_ASSERT(countSince(Fleet.arrivalsAt(0), Since) > 2 * maxAllowed());
  }

  /// The store forgets a target for a while; the run is the same.
  void testLapsedAnnouncementDoesNotLiftALimit() {
    auto Settled = settledFleet();
    GatewayFleet &Fleet = *Settled;
    SteadyCallers Callers(Fleet, Pause);
    stateLimit(Fleet, 0);
    std::this_thread::sleep_for(PropagationTime);
    core::TimePoint Since = core::steadyNow();
    Fleet.withTargets([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(milliseconds(2000));
    Fleet.withTargets([&] { Fleet.target(0).announceAgain(); });
    std::this_thread::sleep_for(Window);
    CPPUNIT_ASSERT(worstWindow(Fleet.arrivalsAt(0), Since) <= maxAllowed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetLimitTest);
