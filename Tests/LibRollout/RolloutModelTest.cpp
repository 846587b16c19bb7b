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
  CPPUNIT_TEST(testFromSixToFourHundredInstances);
  CPPUNIT_TEST_SUITE_END();

  struct Tally {
    int m_Played = 0;
    int m_Completed = 0;
    int m_InTime = 0;
    double m_MaxExcess = -1e9; ///< Requests beyond the allowed share.
    /// Time from the 50th bad response to the last request, in seconds.
    double m_Longest = 0;
    double m_LastEnd = 0;
  };

  static Tally play(const RolloutScenario &What, int Seeds, const char *Name) {
    Tally Out;
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      RolloutResult Got =
          simulateRollout(What, static_cast<std::uint64_t>(Seed));
      ++Out.m_Played;
      bool IsInTime = Got.m_Decision &&
                      Got.m_EndedAfter <= core::toSeconds(What.m_BakeTime);
      Out.m_InTime += IsInTime ? 1 : 0;
      Out.m_Completed +=
          Got.m_Decision && Got.m_Decision->m_State == State::Completed ? 1 : 0;
      Out.m_LastEnd = std::max(Out.m_LastEnd, Got.m_EndedAfter);
      bool IsBad = What.m_Behavior != VersionBehavior::Good;
      if (IsBad)
        Out.m_MaxExcess = std::max(Out.m_MaxExcess, Got.m_ExcessRequests);
      Out.m_Longest = std::max(Out.m_Longest, Got.m_LastAfterFiftieth);
    }
    std::cout << "\nrollouts case=" << Name << " played=" << Out.m_Played
              << " completed=" << Out.m_Completed << " in_time=" << Out.m_InTime
              << " last_end_s=" << Out.m_LastEnd
              << " most_beyond_share=" << Out.m_MaxExcess
              << " longest_after_fiftieth_s=" << Out.m_Longest << std::flush;
    return Out;
  }

  static void checkBad(const Tally &Got, double Slack = 50) {
    CPPUNIT_ASSERT_EQUAL(0, Got.m_Completed);
    CPPUNIT_ASSERT_EQUAL(Got.m_Played, Got.m_InTime);
    CPPUNIT_ASSERT(Got.m_MaxExcess <= Slack);
    CPPUNIT_ASSERT(Got.m_Longest <= 5);
  }
  static void checkGood(const Tally &Got) {
    CPPUNIT_ASSERT_EQUAL(Got.m_Played, Got.m_Completed);
    CPPUNIT_ASSERT_EQUAL(Got.m_Played, Got.m_InTime);
  }

public:
  void testGoodVersionsAreCompletedInTime() {
    checkGood(play(RolloutScenario(), 60, "good"));
  }

  void testBadVersionsAreRolledBackInTime() {
    RolloutScenario Case;
    for (auto [Shape, Name] :
         {std::pair(VersionBehavior::Fails, "fails"),
          std::pair(VersionBehavior::FailsLate, "fails-late"),
          std::pair(VersionBehavior::FailsUnderLoad, "fails-under-load"),
          std::pair(VersionBehavior::FailsOnOneRoute, "fails-on-one-route"),
          std::pair(VersionBehavior::Slow, "slow"),
          std::pair(VersionBehavior::SlowOnOneRoute, "slow-on-one-route")}) {
      Case.m_Behavior = Shape;
      checkBad(play(Case, 25, Name));
    }
  }

  void testMixedHardwareIsNotJudgedWorse() {
    RolloutScenario Case;
    Case.m_SlowHardwareFactor = 4.4;
    checkGood(play(Case, 40, "good-unlike-hardware"));
    Case.m_Behavior = VersionBehavior::Slow;
    checkBad(play(Case, 25, "slow-unlike-hardware"));
    // All responses are slow, not only a part of them.
    Case.m_BadShare = 1;
    Case.m_SlowdownFactor = 5;
    checkBad(play(Case, 25, "all-slow-unlike-hardware"));
  }

  void testUnderKillsAndCuts() {
    RolloutScenario Case;
    Case.m_HasKills = Case.m_HasCuts = Case.m_HasGrayFailures = true;
    Tally Good = play(Case, 40, "good-with-faults");
    CPPUNIT_ASSERT(Good.m_Completed >= Good.m_Played - 2);
    Case.m_Behavior = VersionBehavior::Fails;
    checkBad(play(Case, 25, "fails-with-faults"));
  }

  void testFewRequests() {
    RolloutScenario Case;
    Case.m_Instances = 6;
    Case.m_RequestsPerSecond = 40;
    Case.m_Targets = 3;
    Case.m_RouteShares = {0.7, 0.3};
    Case.m_BaselineFailureRates = {0.004, 0.14};
    checkGood(play(Case, 40, "good-few-requests"));
    Case.m_Behavior = VersionBehavior::Fails;
    checkBad(play(Case, 25, "fails-few-requests"));
  }

  void testFromSixToFourHundredInstances() {
    for (std::size_t Size : {6, 89, 295, 440}) {
      RolloutScenario Case;
      Case.m_Instances = Size;
      Case.m_RequestsPerSecond = 11.0 * static_cast<double>(Size);
      Case.m_Targets = Size;
      std::string Name = std::to_string(Size);
      checkGood(play(Case, 6, ("good-" + Name).c_str()));
      Case.m_Behavior = VersionBehavior::Fails;
      checkBad(play(Case, 6, ("fails-" + Name).c_str()));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutModelTest);
