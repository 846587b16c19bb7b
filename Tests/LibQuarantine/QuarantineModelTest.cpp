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

  static constexpr std::size_t MostLateSends = 3;

  static void checkDays(std::size_t Days, std::size_t Instances,
                        std::size_t Targets) {
    for (std::uint64_t Seed = 1; Seed <= Days; ++Seed) {
      QuarantineResult Got =
          simulate(randomQuarantineScenario(Seed, Instances, Targets));
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed),
                             Got.m_LateSends <= MostLateSends);
      CPPUNIT_ASSERT(Got.m_ExitsUnderBad > 0);
    }
  }

public:
  void testSmallFleetsKeepTheBound() {
    checkDays(200, 6, 12);
    checkDays(200, 7, 9);
  }

  void testLargeFleetsKeepTheBound() {
    checkDays(4, 78, 93);
    checkDays(2, 295, 300);
  }

  /// No instance is left that knows of the third target's exit.
  void testAllRestartedWithoutAStore() {
    QuarantineScenario Day;
    Day.m_Faults = {{0ms, 20000ms, QuarantineFaultKind::StoreDown},
                    {9000ms, 0ms, QuarantineFaultKind::Kill},
                    {22000ms, 0ms, QuarantineFaultKind::Kill}};
    for (Day.m_Seed = 1; Day.m_Seed <= 50; ++Day.m_Seed)
      CPPUNIT_ASSERT(simulate(Day).m_LateSends <= MostLateSends);
  }

  void testMassTargetExitsQuarantineNoHarmlessContent() {
    QuarantineScenario Day;
    Day.m_BadContents = 0;
    Day.m_DownTime = 1500ms;
    for (int I = 0; I < 25; ++I)
      Day.m_Faults.push_back(
          {2000ms * (I + 1), 0ms, QuarantineFaultKind::ExitTargets, 0.4});
    std::size_t Broken = 0;
    for (Day.m_Seed = 1; Day.m_Seed <= 20; ++Day.m_Seed) {
      QuarantineResult Got = simulate(Day);
      Broken += Got.m_HarmlessInterrupted;
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Got.m_WronglyRefused);
    }
    CPPUNIT_ASSERT(Broken > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineModelTest);
