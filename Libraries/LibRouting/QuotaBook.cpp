#include "LibRouting/QuotaBook.h"

#include <algorithm>

namespace yardrill::routing {

/// Tokens that were granted and not used go back after this time: long enough
/// for a caller that was refused for want of a target to return (0.5 s).
static constexpr std::chrono::seconds KeepTime{1};
/// An owner that did not answer is passed over for this time, and then asked
/// by one request again.
static constexpr std::chrono::milliseconds SilentTime{250};
/// An owner that refused is not asked for this time at the most, since others
/// may give tokens back to it meanwhile.
static constexpr std::chrono::milliseconds MostEmptyTime{50};
/// Part of the tolerance that all instances together may let in at once, and
/// again within a window, while none reaches an owner. Were it a part of the
/// limit, as if the owners granted that much less, the third of a fleet that is
/// cut off would add 2.8 times the rate to a window that the owners fill, where
/// 0.9 and a constant are tolerated (QuotaDeploymentsTest: up to 4.6 times the
/// tolerance used before). The other half is left for debts and restarts.
static constexpr double AloneShare = 0.25;
/// When to come back after a refusal that no owner gave a time for.
static constexpr std::chrono::milliseconds UnknownRetry{250};

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

void QuotaBook::setAccounts(std::vector<Account> Accounts,
                            core::TimePoint Now) {
  m_Accounts = std::move(Accounts);
  configure(Now);
}

void QuotaBook::setRing(OwnerRing Ring, core::TimePoint Now) {
  m_Ring = std::move(Ring);
  configure(Now);
}

QuotaLimits QuotaBook::aloneLimits(const QuotaLimits &Limits) const {
  // While nobody is known, anybody may be at work.
  if (m_Ring.size() == 0)
    return {};
  double Tokens = m_Tolerance.tokens(Limits) * AloneShare /
                  static_cast<double>(m_Ring.size());
  return {Tokens / core::toSeconds(m_Tolerance.m_Window), Tokens};
}

void QuotaBook::configure(core::TimePoint Now) {
  m_Own.configure(m_Accounts, m_Ring, Now);
  std::unordered_map<AccountHash, Limited> Next;
  for (const Account &Each : m_Accounts) {
    if (Each.m_TokensPerSecond <= 0)
      continue;
    QuotaLimits Limits = aloneLimits({Each.m_TokensPerSecond, Each.m_Burst});
    auto Known = m_Limited.find(hashOf(Each.m_Name));
    if (Known == m_Limited.end()) {
      Limited New{{}, TokenQuota(Limits, 0, Now), {}};
      Next.emplace(hashOf(Each.m_Name), std::move(New));
      continue;
    }
    Known->second.m_Alone.setLimits(Limits, Now);
    Next.emplace(Known->first, std::move(Known->second));
  }
  m_Limited = std::move(Next);
}

bool QuotaBook::takeKept(Limited &Of, QuotaDraw &Draw) {
  for (Kept &Each : Of.m_Kept) {
    if (Each.m_Tokens < Draw.m_Tokens)
      continue;
    Each.m_Tokens -= Draw.m_Tokens;
    Draw.m_Owner = Each.m_Owner;
    Draw.m_Source = QuotaSource::Advance;
    return true;
  }
  return false;
}

QuotaStep QuotaBook::begin(QuotaDraw &Draw, core::TimePoint Now) {
  auto Found = m_Limited.find(Draw.m_Account);
  if (Found == m_Limited.end())
    return QuotaStep::Granted;
  if (takeKept(Found->second, Draw))
    return QuotaStep::Granted;
  Draw.m_Left = m_Ring.ownersOf(Draw.m_Account);
  // Callers of all instances meet all owners alike, as each has its own part.
  std::shuffle(Draw.m_Left.begin(), Draw.m_Left.end(), m_Random);
  auto Own = std::find(Draw.m_Left.begin(), Draw.m_Left.end(), m_Self);
  if (Own != Draw.m_Left.end())
    std::rotate(Own, Own + 1, Draw.m_Left.end());
  return next(Draw, Now);
}

QuotaStep QuotaBook::next(QuotaDraw &Draw, core::TimePoint Now) {
  Limited &Of = m_Limited.at(Draw.m_Account);
  while (!Draw.m_Left.empty()) {
    const config::Endpoint Owner = Draw.m_Left.back();
    auto Empty = Of.m_EmptyUntil.find(Owner);
    if (Empty != Of.m_EmptyUntil.end() && Empty->second > Now) {
      noteRefusal(Of, Owner, Draw, Empty->second - Now, Now);
      Draw.m_Left.pop_back();
      continue;
    }
    if (Owner == m_Self)
      return answered(
          Draw, m_Own.answer({Draw.m_Account, Draw.m_Tokens, 0}, Now), Now);
    auto Silent = m_SilentUntil.find(Owner);
    if (Silent == m_SilentUntil.end() || Silent->second <= Now)
      return QuotaStep::Ask;
    Draw.m_Left.pop_back();
  }
  if (Draw.m_RetryAfter)
    return QuotaStep::Refused;
  return drawAlone(Of, Draw, Now);
}

void QuotaBook::noteRefusal(Limited &Of, const config::Endpoint &Owner,
                            QuotaDraw &Draw, core::Duration RetryAfter,
                            core::TimePoint Now) {
  Of.m_EmptyUntil[Owner] =
      Now + std::min<core::Duration>(RetryAfter, MostEmptyTime);
  Draw.m_RetryAfter =
      std::min(Draw.m_RetryAfter.value_or(RetryAfter), RetryAfter);
}

QuotaStep QuotaBook::answered(QuotaDraw &Draw, const QuotaAnswer &Answer,
                              core::TimePoint Now) {
  config::Endpoint Owner = Draw.m_Left.back();
  Draw.m_Left.pop_back();
  m_SilentUntil.erase(Owner);
  auto Found = m_Limited.find(Draw.m_Account);
  // The account has lost its limit meanwhile.
  if (Found == m_Limited.end())
    return QuotaStep::Granted;
  Limited &Of = Found->second;
  switch (Answer.m_Verdict) {
  case QuotaVerdict::Granted:
    Draw.m_Owner = Owner;
    Draw.m_Source = QuotaSource::Owner;
    if (Answer.m_Tokens > Draw.m_Tokens)
      keep(Owner, Draw.m_Account, Answer.m_Tokens - Draw.m_Tokens, Now);
    return QuotaStep::Granted;
  case QuotaVerdict::Refused:
    noteRefusal(Of, Owner, Draw, Answer.m_RetryAfter, Now);
    break;
  case QuotaVerdict::NotOwner:
    break;
  }
  return next(Draw, Now);
}

QuotaStep QuotaBook::unanswered(QuotaDraw &Draw, core::TimePoint Now) {
  m_SilentUntil[Draw.m_Left.back()] = Now + SilentTime;
  Draw.m_Left.pop_back();
  if (m_Limited.count(Draw.m_Account) == 0)
    return QuotaStep::Granted;
  return next(Draw, Now);
}

QuotaStep QuotaBook::drawAlone(Limited &Of, QuotaDraw &Draw,
                               core::TimePoint Now) {
  Draw.m_Source = QuotaSource::Alone;
  // In the mean as many tokens as it holds, whatever requests come.
  double Level = Of.m_Alone.level(Now);
  double Tokens = Draw.m_Tokens;
  std::uniform_real_distribution<double> Chance(0, 1);
  bool IsLetIn = Chance(m_Random) * Tokens < Level;
  Of.m_Alone.take(std::min(Tokens, Level));
  if (IsLetIn)
    return QuotaStep::Granted;
  Draw.m_RetryAfter = UnknownRetry;
  return QuotaStep::Refused;
}

void QuotaBook::keep(const config::Endpoint &Owner, AccountHash Account,
                     std::uint32_t Tokens, core::TimePoint Now) {
  auto Found = m_Limited.find(Account);
  if (Found == m_Limited.end())
    return;
  for (Kept &Each : Found->second.m_Kept)
    if (Each.m_Owner == Owner) {
      if (Each.m_Tokens == 0)
        Each.m_Since = Now;
      Each.m_Tokens += Tokens;
      return;
    }
  Found->second.m_Kept.push_back({Owner, Tokens, Now});
}

void QuotaBook::giveBack(const QuotaDraw &Draw, core::TimePoint Now) {
  if (Draw.m_Owner)
    keep(*Draw.m_Owner, Draw.m_Account, Draw.m_Tokens, Now);
}

std::vector<QuotaReturn> QuotaBook::takeUnused(core::TimePoint Now) {
  std::vector<QuotaReturn> Out;
  for (auto &[Account, Of] : m_Limited) {
    auto IsUsed = [Now](const Kept &Each) {
      return Each.m_Tokens > 0 && Now - Each.m_Since < KeepTime;
    };
    auto First =
        std::stable_partition(Of.m_Kept.begin(), Of.m_Kept.end(), IsUsed);
    for (auto Each = First; Each != Of.m_Kept.end(); ++Each) {
      if (Each->m_Tokens == 0)
        continue;
      if (Each->m_Owner == m_Self)
        m_Own.answer({Account, 0, Each->m_Tokens}, Now);
      else
        Out.push_back({Each->m_Owner, Account, Each->m_Tokens});
    }
    Of.m_Kept.erase(First, Of.m_Kept.end());
  }
  return Out;
}

} // namespace yardrill::routing
