//===-- DispatchModelTest.cpp - Dispatch in whole fleets ------------------===//
//
// Guards against limited targets that the fleet leaves idle, against requests
// to a drained data hall, and against a spike at its cold targets when it
// comes back: each instance learns of that at its own time.
//
//===----------------------------------------------------------------------===//
#include "DispatchSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

class DispatchModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchModelTest);
  CPPUNIT_TEST(testLimitIsUsedBesideIdleTargets);
  CPPUNIT_TEST(testEndOfALimitIsKnownSoon);
  CPPUNIT_TEST(testDrainedDataHallGetsNothing);
  CPPUNIT_TEST(testColdTargetsGetNoSpike);
  CPPUNIT_TEST(testColdTargetsGetNoSpikeFromRestartedInstances);
  CPPUNIT_TEST(testUnlimitedReturnIsASpike);
  CPPUNIT_TEST(testColdTargetsAreUsed);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double WarmUpPerSecond = 27;
  static constexpr seconds WarmUpTime{3};
  static constexpr seconds DrainedFrom{3};
  static constexpr seconds DrainedUntil{9};

  /// Returns a fleet of five gateways or more before few targets, of which the
  /// first states a limit.
  static DispatchScenario limited(std::size_t Instances, std::size_t Targets) {
    DispatchScenario Out;
    Out.m_Instances = Instances;
    Out.m_Targets = Targets;
    // A tenth of the targets' slots are busy.
    Out.m_RequestsPerSecond = 10 * static_cast<double>(Targets);
    Out.m_LimitPerSecond = 1.2;
    Out.m_LimitedTargets = 1;
    Out.m_LimitUntil = seconds(60);
    Out.m_Length = seconds(60);
    return Out;
  }

  /// Returns a fleet at four fifths of its capacity, of which one data hall in
  /// four is drained for a while, so that requests wait when it comes back.
  static DispatchScenario drained(std::size_t Instances, std::size_t Targets) {
    DispatchScenario Out;
    Out.m_Instances = Instances;
    Out.m_Targets = Targets;
    Out.m_DataHalls = 4;
    Out.m_Slots = 5;
    Out.m_ServiceTime = milliseconds(100);
    Out.m_RequestsPerSecond = 40 * static_cast<double>(Targets);
    Out.m_WarmUpPerSecond = WarmUpPerSecond;
    Out.m_WarmUpTime = WarmUpTime;
    Out.m_Drains = {{1, DrainedFrom, DrainedUntil}};
    Out.m_Length = seconds(14);
    return Out;
  }
  static bool isDrained(std::size_t Target) { return Target % 4 == 1; }
  /// Returns how many requests a cold target may receive in any second: 1.5
  /// times its rate, and 5.
  static std::size_t maxColdArrivals() {
    return static_cast<std::size_t>(1.5 * WarmUpPerSecond + 5);
  }
  /// Returns the most requests that a target of the data hall received within
  /// one second while it was cold.
  static std::size_t worstColdSecond(const DispatchScenario &Scenario) {
    DispatchResult Result = simulateDispatch(Scenario);
    std::size_t Worst = 0;
    for (std::size_t I = 0; I < Scenario.m_Targets; ++I)
      if (isDrained(I))
        Worst = std::max(Worst, Result.maxArrivalsWithin(
                                    I, seconds(1), DrainedUntil,
                                    DrainedUntil + WarmUpTime - seconds(1)));
    return Worst;
  }

public:
  void testLimitIsUsedBesideIdleTargets() {
    for (auto [Instances, Targets] :
         {std::pair<std::size_t, std::size_t>{5, 3}, {24, 12}, {74, 90}})
      for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
        DispatchScenario Scenario = limited(Instances, Targets);
        Scenario.m_Seed = Seed;
        DispatchResult Result = simulateDispatch(Scenario);
        double Used = static_cast<double>(
                          Result.arrivalsIn(0, seconds(5), Scenario.m_Length)) /
                      (Scenario.m_LimitPerSecond * 55);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(Instances) + " instances use " +
                                   std::to_string(Used),
                               Used >= 0.8);
        CPPUNIT_ASSERT(
            Result.maxArrivalsWithin(0, seconds(4), seconds(2),
                                     Scenario.m_Length) <=
            static_cast<std::size_t>(1.5 * Scenario.m_LimitPerSecond * 4 + 5));
      }
  }

  void testEndOfALimitIsKnownSoon() {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      DispatchScenario Scenario = limited(5, 3);
      Scenario.m_Seed = Seed;
      Scenario.m_LimitUntil = seconds(10);
      Scenario.m_Length = seconds(16);
      DispatchResult Result = simulateDispatch(Scenario);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Result.m_LimitEndDelay.count()),
                             Result.m_LimitEndDelay <= seconds(2));
    }
  }

  void testDrainedDataHallGetsNothing() {
    DispatchScenario Scenario = drained(24, 24);
    Scenario.m_RequestsPerSecond /= 2;
    DispatchResult Result = simulateDispatch(Scenario);
    for (std::size_t I = 0; I < Scenario.m_Targets; ++I) {
      std::size_t Arrivals = Result.arrivalsIn(
          I, DrainedFrom + Scenario.m_MaxUpdateDelay, DrainedUntil);
      CPPUNIT_ASSERT_EQUAL(isDrained(I), Arrivals == 0);
    }
    // The other data halls have capacity for all requests.
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.m_Refused);
  }

  void testColdTargetsGetNoSpike() {
    for (auto [Instances, Targets] :
         {std::pair<std::size_t, std::size_t>{6, 12}, {87, 56}, {300, 96}}) {
      std::size_t Worst = worstColdSecond(drained(Instances, Targets));
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Instances) +
                                 " instances: " + std::to_string(Worst),
                             Worst <= maxColdArrivals());
    }
  }

  void testColdTargetsGetNoSpikeFromRestartedInstances() {
    DispatchScenario Scenario = drained(87, 56);
    Scenario.m_RestartedShare = 0.5;
    std::size_t Worst = worstColdSecond(Scenario);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Worst), Worst <= maxColdArrivals());
  }

  /// Shows that the model detects instances that ignore the warm-up.
  void testUnlimitedReturnIsASpike() {
    DispatchScenario Scenario = drained(87, 56);
    Scenario.m_IsWarmUpKnown = false;
    CPPUNIT_ASSERT(worstColdSecond(Scenario) > maxColdArrivals());
  }

  /// Cold targets are capacity: if requests wait, at least half of the rate is
  /// used, also while the instances learn of the return.
  void testColdTargetsAreUsed() {
    DispatchScenario Scenario = drained(87, 56);
    DispatchResult Result = simulateDispatch(Scenario);
    std::size_t Arrivals = 0;
    std::size_t Cold = 0;
    for (std::size_t I = 0; I < Scenario.m_Targets; ++I)
      if (isDrained(I)) {
        ++Cold;
        Arrivals +=
            Result.arrivalsIn(I, DrainedUntil, DrainedUntil + WarmUpTime);
      }
    double Used = static_cast<double>(Arrivals) /
                  (static_cast<double>(Cold) * WarmUpPerSecond * 3);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Used), Used >= 0.5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchModelTest);
