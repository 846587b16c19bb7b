#include "LibRouting/DistributedQuota.h"

#include <algorithm>

namespace yardrill::routing {

/// Time after which unused grants are returned. Longer than the 0.5 s after
/// which a caller retries that was refused because no target was free.
static constexpr std::chrono::seconds GrantCacheTime{1};
/// Time for which an owner that did not respond is skipped.
static constexpr std::chrono::milliseconds UnresponsiveTime{250};
/// Maximum time for which an owner that refused is skipped. Other instances may
/// return tokens to it earlier than it estimated.
static constexpr std::chrono::milliseconds MaxExhaustedTime{50};
/// Share of the tolerance that all isolated instances together may use as a
/// burst, and again within each window, so half of it in any window. The other
/// half covers debts and restarts. A share of the limit would be too much,
/// because the owners do not grant less meanwhile: if a third of the fleet is
/// isolated, it would add 2.8 x rate to a window, where 0.9 x rate and a
/// constant are tolerated. QuotaDeploymentsTest measured up to 4.6 times the
/// tolerance with such a share.
static constexpr double IsolatedShare = 0.25;
/// Share of the tolerance above which a request is divided among owners, and is
/// refused while isolated: up to three owners may owe for it at the same time,
/// and again after each restart.
static constexpr double MaxUndividedShare = 0.125;
/// Time until a retry after a refusal for which no owner gave a time.
static constexpr std::chrono::milliseconds DefaultRetryAfter{250};

std::string toString(QuotaSource Source) {
  switch (Source) {
  case QuotaSource::None:
    return "none";
  case QuotaSource::Advance:
    return "advance";
  case QuotaSource::Owner:
    return "owner";
  case QuotaSource::Isolated:
    return "alone";
  }
  return "?";
}

void DistributedQuota::setAccounts(std::vector<Account> Accounts,
                                   core::TimePoint Now) {
  m_Accounts = std::move(Accounts);
  configure(Now);
}

void DistributedQuota::setRing(QuotaRings Rings, core::TimePoint Now) {
  m_Rings = std::move(Rings);
  configure(Now);
}

QuotaLimits DistributedQuota::isolatedLimits(const QuotaLimits &Limits) const {
  // Without a membership, the number of instances is unknown.
  std::size_t InstanceCount = m_Rings.instanceCount();
  if (InstanceCount == 0)
    return {};
  double Tokens = m_Tolerance.tokens(Limits) * IsolatedShare /
                  static_cast<double>(InstanceCount);
  return {Tokens / core::toSeconds(m_Tolerance.m_Window), Tokens};
}

void DistributedQuota::configure(core::TimePoint Now) {
  m_LocalOwner.configure(m_Accounts, m_Rings, Now);
  std::unordered_map<AccountHash, AccountState> Next;
  for (const Account &Each : m_Accounts) {
    if (Each.m_TokensPerSecond <= 0)
      continue;
    QuotaLimits AccountLimits{Each.m_TokensPerSecond, Each.m_Burst};
    QuotaLimits Limits = isolatedLimits(AccountLimits);
    double MaxUndivided = m_Tolerance.tokens(AccountLimits) * MaxUndividedShare;
    double MaxUndividedOfPart =
        m_Tolerance.dividedLimits(AccountLimits).m_Burst *
        m_Rings.shareSize(ConsistentHashRing::MaxOwners) / 2;
    auto Known = m_AccountStates.find(hashOf(Each.m_Name));
    if (Known == m_AccountStates.end()) {
      AccountState New{{},
                       MaxUndivided,
                       MaxUndividedOfPart,
                       TokenBucket(Limits, 0, Now),
                       {}};
      Next.emplace(hashOf(Each.m_Name), std::move(New));
      continue;
    }
    Known->second.m_MaxUndivided = MaxUndivided;
    Known->second.m_MaxUndividedOfPart = MaxUndividedOfPart;
    Known->second.m_IsolatedBucket.setLimits(Limits, Now);
    Next.emplace(Known->first, std::move(Known->second));
  }
  m_AccountStates = std::move(Next);
}

bool DistributedQuota::takeCachedGrant(AccountState &State,
                                       QuotaAcquisition &Acquisition) {
  for (CachedGrant &Each : State.m_CachedGrants) {
    if (Each.m_Tokens < Acquisition.m_Tokens)
      continue;
    Each.m_Tokens -= Acquisition.m_Tokens;
    Acquisition.m_Owner = Each.m_Owner;
    Acquisition.m_Parts = {
        {Each.m_Owner, Acquisition.m_Account, Acquisition.m_Tokens}};
    Acquisition.m_Source = QuotaSource::Advance;
    return true;
  }
  return false;
}

QuotaStep DistributedQuota::begin(QuotaAcquisition &Acquisition,
                                  core::TimePoint Now) {
  auto Found = m_AccountStates.find(Acquisition.m_Account);
  if (Found == m_AccountStates.end())
    return QuotaStep::Granted;
  if (takeCachedGrant(Found->second, Acquisition))
    return QuotaStep::Granted;
  Acquisition.m_RemainingOwners = m_Rings.ownersOf(Acquisition.m_Account);
  auto OwnerCount =
      static_cast<std::uint32_t>(Acquisition.m_RemainingOwners.size());
  Acquisition.m_PartCount =
      isLarge(Acquisition, Found->second) ? OwnerCount / 2 + 1 : 1;
  Acquisition.m_Parts.clear();
  // Every owner has its own share, so requests are spread over all of them.
  std::shuffle(Acquisition.m_RemainingOwners.begin(),
               Acquisition.m_RemainingOwners.end(), m_Random);
  auto Own = std::find(Acquisition.m_RemainingOwners.begin(),
                       Acquisition.m_RemainingOwners.end(), m_Self);
  if (Own != Acquisition.m_RemainingOwners.end())
    std::rotate(Own, Own + 1, Acquisition.m_RemainingOwners.end());
  return next(Acquisition, Now);
}

QuotaStep DistributedQuota::next(QuotaAcquisition &Acquisition,
                                 core::TimePoint Now) {
  AccountState &State = m_AccountStates.at(Acquisition.m_Account);
  while (!Acquisition.m_RemainingOwners.empty()) {
    const config::Endpoint Owner = Acquisition.m_RemainingOwners.back();
    auto Exhausted = State.m_ExhaustedUntil.find(Owner);
    if (Exhausted != State.m_ExhaustedUntil.end() && Exhausted->second > Now) {
      recordRefusal(State, Owner, Acquisition, Exhausted->second - Now, Now);
      Acquisition.m_RemainingOwners.pop_back();
      continue;
    }
    if (Owner == m_Self)
      return handleResponse(
          Acquisition,
          m_LocalOwner.handleRequest(
              {Acquisition.m_Account, Acquisition.partTokens(), 0}, Now),
          Now);
    auto Unresponsive = m_UnresponsiveUntil.find(Owner);
    if (Unresponsive == m_UnresponsiveUntil.end() ||
        Unresponsive->second <= Now)
      return QuotaStep::Ask;
    Acquisition.m_RemainingOwners.pop_back();
  }
  releaseParts(Acquisition, Now);
  if (Acquisition.m_RetryAfter)
    return QuotaStep::Refused;
  return acquireIsolated(State, Acquisition, Now);
}

bool DistributedQuota::isLarge(const QuotaAcquisition &Acquisition,
                               const AccountState &State) const {
  if (mayBeDivided(Acquisition.m_Account))
    return Acquisition.m_Tokens > State.m_MaxUndividedOfPart;
  // Zero if no tolerance is stated, and then there is none to keep to.
  return State.m_MaxUndivided > 0 &&
         Acquisition.m_Tokens > State.m_MaxUndivided;
}

void DistributedQuota::releaseParts(QuotaAcquisition &Acquisition,
                                    core::TimePoint Now) {
  giveBack(Acquisition, Now);
  Acquisition.m_Parts.clear();
  Acquisition.m_Owner.reset();
  Acquisition.m_Source = QuotaSource::None;
}

void DistributedQuota::recordRefusal(AccountState &State,
                                     const config::Endpoint &Owner,
                                     QuotaAcquisition &Acquisition,
                                     core::Duration RetryAfter,
                                     core::TimePoint Now) {
  State.m_ExhaustedUntil[Owner] =
      Now + std::min<core::Duration>(RetryAfter, MaxExhaustedTime);
  Acquisition.m_RetryAfter =
      std::min(Acquisition.m_RetryAfter.value_or(RetryAfter), RetryAfter);
}

QuotaStep DistributedQuota::handleResponse(QuotaAcquisition &Acquisition,
                                           const QuotaResponse &Response,
                                           core::TimePoint Now) {
  config::Endpoint Owner = Acquisition.m_RemainingOwners.back();
  Acquisition.m_RemainingOwners.pop_back();
  m_UnresponsiveUntil.erase(Owner);
  auto Found = m_AccountStates.find(Acquisition.m_Account);
  // The account no longer has a limit.
  if (Found == m_AccountStates.end())
    return QuotaStep::Granted;
  AccountState &State = Found->second;
  switch (Response.m_Verdict) {
  case QuotaVerdict::Granted: {
    std::uint32_t Part = Acquisition.partTokens();
    Acquisition.m_Owner = Owner;
    Acquisition.m_Source = QuotaSource::Owner;
    Acquisition.m_Parts.push_back({Owner, Acquisition.m_Account, Part});
    if (Response.m_Tokens > Part)
      cacheGrant(Owner, Acquisition.m_Account, Response.m_Tokens - Part, Now);
    if (Acquisition.m_Parts.size() == Acquisition.m_PartCount)
      return QuotaStep::Granted;
    break;
  }
  case QuotaVerdict::Refused:
    recordRefusal(State, Owner, Acquisition, Response.m_RetryAfter, Now);
    break;
  case QuotaVerdict::NotOwner:
    break;
  }
  return next(Acquisition, Now);
}

QuotaStep DistributedQuota::handleTimeout(QuotaAcquisition &Acquisition,
                                          core::TimePoint Now) {
  m_UnresponsiveUntil[Acquisition.m_RemainingOwners.back()] =
      Now + UnresponsiveTime;
  Acquisition.m_RemainingOwners.pop_back();
  if (m_AccountStates.count(Acquisition.m_Account) == 0)
    return QuotaStep::Granted;
  return next(Acquisition, Now);
}

QuotaStep DistributedQuota::acquireIsolated(AccountState &State,
                                            QuotaAcquisition &Acquisition,
                                            core::TimePoint Now) {
  Acquisition.m_Source = QuotaSource::Isolated;
  Acquisition.m_RetryAfter = DefaultRetryAfter;
  if (isLarge(Acquisition, State) || mayBeDivided(Acquisition.m_Account))
    return QuotaStep::Refused;
  // Admits as many tokens on average as the bucket holds, for any request size.
  double Level = State.m_IsolatedBucket.level(Now);
  double Tokens = Acquisition.m_Tokens;
  std::uniform_real_distribution<double> Chance(0, 1);
  bool IsGranted = Chance(m_Random) * Tokens < Level;
  State.m_IsolatedBucket.take(std::min(Tokens, Level));
  if (!IsGranted)
    return QuotaStep::Refused;
  Acquisition.m_RetryAfter.reset();
  return QuotaStep::Granted;
}

void DistributedQuota::cacheGrant(const config::Endpoint &Owner,
                                  AccountHash Account, std::uint32_t Tokens,
                                  core::TimePoint Now) {
  auto Found = m_AccountStates.find(Account);
  if (Found == m_AccountStates.end())
    return;
  for (CachedGrant &Each : Found->second.m_CachedGrants)
    if (Each.m_Owner == Owner) {
      if (Each.m_Tokens == 0)
        Each.m_Since = Now;
      Each.m_Tokens += Tokens;
      return;
    }
  Found->second.m_CachedGrants.push_back({Owner, Tokens, Now});
}

void DistributedQuota::giveBack(const QuotaAcquisition &Acquisition,
                                core::TimePoint Now) {
  for (const QuotaReturn &Each : Acquisition.m_Parts)
    cacheGrant(Each.m_Owner, Each.m_Account, Each.m_Tokens, Now);
}

std::vector<QuotaReturn>
DistributedQuota::takeUnusedGrants(core::TimePoint Now) {
  std::vector<QuotaReturn> Out;
  for (auto &[Account, State] : m_AccountStates) {
    auto IsUsed = [Now](const CachedGrant &Each) {
      return Each.m_Tokens > 0 && Now - Each.m_Since < GrantCacheTime;
    };
    auto First = std::stable_partition(State.m_CachedGrants.begin(),
                                       State.m_CachedGrants.end(), IsUsed);
    for (auto Each = First; Each != State.m_CachedGrants.end(); ++Each) {
      if (Each->m_Tokens == 0)
        continue;
      if (Each->m_Owner == m_Self)
        m_LocalOwner.handleRequest({Account, 0, Each->m_Tokens}, Now);
      else
        Out.push_back({Each->m_Owner, Account, Each->m_Tokens});
    }
    State.m_CachedGrants.erase(First, State.m_CachedGrants.end());
  }
  return Out;
}

} // namespace yardrill::routing
