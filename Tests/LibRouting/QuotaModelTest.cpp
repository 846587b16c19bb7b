//===-- QuotaModelTest.cpp - Quotas of a whole fleet under random faults --===//
//
// Every window of an account's quota, summed over all instances, stays within
// its bound; and an account that asks for less than its limit is served.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/ConsistentHashRing.h"
#include "LibRouting/TokenBucket.h"
#include "QuotaFleet.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Rate = 47000;  ///< Tokens a second, of each account.
constexpr double Burst = 47000; ///< Tokens.
constexpr seconds Window{8};
/// What the users' platform allows above the bound: a tenth, and 190,000.
constexpr double BoundOfWindow = (Rate * Window.count() + Burst) * 1.1 + 190000;
constexpr double LargestRequest = 50000; ///< Tokens.
constexpr std::size_t Accounts = 30;
/// Asks for four times its limit, the first one for half of its own, and all
/// others for a tenth of theirs.
constexpr std::size_t Modest = 0;
constexpr std::size_t Hot = Accounts - 1;
constexpr double HotLoad = 4;
constexpr double ModestLoad = 0.5;
constexpr double OtherLoad = 0.1;
constexpr milliseconds Length{24000};
constexpr milliseconds CutTime{5500};
/// What the users' platform allows above the bound.
constexpr double Tolerance = BoundOfWindow - (Rate * Window.count() + Burst);

enum class Faults { None, KillsOfAll, KillsInTurn, Cuts, Mixed, OneCut };

class FaultSimulation {
public:
  FaultSimulation(std::size_t Size, Faults What, std::uint64_t Seed)
      : m_Faults(What), m_Random(Seed), m_Size(Size),
        m_Fleet({Size, accounts(), {0.1, 190000, Window}, Seed}) {}

  void run() {
    core::TimePoint End = m_Fleet.now() + Length;
    core::TimePoint NextFault = m_Fleet.now() + seconds(9);
    while (m_Fleet.now() < End) {
      m_Fleet.advance(tests::QuotaFleet::StepTime);
      demand(Hot, HotLoad);
      demand(Modest, ModestLoad);
      for (std::size_t Other = Modest + 1; Other < Hot; ++Other)
        demand(Other, OtherLoad);
      if (m_Fleet.now() < NextFault)
        continue;
      NextFault = m_Fleet.now() + injectFault();
    }
  }

  /// The most tokens of any window.
  double mostInWindow(std::size_t Account) const {
    return tests::mostInWindow(m_Fleet.allowed(Account), Window);
  }
  /// Part of the account's requests that were refused, at instances that were
  /// cut off or at all others.
  double refusedShare(std::size_t Account, bool IsCutOff) const {
    auto Refused = static_cast<double>(m_Fleet.refused(Account, IsCutOff));
    const auto &Allowed = m_Fleet.allowed(Account);
    auto All = Refused + static_cast<double>(std::count_if(
                             Allowed.begin(), Allowed.end(),
                             [IsCutOff](const tests::AllowedDraw &Each) {
                               return Each.m_IsCutOff == IsCutOff;
                             }));
    return All > 0 ? Refused / All : 0;
  }

  /// Tokens that an account was let in for without an owner.
  double isolatedTokens(std::size_t Account) const {
    double Out = 0;
    for (const tests::AllowedDraw &Each : m_Fleet.allowed(Account))
      Out += Each.m_IsAlone ? Each.m_Tokens : 0;
    return Out;
  }
  double cutOffCount() const { return m_CutOffCount; }

  /// Of the modest account, by one bucket that all draw on.
  double referenceRefusedShare() const {
    return m_ReferenceRefused / m_ReferenceRequests;
  }

private:
  static std::vector<routing::Account> accounts() {
    std::vector<routing::Account> Out(Accounts);
    for (std::size_t I = 0; I < Accounts; ++I) {
      Out[I].m_Name = core::AccountName("account-" + std::to_string(I));
      Out[I].m_TokensPerSecond = Rate;
      Out[I].m_Burst = Burst;
    }
    return Out;
  }

  void demand(std::size_t Account, double Load) {
    // Prompts are long and unlike: 3,000 tokens in the mean, some ten times
    // that.
    static constexpr double Mean = 3000;
    static constexpr double Spread = 1;
    std::lognormal_distribution<double> Tokens(
        std::log(Mean) - Spread * Spread / 2, Spread);
    std::poisson_distribution<int> Count(
        Rate * Load / Mean * core::toSeconds(tests::QuotaFleet::StepTime));
    std::uniform_int_distribution<std::size_t> Where(0, m_Size - 1);
    for (int Left = Count(m_Random); Left > 0; --Left) {
      double Size = std::min(LargestRequest, Tokens(m_Random));
      m_Fleet.request(Where(m_Random), Account,
                      static_cast<std::uint32_t>(Size));
      if (Account != Modest)
        continue;
      ++m_ReferenceRequests;
      m_ReferenceRefused +=
          m_ReferenceBucket.tryTake(Size, m_Fleet.now()) ? 0 : 1;
    }
  }

