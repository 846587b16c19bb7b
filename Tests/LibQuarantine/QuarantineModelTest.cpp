//===-- QuarantineModelTest.cpp - Quarantine in simulated fleets ----------===//
//
// Checks the required bound under random faults: once three targets have exited
// under a content and the contact time has passed, instances that can reach the
// others send it at most three more times. Contents that do not make targets
// exit must not be refused.
//
//===----------------------------------------------------------------------===//
#include "QuarantineSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <tuple>

using namespace yardrill::tests;
using namespace std::chrono_literals;

class QuarantineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineModelTest);
  CPPUNIT_TEST(testSmallFleetsKeepTheBound);
  CPPUNIT_TEST(testLargeFleetsKeepTheBound);
  CPPUNIT_TEST(testAllRestartedWithoutAStore);
  CPPUNIT_TEST(testMassTargetExitsQuarantineNoHarmlessContent);
  CPPUNIT_TEST(testPartsKeepTheBound);
  CPPUNIT_TEST(testRequestsBesideAPartAreServed);
  CPPUNIT_TEST(testMassTargetExitsQuarantineFewParts);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t MaxLateSends = 3;

  static void checkSeeds(std::size_t Seeds, std::size_t Instances,
                         std::size_t Targets) {
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      QuarantineResult Result =
          simulate(randomQuarantineScenario(Seed, Instances, Targets));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                             Result.m_LateSends <= MaxLateSends);
      CPPUNIT_ASSERT(Result.m_ExitsUnderBad > 0);
    }
  }

public:
  void testSmallFleetsKeepTheBound() {
    checkSeeds(200, 6, 12);
    checkSeeds(200, 7, 9);
  }

  void testLargeFleetsKeepTheBound() {
    checkSeeds(4, 78, 93);
    checkSeeds(2, 295, 300);
  }

  /// No instance is left that knows of the third target's exit.
  void testAllRestartedWithoutAStore() {
    QuarantineScenario Scenario;
    Scenario.m_Faults = {{0ms, 20000ms, QuarantineFaultKind::StoreDown},
                         {9000ms, 0ms, QuarantineFaultKind::Kill},
                         {22000ms, 0ms, QuarantineFaultKind::Kill}};
    for (Scenario.m_Seed = 1; Scenario.m_Seed <= 50; ++Scenario.m_Seed)
      CPPUNIT_ASSERT(simulate(Scenario).m_LateSends <= MaxLateSends);
  }

  void testMassTargetExitsQuarantineNoHarmlessContent() {
    QuarantineScenario Scenario;
    Scenario.m_BadContents = 0;
    Scenario.m_DownTime = 1500ms;
    for (int I = 0; I < 25; ++I)
      Scenario.m_Faults.push_back(
          {2000ms * (I + 1), 0ms, QuarantineFaultKind::ExitTargets, 0.4});
    std::size_t Interrupted = 0;
    for (Scenario.m_Seed = 1; Scenario.m_Seed <= 20; ++Scenario.m_Seed) {
      QuarantineResult Result = simulate(Scenario);
      Interrupted += Result.m_HarmlessInterrupted;
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.m_WronglyRefused);
    }
    CPPUNIT_ASSERT(Interrupted > 1000);
  }

  static QuarantineScenario
  partScenario(std::uint64_t Seed, std::size_t Instances, std::size_t Targets) {
    QuarantineScenario Out = randomQuarantineScenario(Seed, Instances, Targets);
    Out.m_AreParts = true;
    return Out;
  }

  void testPartsKeepTheBound() {
    for (auto [Seeds, Instances, Targets] :
         {std::tuple<std::uint64_t, std::size_t, std::size_t>{150, 6, 12},
          {150, 7, 9},
          {3, 78, 93},
          {1, 295, 300}})
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        CPPUNIT_ASSERT_MESSAGE(
            "seed " + std::to_string(Seed),
            simulate(partScenario(Seed, Instances, Targets)).m_LateSends <=
                MaxLateSends);
  }

  void testRequestsBesideAPartAreServed() {
    std::size_t Attempts = 0;
    std::size_t Refused = 0;
    for (std::uint64_t Seed = 1; Seed <= 100; ++Seed) {
      QuarantineResult Result = simulate(partScenario(Seed, 7, 9));
      Attempts += Result.m_CompanionAttempts;
      Refused += Result.m_CompanionRefused;
    }
    CPPUNIT_ASSERT(Attempts > 1000);
    CPPUNIT_ASSERT(2 * Refused < Attempts);
  }

  void testMassTargetExitsQuarantineFewParts() {
    QuarantineScenario Scenario;
    Scenario.m_AreParts = true;
    Scenario.m_BadContents = 0;
    Scenario.m_DownTime = 1500ms;
    for (int I = 0; I < 25; ++I)
      Scenario.m_Faults.push_back(
          {2000ms * (I + 1), 0ms, QuarantineFaultKind::ExitTargets, 0.4});
    QuarantineResult Sum;
    for (Scenario.m_Seed = 1; Scenario.m_Seed <= 20; ++Scenario.m_Seed) {
      QuarantineResult Result = simulate(Scenario);
      Sum.m_HarmlessAttempts += Result.m_HarmlessAttempts;
      Sum.m_WronglyRefused += Result.m_WronglyRefused;
    }
    // Others that share a part with those that ran at the exits begin at least
    // half as often as at other times.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Sum.m_WronglyRefused) + " of " +
                               std::to_string(Sum.m_HarmlessAttempts),
                           2 * Sum.m_WronglyRefused < Sum.m_HarmlessAttempts);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineModelTest);
