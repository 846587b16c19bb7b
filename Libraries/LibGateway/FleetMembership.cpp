//===-- FleetMembership.cpp - Instances that belong to the fleet ----------===//
#include "LibGateway/FleetMembership.h"

namespace yardrill::gateway {

/// Time after which a recorded instance that is not live is removed. Exceeds a
/// restart and the window of the quota tolerance (8 s), so that an instance
/// which returns or is partitioned keeps the quotas it owns. Until then, one of
/// the three owners of each of these accounts is absent, which leaves two
/// thirds of its limit.
static constexpr std::chrono::seconds RemovalDelay{12};

std::optional<FleetMembers>
FleetMembership::proposeUpdate(const FleetMembers &Live, core::TimePoint Now) {
  std::map<config::Endpoint, core::TimePoint> Silent;
  FleetMembers Next = Live;
  m_Retained.clear();
  for (const auto &[Address, Hall] : m_Recorded) {
    if (Live.count(Address) != 0)
      continue;
    auto Known = m_SilentSince.find(Address);
    core::TimePoint Since = Known == m_SilentSince.end() ? Now : Known->second;
    Silent.emplace(Address, Since);
    if (Now - Since >= RemovalDelay)
      continue;
    Next.emplace(Address, Hall);
    m_Retained.emplace(Address, RetentionReason::RecentlySilent);
  }
  if (Silent.size() * 2 >= m_Recorded.size()) {
    Next.insert(m_Recorded.begin(), m_Recorded.end());
    for (const auto &[Address, Since] : Silent)
      m_Retained.emplace(Address, RetentionReason::MostSilent);
  }
  m_SilentSince = std::move(Silent);
  if (Next == m_Recorded)
    return std::nullopt;
  return Next;
}

} // namespace yardrill::gateway
