//===-- LimitModelTest.cpp - Rate limits of targets in whole fleets -------===//
//
// Guards against exceeding 1.5 times a target's limit plus 5 requests in any 4
// s over all instances, while instances are killed, frozen, cut off, added and
// removed, and datagrams are lost or late.
//
//===----------------------------------------------------------------------===//
#include "RateLimitSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace yardrill;
using namespace yardrill::tests;

class LimitModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitModelTest);
  CPPUNIT_TEST(testSmallFleets);
  CPPUNIT_TEST(testLargeFleet);
  CPPUNIT_TEST(testManyInstancesWithFewTargets);
  CPPUNIT_TEST(testWholePoolIsLimited);
  CPPUNIT_TEST(testIndependentInstancesExceedTheLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Minimum share of the limit that is used if there is enough demand.
  static constexpr double MinServed = 0.8;

  static void assertLimitHolds(RateLimitScenario Scenario,
                               std::uint64_t Seeds) {
    for (Scenario.m_Seed = 1; Scenario.m_Seed <= Seeds; ++Scenario.m_Seed) {
      Scenario.m_HasFaults = true;
      double Worst = simulateRateLimit(Scenario, RateLimitStrategy::Senders)
                         .m_MaxWindowRatio;
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Scenario.m_Seed) + ": " +
                                 std::to_string(Worst),
                             Worst <= 1);
      Scenario.m_HasFaults = false;
      double Served =
          simulateRateLimit(Scenario, RateLimitStrategy::Senders).m_ServedShare;
      CPPUNIT_ASSERT_MESSAGE("served " + std::to_string(Served),
                             Served >= MinServed);
    }
  }

public:
  void testSmallFleets() {
    assertLimitHolds({6, 3, 25, 2}, 20);
    assertLimitHolds({7, 9, 38, 1.4}, 20);
    assertLimitHolds({7, 9, 38, 0.3}, 20);
    assertLimitHolds({7, 9, 80, 12}, 20);
  }
  void testLargeFleet() { assertLimitHolds({74, 90, 570, 3}, 2); }
  void testManyInstancesWithFewTargets() {
    assertLimitHolds({295, 3, 400, 2}, 1);
  }
  void testWholePoolIsLimited() {
    RateLimitScenario Scenario{7, 9, 38, 1.4};
    Scenario.m_LimitedShare = 1;
    assertLimitHolds(Scenario, 20);
  }
  /// Shows that the model detects instances that apply the limit independently.
  void testIndependentInstancesExceedTheLimit() {
    CPPUNIT_ASSERT(simulateRateLimit({7, 9, 38, 1.4}, RateLimitStrategy::Alone)
                       .m_MaxWindowRatio > 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitModelTest);
