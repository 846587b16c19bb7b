//===-- DividedQuotaTest.cpp - Quotas of lost owners and successors -------===//
//
// Guards against lost owners that go on without the store and successors that
// together grant more than a quota and its tolerance.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/QuotaOwner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const QuotaTolerance Tolerance{0.1, 190000, seconds(8)};

std::vector<config::Endpoint> addresses(std::size_t First, std::size_t Count) {
  std::vector<config::Endpoint> Out;
  for (std::size_t I = First; I < First + Count; ++I)
    Out.push_back({"10.1.0." + std::to_string(10 + I), 7600});
  return Out;
}

/// Three owners that have lost the store, and the three that took over.
class DividedOwners {
public:
  explicit DividedOwners(double Limit) {
    Account Added;
    Added.m_Name = core::AccountName("account");
    Added.m_TokensPerSecond = Limit;
    Added.m_Burst = Limit;
    m_Account = hashOf(Added.m_Name);
    ConsistentHashRing Lost(addresses(0, 3));
    ConsistentHashRing Next(addresses(3, 3));
    for (const config::Endpoint &Each : addresses(0, 3))
      add(Each, Added, Lost);
    for (const config::Endpoint &Each : addresses(3, 3))
      add(Each, Added, {Lost, Next, Next});
    for (std::size_t I = 0; I < 3; ++I)
      m_Owners[I].setLease(false, m_Now);
    // All buckets fill.
    m_Now += seconds(60);
  }

  /// Requests more than the limit from all owners for one window.
  /// \returns the granted tokens.
  double overload(std::uint32_t MaxTokens, std::mt19937_64 &Random) {
    std::uniform_int_distribution<std::uint32_t> Size(1, MaxTokens);
    double Granted = 0;
    for (auto End = m_Now + Tolerance.m_Window; m_Now < End;
         m_Now += milliseconds(10))
      for (QuotaOwner &Each : m_Owners) {
        Granted +=
            Each.handleRequest({m_Account, Size(Random), 0}, m_Now).m_Tokens;
        settleCharges(Each);
      }
    return Granted;
  }

private:
  void add(const config::Endpoint &Self, const Account &Added,
           const QuotaRings &Rings) {
    m_Owners.emplace_back(Self, true, Tolerance);
    m_Owners.back().configure({Added}, Rings, m_Now);
  }
  /// Owners of one group take debts over from each other.
  void settleCharges(QuotaOwner &From) {
    auto Index = static_cast<std::size_t>(&From - m_Owners.data());
    for (const QuotaCharge &Each : From.takeCharges())
      for (std::size_t I = Index / 3 * 3; I < Index / 3 * 3 + 3; ++I)
        if (addresses(I, 1).front() == Each.m_Owner &&
            m_Owners[I].charge(m_Account, Each.m_Tokens, m_Now))
          From.settleCharge(m_Account, Each.m_Tokens, m_Now);
  }

  core::TimePoint m_Now{std::chrono::hours(1)};
  AccountHash m_Account = 0;
  std::vector<QuotaOwner> m_Owners;
};

} // namespace

class DividedQuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DividedQuotaTest);
  CPPUNIT_TEST(testBothGroupsKeepToTheTolerance);
  CPPUNIT_TEST(testPartsWithoutTolerance);
  CPPUNIT_TEST(testLostSuccessorGrantsNothing);
  CPPUNIT_TEST(testLargeRequestWaitsForAFullBucket);
  CPPUNIT_TEST_SUITE_END();

public:
  void testBothGroupsKeepToTheTolerance() {
    std::mt19937_64 Random(1);
    for (double Limit : {20000.0, 77000.0, 300000.0, 1500000.0})
      for (std::uint32_t MaxTokens : {3000U, 20000U, 50000U}) {
        double Granted = DividedOwners(Limit).overload(MaxTokens, Random);
        double Bound = Limit * 8 + Limit;
        double Used =
            (Granted - Bound) / Tolerance.tokens(QuotaLimits{Limit, Limit});
        std::cerr << "\nlimit=" << Limit << " max_tokens=" << MaxTokens
                  << " used_tolerance=" << Used;
        CPPUNIT_ASSERT(Used <= 1);
      }
  }

  void testPartsWithoutTolerance() {
    QuotaLimits Limits{1000, 1000};
    QuotaLimits Part = QuotaTolerance().dividedLimits(Limits);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        1000 * 8 + 1000, 2 * (Part.m_TokensPerSecond * 8 + Part.m_Burst), 1e-6);
  }

  void testLostSuccessorGrantsNothing() {
    Account Added;
    Added.m_Name = core::AccountName("account");
    Added.m_TokensPerSecond = Added.m_Burst = 1000;
    ConsistentHashRing Next(addresses(3, 3));
    QuotaOwner Owner(addresses(3, 1).front(), true, Tolerance);
    core::TimePoint Now{std::chrono::hours(1)};
    Owner.configure({Added}, {ConsistentHashRing(addresses(0, 3)), Next, Next},
                    Now);
    Now += seconds(10);
    AccountHash Hash = hashOf(Added.m_Name);
    CPPUNIT_ASSERT(Owner.handleRequest({Hash, 1, 0}, Now).m_Verdict ==
                   QuotaVerdict::Granted);
    Owner.setEvidence(OwnershipEvidence::Witnesses);
    Owner.setLease(false, Now);
    CPPUNIT_ASSERT(Owner.handleRequest({Hash, 1, 0}, Now).m_Verdict ==
                   QuotaVerdict::NotOwner);
  }

  void testLargeRequestWaitsForAFullBucket() {
    Account Added;
    Added.m_Name = core::AccountName("account");
    Added.m_TokensPerSecond = Added.m_Burst = 10;
    QuotaOwner Owner(addresses(0, 1).front(), true);
    core::TimePoint Now{std::chrono::hours(1)};
    Owner.configure({Added}, ConsistentHashRing(addresses(0, 1)), Now);
    Owner.setLease(false, Now);
    AccountHash Hash = hashOf(Added.m_Name);
    CPPUNIT_ASSERT(Owner.handleRequest({Hash, 1, 0}, Now).m_Verdict ==
                   QuotaVerdict::Granted);
    QuotaResponse Refusal = Owner.handleRequest({Hash, 50, 0}, Now);
    CPPUNIT_ASSERT(Refusal.m_Verdict == QuotaVerdict::Refused);
    CPPUNIT_ASSERT(Refusal.m_RetryAfter > core::Duration::zero());
    Now += Refusal.m_RetryAfter + milliseconds(1);
    CPPUNIT_ASSERT(Owner.handleRequest({Hash, 50, 0}, Now).m_Verdict ==
                   QuotaVerdict::Granted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DividedQuotaTest);
