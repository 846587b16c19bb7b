//===-- ResponseTimingTest.cpp - Causes of late responses -----------------===//
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
  CPPUNIT_TEST(testShortResponse);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Objective{400};
  static constexpr milliseconds EventGapLimit{200};
  core::TimePoint m_Start{std::chrono::hours(1)};

  core::TimePoint at(int Ms) const { return m_Start + milliseconds(Ms); }
  Lateness latenessOf(const ResponseTiming &Timing, int Ms) const {
    return Timing.lateness(Objective, EventGapLimit, at(Ms));
  }

public:
  void testInTime() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(10));
    CPPUNIT_ASSERT(!Timing.noteEvents(1, at(400)));
    CPPUNIT_ASSERT(*Timing.noteEvents(2, at(500)) == milliseconds(50));
    CPPUNIT_ASSERT(latenessOf(Timing, 2000) == Lateness::None);
    CPPUNIT_ASSERT(Timing.timeToFirstEvent() == milliseconds(400));
  }
  void testWaitedForASlot() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(300));
    Timing.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Timing, 600) == Lateness::Waited);
  }
  void testSlowAtTheTarget() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(100));
    Timing.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Timing, 600) == Lateness::Target);
  }
  void testRetried() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(1));
    Timing.noteAttempt(at(350));
    Timing.noteEvents(1, at(500));
    CPPUNIT_ASSERT(latenessOf(Timing, 600) == Lateness::Again);
    CPPUNIT_ASSERT_EQUAL(2U, Timing.attempts());
  }
  void testPausesAreMeasuredWithinOneAttempt() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(1));
    Timing.noteEvents(1, at(100));
    // Another target resumes the stream; the gap between attempts is no pause.
    Timing.noteAttempt(at(200));
    CPPUNIT_ASSERT(!Timing.hasEventInAttempt());
    Timing.noteEvents(1, at(900));
    CPPUNIT_ASSERT(latenessOf(Timing, 1000) == Lateness::None);
    Timing.noteEvents(1, at(1101));
    CPPUNIT_ASSERT(latenessOf(Timing, 1200) == Lateness::Pause);
  }
  void testShortResponse() {
    ResponseTiming Timing(m_Start);
    Timing.noteAttempt(at(1));
    CPPUNIT_ASSERT(latenessOf(Timing, 400) == Lateness::None);
    CPPUNIT_ASSERT(latenessOf(Timing, 401) == Lateness::Target);
    // Without limits no response is late.
    CPPUNIT_ASSERT(Timing.lateness({}, {}, at(5000)) == Lateness::None);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseTimingTest);
