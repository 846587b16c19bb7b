//===-- QuotaRings.cpp - Selects the owners of each account's quota -------===//
#include "LibRouting/QuotaRings.h"

#include <algorithm>

namespace yardrill::routing {

static bool contains(const std::vector<config::Endpoint> &All,
                     const config::Endpoint &Searched) {
  return std::find(All.begin(), All.end(), Searched) != All.end();
}

std::vector<config::Endpoint>
QuotaRings::ownersOf(std::uint32_t Account) const {
  return m_Leaseholders.ownersOf(Account);
}

std::vector<config::Endpoint>
QuotaRings::lostOwnersOf(std::uint32_t Account) const {
  std::vector<config::Endpoint> Out = m_Owners.ownersOf(Account);
  Out.erase(std::remove_if(Out.begin(), Out.end(),
                           [this](const config::Endpoint &Each) {
                             return m_Leaseholders.contains(Each);
                           }),
            Out.end());
  return Out;
}

std::optional<QuotaShare>
QuotaRings::shareOf(std::uint32_t Account,
                    const config::Endpoint &Instance) const {
  std::vector<config::Endpoint> Owners = ownersOf(Account);
  if (!contains(Owners, Instance))
    return std::nullopt;
  QuotaShare Out;
  Out.m_IsAtRisk = !m_Planned.isOwner(Account, Instance);
  std::vector<config::Endpoint> Former = m_Owners.ownersOf(Account);
  std::size_t Lost = lostOwnersOf(Account).size();
  if (Lost == 0 || contains(Former, Instance))
    return Out;
  auto Successors = static_cast<std::size_t>(std::count_if(
      Owners.begin(), Owners.end(), [&Former](const config::Endpoint &Each) {
        return !contains(Former, Each);
      }));
  Out.m_IsPartial = true;
  // The leases of lost owners have ended.
  Out.m_HandedOver = 1 - static_cast<double>(std::min(Lost, Successors)) /
                             static_cast<double>(Successors);
  return Out;
}

double QuotaRings::shareSize(std::size_t OwnerCount) const {
  std::size_t Shares = std::max(
      OwnerCount, std::min(m_Owners.size(), ConsistentHashRing::MaxOwners));
  return 1 / static_cast<double>(Shares);
}

std::size_t QuotaRings::instanceCount() const {
  return std::max({m_Owners.size(), m_Leaseholders.size(), m_Planned.size()});
}

} // namespace yardrill::routing
