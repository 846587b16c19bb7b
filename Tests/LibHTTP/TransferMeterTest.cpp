//===-- TransferMeterTest.cpp - Measured transfers of requests ------------===//
//
// Guards against an overloaded process that takes itself for a fast one, and
// against slow callers that make a fast one look overloaded.
//
//===----------------------------------------------------------------------===//
#include "LibHTTP/TransferMeter.h"

#include <cppunit/extensions/HelperMacros.h>
#include <list>

using namespace yardrill;
using http::TransferMeter;
using std::chrono::milliseconds;
using std::chrono::seconds;

class TransferMeterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransferMeterTest);
  CPPUNIT_TEST(testMeasuresRateAndDuration);
  CPPUNIT_TEST(testOldTransfersDoNotCount);
  CPPUNIT_TEST(testFewSlowTransfersDoNotCount);
  CPPUNIT_TEST(testTransferOutlivesTheMeter);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{seconds(1000)};
  TransferMeter m_Meter;

  void transfer(core::Duration Length) {
    TransferMeter::Transfer Each(m_Meter);
    Each.begin(m_Now - Length);
    Each.complete(m_Now);
  }

public:
  void testMeasuresRateAndDuration() {
    CPPUNIT_ASSERT(!m_Meter.recentDuration(m_Now));
    for (int I = 0; I < 100; ++I) {
      m_Now += milliseconds(10);
      transfer(milliseconds(40));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, m_Meter.completedPerSecond(m_Now), 10);
    CPPUNIT_ASSERT(*m_Meter.recentDuration(m_Now) == milliseconds(40));
    m_Now += seconds(2);
    CPPUNIT_ASSERT_EQUAL(0.0, m_Meter.completedPerSecond(m_Now));
    CPPUNIT_ASSERT(!m_Meter.recentDuration(m_Now));
  }

  void testOldTransfersDoNotCount() {
    std::list<TransferMeter::Transfer> Open;
    for (int I = 0; I < 3; ++I)
      Open.emplace_back(m_Meter).begin(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Meter.open(m_Now));
    Open.front().complete(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Meter.open(m_Now));
    m_Now += milliseconds(1001);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Meter.open(m_Now));
    Open.back().complete(m_Now);
    CPPUNIT_ASSERT_EQUAL(
        2.0, m_Meter.completedPerSecond(m_Now - milliseconds(1001)));
  }

  void testFewSlowTransfersDoNotCount() {
    for (int I = 0; I < 12; ++I)
      transfer(milliseconds(I % 3 == 0 ? 900 : 5));
    CPPUNIT_ASSERT(*m_Meter.recentDuration(m_Now) == milliseconds(5));
  }

  void testTransferOutlivesTheMeter() {
    auto Meter = std::make_unique<TransferMeter>();
    TransferMeter::Transfer Each(*Meter);
    Each.begin(m_Now);
    Meter.reset();
    Each.complete(m_Now);
    CPPUNIT_ASSERT(!Each.isOpen());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransferMeterTest);
