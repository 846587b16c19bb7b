//===-- UploadBudgetTest.cpp - Rate limit of uploads to peers -------------===//
#include "LibGateway/UploadBudget.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using namespace std::chrono_literals;

class UploadBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UploadBudgetTest);
  CPPUNIT_TEST(testLargeUploadsAreSerialized);
  CPPUNIT_TEST(testSmallUploadsPassTogether);
  CPPUNIT_TEST(testPartOfTheLinkIsLeft);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double LinkBytesPerSecond = 1e6;
  static constexpr std::size_t LargeBytes = 500000;
  core::TimePoint m_Now = core::TimePoint(1h);
  UploadBudget m_Budget{LinkBytesPerSecond};

public:
  void testLargeUploadsAreSerialized() {
    CPPUNIT_ASSERT(m_Budget.tryTake(LargeBytes, m_Now));
    CPPUNIT_ASSERT(!m_Budget.tryTake(LargeBytes, m_Now));
    CPPUNIT_ASSERT(!m_Budget.tryTake(1, m_Now + 400ms));
    CPPUNIT_ASSERT(m_Budget.tryTake(LargeBytes, m_Now + 700ms));
    CPPUNIT_ASSERT(!m_Budget.tryTake(LargeBytes, m_Now + 700ms));
    // Unused bandwidth does not accumulate.
    CPPUNIT_ASSERT(m_Budget.tryTake(LargeBytes, m_Now + 10s));
    CPPUNIT_ASSERT(!m_Budget.tryTake(LargeBytes, m_Now + 10s));
  }

  void testSmallUploadsPassTogether() {
    for (int I = 0; I < 400; ++I)
      CPPUNIT_ASSERT(m_Budget.tryTake(150, m_Now));
  }

  void testPartOfTheLinkIsLeft() {
    std::size_t Sent = 0;
    for (auto Passed = 0ms; Passed < 10s; Passed += 1ms)
      if (m_Budget.tryTake(10000, m_Now + Passed))
        Sent += 10000;
    CPPUNIT_ASSERT(Sent > 7e6);
    CPPUNIT_ASSERT(Sent < 8e6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UploadBudgetTest);
