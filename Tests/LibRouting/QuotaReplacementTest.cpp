//===-- QuotaReplacementTest.cpp - Quotas of a fleet that is replaced -----===//
//
// Guards against accounts below their limits that are refused for good once the
// owners of their quotas are gone: after announced stops, and after losses of
// half of the fleet or more.
//
//===----------------------------------------------------------------------===//
#include "QuotaSimulation.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::QuotaSimulation;

namespace {

constexpr std::size_t Accounts = 8;
constexpr double Limit = 77000; ///< Tokens a second, and burst in tokens.
constexpr double Load = 0.7;    ///< Multiple of the limit that is requested.
constexpr std::uint32_t RequestTokens = 3000;
constexpr core::Duration RecoveryTime = seconds(30);
constexpr double AimedShare = 0.95;
const routing::QuotaTolerance Tolerance{0.1, 190000, seconds(8)};

/// Fleet whose callers request less than their accounts' limits from the ready
/// instances.
class ReplacedFleet {
public:
  explicit ReplacedFleet(std::size_t Size, std::uint64_t Seed = 1)
      : m_Random(Seed), m_FirstCount(Size), m_Fleet(settings(Size, Seed)) {
    run(seconds(20));
  }

  QuotaSimulation &fleet() { return m_Fleet; }
  /// Returns the size of the fleet at the start.
  std::size_t firstCount() const { return m_FirstCount; }

  void run(core::Duration Time) {
    core::TimePoint End = m_Fleet.now() + Time;
    while (m_Fleet.now() < End) {
      m_Fleet.advance(QuotaSimulation::StepTime);
      std::vector<std::size_t> Ready;
      for (std::size_t I = 0; I < m_Fleet.size(); ++I)
        if (m_Fleet.isReady(I))
          Ready.push_back(I);
      for (std::size_t I = 0; I < Accounts && !Ready.empty(); ++I)
        sendRequests(I, Ready);
    }
  }
  void join(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      m_Fleet.join();
  }
  void kill(std::size_t First, std::size_t End,
            core::Duration Down = std::chrono::hours(9)) {
    for (std::size_t I = First; I < End; ++I)
      m_Fleet.kill(I, Down);
  }

  /// Returns the share of the tokens requested in the last \p Time that were
  /// granted.
  double grantedShare(core::Duration Time) const {
    double Requested = 0;
    double Granted = 0;
    for (auto Each = m_Requests.rbegin(); Each != m_Requests.rend(); ++Each) {
      if (m_Fleet.now() - *Each > Time)
        break;
      Requested += RequestTokens;
    }
    for (std::size_t I = 0; I < Accounts; ++I)
      for (const tests::TokenGrant &Each : m_Fleet.grants(I))
        Granted += m_Fleet.now() - Each.m_At <= Time ? Each.m_Tokens : 0;
    return Granted / Requested;
  }
  /// Checks the granted share from RecoveryTime after the last change on.
  void checkRecovery(const std::string &Name) {
    run(RecoveryTime);
    double Meanwhile = grantedShare(RecoveryTime);
    run(seconds(15));
    double After = grantedShare(seconds(15));
    std::cerr << "\n"
              << Name << " instances=" << m_FirstCount
              << " served_first_30s=" << Meanwhile << " served_after=" << After;
    CPPUNIT_ASSERT_MESSAGE(Name, After >= AimedShare);
    checkQuota(Name);
  }
  void checkQuota(const std::string &Name) const {
    double Bound = Limit * core::toSeconds(Tolerance.m_Window) + Limit;
    for (std::size_t I = 0; I < Accounts; ++I)
      CPPUNIT_ASSERT_MESSAGE(
          Name, tests::maxInWindow(m_Fleet.grants(I), Tolerance.m_Window) <=
                    Bound + Tolerance.tokens({Limit, Limit}));
  }

private:
  static tests::QuotaSimulationSettings settings(std::size_t Size,
                                                 std::uint64_t Seed) {
    tests::QuotaSimulationSettings Out;
    Out.m_Size = Size;
    Out.m_Tolerance = Tolerance;
    Out.m_Seed = Seed;
    Out.m_HasWriter = true;
    for (std::size_t I = 0; I < Accounts; ++I) {
      routing::Account Added;
      Added.m_Name = core::AccountName("account-" + std::to_string(I));
      Added.m_TokensPerSecond = Limit;
      Added.m_Burst = Limit;
      Out.m_Accounts.push_back(Added);
    }
    return Out;
  }

