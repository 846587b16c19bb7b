#include "LibRouting/TierDemand.h"

#include "LibCore/Digest.h"

namespace yardrill::routing {

core::Duration TierDemand::meanSlotTime() const {
  if (m_ArrivalsPerSecond <= 0)
    return core::Duration::zero();
  return core::fromSeconds(m_OfferedSlots / m_ArrivalsPerSecond);
}

TierDemand &TierDemand::operator+=(const TierDemand &Other) {
  m_Waiting += Other.m_Waiting;
  m_Running += Other.m_Running;
  m_ArrivalsPerSecond += Other.m_ArrivalsPerSecond;
  m_OfferedSlots += Other.m_OfferedSlots;
  return *this;
}

void add(PoolDemand &Sum, const PoolDemand &Other) {
  for (const auto &[Tier, Demand] : Other)
    Sum[Tier] += Demand;
}

PoolHash hashOf(const core::PoolName &Pool) {
  return core::fnv1a32(Pool.value());
}

} // namespace yardrill::routing
