#include "RolloutSimulation.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace yardrill;
using namespace yardrill::tests;
using rollout::State;

/// Roll-outs in simulated fleets. Checks the platform's bounds: a bad version
/// gets at most a tenth of the requests and 50 more until the deadline, and
/// none later than 5 s after its 50th bad response.
class RolloutModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RolloutModelTest);
  CPPUNIT_TEST(testGoodVersionsAreCompletedInTime);
  CPPUNIT_TEST(testBadVersionsAreRolledBackInTime);
  CPPUNIT_TEST(testMixedHardwareIsNotJudgedWorse);
  CPPUNIT_TEST(testUnderKillsAndCuts);
  CPPUNIT_TEST(testFewRequests);
  CPPUNIT_TEST(testFewRequestsWhileCoordinatorsRestart);
  CPPUNIT_TEST(testFromSixToFourHundredInstances);
  CPPUNIT_TEST_SUITE_END();

  struct Tally {
    int m_Simulated = 0;
    int m_Completed = 0;
    int m_InTime = 0;
    double m_MaxExcess = -1e9; ///< Requests beyond the allowed share.
    /// Time from the 50th bad response to the last request, in seconds.
    double m_Longest = 0;
    double m_LastEnd = 0;
  };

  static Tally simulateSeeds(const RolloutScenario &Scenario, int Seeds,
                             const char *Name) {
    Tally Out;
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      RolloutResult Result =
          simulateRollout(Scenario, static_cast<std::uint64_t>(Seed));
      ++Out.m_Simulated;
      bool IsInTime =
          Result.m_Decision &&
          Result.m_EndedAfter <= core::toSeconds(Scenario.m_BakeTime);
      Out.m_InTime += IsInTime ? 1 : 0;
      Out.m_Completed +=
          Result.m_Decision && Result.m_Decision->m_State == State::Completed
              ? 1
              : 0;
      Out.m_LastEnd = std::max(Out.m_LastEnd, Result.m_EndedAfter);
      bool IsBad = Scenario.m_Behavior != VersionBehavior::Good;
      if (IsBad)
        Out.m_MaxExcess = std::max(Out.m_MaxExcess, Result.m_ExcessRequests);
      Out.m_Longest = std::max(Out.m_Longest, Result.m_LastAfterFiftieth);
    }
    std::cout << "\nrollouts case=" << Name << " played=" << Out.m_Simulated
              << " completed=" << Out.m_Completed << " in_time=" << Out.m_InTime
              << " last_end_s=" << Out.m_LastEnd
              << " most_beyond_share=" << Out.m_MaxExcess
              << " longest_after_fiftieth_s=" << Out.m_Longest << std::flush;
    return Out;
  }

  static void checkBad(const Tally &Result, double Slack = 50) {
    CPPUNIT_ASSERT_EQUAL(0, Result.m_Completed);
    CPPUNIT_ASSERT_EQUAL(Result.m_Simulated, Result.m_InTime);
    CPPUNIT_ASSERT(Result.m_MaxExcess <= Slack);
    CPPUNIT_ASSERT(Result.m_Longest <= 5);
  }
  static void checkGood(const Tally &Result) {
    CPPUNIT_ASSERT_EQUAL(Result.m_Simulated, Result.m_Completed);
    CPPUNIT_ASSERT_EQUAL(Result.m_Simulated, Result.m_InTime);
  }

  /// \param RareFailureRate share of the responses on the rarer of two routes
  /// that fail with both versions.
  static RolloutScenario fewRequests(std::size_t Instances,
                                     double RareFailureRate) {
    RolloutScenario Out;
    Out.m_Instances = Instances;
    Out.m_RequestsPerSecond = 40;
    Out.m_Targets = 3;
    Out.m_RouteShares = {0.7, 0.3};
    Out.m_BaselineFailureRates = {0.004, RareFailureRate};
    return Out;
  }

public:
  void testGoodVersionsAreCompletedInTime() {
    checkGood(simulateSeeds(RolloutScenario(), 60, "good"));
  }

  void testBadVersionsAreRolledBackInTime() {
    RolloutScenario Case;
    for (auto [Behavior, Name] :
         {std::pair(VersionBehavior::Fails, "fails"),
          std::pair(VersionBehavior::FailsLate, "fails-late"),
          std::pair(VersionBehavior::FailsUnderLoad, "fails-under-load"),
          std::pair(VersionBehavior::FailsOnOneRoute, "fails-on-one-route"),
          std::pair(VersionBehavior::Slow, "slow"),
          std::pair(VersionBehavior::SlowOnOneRoute, "slow-on-one-route")}) {
      Case.m_Behavior = Behavior;
      checkBad(simulateSeeds(Case, 25, Name));
    }
  }

  void testMixedHardwareIsNotJudgedWorse() {
    RolloutScenario Case;
    Case.m_SlowHardwareFactor = 4.4;
    checkGood(simulateSeeds(Case, 40, "good-unlike-hardware"));
    Case.m_Behavior = VersionBehavior::Slow;
    checkBad(simulateSeeds(Case, 25, "slow-unlike-hardware"));
    // All responses are slow, not only a part of them.
    Case.m_BadShare = 1;
    Case.m_SlowdownFactor = 5;
    checkBad(simulateSeeds(Case, 25, "all-slow-unlike-hardware"));
  }

  void testUnderKillsAndCuts() {
    RolloutScenario Case;
    Case.m_HasKills = Case.m_HasCuts = Case.m_HasGrayFailures = true;
    Tally Good = simulateSeeds(Case, 40, "good-with-faults");
    CPPUNIT_ASSERT(Good.m_Completed >= Good.m_Simulated - 2);
    Case.m_Behavior = VersionBehavior::Fails;
    checkBad(simulateSeeds(Case, 25, "fails-with-faults"));
  }

  void testFewRequests() {
    RolloutScenario Case = fewRequests(6, 0.14);
    checkGood(simulateSeeds(Case, 40, "good-few-requests"));
    Case.m_Behavior = VersionBehavior::Fails;
    checkBad(simulateSeeds(Case, 25, "fails-few-requests"));
  }

  void testFewRequestsWhileCoordinatorsRestart() {
    RolloutScenario Case = fewRequests(4, 0.02);
    for (int Seconds : {2, 3, 4, 5}) {
      Case.m_CoordinatorRestartPeriod = std::chrono::seconds(Seconds);
      std::string Name = "-coordinators-restart-" + std::to_string(Seconds);
      Case.m_Behavior = VersionBehavior::Good;
      Tally Good = simulateSeeds(Case, 40, ("good" + Name).c_str());
      CPPUNIT_ASSERT(Good.m_Completed >= Good.m_Simulated - 2);
      Case.m_Behavior = VersionBehavior::Fails;
      checkBad(simulateSeeds(Case, 400, ("fails" + Name).c_str()));
    }
  }

  void testFromSixToFourHundredInstances() {
    for (std::size_t Size : {6, 89, 295, 440}) {
      RolloutScenario Case;
      Case.m_Instances = Size;
      Case.m_RequestsPerSecond = 11.0 * static_cast<double>(Size);
      Case.m_Targets = Size;
      std::string Name = std::to_string(Size);
      checkGood(simulateSeeds(Case, 6, ("good-" + Name).c_str()));
      Case.m_Behavior = VersionBehavior::Fails;
      checkBad(simulateSeeds(Case, 6, ("fails-" + Name).c_str()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutModelTest);
