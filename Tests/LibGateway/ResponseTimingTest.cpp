#include "LibGateway/ResponseTiming.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;

class ResponseTimingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseTimingTest);
  CPPUNIT_TEST(testInTime);
  CPPUNIT_TEST(testWaitedForASlot);
  CPPUNIT_TEST(testSlowAtTheTarget);
  CPPUNIT_TEST(testRetried);
  CPPUNIT_TEST(testPausesAreMeasuredWithinOneAttempt);
  CPPUNIT_TEST(testShortAnswer);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Objective{400};
  static constexpr milliseconds PauseLimit{200};
  core::TimePoint m_Start{std::chrono::hours(1)};

  core::TimePoint at(int Ms) const { return m_Start + milliseconds(Ms); }
  Lateness latenessOf(const ResponseTiming &Times, int Ms) const {
    return Times.lateness(Objective, PauseLimit, at(Ms));
  }

public:
  void testInTime() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(10));
    CPPUNIT_ASSERT(!Times.noteEvents(1, at(400)));
    CPPUNIT_ASSERT(*Times.noteEvents(2, at(500)) == milliseconds(50));
    CPPUNIT_ASSERT(latenessOf(Times, 2000) == Lateness::None);
    CPPUNIT_ASSERT(Times.timeToFirstEvent() == milliseconds(400));
  }
  void testWaitedForASlot() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(300));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Waited);
  }
  void testSlowAtTheTarget() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(100));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Target);
  }
  void testRetried() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(1));
    Times.noteAttempt(at(350));
    Times.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Times, 600) == Lateness::Again);
    CPPUNIT_ASSERT_EQUAL(2U, Times.attempts());
  }
  void testPausesAreMeasuredWithinOneAttempt() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(1));
    Times.noteEvents(1, at(100));
    // It goes on elsewhere; the time between is no pause of a target.
    Times.noteAttempt(at(200));
    CPPUNIT_ASSERT(!Times.hasEventInAttempt());
    Times.noteEvents(1, at(900));
    CPPUNIT_ASSERT(latenessOf(Times, 1000) == Lateness::None);
    Times.noteEvents(1, at(1101));
    CPPUNIT_ASSERT(latenessOf(Times, 1200) == Lateness::Pause);
  }
  void testShortAnswer() {
    ResponseTiming Times(m_Start);
    Times.noteAttempt(at(1));
    CPPUNIT_ASSERT(latenessOf(Times, 400) == Lateness::None);
    CPPUNIT_ASSERT(latenessOf(Times, 401) == Lateness::Target);
    // Without an objective nothing is late.
    CPPUNIT_ASSERT(Times.lateness({}, {}, at(5000)) == Lateness::None);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseTimingTest);
