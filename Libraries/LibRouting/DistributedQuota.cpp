#include "LibRouting/DistributedQuota.h"

#include <algorithm>

namespace yardrill::routing {

/// Tokens that were granted and not used go back after this time: long enough
/// for a caller that was refused for want of a target to return (0.5 s).
static constexpr std::chrono::seconds GrantCacheTime{1};
/// An owner that did not answer is passed over for this time, and then asked
/// by one request again.
static constexpr std::chrono::milliseconds UnresponsiveTime{250};
/// An owner that refused is not asked for this time at the most, since others
/// may give tokens back to it meanwhile.
static constexpr std::chrono::milliseconds MaxExhaustedTime{50};
/// Part of the tolerance that all instances together may let in at once, and
/// again within a window, while none reaches an owner. Were it a part of the
/// limit, as if the owners granted that much less, the third of a fleet that is
/// cut off would add 2.8 times the rate to a window that the owners fill, where
/// 0.9 and a constant are tolerated (QuotaDeploymentsTest: up to 4.6 times the
/// tolerance used before). The other half is left for debts and restarts.
static constexpr double IsolatedShare = 0.25;
/// When to come back after a refusal that no owner gave a time for.
static constexpr std::chrono::milliseconds DefaultRetryAfter{250};

std::string toString(QuotaSource Source) {
  switch (Source) {
  case QuotaSource::None:
    return "none";
  case QuotaSource::Advance:
    return "advance";
  case QuotaSource::Owner:
    return "owner";
  case QuotaSource::Alone:
    return "alone";
  }
  return "?";
}

void DistributedQuota::setAccounts(std::vector<Account> Accounts,
                                   core::TimePoint Now) {
  m_Accounts = std::move(Accounts);
  configure(Now);
}

void DistributedQuota::setRing(ConsistentHashRing HashRing,
                               core::TimePoint Now) {
  m_Ring = std::move(HashRing);
  configure(Now);
}

QuotaLimits DistributedQuota::isolatedLimits(const QuotaLimits &Limits) const {
  // While nobody is known, anybody may be at work.
  if (m_Ring.size() == 0)
    return {};
  double Tokens = m_Tolerance.tokens(Limits) * IsolatedShare /
                  static_cast<double>(m_Ring.size());
  return {Tokens / core::toSeconds(m_Tolerance.m_Window), Tokens};
}

void DistributedQuota::configure(core::TimePoint Now) {
  m_LocalOwner.configure(m_Accounts, m_Ring, Now);
  std::unordered_map<AccountHash, AccountState> Next;
  for (const Account &Each : m_Accounts) {
    if (Each.m_TokensPerSecond <= 0)
      continue;
    QuotaLimits Limits = isolatedLimits({Each.m_TokensPerSecond, Each.m_Burst});
    auto Known = m_AccountStates.find(hashOf(Each.m_Name));
    if (Known == m_AccountStates.end()) {
      AccountState New{{}, TokenBucket(Limits, 0, Now), {}};
      Next.emplace(hashOf(Each.m_Name), std::move(New));
      continue;
    }
    Known->second.m_IsolatedBucket.setLimits(Limits, Now);
    Next.emplace(Known->first, std::move(Known->second));
  }
  m_AccountStates = std::move(Next);
}

bool DistributedQuota::takeCachedGrant(AccountState &Of,
                                       QuotaAcquisition &Draw) {
  for (CachedGrant &Each : Of.m_CachedGrants) {
    if (Each.m_Tokens < Draw.m_Tokens)
      continue;
    Each.m_Tokens -= Draw.m_Tokens;
    Draw.m_Owner = Each.m_Owner;
    Draw.m_Source = QuotaSource::Advance;
    return true;
  }
  return false;
}

QuotaStep DistributedQuota::begin(QuotaAcquisition &Draw, core::TimePoint Now) {
  auto Found = m_AccountStates.find(Draw.m_Account);
  if (Found == m_AccountStates.end())
    return QuotaStep::Granted;
  if (takeCachedGrant(Found->second, Draw))
    return QuotaStep::Granted;
  Draw.m_RemainingOwners = m_Ring.ownersOf(Draw.m_Account);
  // Callers of all instances meet all owners alike, as each has its own part.
  std::shuffle(Draw.m_RemainingOwners.begin(), Draw.m_RemainingOwners.end(),
               m_Random);
  auto Own = std::find(Draw.m_RemainingOwners.begin(),
                       Draw.m_RemainingOwners.end(), m_Self);
  if (Own != Draw.m_RemainingOwners.end())
    std::rotate(Own, Own + 1, Draw.m_RemainingOwners.end());
  return next(Draw, Now);
}

QuotaStep DistributedQuota::next(QuotaAcquisition &Draw, core::TimePoint Now) {
  AccountState &Of = m_AccountStates.at(Draw.m_Account);
  while (!Draw.m_RemainingOwners.empty()) {
    const config::Endpoint Owner = Draw.m_RemainingOwners.back();
    auto Empty = Of.m_ExhaustedUntil.find(Owner);
    if (Empty != Of.m_ExhaustedUntil.end() && Empty->second > Now) {
      recordRefusal(Of, Owner, Draw, Empty->second - Now, Now);
      Draw.m_RemainingOwners.pop_back();
      continue;
    }
    if (Owner == m_Self)
      return handleResponse(
          Draw,
          m_LocalOwner.handleRequest({Draw.m_Account, Draw.m_Tokens, 0}, Now),
          Now);
    auto Silent = m_UnresponsiveUntil.find(Owner);
    if (Silent == m_UnresponsiveUntil.end() || Silent->second <= Now)
      return QuotaStep::Ask;
    Draw.m_RemainingOwners.pop_back();
  }
  if (Draw.m_RetryAfter)
    return QuotaStep::Refused;
  return acquireIsolated(Of, Draw, Now);
}

void DistributedQuota::recordRefusal(AccountState &Of,
                                     const config::Endpoint &Owner,
                                     QuotaAcquisition &Draw,
                                     core::Duration RetryAfter,
                                     core::TimePoint Now) {
  Of.m_ExhaustedUntil[Owner] =
      Now + std::min<core::Duration>(RetryAfter, MaxExhaustedTime);
  Draw.m_RetryAfter =
      std::min(Draw.m_RetryAfter.value_or(RetryAfter), RetryAfter);
}

QuotaStep DistributedQuota::handleResponse(QuotaAcquisition &Draw,
                                           const QuotaResponse &Response,
                                           core::TimePoint Now) {
  config::Endpoint Owner = Draw.m_RemainingOwners.back();
  Draw.m_RemainingOwners.pop_back();
  m_UnresponsiveUntil.erase(Owner);
  auto Found = m_AccountStates.find(Draw.m_Account);
  // The account has lost its limit meanwhile.
  if (Found == m_AccountStates.end())
    return QuotaStep::Granted;
  AccountState &Of = Found->second;
  switch (Response.m_Verdict) {
  case QuotaVerdict::Granted:
    Draw.m_Owner = Owner;
    Draw.m_Source = QuotaSource::Owner;
    if (Response.m_Tokens > Draw.m_Tokens)
      cacheGrant(Owner, Draw.m_Account, Response.m_Tokens - Draw.m_Tokens, Now);
    return QuotaStep::Granted;
  case QuotaVerdict::Refused:
    recordRefusal(Of, Owner, Draw, Response.m_RetryAfter, Now);
    break;
  case QuotaVerdict::NotOwner:
    break;
  }
  return next(Draw, Now);
}

QuotaStep DistributedQuota::handleTimeout(QuotaAcquisition &Draw,
                                          core::TimePoint Now) {
  m_UnresponsiveUntil[Draw.m_RemainingOwners.back()] = Now + UnresponsiveTime;
  Draw.m_RemainingOwners.pop_back();
  if (m_AccountStates.count(Draw.m_Account) == 0)
    return QuotaStep::Granted;
  return next(Draw, Now);
}

QuotaStep DistributedQuota::acquireIsolated(AccountState &Of,
                                            QuotaAcquisition &Draw,
                                            core::TimePoint Now) {
  Draw.m_Source = QuotaSource::Alone;
  // In the mean as many tokens as it holds, whatever requests come.
  double Level = Of.m_IsolatedBucket.level(Now);
  double Tokens = Draw.m_Tokens;
  std::uniform_real_distribution<double> Chance(0, 1);
  bool IsLetIn = Chance(m_Random) * Tokens < Level;
  Of.m_IsolatedBucket.take(std::min(Tokens, Level));
  if (IsLetIn)
    return QuotaStep::Granted;
  Draw.m_RetryAfter = DefaultRetryAfter;
  return QuotaStep::Refused;
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

void DistributedQuota::giveBack(const QuotaAcquisition &Draw,
                                core::TimePoint Now) {
  if (Draw.m_Owner)
    cacheGrant(*Draw.m_Owner, Draw.m_Account, Draw.m_Tokens, Now);
}

std::vector<QuotaReturn>
DistributedQuota::takeUnusedGrants(core::TimePoint Now) {
  std::vector<QuotaReturn> Out;
  for (auto &[Account, Of] : m_AccountStates) {
    auto IsUsed = [Now](const CachedGrant &Each) {
      return Each.m_Tokens > 0 && Now - Each.m_Since < GrantCacheTime;
    };
    auto First = std::stable_partition(Of.m_CachedGrants.begin(),
                                       Of.m_CachedGrants.end(), IsUsed);
    for (auto Each = First; Each != Of.m_CachedGrants.end(); ++Each) {
      if (Each->m_Tokens == 0)
        continue;
      if (Each->m_Owner == m_Self)
        m_LocalOwner.handleRequest({Account, 0, Each->m_Tokens}, Now);
      else
        Out.push_back({Each->m_Owner, Account, Each->m_Tokens});
    }
    Of.m_CachedGrants.erase(First, Of.m_CachedGrants.end());
  }
  return Out;
}

} // namespace yardrill::routing
