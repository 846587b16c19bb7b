#include "LibRouting/QuotaOwner.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Time until the previous owner of a share learns of its successor, or that it
/// would not learn of one: usually half a second, but about three if it is
/// isolated and its watch of the store has to time out.
static constexpr std::chrono::seconds HandoverTime{3};
/// Minimum number of tokens in a charge, a third of the median request. Smaller
/// ones are not worth a message. Larger debts have to be shared, because three
/// owners with debts of the largest requests would exceed the tolerance.
static constexpr std::uint32_t MinCharge = 1000;
/// Share of the burst that may be granted in advance, and how often that share
/// is refilled per second. Instances return unused grants after a second.
static constexpr double AdvanceShare = 0.125;
static constexpr double AdvancesPerSecond = 1;
/// Share of the available advance that one request gets. The rest is left for
/// other instances with callers of the same account.
static constexpr double AdvanceOfOneRequest = 0.25;
/// Share of the burst below which nothing is granted in advance.
static constexpr double AdvanceThresholdShare = 0.5;
/// Share of the tolerance that divided shares leave for debts at least.
static constexpr double MinDebtShare = 0.0625;
/// Burst of a divided share, as a share of the whole one's.
static constexpr double DividedBurstShare = 0.5;
/// Largest rate of a divided share, as a share of the whole one's. What else
/// the tolerance allows is left for the debts of large requests.
static constexpr double MaxDividedRateShare = 0.75;

AccountHash hashOf(const core::AccountName &Account) {
  return static_cast<AccountHash>(core::stableHash(Account.value()));
}

std::string toString(OwnershipEvidence Evidence) {
  switch (Evidence) {
  case OwnershipEvidence::None:
    return "none";
  case OwnershipEvidence::Witnesses:
    return "witnesses";
  case OwnershipEvidence::Store:
    return "store";
  }
  return "?";
}

double QuotaTolerance::tokens(const QuotaLimits &Limits) const {
  double Bound =
      Limits.m_TokensPerSecond * core::toSeconds(m_Window) + Limits.m_Burst;
  return Bound * m_Share + m_Tokens;
}

QuotaLimits QuotaTolerance::dividedLimits(const QuotaLimits &Limits) const {
  double Window = core::toSeconds(m_Window);
  double Burst = Limits.m_Burst * DividedBurstShare;
  double Allowed = Limits.m_TokensPerSecond * Window + Limits.m_Burst +
                   tokens(Limits) * (1 - MinDebtShare);
  return {std::min(Limits.m_TokensPerSecond * MaxDividedRateShare,
                   (Allowed / 2 - Burst) / Window),
          Burst};
}

double QuotaTolerance::dividedDebt(const QuotaLimits &Limits) const {
  double Window = core::toSeconds(m_Window);
  QuotaLimits Divided = dividedLimits(Limits);
  double Allowed =
      Limits.m_TokensPerSecond * Window + Limits.m_Burst + tokens(Limits);
  return Allowed / 2 - Divided.m_TokensPerSecond * Window - Divided.m_Burst;
}

double QuotaOwner::initialLevel(const QuotaLimits &Limits,
                                const QuotaShare &Share) const {
  // The previous owner may have granted the whole share, and goes on until it
  // learns of the new membership.
  if (m_WasConfigured)
    return -core::toSeconds(HandoverTime) * Limits.m_TokensPerSecond *
           Share.m_HandedOver;
  // After a restart, earlier grants are unknown. All owners may restart twice
  // within a window, so the tolerance leaves no room for an initial credit.
  return m_IsFullAtStart && !Share.m_IsPartial ? Limits.m_Burst : 0;
}

static QuotaLimits advanceLimits(const QuotaLimits &Limits) {
  double Tokens = Limits.m_Burst * AdvanceShare;
  return {Tokens * AdvancesPerSecond, Tokens};
}

void QuotaOwner::configure(const std::vector<Account> &Accounts,
                           const QuotaRings &Rings, core::TimePoint Now) {
  std::unordered_map<AccountHash, Bucket> Next;
  for (const Account &Each : Accounts) {
    AccountHash Hash = hashOf(Each.m_Name);
    std::optional<QuotaShare> Held = Rings.shareOf(Hash, m_Self);
    if (!Held || Each.m_TokensPerSecond <= 0)
      continue;
    std::vector<config::Endpoint> Owners = Rings.ownersOf(Hash);
    double Share = Rings.shareSize(Owners.size());
    QuotaLimits AccountLimits{Each.m_TokensPerSecond, Each.m_Burst};
    QuotaLimits Limits = AccountLimits.part(Share);
    auto Known = m_Buckets.find(Hash);
    if (Known == m_Buckets.end()) {
      TokenBucket Tokens(Limits, initialLevel(Limits, *Held), Now);
      TokenBucket Advance(advanceLimits(Limits), 0, Now);
      Known = Next.emplace(Hash, Bucket{Tokens, Advance, {}, {}, {}, {}}).first;
    } else {
      Known = Next.emplace(Hash, Known->second).first;
    }
    Owners.erase(std::find(Owners.begin(), Owners.end(), m_Self));
    Bucket &Quota = Known->second;
    Quota.m_Others = std::move(Owners);
    Quota.m_Share = *Held;
    Quota.m_Whole = Limits;
    Quota.m_Divided = m_Tolerance.dividedLimits(AccountLimits).part(Share);
    Quota.m_DividedDebt = m_Tolerance.dividedDebt(AccountLimits) * Share;
    applyLimits(Quota, Now);
  }
  m_Buckets = std::move(Next);
  m_WasConfigured =
      m_WasConfigured || (!Accounts.empty() && Rings.m_Owners.size() > 0);
}

