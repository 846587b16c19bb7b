#include "LibRouting/TierConcurrencyTable.h"

#include <algorithm>

namespace yardrill::routing {

/// Time for which a bound is used; a fraction of the period of load reports.
static constexpr std::chrono::milliseconds MaxBoundAge{5};

void TierConcurrencyTable::recordArrival(const core::PoolName &Pool,
                                         const Priority &Tier,
                                         core::Duration MaxWait) {
  m_Pools[Pool].m_Waits[Tier] = std::max(MaxWait, core::Duration::zero());
}

void TierConcurrencyTable::recordStart(const core::PoolName &Pool,
                                       const Priority &Tier) {
  auto Found = m_Pools.find(Pool);
  if (Found != m_Pools.end() && Found->second.m_Bound)
    Found->second.m_Bound->recordStart(Tier);
}

void TierConcurrencyTable::recordEnd(const core::PoolName &Pool,
                                     const Priority &Tier) {
  auto Found = m_Pools.find(Pool);
  if (Found != m_Pools.end() && Found->second.m_Bound)
    Found->second.m_Bound->recordEnd(Tier);
}

std::optional<bool>
TierConcurrencyTable::mayStart(const core::PoolName &Pool, const Priority &Tier,
                               const DemandTable &Demand, double UsableSlots,
                               double FreeSlots, core::TimePoint Now) {
  PoolState &Known = m_Pools[Pool];
  if (!Known.m_Bound || Now - Known.m_BoundAt > MaxBoundAge) {
    Known.m_Bound.emplace(Demand.group(Pool, Now), UsableSlots, Known.m_Waits);
    Known.m_BoundAt = Now;
  }
  return Known.m_Bound->mayStart(Tier, FreeSlots);
}

} // namespace yardrill::routing
