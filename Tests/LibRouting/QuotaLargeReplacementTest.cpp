//===-- QuotaLargeReplacementTest.cpp - Quotas of a replaced large fleet --===//
//
// Guards against accounts below their limits that are refused for good once a
// large fleet has been replaced in steps.
//
//===----------------------------------------------------------------------===//
#include "ReplacedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using std::chrono::seconds;
using tests::ReplacedFleet;

class QuotaLargeReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLargeReplacementTest);
  CPPUNIT_TEST(testReplacementOfLargeFleets);
  CPPUNIT_TEST_SUITE_END();

public:
  void testReplacementOfLargeFleets() {
    for (std::size_t Size : {78U, 300U, 985U}) {
      ReplacedFleet Replaced(Size);
      Replaced.replaceInSteps(Size / 10, seconds(6), false);
      Replaced.checkRecovery("stops");
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLargeReplacementTest);