void QuotaOwner::applyLimits(Bucket &Quota, core::TimePoint Now) const {
  const QuotaLimits &Limits =
      isDivided(Quota) ? Quota.m_Divided : Quota.m_Whole;
  Quota.m_Tokens.setLimits(Limits, Now);
  Quota.m_Advance.setLimits(advanceLimits(Limits), Now);
}

void QuotaOwner::setLease(bool IsRunning, core::TimePoint Now) {
  if (IsRunning == m_HasLease)
    return;
  m_HasLease = IsRunning;
  for (auto &[Account, Quota] : m_Buckets)
    applyLimits(Quota, Now);
}

bool QuotaOwner::isHeld(const Bucket &Quota) const {
  if (Quota.m_Share.m_IsPartial && !m_HasLease)
    return false;
  return m_Evidence == OwnershipEvidence::Store ||
         (m_Evidence == OwnershipEvidence::Witnesses &&
          !Quota.m_Share.m_IsAtRisk);
}

double QuotaOwner::neededLevel(const Bucket &Quota,
                               std::uint32_t Tokens) const {
  if (!isDivided(Quota))
    return 0;
  return std::min(std::max(0.0, Tokens - Quota.m_DividedDebt),
                  Quota.m_Divided.m_Burst);
}

QuotaResponse QuotaOwner::handleRequest(const QuotaRequest &Request,
                                        core::TimePoint Now) {
  QuotaResponse Out;
  auto Found = m_Buckets.find(Request.m_Account);
  if (Found == m_Buckets.end() || !isHeld(Found->second))
    return Out;
  TokenBucket &Tokens = Found->second.m_Tokens;
  Tokens.giveBack(Request.m_Returned, Now);
  Out.m_Verdict = QuotaVerdict::Granted;
  if (Request.m_Tokens == 0)
    return Out;
  double Missing =
      neededLevel(Found->second, Request.m_Tokens) - Tokens.level(Now);
  if (Missing > 0 || !Tokens.tryTake(Request.m_Tokens, Now)) {
    Out.m_Verdict = QuotaVerdict::Refused;
    Out.m_RetryAfter =
        std::max(Tokens.untilAvailable(),
                 core::fromSeconds(std::max(0.0, Missing) /
                                   Tokens.limits().m_TokensPerSecond));
    return Out;
  }
  shareDebt(Request.m_Account, Found->second, Now);
  Out.m_Tokens = Request.m_Tokens;
  if (Tokens.level(Now) < Tokens.limits().m_Burst * AdvanceThresholdShare)
    return Out;
  TokenBucket &Advance = Found->second.m_Advance;
  double More = std::floor(Advance.level(Now) * AdvanceOfOneRequest);
  if (More >= 1 && Advance.tryTake(More, Now) && Tokens.tryTake(More, Now))
    Out.m_Tokens += static_cast<std::uint32_t>(More);
  return Out;
}

void QuotaOwner::shareDebt(AccountHash Account, Bucket &Quota,
                           core::TimePoint Now) {
  double Debt = -Quota.m_Tokens.level(Now);
  double OwnerCount = static_cast<double>(1 + Quota.m_Others.size());
  auto Share = static_cast<std::uint32_t>(std::max(0.0, Debt) / OwnerCount);
  if (Share < MinCharge)
    return;
  for (const config::Endpoint &Each : Quota.m_Others)
    m_Charges.push_back({Each, Account, Share});
}

bool QuotaOwner::charge(AccountHash Account, std::uint32_t Tokens,
                        core::TimePoint Now) {
  auto Found = m_Buckets.find(Account);
  if (Found == m_Buckets.end() || !isHeld(Found->second))
    return false;
  Found->second.m_Tokens.charge(Tokens, Now);
  return true;
}

void QuotaOwner::settleCharge(AccountHash Account, std::uint32_t Tokens,
                              core::TimePoint Now) {
  auto Found = m_Buckets.find(Account);
  if (Found != m_Buckets.end())
    Found->second.m_Tokens.giveBack(Tokens, Now);
}

} // namespace yardrill::routing
