//===-- ReturnScheduleTest.cpp - When refused callers return --------------===//
//
// Guards against callers that return together, too late to be served, or later
// than they honour.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/ReturnSchedule.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <vector>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ReturnScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReturnScheduleTest);
  CPPUNIT_TEST(testReturnsSoonWhileInTime);
  CPPUNIT_TEST(testReturnsAsLateAsHonouredOnceLate);
  CPPUNIT_TEST(testNoReturnIsLaterThanHonoured);
  CPPUNIT_TEST(testNoReturnIsTooLateToBeServed);
  CPPUNIT_TEST(testReturnsAreSpread);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};

  RefusedStream refused(core::Duration UntilDue,
                        core::Duration TimeLeft = seconds(12)) const {
    return {m_Now + UntilDue, m_Now + TimeLeft, seconds(1)};
  }
  /// Returns the delays of callers that were refused together.
  std::vector<core::Duration> delays(const RefusedStream &Refused) const {
    std::vector<core::Duration> Out;
    for (int I = 0; I <= 10; ++I)
      Out.push_back(ReturnSchedule::delay(Refused, I * 0.1, m_Now));
    return Out;
  }
  static core::Duration shortest(const std::vector<core::Duration> &All) {
    return *std::min_element(All.begin(), All.end());
  }
  static core::Duration longest(const std::vector<core::Duration> &All) {
    return *std::max_element(All.begin(), All.end());
  }

public:
  void testReturnsSoonWhileInTime() {
    auto Delays = delays(refused(milliseconds(800)));
    CPPUNIT_ASSERT(milliseconds(150) <= shortest(Delays));
    // Half of the objective is left to begin.
    CPPUNIT_ASSERT(longest(Delays) <= milliseconds(400));
  }

  void testReturnsAsLateAsHonouredOnceLate() {
    for (milliseconds UntilDue : {milliseconds(100), milliseconds(-500)}) {
      auto Delays = delays(refused(UntilDue));
      CPPUNIT_ASSERT(seconds(3) <= shortest(Delays));
      CPPUNIT_ASSERT(longest(Delays) <= seconds(4));
    }
  }

  void testNoReturnIsLaterThanHonoured() {
    for (int Ms = 500; Ms <= 15000; Ms += 100)
      for (milliseconds UntilDue : {milliseconds(600), milliseconds(0)})
        CPPUNIT_ASSERT(
            longest(delays(refused(UntilDue, milliseconds(Ms)))) <=
            std::max<core::Duration>(milliseconds(150),
                                     core::Duration(milliseconds(Ms)) / 3));
  }

  void testNoReturnIsTooLateToBeServed() {
    RefusedStream Refused = refused(milliseconds(0), seconds(3));
    Refused.m_SlotTime = milliseconds(2500);
    CPPUNIT_ASSERT(longest(delays(Refused)) <= milliseconds(500));
    Refused.m_SlotTime = seconds(5);
    CPPUNIT_ASSERT(longest(delays(Refused)) == milliseconds(150));
  }

  void testReturnsAreSpread() {
    auto Soon = delays(refused(milliseconds(800)));
    CPPUNIT_ASSERT(milliseconds(100) <= longest(Soon) - shortest(Soon));
    auto Late = delays(refused(milliseconds(0)));
    CPPUNIT_ASSERT(milliseconds(500) <= longest(Late) - shortest(Late));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnScheduleTest);
