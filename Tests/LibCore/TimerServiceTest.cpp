#include "LibCore/TimerService.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <stdexcept>

using namespace yardrill;
using namespace yardrill::core;
using std::chrono::milliseconds;

class TimerServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TimerServiceTest);
  CPPUNIT_TEST(testCallsOnce);
  CPPUNIT_TEST(testSubscriptionRepeats);
  CPPUNIT_TEST(testFailedCallEndsNoOthers);
  CPPUNIT_TEST(testNoCallsAfterDestruction);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_Context;
  int m_Calls = 0;

public:
  void testCallsOnce() {
    SteadyTimerService Timers(m_Context);
    TimePoint Begin = steadyNow();
    TimePoint CalledAt{};
    Timers.callAfter(milliseconds(20), [&](TimePoint Now) {
      ++m_Calls;
      CalledAt = Now;
    });
    m_Context.run();
    CPPUNIT_ASSERT_EQUAL(1, m_Calls);
    CPPUNIT_ASSERT(CalledAt - Begin >= milliseconds(20));
  }

  void testSubscriptionRepeats() {
    SteadyTimerService Timers(m_Context);
    Timers.subscribe(milliseconds(5), [&](TimePoint) {
      if (++m_Calls == 3)
        m_Context.stop();
    });
    m_Context.run();
    CPPUNIT_ASSERT_EQUAL(3, m_Calls);
  }

  /// Guards against heartbeats that end for good after one exception.
  void testFailedCallEndsNoOthers() {
    SteadyTimerService Timers(m_Context);
    int Failures = 0;
    Timers.subscribe(milliseconds(2), [&](TimePoint) {
      ++Failures;
      throw std::runtime_error("failed");
    });
    Timers.callAfter(milliseconds(1), [](TimePoint) {
      throw std::runtime_error("failed once");
    });
    Timers.subscribe(milliseconds(5), [&](TimePoint) {
      if (++m_Calls == 3)
        m_Context.stop();
    });
    m_Context.run();
    CPPUNIT_ASSERT_EQUAL(3, m_Calls);
    CPPUNIT_ASSERT(Failures >= 3);
  }

  void testNoCallsAfterDestruction() {
    {
      SteadyTimerService Timers(m_Context);
      Timers.callAfter(milliseconds(5), [&](TimePoint) { ++m_Calls; });
      Timers.subscribe(milliseconds(5), [&](TimePoint) { ++m_Calls; });
    }
    m_Context.run();
    CPPUNIT_ASSERT_EQUAL(0, m_Calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TimerServiceTest);
