#include "LibDecision/PoolQueue.h"

#include <algorithm>
#include <cassert>

namespace yardrill::decision {

void PoolQueue::push(const Entry &Item) { insert(Item, false); }

void PoolQueue::pushFront(const Entry &Item) { insert(Item, true); }

void PoolQueue::insert(const Entry &Item, bool IsFront) {
  assert(m_Locations.count(Item.m_Request) == 0);
  TierQueue &Tier = m_Tiers[Item.m_Tier];
  AccountQueue &Account = Tier.m_Accounts[Item.m_Account];
  if (Account.m_Waiting.empty()) {
    // An account that was idle gets no credit for the time it did not use.
    Account.m_StartTag = std::max(Account.m_StartTag, Tier.m_VirtualTime);
    Tier.m_Order.emplace(Account.m_StartTag, Item.m_Account);
  }
  Position At{Item.m_Order, IsFront ? m_NextFront-- : m_NextBack++};
  Location Inserted{Item.m_Tier, Item.m_Account,
                    Account.m_Waiting.emplace(At, Item).first, std::nullopt};
  if (Item.m_IsSheddable) {
    auto End = IsFront ? Tier.m_Sheddable.begin() : Tier.m_Sheddable.end();
    Inserted.m_Arrival = Tier.m_Sheddable.insert(End, Item.m_Request);
  }
  m_Locations.emplace(Item.m_Request, Inserted);
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
    return Tier.m_Accounts.at(Account).m_Waiting.begin()->second.m_Request;
  }
  return std::nullopt;
}

std::optional<PoolQueue::Entry> PoolQueue::shedCandidate() const {
  for (auto Tier = m_Tiers.rbegin(); Tier != m_Tiers.rend(); ++Tier) {
    if (Tier->second.m_Sheddable.empty())
      continue;
    return m_Locations.at(Tier->second.m_Sheddable.back()).m_Entry->second;
  }
  return std::nullopt;
}

bool PoolQueue::dequeue(core::RequestId Request) {
  return erase(Request, true);
}

bool PoolQueue::remove(core::RequestId Request) {
  return erase(Request, false);
}

bool PoolQueue::erase(core::RequestId Request, bool IsServed) {
  auto Found = m_Locations.find(Request);
  if (Found == m_Locations.end())
    return false;
  Location Erased = Found->second;
  m_Locations.erase(Found);
  TierQueue &Tier = m_Tiers[Erased.m_Tier];
  auto Owner = Tier.m_Accounts.find(Erased.m_Account);
  AccountQueue &Account = Owner->second;
  const Entry &Item = Erased.m_Entry->second;
  double Charge = Item.m_Cost / Item.m_Weight;
  Tier.m_Order.erase({Account.m_StartTag, Erased.m_Account});
  if (Erased.m_Arrival)
    Tier.m_Sheddable.erase(*Erased.m_Arrival);
  Account.m_Waiting.erase(Erased.m_Entry);
  --Tier.m_Size;
  if (IsServed) {
    Tier.m_VirtualTime = std::max(Tier.m_VirtualTime, Account.m_StartTag);
    Account.m_StartTag += Charge;
  }
  if (!Account.m_Waiting.empty())
    Tier.m_Order.emplace(Account.m_StartTag, Erased.m_Account);
  else if (Tier.m_Order.empty())
    // With no request waiting, past service no longer matters.
    Tier.m_Accounts.clear();
  return true;
}

} // namespace yardrill::decision
