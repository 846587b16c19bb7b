//===-- QuotaListChangeTest.cpp - Quotas while the list of owners changes -===//
//
// Guards against two holders of a share of a quota: an owner that goes on by an
// older list, and the one that a newer list has put in its place.
//
//===----------------------------------------------------------------------===//
#include "QuotaSimulation.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <numeric>
#include <random>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::QuotaSimulation;

namespace {

constexpr std::size_t Instances = 6;
constexpr std::size_t Accounts = 12;
constexpr double Limit = 300000; ///< Tokens a second, and burst in tokens.
constexpr double Load = 3;       ///< Multiple of the limit that is requested.
constexpr std::uint32_t RequestTokens = 6000;
constexpr int Seeds = 10;
const routing::QuotaTolerance Tolerance{0.1, 140000, seconds(8)};

/// Fleet in which callers request more than the limits of all accounts.
class LoadedFleet {
public:
  explicit LoadedFleet(std::uint64_t Seed)
      : m_Random(Seed), m_Fleet({Instances, accounts(), Tolerance, Seed}) {}

  QuotaSimulation &fleet() { return m_Fleet; }

  void run(core::Duration Time) {
    core::TimePoint End = m_Fleet.now() + Time;
    while (m_Fleet.now() < End) {
      m_Fleet.advance(QuotaSimulation::StepTime);
      for (std::size_t I = 0; I < Accounts; ++I)
        sendRequests(I);
    }
  }

  /// Returns the largest share of the tolerance that an account used.
  double usedTolerance() const {
    double Bound = Limit * core::toSeconds(Tolerance.m_Window) + Limit;
    double Max = 0;
    for (std::size_t I = 0; I < Accounts; ++I)
      Max = std::max(Max,
                     tests::maxInWindow(m_Fleet.grants(I), Tolerance.m_Window));
    return (Max - Bound) / Tolerance.tokens({Limit, Limit});
  }

  /// Returns the largest number of instances that granted shares of an account
  /// at the same time.
  std::size_t maxHolders() const {
    std::size_t Out = 0;
    for (std::size_t I = 0; I < Accounts; ++I)
      for (const tests::TokenGrant &Each : m_Fleet.grants(I))
        Out = std::max(Out, Each.m_HolderCount);
    return Out;
  }

  /// Whether an instance from \p First on has granted tokens as an owner.
  bool hasGranted(std::size_t First) const {
    for (std::size_t I = 0; I < Accounts; ++I)
      for (const tests::TokenGrant &Each : m_Fleet.grants(I))
        if (Each.m_Owner >= First)
          return true;
    return false;
  }

  /// Returns the tokens granted within the last \p Time, as a share of the
  /// limits of all accounts.
  double grantedShare(core::Duration Time) const {
    double Tokens = 0;
    for (std::size_t I = 0; I < Accounts; ++I)
      for (const tests::TokenGrant &Each : m_Fleet.grants(I))
        Tokens += m_Fleet.now() - Each.m_At <= Time ? Each.m_Tokens : 0;
    return Tokens / (Limit * core::toSeconds(Time) * Accounts);
  }

private:
  static std::vector<routing::Account> accounts() {
    std::vector<routing::Account> Out(Accounts);
    for (std::size_t I = 0; I < Accounts; ++I) {
      Out[I].m_Name = core::AccountName("account-" + std::to_string(I));
      Out[I].m_TokensPerSecond = Limit;
      Out[I].m_Burst = Limit;
    }
    return Out;
  }

  void sendRequests(std::size_t Account) {
    std::poisson_distribution<int> Count(
        Limit * Load / RequestTokens *
        core::toSeconds(QuotaSimulation::StepTime));
    std::uniform_int_distribution<std::size_t> Instance(0, m_Fleet.size() - 1);
    for (int Remaining = Count(m_Random); Remaining > 0; --Remaining)
      m_Fleet.request(Instance(m_Random), Account, RequestTokens);
  }

  std::mt19937_64 m_Random;
  QuotaSimulation m_Fleet;
};

std::vector<std::size_t> firstInstances(std::size_t Count) {
  std::vector<std::size_t> Out(Count);
  std::iota(Out.begin(), Out.end(), 0);
  return Out;
}

} // namespace

class QuotaListChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaListChangeTest);
  CPPUNIT_TEST(testAdditionsWhileMostAreSplitOff);
  CPPUNIT_TEST(testAddedInstancesOwnInTheEnd);
  CPPUNIT_TEST(testRemovedInstancesAreReplaced);
  CPPUNIT_TEST(testRandomChangesAndFaults);
  CPPUNIT_TEST_SUITE_END();

  /// Splits most instances off from the others and from the store, and adds
  /// three \p Delay later, or before if it is negative.
  static void check(core::Duration Delay) {
    for (int Seed = 1; Seed <= Seeds; ++Seed) {
      LoadedFleet Fleet(static_cast<std::uint64_t>(Seed));
      Fleet.run(seconds(6));
      auto Split = [&Fleet] {
        Fleet.fleet().split(firstInstances(4), seconds(9));
      };
      auto Add = [&Fleet] {
        for (int I = 0; I < 3; ++I)
          Fleet.fleet().add();
      };
      Delay < Delay.zero() ? Add() : Split();
      Fleet.run(std::max(Delay, -Delay));
      Delay < Delay.zero() ? Split() : Add();
      Fleet.run(seconds(14));
      std::cerr << "\ndelay=" << core::toSeconds(Delay) << " seed=" << Seed
                << " used_tolerance=" << Fleet.usedTolerance()
                << " max_holders=" << Fleet.maxHolders();
      CPPUNIT_ASSERT(Fleet.usedTolerance() <= 1);
      CPPUNIT_ASSERT(Fleet.maxHolders() <=
                     routing::ConsistentHashRing::MaxOwners);
    }
  }

  static void injectFault(QuotaSimulation &Fleet, std::mt19937_64 &Random) {
    std::uniform_int_distribution<std::size_t> Instance(0, Fleet.size() - 1);
    milliseconds Time(std::uniform_int_distribution<int>(3000, 30000)(Random));
    switch (std::uniform_int_distribution<int>(0, 6)(Random)) {
    case 0:
    case 1: {
      std::vector<std::size_t> Affected;
      for (std::size_t I = 0; I < Fleet.size(); ++I)
        if (std::bernoulli_distribution(0.5)(Random))
          Affected.push_back(I);
      return Fleet.split(Affected, Time);
    }
    case 2:
      return Fleet.cut(Instance(Random), Time);
    case 3:
      return Fleet.kill(Instance(Random), milliseconds(800));
    case 4:
      return Fleet.loseStore(Time);
    case 5:
      return Fleet.remove(Instance(Random));
    default:
      if (Fleet.size() < Instances + 4)
        Fleet.add();
    }
  }

public:
  void testAdditionsWhileMostAreSplitOff() {
    check(milliseconds(500));
    check(core::Duration::zero());
    check(milliseconds(-100));
  }

  void testAddedInstancesOwnInTheEnd() {
    LoadedFleet Fleet(1);
    Fleet.run(seconds(6));
    for (int I = 0; I < 3; ++I)
      Fleet.fleet().add();
    Fleet.run(seconds(30));
    CPPUNIT_ASSERT(Fleet.hasGranted(Instances));
    CPPUNIT_ASSERT(Fleet.usedTolerance() <= 1);
  }

  void testRemovedInstancesAreReplaced() {
    LoadedFleet Fleet(1);
    Fleet.run(seconds(6));
    Fleet.fleet().kill(0, std::chrono::hours(1));
    Fleet.run(seconds(22));
    Fleet.fleet().remove(0);
    Fleet.run(seconds(30));
    CPPUNIT_ASSERT(Fleet.grantedShare(seconds(8)) > 0.95);
    CPPUNIT_ASSERT(Fleet.usedTolerance() <= 1);
  }

  /// Long enough for owners to change several times, between and during splits,
  /// cuts, kills and outages of the store.
  void testRandomChangesAndFaults() {
    double MaxUsed = 0;
    for (std::uint64_t Seed = 1; Seed <= 25; ++Seed) {
      std::mt19937_64 Random(Seed);
      LoadedFleet Fleet(Seed);
      Fleet.run(seconds(6));
      for (int Fault = 0; Fault < 14; ++Fault) {
        injectFault(Fleet.fleet(), Random);
        Fleet.run(milliseconds(
            std::uniform_int_distribution<int>(200, 9000)(Random)));
      }
      MaxUsed = std::max(MaxUsed, Fleet.usedTolerance());
      CPPUNIT_ASSERT_MESSAGE(std::to_string(Seed), Fleet.usedTolerance() <= 1);
    }
    std::cerr << "\nmost_of_tolerance=" << MaxUsed;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaListChangeTest);
