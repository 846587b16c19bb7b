#include "LibDecision/PoolQueue.h"

#include <algorithm>
#include <cassert>

namespace yardrill::decision {

void PoolQueue::push(const Entry &Item) { insert(Item, false); }

void PoolQueue::pushFront(const Entry &Item) { insert(Item, true); }

void PoolQueue::insert(const Entry &Item, bool IsFront) {
  assert(m_Places.count(Item.m_Request) == 0);
  TierQueue &Tier = m_Tiers[Item.m_Tier];
  AccountQueue &Account = Tier.m_Accounts[Item.m_Account];
  if (Account.m_Waiting.empty()) {
    // An account that was away gets no credit for the time it did not use.
    Account.m_Start = std::max(Account.m_Start, Tier.m_VirtualTime);
    Tier.m_Order.emplace(Account.m_Start, Item.m_Account);
  }
  auto Where = IsFront ? Account.m_Waiting.begin() : Account.m_Waiting.end();
  auto Entry = Account.m_Waiting.insert(Where, Item);
  auto ArrivalEnd = IsFront ? Tier.m_Arrivals.begin() : Tier.m_Arrivals.end();
  auto Arrival = Tier.m_Arrivals.insert(ArrivalEnd, Item.m_Request);
  m_Places.emplace(Item.m_Request,
                   Place{Item.m_Tier, Item.m_Account, Entry, Arrival});
  ++Tier.m_Size;
}

std::optional<core::RequestId>
PoolQueue::front(core::TierNumber LowestTier) const {
  for (const auto &[Number, Tier] : m_Tiers) {
    if (LowestTier < Number)
      return std::nullopt;
    if (Tier.m_Order.empty())
      continue;
    const core::AccountName &Account = Tier.m_Order.begin()->second;
    return Tier.m_Accounts.at(Account).m_Waiting.front().m_Request;
  }
  return std::nullopt;
}

std::optional<PoolQueue::Entry> PoolQueue::lastToServe() const {
  for (auto Tier = m_Tiers.rbegin(); Tier != m_Tiers.rend(); ++Tier) {
    if (Tier->second.m_Arrivals.empty())
      continue;
    return *m_Places.at(Tier->second.m_Arrivals.back()).m_Entry;
  }
  return std::nullopt;
}

bool PoolQueue::remove(core::RequestId Request) {
  auto Found = m_Places.find(Request);
  if (Found == m_Places.end())
    return false;
  Place At = Found->second;
  m_Places.erase(Found);
  TierQueue &Tier = m_Tiers[At.m_Tier];
  auto Owner = Tier.m_Accounts.find(At.m_Account);
  AccountQueue &Account = Owner->second;
  bool IsFirst = At.m_Entry == Account.m_Waiting.begin();
  double Share = At.m_Entry->m_Cost / At.m_Entry->m_Weight;
  Tier.m_Order.erase({Account.m_Start, At.m_Account});
  Tier.m_Arrivals.erase(At.m_Arrival);
  Account.m_Waiting.erase(At.m_Entry);
  --Tier.m_Size;
  if (IsFirst) {
    Tier.m_VirtualTime = std::max(Tier.m_VirtualTime, Account.m_Start);
    Account.m_Start += Share;
  }
  if (!Account.m_Waiting.empty())
    Tier.m_Order.emplace(Account.m_Start, At.m_Account);
  else if (Tier.m_Order.empty())
    // Nobody waits: the accounts' past turns no longer matter.
    Tier.m_Accounts.clear();
  return true;
}

std::size_t PoolQueue::size(core::TierNumber Tier) const {
  auto Found = m_Tiers.find(Tier);
  return Found == m_Tiers.end() ? 0 : Found->second.m_Size;
}

} // namespace yardrill::decision
