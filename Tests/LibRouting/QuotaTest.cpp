//===-- QuotaTest.cpp - Token buckets, owners and quota acquisition -------===//
#include "LibRouting/DistributedQuota.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class QuotaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(testBucketBoundsEveryWindow);
  CPPUNIT_TEST(testRetryAfterGrowsWithRefusals);
  CPPUNIT_TEST(testRingIsIndependentOfMemberOrder);
  CPPUNIT_TEST(testOneMoreInstanceMovesFewAccounts);
  CPPUNIT_TEST(testOwnersTogetherGrantTheLimit);
  CPPUNIT_TEST(testRestartedOwnersStartWithNothing);
  CPPUNIT_TEST(testNewOwnerStartsWithNothing);
  CPPUNIT_TEST(testUnconfirmedListOwnsNothing);
  CPPUNIT_TEST(testPendingChangeTakesShareWithoutStore);
  CPPUNIT_TEST(testWitnessesFollowOnTheRing);
  CPPUNIT_TEST(testDebtIsSharedByTheOwners);
  CPPUNIT_TEST(testLowerLimitBindsAtOnce);
  CPPUNIT_TEST(testUnusedTokensAreGivenBackOnce);
  CPPUNIT_TEST(testAdvanceIsBounded);
  CPPUNIT_TEST(testRefusedOnlyWhenAllOwnersRefuse);
  CPPUNIT_TEST(testUnresponsiveOwnerIsSkipped);
  CPPUNIT_TEST(testIsolatedInstanceUsesTolerance);
  CPPUNIT_TEST(testRestartedIsolatedInstancesKeepTolerance);
  CPPUNIT_TEST(testNothingIsGrantedWithoutMembers);
  CPPUNIT_TEST(testAccountWithoutLimitAsksNoOwner);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  const AccountHash m_Account = hashOf(core::AccountName("account"));

  static std::vector<Account> accounts(double Rate, double Burst) {
    Account Limited;
    Limited.m_Name = core::AccountName("account");
    Limited.m_TokensPerSecond = Rate;
    Limited.m_Burst = Burst;
    return {Limited};
  }
  static std::vector<config::Endpoint> members(std::size_t Count) {
    std::vector<config::Endpoint> Out;
    for (std::size_t I = 0; I < Count; ++I)
      Out.push_back({"10.1.0." + std::to_string(10 + I), 7600});
    return Out;
  }
  /// Returns an owner of the account in a fleet of \p Count instances.
  config::Endpoint owner(std::size_t Count) const {
    return ConsistentHashRing(members(Count)).ownersOf(m_Account).front();
  }
  /// Returns an instance that does not own the account.
  config::Endpoint nonOwner(std::size_t Count) const {
    auto Owners = ConsistentHashRing(members(Count)).ownersOf(m_Account);
    for (const config::Endpoint &Each : members(Count))
      if (std::find(Owners.begin(), Owners.end(), Each) == Owners.end())
        return Each;
    return {};
  }
  DistributedQuota quotaOf(const config::Endpoint &Self, std::size_t Count,
                           double Rate = 1000, double Burst = 1000) const {
    DistributedQuota Quota(Self, QuotaTolerance(), false, 7);
    Quota.setRing(ConsistentHashRing(members(Count)), m_Now);
    Quota.setAccounts(accounts(Rate, Burst), m_Now);
    return Quota;
  }
  QuotaAcquisition acquisition(std::uint32_t Tokens) const {
    QuotaAcquisition Out;
    Out.m_Account = m_Account;
    Out.m_Tokens = Tokens;
    return Out;
  }
  static QuotaResponse granted(std::uint32_t Tokens) {
    return {QuotaVerdict::Granted, Tokens, {}};
  }

