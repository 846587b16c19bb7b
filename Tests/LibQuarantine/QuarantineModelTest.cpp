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

using namespace yardrill::tests;
using namespace std::chrono_literals;

class QuarantineModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineModelTest);
  CPPUNIT_TEST(testSmallFleetsKeepTheBound);
  CPPUNIT_TEST(testLargeFleetsKeepTheBound);
  CPPUNIT_TEST(testAllRestartedWithoutAStore);
  CPPUNIT_TEST(testMassTargetExitsQuarantineNoHarmlessContent);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineModelTest);
