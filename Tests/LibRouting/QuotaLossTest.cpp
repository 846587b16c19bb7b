//===-- QuotaLossTest.cpp - Time until lost owners of quotas are replaced -===//
//
// Guards against accounts below their limits that are refused longer than 30 s
// after half of the fleet or more was lost without a word.
//
//===----------------------------------------------------------------------===//
#include "ReplacedFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using std::chrono::seconds;
using tests::ReplacedFleet;

class QuotaLossTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaLossTest);
  CPPUNIT_TEST(testHalfIsLostWithoutAWord);
  CPPUNIT_TEST(testAllAreLostWithoutAWordAndOthersCome);
  CPPUNIT_TEST_SUITE_END();

public:
  void testHalfIsLostWithoutAWord() {
    for (std::size_t Size : {7U, 78U}) {
      ReplacedFleet Replaced(Size);
      Replaced.kill(0, (Size + 1) / 2);
      Replaced.join((Size + 1) / 2);
      Replaced.checkRecovery("half is lost");
    }
  }

  void testAllAreLostWithoutAWordAndOthersCome() {
    ReplacedFleet Replaced(7);
    Replaced.kill(0, 7);
    Replaced.run(seconds(1));
    Replaced.join(7);
    Replaced.checkRecovery("all are lost");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaLossTest);
