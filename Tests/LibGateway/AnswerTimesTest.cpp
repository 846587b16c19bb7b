#include "LibGateway/AnswerTimes.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;

class AnswerTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AnswerTimesTest);
  CPPUNIT_TEST(testInTime);
  CPPUNIT_TEST(testWaitedForAPlace);
  CPPUNIT_TEST(testSlowAtTheTarget);
  CPPUNIT_TEST(testTriedAgain);
  CPPUNIT_TEST(testPausesCountAtOneTarget);
  CPPUNIT_TEST(testShortAnswer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Objective{400};
  static constexpr milliseconds PauseLimit{200};
  core::TimePoint m_Start{std::chrono::hours(1)};

  core::TimePoint at(int Ms) const { return m_Start + milliseconds(Ms); }
  Lateness latenessOf(const AnswerTimes &Times, int Ms) const {
    return Times.lateness(Objective, PauseLimit, at(Ms));
  }

public:
  void testInTime() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(10));
    CPPUNIT_ASSERT(!Times.noteEvents(1, at(400)));
    CPPUNIT_ASSERT(*Times.noteEvents(2, at(500)) == milliseconds(50));
    CPPUNIT_ASSERT(latenessOf(Times, 2000) == Lateness::None);
    CPPUNIT_ASSERT(Times.toFirstEvent() == milliseconds(400));
  }
  void testWaitedForAPlace() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(300));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Waited);
  }
  void testSlowAtTheTarget() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(100));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Target);
  }
  void testTriedAgain() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(1));
    Times.noteTry(at(350));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Again);
    CPPUNIT_ASSERT_EQUAL(2U, Times.tries());
  }
  void testPausesCountAtOneTarget() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(1));
    Times.noteEvents(1, at(100));
    // It goes on elsewhere; the time between is no pause of a target.
    Times.noteTry(at(200));
    CPPUNIT_ASSERT(!Times.hasEventOfTry());
    Times.noteEvents(1, at(900));
    CPPUNIT_ASSERT(latenessOf(Times, 1000) == Lateness::None);
    Times.noteEvents(1, at(1101));
    CPPUNIT_ASSERT(latenessOf(Times, 1200) == Lateness::Pause);
  }
  void testShortAnswer() {
    AnswerTimes Times(m_Start);
    Times.noteTry(at(1));
    CPPUNIT_ASSERT(latenessOf(Times, 400) == Lateness::None);
    CPPUNIT_ASSERT(latenessOf(Times, 401) == Lateness::Target);
    // Without an objective nothing is late.
    CPPUNIT_ASSERT(Times.lateness({}, {}, at(5000)) == Lateness::None);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AnswerTimesTest);
