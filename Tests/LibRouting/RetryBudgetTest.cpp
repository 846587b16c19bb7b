//===-- RetryBudgetTest.cpp - Retry ratio and allowance -------------------===//
#include "LibRouting/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(testRetriesStayBelowTheRatioInEveryWindow);
  CPPUNIT_TEST(testAllowanceWithoutRequests);
  CPPUNIT_TEST(testAllowanceIsSharedByAllInstances);
  CPPUNIT_TEST(testNewLimitsKeepCounts);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};

public:
  void testRetriesStayBelowTheRatioInEveryWindow() {
    RetryBudget Budget({0.2, seconds(10), 0});
    std::vector<core::TimePoint> Taken;
    for (int I = 0; I < 3000; ++I) {
      m_Now += milliseconds(10);
      // Requests alternate between five seconds on and five seconds off.
      if (I / 500 % 2 == 0)
        Budget.recordRequest(m_Now);
      if (Budget.tryTake(m_Now, 1))
        Taken.push_back(m_Now);
    }
    CPPUNIT_ASSERT(!Taken.empty());
    for (core::TimePoint First : Taken) {
      long InWindow =
          std::count_if(Taken.begin(), Taken.end(), [&](core::TimePoint Each) {
            return Each >= First && Each < First + seconds(10);
          });
      // Any window contains at most 500 requests.
      CPPUNIT_ASSERT(InWindow <= 100);
    }
  }

  void testAllowanceWithoutRequests() {
    RetryBudget Budget({0.2, seconds(10), 3});
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
    CPPUNIT_ASSERT(!Budget.tryTake(m_Now, 1));
    m_Now += seconds(11);
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
  }

  void testAllowanceIsSharedByAllInstances() {
    // The other instances are discovered after the first retry.
    RetryBudget Budget({0.2, seconds(10), 6});
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 3));
    CPPUNIT_ASSERT(!Budget.tryTake(m_Now, 3));
  }

  void testNewLimitsKeepCounts() {
    RetryBudget Budget({0.2, seconds(10), 2});
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
    Budget.setLimits({0.2, seconds(10), 1});
    CPPUNIT_ASSERT(!Budget.tryTake(m_Now, 1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);
