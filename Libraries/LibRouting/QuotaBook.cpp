#include "LibRouting/QuotaBook.h"

#include "LibCore/Digest.h"

namespace yardrill::routing {

std::uint32_t QuotaBook::hashOf(const core::AccountName &Account) {
  return static_cast<std::uint32_t>(core::stableHash(Account.value()));
}

void QuotaBook::configure(const RoutingTable &Table, core::TimePoint Now) {
  std::unordered_map<core::AccountName, TokenQuota> Next;
  m_Names.clear();
  for (const Account &Each : Table.accounts()) {
    m_Names[hashOf(Each.m_Name)] = Each.m_Name;
    if (Each.m_TokensPerSecond <= 0)
      continue;
    QuotaLimits Limits{Each.m_TokensPerSecond, Each.m_Burst};
    auto Known = m_Quotas.find(Each.m_Name);
    if (Known == m_Quotas.end()) {
      Next.emplace(Each.m_Name, TokenQuota(Limits, m_IsFull, Now));
      continue;
    }
    Known->second.setLimits(Limits, Now);
    Next.emplace(Each.m_Name, Known->second);
  }
  m_Quotas = std::move(Next);
}

bool QuotaBook::tryTake(const core::AccountName &Account, std::uint32_t Tokens,
                        core::TimePoint Now) {
  auto Found = m_Quotas.find(Account);
  if (Found != m_Quotas.end() && !Found->second.tryTake(Tokens, m_Share, Now))
    return false;
  m_Drawn[hashOf(Account)] += Tokens;
  return true;
}

void QuotaBook::giveBack(const core::AccountName &Account,
                         std::uint32_t Tokens) {
  auto Found = m_Quotas.find(Account);
  if (Found != m_Quotas.end())
    Found->second.giveBack(Tokens);
  // What others were told stays: a counter that falls would be read as a
  // refund by those who saw it and as nothing by those who did not.
}

core::Duration
QuotaBook::untilAvailable(const core::AccountName &Account) const {
  auto Found = m_Quotas.find(Account);
  return Found == m_Quotas.end() ? core::Duration::zero()
                                 : Found->second.untilAvailable();
}

void QuotaBook::noteOther(core::IncarnationId Other, const DrawnTokens &Drawn) {
  auto [Place, IsNew] = m_Others.try_emplace(Other);
  for (const auto &[Hash, Tokens] : Drawn) {
    std::uint64_t &Before = Place->second[Hash];
    // What it drew before we heard of it is long refilled, or was drawn by an
    // instance that counted it; the first word only sets the mark.
    std::uint64_t More = Tokens > Before && !IsNew ? Tokens - Before : 0;
    Before = std::max(Before, Tokens);
    auto Name = m_Names.find(Hash);
    if (More == 0 || Name == m_Names.end())
      continue;
    auto Quota = m_Quotas.find(Name->second);
    if (Quota != m_Quotas.end())
      Quota->second.noteOthers(static_cast<double>(More));
  }
}

} // namespace yardrill::routing