public:
  void testBucketBoundsEveryWindow() {
    TokenBucket Bucket({1000, 500}, 500, m_Now);
    double Taken = 0;
    for (int I = 0; I < 800; ++I) {
      m_Now += milliseconds(10);
      while (Bucket.tryTake(50, m_Now))
        Taken += 50;
    }
    // 8 s x 1000 + 500, and one request that left a debt.
    CPPUNIT_ASSERT(Taken <= 8550);
    CPPUNIT_ASSERT(Taken >= 8400);
    // Without recent refusals, only the debt delays the next request.
    m_Now += seconds(20);
    CPPUNIT_ASSERT(Bucket.tryTake(550, m_Now));
    CPPUNIT_ASSERT(Bucket.untilAvailable() <= milliseconds(51));
    CPPUNIT_ASSERT(Bucket.untilAvailable() >= milliseconds(50));
  }

  void testRetryAfterGrowsWithRefusals() {
    TokenBucket Bucket({1000, 500}, 500, m_Now);
    CPPUNIT_ASSERT(Bucket.tryTake(500, m_Now));
    CPPUNIT_ASSERT(!Bucket.tryTake(200, m_Now));
    CPPUNIT_ASSERT(Bucket.untilAvailable() <= milliseconds(200));
    for (int I = 0; I < 9; ++I)
      Bucket.tryTake(200, m_Now);
    CPPUNIT_ASSERT(Bucket.untilAvailable() >= milliseconds(1900));
    m_Now += seconds(5);
    CPPUNIT_ASSERT(Bucket.tryTake(600, m_Now));
    CPPUNIT_ASSERT(Bucket.untilAvailable() <= milliseconds(200));
  }

  void testRingIsIndependentOfMemberOrder() {
    auto Members = members(89);
    ConsistentHashRing HashRing(Members);
    std::reverse(Members.begin(), Members.end());
    ConsistentHashRing Other(Members);
    std::set<config::Endpoint> Owners;
    for (std::uint32_t I = 0; I < 8000; ++I) {
      std::uint32_t Hash = I * 536870;
      CPPUNIT_ASSERT(HashRing.ownersOf(Hash) == Other.ownersOf(Hash));
      CPPUNIT_ASSERT_EQUAL(ConsistentHashRing::MaxOwners,
                           HashRing.ownersOf(Hash).size());
      for (const config::Endpoint &Each : HashRing.ownersOf(Hash))
        Owners.insert(Each);
    }
    // All instances own accounts.
    CPPUNIT_ASSERT_EQUAL(std::size_t(89), Owners.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         ConsistentHashRing(members(1)).ownersOf(5).size());
    CPPUNIT_ASSERT(ConsistentHashRing().ownersOf(5).empty());
  }

  void testOneMoreInstanceMovesFewAccounts() {
    ConsistentHashRing Before(members(89));
    ConsistentHashRing After(members(90));
    int Moved = 0;
    for (std::uint32_t I = 0; I < 8000; ++I)
      if (Before.ownersOf(I * 536870) != After.ownersOf(I * 536870))
        ++Moved;
    // 3 of 90 on average; the arcs of the ring differ in length.
    CPPUNIT_ASSERT(Moved < 8000 * 9 / 90);
  }

  void testOwnersTogetherGrantTheLimit() {
    // Six instances, three of them owners.
    std::map<config::Endpoint, DistributedQuota> Quotas;
    for (const config::Endpoint &Each : members(6))
      Quotas.emplace(Each, quotaOf(Each, 6));
    double Taken = 0;
    for (int I = 0; I < 800; ++I) {
      m_Now += milliseconds(10);
      for (auto &[Self, Quota] : Quotas) {
        QuotaAcquisition Acquisition = acquisition(50);
        QuotaStep Step = Quota.begin(Acquisition, m_Now);
        while (Step == QuotaStep::Ask) {
          DistributedQuota &Owner =
              Quotas.at(Acquisition.m_RemainingOwners.back());
          Step = Quota.handleResponse(
              Acquisition, Owner.handleRequest({m_Account, 50, 0}, m_Now),
              m_Now);
        }
        Taken += Step == QuotaStep::Granted ? 50 : 0;
      }
    }
    // 8 s x 1000 from empty buckets, and one request per owner.
    CPPUNIT_ASSERT(Taken <= 8150);
    CPPUNIT_ASSERT(Taken >= 7800);
  }

  void testRestartedOwnersStartWithNothing() {
    // Grants from before the restart are unknown.
    QuotaOwner Owner(owner(6), false);
    Owner.configure(accounts(1000, 1000), ConsistentHashRing(members(6)),
                    m_Now);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Refused);
    m_Now += milliseconds(300);
    double Taken = 0;
    while (Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
           QuotaVerdict::Granted)
      ++Taken;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, Taken, 1);
  }

  void testNewOwnerStartsWithNothing() {
    // The instance becomes an owner only by the second membership. The previous
    // owner may have granted the whole share.
    config::Endpoint Self = nonOwner(6);
    QuotaOwner Owner(Self, true);
    Owner.configure(accounts(1000, 1000), ConsistentHashRing(members(6)),
                    m_Now);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::NotOwner);
    Owner.configure(accounts(1000, 1000), ConsistentHashRing({Self}), m_Now);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Refused);
    // The previous owner may not know the new membership yet and may go on
    // granting what is refilled.
    m_Now += milliseconds(2990);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Refused);
    m_Now += milliseconds(20);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Granted);
  }

  void testUnconfirmedListOwnsNothing() {
    QuotaOwner Owner(owner(6), true);
    Owner.configure(accounts(1000, 1000), ConsistentHashRing(members(6)),
                    m_Now);
    Owner.setEvidence(OwnershipEvidence::None);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::NotOwner);
    Owner.setEvidence(OwnershipEvidence::Store);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Granted);
  }

  void testPendingChangeTakesShareWithoutStore() {
    // The last of the three owners loses its share to an added instance.
    std::size_t Added = 6;
    config::Endpoint Last;
    do {
      auto Owners = ConsistentHashRing(members(Added)).ownersOf(m_Account);
      auto Next = ConsistentHashRing(members(++Added)).ownersOf(m_Account);
      Last = Owners.back();
      if (std::find(Next.begin(), Next.end(), Last) == Next.end())
        break;
    } while (Added < 100);
    QuotaOwner Owner(Last, true);
    Owner.configure(accounts(1000, 1000),
                    {ConsistentHashRing(members(Added - 1)),
                     ConsistentHashRing(members(Added))},
                    m_Now);
    auto Verdict = [&](OwnershipEvidence Evidence) {
      Owner.setEvidence(Evidence);
      return Owner.handleRequest({m_Account, 1, 0}, m_Now).m_Verdict;
    };
    CPPUNIT_ASSERT(Verdict(OwnershipEvidence::Store) == QuotaVerdict::Granted);
    CPPUNIT_ASSERT(Verdict(OwnershipEvidence::Witnesses) ==
                   QuotaVerdict::NotOwner);
    CPPUNIT_ASSERT(!Owner.charge(m_Account, 1, m_Now));
    Owner.configure(accounts(1000, 1000),
                    ConsistentHashRing(members(Added - 1)), m_Now);
    CPPUNIT_ASSERT(Verdict(OwnershipEvidence::Witnesses) ==
                   QuotaVerdict::Granted);
  }

  void testWitnessesFollowOnTheRing() {
    ConsistentHashRing Small(members(6));
    for (const config::Endpoint &Each : members(6)) {
      auto Witnesses = Small.witnessesOf(Each);
      CPPUNIT_ASSERT_EQUAL(std::size_t(5), Witnesses.size());
      CPPUNIT_ASSERT(std::count(Witnesses.begin(), Witnesses.end(), Each) == 0);
    }
    CPPUNIT_ASSERT(Small.witnessesOf(members(7).back()).empty());
    CPPUNIT_ASSERT(
        ConsistentHashRing(members(1)).witnessesOf(members(1).front()).empty());
    ConsistentHashRing Large(members(100));
    auto Witnesses = Large.witnessesOf(members(1).front());
    std::set<config::Endpoint> Distinct(Witnesses.begin(), Witnesses.end());
    CPPUNIT_ASSERT_EQUAL(ConsistentHashRing::MaxWitnesses, Distinct.size());
  }

  void testDebtIsSharedByTheOwners() {
    // Each owner holds a third of 9,000 tokens, and one grants 12,000.
    auto Owners = ConsistentHashRing(members(6)).ownersOf(m_Account);
    std::map<config::Endpoint, QuotaOwner> All;
    for (const config::Endpoint &Each : Owners) {
      QuotaOwner &New = All.emplace(Each, QuotaOwner(Each, true)).first->second;
      New.configure(accounts(9000, 9000), ConsistentHashRing(members(6)),
                    m_Now);
    }
    QuotaOwner &First = All.at(Owners[0]);
    CPPUNIT_ASSERT(
        First.handleRequest({m_Account, 12000, 0}, m_Now).m_Verdict ==
        QuotaVerdict::Granted);
    auto Charges = First.takeCharges();
    CPPUNIT_ASSERT(First.takeCharges().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Charges.size());
    for (const QuotaCharge &Each : Charges) {
      CPPUNIT_ASSERT(!(Each.m_Owner == Owners[0]));
      CPPUNIT_ASSERT_EQUAL(std::uint32_t(3000), Each.m_Tokens);
    }
    // Until a charge is settled the whole debt remains here: 9,000 tokens at
    // 3,000 a second. After the first one, 6,000 remain.
    m_Now += milliseconds(10);
    QuotaResponse Refused = First.handleRequest({m_Account, 1, 0}, m_Now);
    CPPUNIT_ASSERT(Refused.m_RetryAfter > milliseconds(2980));
    CPPUNIT_ASSERT(All.at(Owners[1]).charge(m_Account, 3000, m_Now));
    First.settleCharge(m_Account, 3000, m_Now);
    Refused = First.handleRequest({m_Account, 1, 0}, m_Now);
    CPPUNIT_ASSERT(Refused.m_RetryAfter > milliseconds(1980));
    CPPUNIT_ASSERT(Refused.m_RetryAfter < milliseconds(2000));
    CPPUNIT_ASSERT(
        All.at(Owners[1]).handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
        QuotaVerdict::Refused);
    CPPUNIT_ASSERT(
        All.at(Owners[2]).handleRequest({m_Account, 1, 0}, m_Now).m_Verdict ==
        QuotaVerdict::Granted);
    // An instance that does not own the account takes over nothing.
    QuotaOwner NonOwner(nonOwner(6), true);
    NonOwner.configure(accounts(9000, 9000), ConsistentHashRing(members(6)),
                       m_Now);
    CPPUNIT_ASSERT(!NonOwner.charge(m_Account, 3000, m_Now));
  }

  void testLowerLimitBindsAtOnce() {
    QuotaOwner Owner(owner(1), true);
    Owner.configure(accounts(1000, 5000), ConsistentHashRing(members(1)),
                    m_Now);
    Owner.configure(accounts(10, 20), ConsistentHashRing(members(1)), m_Now);
    CPPUNIT_ASSERT(Owner.handleRequest({m_Account, 100, 0}, m_Now).m_Verdict ==
                   QuotaVerdict::Granted);
    QuotaResponse Second = Owner.handleRequest({m_Account, 1, 0}, m_Now);
    CPPUNIT_ASSERT(Second.m_Verdict == QuotaVerdict::Refused);
    CPPUNIT_ASSERT(Second.m_RetryAfter > seconds(5));
  }

  void testUnusedTokensAreGivenBackOnce() {
    DistributedQuota Quota = quotaOf(nonOwner(6), 6);
    QuotaAcquisition Acquisition = acquisition(100);
    CPPUNIT_ASSERT(Quota.begin(Acquisition, m_Now) == QuotaStep::Ask);
    config::Endpoint Owner = Acquisition.m_RemainingOwners.back();
    CPPUNIT_ASSERT(Quota.handleResponse(Acquisition, granted(150), m_Now) ==
                   QuotaStep::Granted);
    // The next request of the account uses the released tokens.
    Quota.giveBack(Acquisition, m_Now);
    QuotaAcquisition Next = acquisition(120);
    CPPUNIT_ASSERT(Quota.begin(Next, m_Now) == QuotaStep::Granted);
    CPPUNIT_ASSERT(*Next.m_Owner == Owner);
    CPPUNIT_ASSERT(Quota.takeUnusedGrants(m_Now).empty());
    auto Unused = Quota.takeUnusedGrants(m_Now + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Unused.size());
    CPPUNIT_ASSERT(Unused[0].m_Owner == Owner && Unused[0].m_Tokens == 30);
    CPPUNIT_ASSERT(Quota.takeUnusedGrants(m_Now + seconds(2)).empty());
  }

  void testAdvanceIsBounded() {
    QuotaOwner Owner(owner(1), true);
    Owner.configure(accounts(100000, 100000), ConsistentHashRing(members(1)),
                    m_Now);
    std::uint64_t Advance = 0;
    for (int I = 0; I < 1000; ++I) {
      m_Now += milliseconds(1);
      Advance += Owner.handleRequest({m_Account, 10, 0}, m_Now).m_Tokens - 10;
    }
    // An eighth of the burst per second, and nothing initially.
    CPPUNIT_ASSERT(Advance > 6000);
    CPPUNIT_ASSERT(Advance <= 12500);
  }

  void testRefusedOnlyWhenAllOwnersRefuse() {
    DistributedQuota Quota = quotaOf(nonOwner(6), 6);
    QuotaAcquisition Acquisition = acquisition(100);
    CPPUNIT_ASSERT(Quota.begin(Acquisition, m_Now) == QuotaStep::Ask);
    for (int Time : {300, 200})
      CPPUNIT_ASSERT(
          Quota.handleResponse(Acquisition,
                               {QuotaVerdict::Refused, 0, milliseconds(Time)},
                               m_Now) == QuotaStep::Ask);
    CPPUNIT_ASSERT(
        Quota.handleResponse(Acquisition,
                             {QuotaVerdict::Refused, 0, milliseconds(400)},
                             m_Now) == QuotaStep::Refused);
    CPPUNIT_ASSERT(*Acquisition.m_RetryAfter == milliseconds(200));
    // No owner is asked again for a while after all have refused.
    QuotaAcquisition Next = acquisition(1);
    CPPUNIT_ASSERT(Quota.begin(Next, m_Now) == QuotaStep::Refused);
    m_Now += milliseconds(60);
    Next = acquisition(1);
    CPPUNIT_ASSERT(Quota.begin(Next, m_Now) == QuotaStep::Ask);
  }

  void testUnresponsiveOwnerIsSkipped() {
    DistributedQuota Quota = quotaOf(nonOwner(6), 6);
    QuotaAcquisition Acquisition = acquisition(100);
    CPPUNIT_ASSERT(Quota.begin(Acquisition, m_Now) == QuotaStep::Ask);
    config::Endpoint Unresponsive = Acquisition.m_RemainingOwners.back();
    CPPUNIT_ASSERT(Quota.handleTimeout(Acquisition, m_Now) == QuotaStep::Ask);
    CPPUNIT_ASSERT(Quota.handleResponse(Acquisition, granted(100), m_Now) ==
                   QuotaStep::Granted);
    for (int I = 0; I < 20; ++I) {
      QuotaAcquisition Next = acquisition(100);
      CPPUNIT_ASSERT(Quota.begin(Next, m_Now) == QuotaStep::Ask);
      CPPUNIT_ASSERT(!(Next.m_RemainingOwners.back() == Unresponsive));
    }
    // Later it is asked again.
    m_Now += seconds(1);
    bool IsAsked = false;
    for (int I = 0; I < 20; ++I) {
      QuotaAcquisition Next = acquisition(100);
      Quota.begin(Next, m_Now);
      IsAsked = IsAsked || Next.m_RemainingOwners.back() == Unresponsive;
    }
    CPPUNIT_ASSERT(IsAsked);
  }

  /// Returns the tokens that one isolated instance of \p Count grants to
  /// requests of 50 tokens, which arrive every \p Period until \p Length.
  /// \param HasReachedOwner whether an owner grants a first request, which is
  /// not counted.
  std::uint32_t grantedIsolated(std::size_t Count,
                                const QuotaTolerance &Tolerance,
                                std::uint64_t Seed, core::Duration Period,
                                core::Duration Length,
                                bool HasReachedOwner) const {
    DistributedQuota Quota(nonOwner(Count), Tolerance, false, Seed);
    Quota.setRing(ConsistentHashRing(members(Count)), m_Now);
    Quota.setAccounts(accounts(1000, 1000), m_Now);
    if (HasReachedOwner) {
      QuotaAcquisition First = acquisition(50);
      Quota.begin(First, m_Now);
      CPPUNIT_ASSERT(Quota.handleResponse(First, granted(50), m_Now) ==
                     QuotaStep::Granted);
    }
    std::uint32_t Taken = 0;
    for (core::Duration At = Period; At <= Length; At += Period) {
      QuotaAcquisition Next = acquisition(50);
      QuotaStep Step = Quota.begin(Next, m_Now + At);
      while (Step == QuotaStep::Ask)
        Step = Quota.handleTimeout(Next, m_Now + At);
      Taken += Step == QuotaStep::Granted ? 50 : 0;
    }
    return Taken;
  }

  void testIsolatedInstanceUsesTolerance() {
    // The tolerance is 2,000 tokens. All isolated instances together may use a
    // quarter of it per window, so one of ten gets 50.
    QuotaTolerance Tolerance{0.1, 1100, seconds(8)};
    std::uint32_t Taken = 0;
    for (std::uint64_t Seed = 1; Seed <= 200; ++Seed)
      Taken += grantedIsolated(10, Tolerance, Seed, milliseconds(10),
                               seconds(8), true);
    // 200 x 50 on average; five standard deviations are 3,500.
    CPPUNIT_ASSERT(Taken >= 6500);
    CPPUNIT_ASSERT(Taken <= 13500);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(0),
                         grantedIsolated(10, QuotaTolerance(), 7,
                                         milliseconds(10), seconds(8), true));
  }

  void testRestartedIsolatedInstancesKeepTolerance() {
    // Processes that restart repeatedly and are isolated for 0.4 s. Each gets a
    // hundredth of 500 tokens in 8 s, so 0.25 by then.
    QuotaTolerance Tolerance{0.1, 1100, seconds(8)};
    std::uint32_t Taken = 0;
    for (std::uint64_t Start = 1; Start <= 20000; ++Start)
      Taken += grantedIsolated(100, Tolerance, Start, milliseconds(100),
                               milliseconds(400), false);
    // 20,000 x 0.25 on average; five standard deviations are 2,500.
    CPPUNIT_ASSERT(Taken >= 2500);
    CPPUNIT_ASSERT(Taken <= 7500);
  }

  void testNothingIsGrantedWithoutMembers() {
    DistributedQuota Quota(owner(6), QuotaTolerance(), false, 7);
    Quota.setAccounts(accounts(1000, 1000), m_Now);
    QuotaAcquisition Acquisition = acquisition(1);
    CPPUNIT_ASSERT(Quota.begin(Acquisition, m_Now + seconds(1)) ==
                   QuotaStep::Refused);
    CPPUNIT_ASSERT(*Acquisition.m_RetryAfter > core::Duration::zero());
  }

  void testAccountWithoutLimitAsksNoOwner() {
    DistributedQuota Quota(owner(6), QuotaTolerance(), false, 7);
    Quota.setAccounts(accounts(0, 0), m_Now);
    QuotaAcquisition Acquisition = acquisition(1000000);
    CPPUNIT_ASSERT(Quota.begin(Acquisition, m_Now) == QuotaStep::Granted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);
