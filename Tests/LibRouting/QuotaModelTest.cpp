//===-- QuotaModelTest.cpp - Quotas of a fleet under random faults --------===//
//
// Guards against fleets that grant more than a quota and its tolerance in any
// window, and against refusals of accounts that stay below their limit.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/ConsistentHashRing.h"
#include "LibRouting/TokenBucket.h"
#include "QuotaSimulation.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double Rate = 47000;  ///< Tokens a second for each account.
constexpr double Burst = 47000; ///< Tokens.
constexpr seconds Window{8};
/// Bound with the platform's tolerance of 10% and 190,000 tokens.
constexpr double BoundOfWindow = (Rate * Window.count() + Burst) * 1.1 + 190000;
constexpr double LargestRequest = 50000; ///< Tokens.
constexpr std::size_t Accounts = 30;
/// Account 0 requests half of its limit, the last account four times its limit,
/// and all others a tenth.
constexpr std::size_t Modest = 0;
constexpr std::size_t Hot = Accounts - 1;
constexpr double HotLoad = 4;
constexpr double ModestLoad = 0.5;
constexpr double OtherLoad = 0.1;
constexpr milliseconds SimulatedTime{24000};
constexpr milliseconds CutTime{5500};
/// Tolerance of the platform in tokens per window.
constexpr double Tolerance = BoundOfWindow - (Rate * Window.count() + Burst);

enum class Faults {
  None,
  KillsOfAll,
  KillsInTurn,
  Cuts,
  Mixed,
  OneCut,
  OutageAndLoss ///< The store is lost, and then an instance, for good.
};

class FaultSimulation {
public:
  FaultSimulation(std::size_t Size, Faults Kind, std::uint64_t Seed)
      : m_Faults(Kind), m_Random(Seed), m_Size(Size),
        m_Fleet({Size, accounts(), {0.1, 190000, Window}, Seed}) {}

  void run() {
    core::TimePoint End = m_Fleet.now() + SimulatedTime;
    core::TimePoint NextFault = m_Fleet.now() + seconds(9);
    while (m_Fleet.now() < End) {
      m_Fleet.advance(tests::QuotaSimulation::StepTime);
      demand(Hot, HotLoad);
      demand(Modest, ModestLoad);
      for (std::size_t Other = Modest + 1; Other < Hot; ++Other)
        demand(Other, OtherLoad);
      if (m_Fleet.now() < NextFault)
        continue;
      NextFault = m_Fleet.now() + injectFault();
    }
  }

  /// Returns the tokens granted in the fullest window.
  double maxInWindow(std::size_t Account) const {
    return tests::maxInWindow(m_Fleet.grants(Account), Window);
  }
  /// Returns the share of the account's requests that were refused at instances
  /// that were cut off, or at all others.
  double refusedShare(std::size_t Account, bool IsCutOff) const {
    auto Refused = static_cast<double>(m_Fleet.refused(Account, IsCutOff));
    const auto &Allowed = m_Fleet.grants(Account);
    auto All = Refused + static_cast<double>(std::count_if(
                             Allowed.begin(), Allowed.end(),
                             [IsCutOff](const tests::TokenGrant &Each) {
                               return Each.m_IsCutOff == IsCutOff;
                             }));
    return All > 0 ? Refused / All : 0;
  }

  /// Returns the tokens that isolated instances granted to the account.
  double isolatedTokens(std::size_t Account) const {
    double Out = 0;
    for (const tests::TokenGrant &Each : m_Fleet.grants(Account))
      Out += Each.m_IsIsolated ? Each.m_Tokens : 0;
    return Out;
  }
  double cutOffCount() const { return m_CutOffCount; }