  void sendRequests(std::size_t Account,
                    const std::vector<std::size_t> &Ready) {
    std::poisson_distribution<int> Count(
        Limit * Load / RequestTokens *
        core::toSeconds(QuotaSimulation::StepTime));
    std::uniform_int_distribution<std::size_t> Chosen(0, Ready.size() - 1);
    for (int Remaining = Count(m_Random); Remaining > 0; --Remaining) {
      m_Requests.push_back(m_Fleet.now());
      m_Fleet.request(Ready[Chosen(m_Random)], Account, RequestTokens);
    }
  }

  std::mt19937_64 m_Random;
  std::size_t m_FirstCount;
  QuotaSimulation m_Fleet;
  std::vector<core::TimePoint> m_Requests;
};

/// Stops all first instances in steps, each of which new ones follow.
void replaceInSteps(ReplacedFleet &Replaced, std::size_t StepSize,
                    core::Duration Gap, bool IsNewFirst) {
  for (std::size_t I = 0; I < Replaced.firstCount(); I += StepSize) {
    std::size_t End = std::min(I + StepSize, Replaced.firstCount());
    if (IsNewFirst)
      Replaced.join(End - I);
    for (std::size_t J = I; J < End; ++J)
      Replaced.fleet().stop(J);
    Replaced.run(Gap);
    if (!IsNewFirst)
      Replaced.join(End - I);
  }
}

} // namespace

class QuotaReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaReplacementTest);
  CPPUNIT_TEST(testReplacementAfterAnnouncedStops);
  CPPUNIT_TEST(testReplacementOfLargeFleets);
  CPPUNIT_TEST(testAllStopAtOnceAndOthersCome);
  CPPUNIT_TEST(testAllStopAndNoneOfThemRemembers);
  CPPUNIT_TEST(testMostStopAndNoneComes);
  CPPUNIT_TEST(testHalfIsLostWithoutAWord);
  CPPUNIT_TEST(testAllAreLostWithoutAWordAndOthersCome);
  CPPUNIT_TEST(testOldInstancesReturnAfterTheTakeover);
  CPPUNIT_TEST(testRollingRestartMovesNoOwner);
  CPPUNIT_TEST_SUITE_END();

public:
  void testReplacementAfterAnnouncedStops() {
    for (auto Gap : {milliseconds(500), milliseconds(2000), milliseconds(7000),
                     milliseconds(30000)})
      for (bool IsNewFirst : {false, true}) {
        ReplacedFleet Replaced(7);
        replaceInSteps(Replaced, 1, Gap, IsNewFirst);
        Replaced.checkRecovery("stops, gap_ms=" + std::to_string(Gap.count()));
      }
  }

  void testReplacementOfLargeFleets() {
    for (std::size_t Size : {78U, 300U}) {
      ReplacedFleet Replaced(Size);
      replaceInSteps(Replaced, Size / 10, seconds(6), false);
      Replaced.checkRecovery("stops");
    }
  }

  void testAllStopAtOnceAndOthersCome() {
    for (std::size_t Size : {7U, 78U}) {
      ReplacedFleet Replaced(Size);
      replaceInSteps(Replaced, Size, seconds(1), false);
      Replaced.checkRecovery("all stop at once");
    }
  }

  void testAllStopAndNoneOfThemRemembers() {
    ReplacedFleet Replaced(3);
    Replaced.fleet().stop(0);
    Replaced.fleet().stop(1);
    Replaced.run(seconds(7));
    Replaced.join(3);
    Replaced.run(seconds(3));
    Replaced.fleet().stop(2);
    Replaced.run(seconds(23));
    // Whoever has heard of the stops restarts.
    Replaced.kill(3, 6, milliseconds(900));
    Replaced.checkRecovery("stops, then all restart");
  }

  void testMostStopAndNoneComes() {
    ReplacedFleet Replaced(7);
    for (std::size_t I = 0; I < 6; ++I) {
      Replaced.fleet().stop(I);
      Replaced.run(milliseconds(1300));
    }
    Replaced.checkRecovery("six of seven stop");
  }

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

  void testOldInstancesReturnAfterTheTakeover() {
    ReplacedFleet Replaced(7);
    replaceInSteps(Replaced, 1, seconds(2), false);
    Replaced.run(seconds(60));
    for (std::size_t I = 0; I < 7; ++I)
      Replaced.fleet().restart(I);
    Replaced.checkRecovery("old ones return");
  }

  void testRollingRestartMovesNoOwner() {
    ReplacedFleet Replaced(7);
    for (std::size_t I = 0; I < 7; ++I) {
      Replaced.fleet().stop(I, milliseconds(900));
      Replaced.run(seconds(7));
    }
    Replaced.checkRecovery("rolling restart");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Replaced.fleet().ownerChanges());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaReplacementTest);
