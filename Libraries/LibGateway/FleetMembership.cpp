//===-- FleetMembership.cpp - Instances that belong to the fleet ----------===//
#include "LibGateway/FleetMembership.h"

namespace yardrill::gateway {

/// Silence after which an instance is removed. Exceeds a restart and a window
/// of the quotas (8 s), so that an instance which returns or is partitioned
/// keeps the quotas it owns. Until then its accounts have two thirds of their
/// limit.
static constexpr std::chrono::seconds RemovalDelay{12};

std::optional<FleetMembers>
FleetMembership::proposeUpdate(const FleetMembers &Live, core::TimePoint Now) {
  std::map<config::Endpoint, core::TimePoint> Silent;
  FleetMembers Next = Live;
  for (const auto &[Address, Hall] : m_Recorded) {
    if (Live.count(Address) != 0)
      continue;
    auto Known = m_SilentSince.find(Address);
    core::TimePoint Since = Known == m_SilentSince.end() ? Now : Known->second;
    Silent.emplace(Address, Since);
    if (Now - Since < RemovalDelay)
      Next.emplace(Address, Hall);
  }
  if (Silent.size() * 2 >= m_Recorded.size())
    Next.insert(m_Recorded.begin(), m_Recorded.end());
  m_SilentSince = std::move(Silent);
  if (Next == m_Recorded)
    return std::nullopt;
  return Next;
}

} // namespace yardrill::gateway
