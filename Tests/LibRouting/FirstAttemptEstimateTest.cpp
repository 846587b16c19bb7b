//===-- FirstAttemptEstimateTest.cpp - Returned callers -------------------===//
//
// Guards against new callers that are taken for returned ones, which would wait
// behind others, and against returned ones that are not recognized.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/FirstAttemptEstimate.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class FirstAttemptEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FirstAttemptEstimateTest);
  CPPUNIT_TEST(testRecognizesReturns);
  CPPUNIT_TEST(testIndividualDeadlinesAreNoReturns);
  CPPUNIT_TEST(testKnowsNothingAtFirst);
  CPPUNIT_TEST(testManyReturnsDoNotHideFirstAttempts);
  CPPUNIT_TEST(testOneLongDeadlineChangesNothing);
  CPPUNIT_TEST(testScatteredDeadlinesAreNoReturns);
  CPPUNIT_TEST(testShorterDeadlineIsLearnedAnew);
  CPPUNIT_TEST(testRoutesAreApart);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  FirstAttemptEstimate m_Estimate;

  core::Duration arrive(core::Duration Deadline, std::uint32_t Route = 1) {
    return m_Estimate.recordArrival(Route, Deadline, seconds(1),
                                    m_Now += milliseconds(20));
  }
  void arriveOften(core::Duration Deadline, int Count = 50) {
    for (int I = 0; I < Count; ++I)
      arrive(Deadline);
  }

public:
  void testRecognizesReturns() {
    arriveOften(seconds(12));
    CPPUNIT_ASSERT(arrive(seconds(12)) == core::Duration::zero());
    CPPUNIT_ASSERT(arrive(milliseconds(11600)) == milliseconds(400));
    CPPUNIT_ASSERT(arrive(milliseconds(7500)) == milliseconds(4500));
  }

  void testIndividualDeadlinesAreNoReturns() {
    arriveOften(seconds(12));
    // Less missing than the shortest Retry-After; more than callers wait.
    CPPUNIT_ASSERT(arrive(milliseconds(11900)) == core::Duration::zero());
    CPPUNIT_ASSERT(arrive(milliseconds(6500)) == core::Duration::zero());
    CPPUNIT_ASSERT(arrive(seconds(30)) == core::Duration::zero());
  }

  void testKnowsNothingAtFirst() {
    CPPUNIT_ASSERT(arrive(seconds(12)) == core::Duration::zero());
    CPPUNIT_ASSERT(arrive(seconds(11)) == core::Duration::zero());
  }

  void testManyReturnsDoNotHideFirstAttempts() {
    std::mt19937_64 Random(1);
    std::uniform_real_distribution<double> Missing(0.2, 4);
    for (int I = 0; I < 300; ++I) {
      arrive(seconds(12));
      arrive(core::fromSeconds(12 - Missing(Random)));
      arrive(core::fromSeconds(12 - Missing(Random)));
    }
    CPPUNIT_ASSERT(arrive(seconds(10)) == seconds(2));
  }

  void testOneLongDeadlineChangesNothing() {
    for (int I = 0; I < 100; ++I) {
      CPPUNIT_ASSERT(arrive(seconds(12)) == core::Duration::zero());
      if (I % 20 == 10)
        arrive(seconds(14));
    }
  }

  void testScatteredDeadlinesAreNoReturns() {
    std::mt19937_64 Random(1);
    std::uniform_real_distribution<double> Seconds(3, 15);
    for (int I = 0; I < 500; ++I) {
      core::Duration Deadline = core::fromSeconds(Seconds(Random));
      core::Duration Elapsed = arrive(Deadline);
      if (I > 100)
        CPPUNIT_ASSERT(Elapsed == core::Duration::zero());
    }
  }

  void testShorterDeadlineIsLearnedAnew() {
    arriveOften(seconds(12));
    m_Now += seconds(31);
    arriveOften(seconds(10));
    m_Now += seconds(31);
    CPPUNIT_ASSERT(arrive(seconds(10)) == core::Duration::zero());
    CPPUNIT_ASSERT(arrive(seconds(9)) == seconds(1));
  }

  void testRoutesAreApart() {
    arriveOften(seconds(12));
    for (int I = 0; I < 50; ++I)
      CPPUNIT_ASSERT(arrive(seconds(10), 2) == core::Duration::zero());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FirstAttemptEstimateTest);
