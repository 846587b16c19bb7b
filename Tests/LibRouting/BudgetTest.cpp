//===-- BudgetTest.cpp - Retry budgets and token quotas -------------------===//
#include "LibRouting/QuotaBook.h"
#include "LibRouting/RetryBudget.h"
#include "LibRouting/TokenQuota.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class BudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BudgetTest);
  CPPUNIT_TEST(testRetriesStayBelowTheRatioInEveryWindow);
  CPPUNIT_TEST(testAllowanceWithoutRequests);
  CPPUNIT_TEST(testAllowanceIsSharedByAllInstances);
  CPPUNIT_TEST(testNewLimitsForgetNothing);
  CPPUNIT_TEST(testQuotaBoundsEveryWindow);
  CPPUNIT_TEST(testManyRefusedAreToldToComeLater);
  CPPUNIT_TEST(testRestartedInstancesStartWithLittle);
  CPPUNIT_TEST(testMissingPeersReduceTheRate);
  CPPUNIT_TEST(testOthersAreCountedOnce);
  CPPUNIT_TEST(testLowerLimitBindsAtOnce);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::AccountName m_Name{"account"};

  RoutingTableHandle table(double Rate, double Burst) const {
    Account Limited;
    Limited.m_Name = m_Name;
    Limited.m_TokensPerSecond = Rate;
    Limited.m_Burst = Burst;
    return RoutingTable::Builder().account(Limited).build();
  }

public:
  void testRetriesStayBelowTheRatioInEveryWindow() {
    RetryBudget Budget({0.2, seconds(10), 0});
    std::vector<core::TimePoint> Taken;
    for (int I = 0; I < 3000; ++I) {
      m_Now += milliseconds(10);
      // Requests come only in every other five seconds.
      if (I / 500 % 2 == 0)
        Budget.noteRequest(m_Now);
      if (Budget.tryTake(m_Now, 1))
        Taken.push_back(m_Now);
    }
    CPPUNIT_ASSERT(!Taken.empty());
    for (core::TimePoint First : Taken) {
      long InWindow =
          std::count_if(Taken.begin(), Taken.end(), [&](core::TimePoint Each) {
            return Each >= First && Each < First + seconds(10);
          });
      // At most 500 requests fall into any window.
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
    // The others are found only after the first retry.
    RetryBudget Budget({0.2, seconds(10), 6});
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 3));
    CPPUNIT_ASSERT(!Budget.tryTake(m_Now, 3));
  }

  void testNewLimitsForgetNothing() {
    RetryBudget Budget({0.2, seconds(10), 2});
    CPPUNIT_ASSERT(Budget.tryTake(m_Now, 1));
    Budget.setLimits({0.2, seconds(10), 1});
    CPPUNIT_ASSERT(!Budget.tryTake(m_Now, 1));
  }

  void testQuotaBoundsEveryWindow() {
    TokenQuota Quota({1000, 500}, true, m_Now);
    double Taken = 0;
    for (int I = 0; I < 800; ++I) {
      m_Now += milliseconds(10);
      while (Quota.tryTake(50, 1, m_Now))
        Taken += 50;
    }
    // 8 s x 1000 + 500, and one request that went below zero.
    CPPUNIT_ASSERT(Taken <= 8550);
    CPPUNIT_ASSERT(Taken >= 8400);
    // Without others who were refused, only the debt has to be waited for.
    m_Now += seconds(20);
    CPPUNIT_ASSERT(Quota.tryTake(550, 1, m_Now));
    CPPUNIT_ASSERT(Quota.untilAvailable() <= milliseconds(51));
    CPPUNIT_ASSERT(Quota.untilAvailable() >= milliseconds(50));
  }

  void testManyRefusedAreToldToComeLater() {
    TokenQuota Quota({1000, 500}, true, m_Now);
    CPPUNIT_ASSERT(Quota.tryTake(500, 1, m_Now));
    CPPUNIT_ASSERT(!Quota.tryTake(200, 1, m_Now));
    CPPUNIT_ASSERT(Quota.untilAvailable() <= milliseconds(200));
    for (int I = 0; I < 9; ++I)
      Quota.tryTake(200, 1, m_Now);
    CPPUNIT_ASSERT(Quota.untilAvailable() >= milliseconds(1900));
    m_Now += seconds(5);
    CPPUNIT_ASSERT(Quota.tryTake(600, 1, m_Now));
    CPPUNIT_ASSERT(Quota.untilAvailable() <= milliseconds(200));
  }

  void testRestartedInstancesStartWithLittle() {
    // All of ten start at once and hear of nobody.
    double Taken = 0;
    for (int I = 0; I < 10; ++I) {
      TokenQuota Quota({1000, 500}, false, m_Now);
      for (int J = 0; J < 100; ++J)
        Taken += Quota.tryTake(1, 0.1, m_Now) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(250.0, Taken);
  }

  void testMissingPeersReduceTheRate() {
    QuotaBook Book(true);
    Book.configure(*table(1000, 500), m_Now);
    Book.setShare(0.5);
    std::uint64_t Taken = 0;
    for (int I = 0; I < 800; ++I) {
      m_Now += milliseconds(10);
      while (Book.tryTake(m_Name, 50, m_Now))
        Taken += 50;
    }
    // Half of the rate and of the burst, and one request below zero.
    CPPUNIT_ASSERT(Taken <= 4300);
    CPPUNIT_ASSERT(Taken >= 4200);
  }

  void testOthersAreCountedOnce() {
    QuotaBook Book(true);
    Book.configure(*table(1000, 500), m_Now);
    core::IncarnationId Other(7);
    DrawnTokens Drawn{{QuotaBook::hashOf(m_Name), 10000}};
    // The first word only says where its counter stands.
    Book.noteOther(Other, Drawn);
    CPPUNIT_ASSERT(Book.tryTake(m_Name, 100, m_Now));
    Drawn[QuotaBook::hashOf(m_Name)] = 10400;
    Book.noteOther(Other, Drawn);
    Book.noteOther(Other, Drawn);
    CPPUNIT_ASSERT(!Book.tryTake(m_Name, 1, m_Now));
    // An older report that comes late gives nothing back.
    Drawn[QuotaBook::hashOf(m_Name)] = 10000;
    Book.noteOther(Other, Drawn);
    CPPUNIT_ASSERT(!Book.tryTake(m_Name, 1, m_Now));
  }

  void testLowerLimitBindsAtOnce() {
    QuotaBook Book(true);
    Book.configure(*table(1000, 5000), m_Now);
    Book.configure(*table(10, 20), m_Now);
    CPPUNIT_ASSERT(Book.tryTake(m_Name, 100, m_Now));
    CPPUNIT_ASSERT(!Book.tryTake(m_Name, 1, m_Now));
    CPPUNIT_ASSERT(Book.untilAvailable(m_Name) > seconds(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetTest);
