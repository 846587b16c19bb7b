//===-- WarmUpTest.cpp - Limits of targets that warm up -------------------===//
//
// Guards against more requests to a cold target than its pool's warm-up rate,
// and against a limit that outlasts the warm-up.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/TargetDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class WarmUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WarmUpTest);
  CPPUNIT_TEST(testStatedWarmUpIsALimit);
  CPPUNIT_TEST(testStatedWarmUpEnds);
  CPPUNIT_TEST(testWarmUpBeforeTheConfiguration);
  CPPUNIT_TEST(testAssumedWarmUpIsNotShortened);
  CPPUNIT_TEST(testRestoredDataHallWarmsUp);
  CPPUNIT_TEST(testLowerLimitApplies);
  CPPUNIT_TEST(testWarmUpIsNotReported);
  CPPUNIT_TEST(testPoolWithoutWarmUp);
  CPPUNIT_TEST_SUITE_END();

  static constexpr double PerSecond = 10;
  static constexpr seconds WarmUpTime{3};
  const core::TargetName m_Name{"a"};
  core::TimePoint m_Now{std::chrono::hours(1)};
  TargetDirectory m_Targets;

  void configure(double Rate = PerSecond) {
    Pool Configured;
    Configured.m_Name = core::PoolName("pool");
    Configured.m_WarmUpPerSecond = Rate;
    Configured.m_WarmUpTime = WarmUpTime;
    m_Targets.setPools({{Configured.m_Name, Configured}}, m_Now);
  }
  /// Announces the target in a fleet of this instance alone.
  void announce() {
    FleetSubset::Fleet Alone{{{"10.1.0.1", 7600}, core::DataHallName("hall")}};
    m_Targets.setSubset(FleetSubset({"10.1.0.1", 7600}, Alone));
    Target Announced;
    Announced.m_Name = m_Name;
    Announced.m_Pool = core::PoolName("pool");
    Announced.m_DataHall = core::DataHallName("hall");
    m_Targets.announce(Announced);
  }
  /// Returns how many requests the target gets within a second.
  int sendForASecond() {
    int Sent = 0;
    for (int I = 0; I < 1000; ++I, m_Now += milliseconds(1))
      Sent += m_Targets.tryStartRequest(m_Name, 0, m_Now) ? 1 : 0;
    return Sent;
  }
  static constexpr int Unlimited = 1000;
  static bool isAtRate(int Sent) { return Sent >= 9 && Sent <= 11; }

public:
  void testStatedWarmUpIsALimit() {
    configure();
    announce();
    m_Targets.setStatedWarmUp(m_Name, m_Now + seconds(2), m_Now);
    CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
  }

  void testStatedWarmUpEnds() {
    configure();
    announce();
    m_Targets.setStatedWarmUp(m_Name, m_Now + seconds(60), m_Now);
    CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    m_Targets.setStatedWarmUp(m_Name, m_Now, m_Now);
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
  }

  void testWarmUpBeforeTheConfiguration() {
    announce();
    m_Targets.setStatedWarmUp(m_Name, m_Now + seconds(2), m_Now);
    m_Targets.assumeWarmUp(m_Name, m_Now);
    configure();
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
  }

  /// The announcement can be older than the start of the warm-up.
  void testAssumedWarmUpIsNotShortened() {
    configure();
    announce();
    m_Targets.assumeWarmUp(m_Name, m_Now);
    m_Targets.setStatedWarmUp(m_Name, m_Now, m_Now);
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
  }

  void testRestoredDataHallWarmsUp() {
    configure();
    announce();
    core::DataHallName Hall("hall");
    CPPUNIT_ASSERT(!m_Targets.setDrained(Hall, false, m_Now));
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
    CPPUNIT_ASSERT(m_Targets.setDrained(Hall, true, m_Now));
    CPPUNIT_ASSERT(!m_Targets.setDrained(Hall, true, m_Now));
    CPPUNIT_ASSERT_EQUAL(0, sendForASecond());
    CPPUNIT_ASSERT(m_Targets.setDrained(Hall, false, m_Now));
    CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    // Drained and restored again before it was warm.
    m_Targets.setDrained(Hall, true, m_Now);
    m_Targets.setDrained(Hall, false, m_Now);
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(isAtRate(sendForASecond()));
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
  }

  void testLowerLimitApplies() {
    configure();
    announce();
    TargetBackpressure Stated;
    Stated.m_RequestsPerSecond = 2;
    m_Targets.throttles().update(m_Name, Stated, m_Now);
    m_Targets.assumeWarmUp(m_Name, m_Now);
    CPPUNIT_ASSERT(sendForASecond() <= 3);
    Stated.m_RequestsPerSecond = 100;
    m_Targets.throttles().update(m_Name, Stated, m_Now);
    CPPUNIT_ASSERT(isAtRate(sendForASecond()));
  }

  /// Other instances learn of a warm-up from the announcement.
  void testWarmUpIsNotReported() {
    configure();
    announce();
    m_Targets.assumeWarmUp(m_Name, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Targets.throttles().warmingUp());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Targets.throttles().limited());
    CPPUNIT_ASSERT(m_Targets.throttles().dueReports(m_Now).empty());
    m_Now += WarmUpTime;
    m_Targets.throttles().removeStale(m_Now);
    CPPUNIT_ASSERT(m_Targets.throttles().isEmpty());
  }

  void testPoolWithoutWarmUp() {
    configure(0);
    announce();
    m_Targets.setStatedWarmUp(m_Name, m_Now + seconds(2), m_Now);
    m_Targets.assumeWarmUp(m_Name, m_Now);
    CPPUNIT_ASSERT_EQUAL(Unlimited, sendForASecond());
    CPPUNIT_ASSERT(m_Targets.throttles().isEmpty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);
