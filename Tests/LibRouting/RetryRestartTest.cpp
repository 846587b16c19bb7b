//===-- RetryRestartTest.cpp - Retries of a fleet under repeated restarts ===//
//
// Guards against a fleet that spends its retry allowance again after each
// restart within one window.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/RetryBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class RetryRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryRestartTest);
  CPPUNIT_TEST(testRepeatedRestartsKeepTheAllowance);
  CPPUNIT_TEST_SUITE_END();

public:
  void testRepeatedRestartsKeepTheAllowance() {
    // As set by the gateway: half of 196 retries in 10 s for 78 instances.
    constexpr double Allowance = 196;
    constexpr std::size_t Instances = 78;
    RetryLimits Limits{0.2, seconds(10), Allowance / 2};
    core::TimePoint Now{std::chrono::hours(1)};
    double Retries = 0;
    for (int Restart = 0; Restart < 4; ++Restart) {
      std::vector<RetryBudget> Budgets(Instances, RetryBudget(Limits, Now));
      for (int I = 0; I < 20; ++I) {
        Now += milliseconds(100);
        for (RetryBudget &Each : Budgets)
          Retries += Each.tryTake(Now, Instances) ? 1 : 0;
      }
      Now += milliseconds(400); // Restart of all processes.
    }
    // All within one window, without any requests.
    CPPUNIT_ASSERT(Retries <= Allowance);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryRestartTest);