  /// \returns the time until the next fault.
  core::Duration injectFault() {
    Faults What = m_Faults;
    if (What == Faults::Mixed) {
      std::uniform_int_distribution<int> Draw(1, 3);
      What = static_cast<Faults>(Draw(m_Random));
    }
    std::bernoulli_distribution IsCut(0.17);
    switch (What) {
    case Faults::KillsOfAll:
      for (std::size_t I = 0; I < m_Size; ++I)
        m_Fleet.kill(I, milliseconds(800));
      return seconds(4);
    case Faults::KillsInTurn:
      m_Fleet.kill(m_Next++ % m_Size, milliseconds(600));
      return milliseconds(400);
    case Faults::Cuts:
    case Faults::OneCut:
      for (std::size_t I = 0; I < m_Size; ++I)
        if (IsCut(m_Random)) {
          m_Fleet.cut(I, CutTime);
          ++m_CutOffCount;
        }
      return What == Faults::Cuts ? seconds(7) : Length;
    case Faults::None:
    case Faults::Mixed:
      break;
    }
    return seconds(1);
  }

  Faults m_Faults;
  std::mt19937_64 m_Random;
  std::size_t m_Size;
  std::size_t m_Next = 0;
  tests::QuotaFleet m_Fleet;
  routing::TokenBucket m_ReferenceBucket{{Rate, Burst}, Burst, m_Fleet.now()};
  double m_CutOffCount = 0; ///< Times that an instance was.
  double m_ReferenceRequests = 0;
  double m_ReferenceRefused = 0;
};

} // namespace

class QuotaModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaModelTest);
  CPPUNIT_TEST(testNoFaults);
  CPPUNIT_TEST(testAllAreKilledTogether);
  CPPUNIT_TEST(testKilledInTurn);
  CPPUNIT_TEST(testSomeAreCutOff);
  CPPUNIT_TEST(testCutOffInstancesUseTheTolerance);
  CPPUNIT_TEST(testMixedFaults);
  CPPUNIT_TEST_SUITE_END();

  /// Plays each size with several seeds. \param Bound of every window.
  /// \param MostRefused of the requests below the limit, in the mean, beyond
  /// what one bucket refuses, at instances that are not cut off.
  static void check(Faults What, double Bound, double MostRefused) {
    constexpr int Seeds = 8;
    for (std::size_t Size : {8, 48, 89, 295}) {
      double Most = 0;
      double Refused = 0;
      double ReferenceRefused = 0;
      double RefusedCutOff = 0;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        FaultSimulation Simulation(Size, What,
                                   Size + static_cast<std::size_t>(Seed));
        Simulation.run();
        Most = std::max(Most, Simulation.mostInWindow(Hot));
        Refused += Simulation.refusedShare(Modest, false) / Seeds;
        RefusedCutOff += Simulation.refusedShare(Modest, true) / Seeds;
        ReferenceRefused += Simulation.referenceRefusedShare() / Seeds;
      }
      std::cerr << "\ninstances=" << Size << " most_in_window=" << Most / Bound
                << " of_bound refused_below_limit=" << Refused
                << " by_one_bucket=" << ReferenceRefused
                << " refused_where_cut_off=" << RefusedCutOff;
      CPPUNIT_ASSERT(Most <= Bound);
      CPPUNIT_ASSERT(Refused <= ReferenceRefused + MostRefused);
    }
  }

public:
  // Beside what one bucket that knows everything refuses of the same requests:
  // some are as large as its burst.
  void testNoFaults() {
    double Owners = routing::ConsistentHashRing::MaxOwners;
    double Bound =
        Rate * Window.count() + Burst + Owners * LargestRequest + Burst / 8;
    CPPUNIT_ASSERT(Bound < BoundOfWindow);
    check(Faults::None, Bound, 0.002);
  }
  // After faults, a few may be refused: whoever lost all memory must not assume
  // that nothing was drawn.
  void testAllAreKilledTogether() {
    check(Faults::KillsOfAll, BoundOfWindow, 0.05);
  }
  void testKilledInTurn() { check(Faults::KillsInTurn, BoundOfWindow, 0.05); }
  void testSomeAreCutOff() { check(Faults::Cuts, BoundOfWindow, 0.05); }
  // At instances that are cut off themselves most are refused, as many as the
  // tolerance demands: it holds 77 requests, and 440 instances that each let
  // one in would exceed it. They let in what is theirs of it, no less and no
  // more: at once a quarter, and again within a window.
  void testCutOffInstancesUseTheTolerance() {
    constexpr int Seeds = 40;
    constexpr std::size_t Size = 48;
    double OnceAndAgain = 1 + core::toSeconds(CutTime) / Window.count();
    double Part = Tolerance / 4 * OnceAndAgain / static_cast<double>(Size);
    double Tokens = 0;
    double Times = 0;
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      FaultSimulation Simulation(Size, Faults::OneCut,
                                 Size + static_cast<std::size_t>(Seed));
      Simulation.run();
      Tokens += Simulation.isolatedTokens(Hot);
      Times += Simulation.cutOffCount();
    }
    // Requests come in by chance; the mean of their squares is 8,150 times
    // their mean.
    double Deviation = std::sqrt(8150 / (Part * Times));
    std::cerr << "\nof_part=" << Tokens / (Part * Times)
              << " deviation=" << Deviation;
    CPPUNIT_ASSERT(Tokens >= Part * Times * (1 - 4 * Deviation));
    CPPUNIT_ASSERT(Tokens <= Part * Times * (1 + 4 * Deviation));
  }
  void testMixedFaults() { check(Faults::Mixed, BoundOfWindow, 0.05); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaModelTest);
