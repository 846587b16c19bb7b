//===-- ReturnTest.cpp - Callers who come back ----------------------------===//
#include "LibRouting/ReturnEstimate.h"
#include "LibRouting/UsualDeadline.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ReturnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnTest);
  CPPUNIT_TEST(testReturnedCallersAreKnownByWhatIsLeft);
  CPPUNIT_TEST(testDifferentDeadlinesTellNothing);
  CPPUNIT_TEST(testNewDeadlineIsLearned);
  CPPUNIT_TEST(testShortShortageMeansAShortWait);
  CPPUNIT_TEST(testLongShortageSendsPastItsEnd);
  CPPUNIT_TEST(testNeverBeyondAThirdOfTheTimeLeft);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random{7};
  double point() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }

public:
  void testReturnedCallersAreKnownByWhatIsLeft() {
    UsualDeadline Usual;
    for (int I = 0; I < 60; ++I)
      CPPUNIT_ASSERT(Usual.note(seconds(15)) == core::Duration::zero());
    CPPUNIT_ASSERT(Usual.note(milliseconds(13500)) == milliseconds(1500));
    // Not even when a third of all are back, each with another rest.
    for (int I = 0; I < 300; ++I) {
      if (I % 3 == 0)
        CPPUNIT_ASSERT(Usual.note(milliseconds(9000 + I)) ==
                       milliseconds(6000 - I));
      else
        CPPUNIT_ASSERT(Usual.note(seconds(15)) == core::Duration::zero());
    }
    // More time than usual is no sign of a return.
    CPPUNIT_ASSERT(Usual.note(seconds(20)) == core::Duration::zero());
  }

  void testDifferentDeadlinesTellNothing() {
    UsualDeadline Usual;
    for (int I = 0; I < 1000; ++I) {
      auto Deadline = milliseconds(1000 + static_cast<int>(4000 * point()));
      CPPUNIT_ASSERT(Usual.note(Deadline) == core::Duration::zero());
    }
  }

  void testNewDeadlineIsLearned() {
    UsualDeadline Usual;
    for (int I = 0; I < 1000; ++I)
      Usual.note(seconds(15));
    for (int I = 0; I < 60; ++I)
      Usual.note(seconds(5));
    CPPUNIT_ASSERT(Usual.note(seconds(5)) == core::Duration::zero());
    CPPUNIT_ASSERT(Usual.note(seconds(4)) == seconds(1));
  }

  void testShortShortageMeansAShortWait() {
    ReturnEstimate Estimate;
    for (int I = 0; I < 100; ++I) {
      // Refusals a second apart are no shortage that lasts.
      m_Now += seconds(1);
      core::Duration Wait = Estimate.refuse(m_Now, seconds(12), point());
      CPPUNIT_ASSERT(Wait >= milliseconds(150) && Wait <= milliseconds(500));
    }
  }

  void testLongShortageSendsPastItsEnd() {
    ReturnEstimate Estimate;
    core::TimePoint First = m_Now;
    for (; m_Now < First + seconds(3); m_Now += milliseconds(10))
      Estimate.refuse(m_Now, seconds(60), point());
    core::Duration Least = Estimate.refuse(m_Now, seconds(60), 0);
    core::Duration Most = Estimate.refuse(m_Now, seconds(60), 1);
    CPPUNIT_ASSERT(Least == milliseconds(1500));
    CPPUNIT_ASSERT(Most == milliseconds(4500));
    // After a while without refusals it starts anew.
    m_Now += seconds(1);
    CPPUNIT_ASSERT(Estimate.refuse(m_Now, seconds(60), 1) == milliseconds(500));
  }

  void testNeverBeyondAThirdOfTheTimeLeft() {
    ReturnEstimate Estimate;
    for (int I = 0; I < 2000; ++I) {
      m_Now += milliseconds(10);
      auto Left = milliseconds(static_cast<int>(15000 * point()) - 100);
      core::Duration Wait = Estimate.refuse(m_Now, Left, point());
      CPPUNIT_ASSERT(Wait >= core::Duration::zero());
      CPPUNIT_ASSERT(Wait * 3 <=
                     std::max<core::Duration>(Left, milliseconds(0)));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnTest);
