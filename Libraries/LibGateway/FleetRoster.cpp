#include "LibGateway/FleetRoster.h"

#include <algorithm>

namespace yardrill::gateway {

/// Longer than a restart, and than a window of the quotas (8 s): an instance
/// that comes back finds the quotas that it kept, and one that is cut off keeps
/// its part. Until it is left out its accounts have two thirds of their limit.
static constexpr std::chrono::seconds GoneTime{12};

std::optional<FleetList> FleetRoster::correction(const FleetList &Live,
                                                 core::TimePoint Now) {
  std::map<config::Endpoint, core::TimePoint> Silent;
  FleetList Next = Live;
  for (const config::Endpoint &Each : m_Recorded) {
    if (std::binary_search(Live.begin(), Live.end(), Each))
      continue;
    auto Known = m_SilentSince.find(Each);
    core::TimePoint Since = Known == m_SilentSince.end() ? Now : Known->second;
    Silent.emplace(Each, Since);
    if (Now - Since < GoneTime)
      Next.push_back(Each);
  }
  m_SilentSince = std::move(Silent);
  std::sort(Next.begin(), Next.end());
  if (Next == m_Recorded)
    return std::nullopt;
  return Next;
}

} // namespace yardrill::gateway
