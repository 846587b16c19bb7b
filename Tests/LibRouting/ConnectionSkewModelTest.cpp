//===-- ConnectionSkewModelTest.cpp - Most callers at one instance --------===//
//
// Guards against an instance that reads requests which it can't serve while the
// balancer hands it most new connections of a data hall, or of all of them.
//
//===----------------------------------------------------------------------===//
#include "OverloadScenarios.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

class ConnectionSkewModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionSkewModelTest);
  CPPUNIT_TEST(testHallAtSmallInstance);
  CPPUNIT_TEST(testHallAtLargeInstance);
  CPPUNIT_TEST(testAllAtSmallInstance);
  CPPUNIT_TEST(testAllAtLargeInstance);
  CPPUNIT_TEST(testAllAtLargeInstanceDespiteFaults);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Sizes[] = {7, 78, 300};
  static constexpr std::uint64_t SeedCount = 2;
  static constexpr seconds CalmFrom{1};
  /// Time from the begin of the skew until it may cost no more.
  static constexpr seconds AdaptationTime{4};
  /// Least share of each kind that is served at the first attempt that was
  /// read, relative to the time before the skew.
  static constexpr double MinRelativeShare = 0.75;
  /// Median time that callers may lose at an instance that doesn't read their
  /// request; they wait for a connection for a second.
  static constexpr milliseconds MaxTimeLost{250};

  static void checkServed(const DispatchScenario &Scenario) {
    const CallerResult Result = simulateDispatch(Scenario).m_Callers;
    core::Duration SkewedFrom = Scenario.m_Skew->m_From + AdaptationTime;
    core::Duration SkewedUntil = Scenario.m_Skew->m_Until;
    std::string Which = std::to_string(Scenario.m_Instances) +
                        " instances, seed " + std::to_string(Scenario.m_Seed);
    for (std::size_t Kind = 0; Kind < Result.m_Kinds.size(); ++Kind) {
      double Before =
          Result.servedAtFirstRead(Kind, CalmFrom, Scenario.m_Skew->m_From);
      double Skewed = Result.servedAtFirstRead(Kind, SkewedFrom, SkewedUntil);
      CPPUNIT_ASSERT_MESSAGE(Which + ", " + Result.m_Kinds[Kind].m_Kind + ": " +
                                 std::to_string(Skewed) + " after " +
                                 std::to_string(Before),
                             Skewed >= MinRelativeShare * Before);
    }
    core::Duration Before =
        Result.firstReadTime(0.5, CalmFrom, Scenario.m_Skew->m_From);
    core::Duration Skewed = Result.firstReadTime(0.5, SkewedFrom, SkewedUntil);
    CPPUNIT_ASSERT_MESSAGE(Which + ": first event after " +
                               std::to_string(core::toSeconds(Skewed)) +
                               " s, before " +
                               std::to_string(core::toSeconds(Before)),
                           Skewed <= Before + MaxTimeLost);
  }

  static void checkAllSizes(SkewScope Scope, InstanceSize Hot,
                            bool HasFaults = false) {
    for (std::size_t Instances : Sizes)
      for (std::uint64_t Seed = 1; Seed <= SeedCount; ++Seed) {
        DispatchScenario Scenario = skewedConnections(Instances, Scope, Hot);
        Scenario.m_Seed = Seed;
        if (HasFaults) {
          Scenario.m_Network.m_LossShare = 0.05;
          Scenario.m_LeavingTargets = {{0.15, seconds(7), seconds(12)}};
          Scenario.m_RestartAt = seconds(7);
          Scenario.m_RestartShare = 0.1;
        }
        checkServed(Scenario);
      }
  }

public:
  void testHallAtSmallInstance() {
    checkAllSizes(SkewScope::DataHall, InstanceSize::Small);
  }
  void testHallAtLargeInstance() {
    checkAllSizes(SkewScope::DataHall, InstanceSize::Large);
  }
  void testAllAtSmallInstance() {
    checkAllSizes(SkewScope::All, InstanceSize::Small);
  }
  void testAllAtLargeInstance() {
    checkAllSizes(SkewScope::All, InstanceSize::Large);
  }
  void testAllAtLargeInstanceDespiteFaults() {
    checkAllSizes(SkewScope::All, InstanceSize::Large, true);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionSkewModelTest);
