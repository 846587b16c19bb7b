#include "LibPlatform/CallRateLimiter.h"

#include "LibPlatform/Backoff.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace yardrill;
using namespace yardrill::platform;

class CallRateLimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallRateLimiterTest);
  CPPUNIT_TEST(testBurstThenRate);
  CPPUNIT_TEST(testClaimsLeaveReserveForControl);
  CPPUNIT_TEST(testBackoffGrowsWithJitter);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};

  int acquireAll(CallRateLimiter &Limiter, CallClass Class) {
    int Count = 0;
    while (Limiter.tryAcquire(Class, m_Now))
      ++Count;
    return Count;
  }

public:
  void testBurstThenRate() {
    CallRateLimiter Limiter(20, 40);
    CPPUNIT_ASSERT_EQUAL(40, acquireAll(Limiter, CallClass::Control));
    m_Now += std::chrono::milliseconds(500);
    CPPUNIT_ASSERT_EQUAL(10, acquireAll(Limiter, CallClass::Control));
    m_Now += std::chrono::hours(1);
    CPPUNIT_ASSERT_EQUAL(40, acquireAll(Limiter, CallClass::Control));
  }

  void testClaimsLeaveReserveForControl() {
    CallRateLimiter Limiter(20, 40);
    CPPUNIT_ASSERT_EQUAL(30, acquireAll(Limiter, CallClass::Claim));
    CPPUNIT_ASSERT_EQUAL(10, acquireAll(Limiter, CallClass::Control));
  }

  void testBackoffGrowsWithJitter() {
    std::set<core::Duration> FirstDelays;
    for (std::uint64_t Seed = 0; Seed < 50; ++Seed) {
      Backoff Delays(std::chrono::milliseconds(100), std::chrono::seconds(5),
                     Seed);
      FirstDelays.insert(Delays.next());
      core::Duration Longest{};
      for (int I = 0; I < 50; ++I)
        Longest = std::max(Longest, Delays.next());
      CPPUNIT_ASSERT(Longest <= std::chrono::seconds(5));
      CPPUNIT_ASSERT(Longest > std::chrono::seconds(3));
      Delays.reset();
      CPPUNIT_ASSERT(Delays.next() <= std::chrono::milliseconds(100));
    }
    CPPUNIT_ASSERT(FirstDelays.size() > 40);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallRateLimiterTest);
