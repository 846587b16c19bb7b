#include "LibGateway/FleetMembership.h"

namespace yardrill::gateway {

/// Longer than a restart, and than a window of the quotas (8 s): an instance
/// that comes back finds the quotas that it kept, and one that is cut off keeps
/// its part. Until it is left out its accounts have two thirds of their limit.
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