  /// Returns the share of the modest account's requests that a single bucket
  /// for the whole fleet refuses.
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
    // Log-normal request sizes: 3,000 tokens on average, some ten times as
    // many.
    static constexpr double Mean = 3000;
    static constexpr double Spread = 1;
    std::lognormal_distribution<double> Tokens(
        std::log(Mean) - Spread * Spread / 2, Spread);
    std::poisson_distribution<int> Count(
        Rate * Load / Mean * core::toSeconds(tests::QuotaSimulation::StepTime));
    std::uniform_int_distribution<std::size_t> Instance(0, m_Size - 1);
    for (int Left = Count(m_Random); Left > 0; --Left) {
      double Size = std::min(LargestRequest, Tokens(m_Random));
      m_Fleet.request(Instance(m_Random), Account,
                      static_cast<std::uint32_t>(Size));
      if (Account != Modest)
        continue;
      ++m_ReferenceRequests;
      m_ReferenceRefused +=
          m_ReferenceBucket.tryTake(Size, m_Fleet.now()) ? 0 : 1;
    }
  }

  /// Injects the next fault. \returns the time until the one after it.
  core::Duration injectFault() {
    Faults Kind = m_Faults;
    if (Kind == Faults::Mixed) {
      std::uniform_int_distribution<int> Draw(1, 3);
      Kind = static_cast<Faults>(Draw(m_Random));
    }
    std::bernoulli_distribution IsCut(0.17);
    switch (Kind) {
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
      return Kind == Faults::Cuts ? seconds(7) : SimulatedTime;
    case Faults::OutageAndLoss:
      m_Fleet.loseStore(SimulatedTime);
      m_Fleet.kill(0, SimulatedTime);
      return SimulatedTime;
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
  tests::QuotaSimulation m_Fleet;
  routing::TokenBucket m_ReferenceBucket{{Rate, Burst}, Burst, m_Fleet.now()};
  double m_CutOffCount = 0; ///< Number of times an instance was cut off.
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
  CPPUNIT_TEST(testStoreIsLostWithAnInstance);
  CPPUNIT_TEST_SUITE_END();

  /// Simulates fleets of several sizes with several seeds.
  /// \param Bound maximum tokens in any window.
  /// \param MaxRefused maximum average share of refused requests below the
  /// limit at connected instances, in excess of what a single bucket refuses.
  static void check(Faults Kind, double Bound, double MaxRefused) {
    constexpr int Seeds = 8;
    for (std::size_t Size : {8, 48, 89, 295}) {
      double MaxTokens = 0;
      double Refused = 0;
      double ReferenceRefused = 0;
      double RefusedCutOff = 0;
      for (int Seed = 1; Seed <= Seeds; ++Seed) {
        FaultSimulation Simulation(Size, Kind,
                                   Size + static_cast<std::size_t>(Seed));
        Simulation.run();
        MaxTokens = std::max(MaxTokens, Simulation.maxInWindow(Hot));
        Refused += Simulation.refusedShare(Modest, false) / Seeds;
        RefusedCutOff += Simulation.refusedShare(Modest, true) / Seeds;
        ReferenceRefused += Simulation.referenceRefusedShare() / Seeds;
      }
      std::cerr << "\ninstances=" << Size
                << " most_in_window=" << MaxTokens / Bound
                << " of_bound refused_below_limit=" << Refused
                << " by_one_bucket=" << ReferenceRefused
                << " refused_where_cut_off=" << RefusedCutOff;
      CPPUNIT_ASSERT(MaxTokens <= Bound);
      CPPUNIT_ASSERT(Refused <= ReferenceRefused + MaxRefused);
    }
  }

public:
  // Compared with a single bucket, because some requests are as large as its
  // burst and are refused there too.
  void testNoFaults() {
    double Owners = routing::ConsistentHashRing::MaxOwners;
    double Bound =
        Rate * Window.count() + Burst + Owners * LargestRequest + Burst / 8;
    CPPUNIT_ASSERT(Bound < BoundOfWindow);
    check(Faults::None, Bound, 0.002);
  }
  // After faults a few requests may be refused, because a restarted owner must
  // not assume that it granted nothing before.
  void testAllAreKilledTogether() {
    check(Faults::KillsOfAll, BoundOfWindow, 0.05);
  }
  void testKilledInTurn() { check(Faults::KillsInTurn, BoundOfWindow, 0.05); }
  void testSomeAreCutOff() { check(Faults::Cuts, BoundOfWindow, 0.05); }
  // Isolated instances refuse most requests, because the tolerance covers only
  // 77 of them for a fleet of up to 440 instances. On average they must grant
  // their share of it: a quarter at once, and another quarter per window.
  void testCutOffInstancesUseTheTolerance() {
    constexpr int Seeds = 40;
    constexpr std::size_t Size = 48;
    double BurstsGranted = 1 + core::toSeconds(CutTime) / Window.count();
    double Share = Tolerance / 4 * BurstsGranted / static_cast<double>(Size);
    double Tokens = 0;
    double Times = 0;
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      FaultSimulation Simulation(Size, Faults::OneCut,
                                 Size + static_cast<std::size_t>(Seed));
      Simulation.run();
      Tokens += Simulation.isolatedTokens(Hot);
      Times += Simulation.cutOffCount();
    }
    // Requests are admitted at random; the mean of their squared sizes is 8,150
    // times their mean size.
    double Deviation = std::sqrt(8150 / (Share * Times));
    std::cerr << "\nof_part=" << Tokens / (Share * Times)
              << " deviation=" << Deviation;
    CPPUNIT_ASSERT(Tokens >= Share * Times * (1 - 4 * Deviation));
    CPPUNIT_ASSERT(Tokens <= Share * Times * (1 + 4 * Deviation));
  }
  void testMixedFaults() { check(Faults::Mixed, BoundOfWindow, 0.05); }
  // Owners must go on, because nobody replaces them during an outage.
  void testStoreIsLostWithAnInstance() {
    check(Faults::OutageAndLoss, BoundOfWindow, 0.05);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaModelTest);
