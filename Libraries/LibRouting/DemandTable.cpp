#include "LibRouting/DemandTable.h"

#include <cmath>

namespace yardrill::routing {

/// Time constant of the arrival rate: averages over the clumps in which callers
/// send, and follows a burst within its first second.
static constexpr double ArrivalTimeConstantSeconds = 1;
/// Weight of the newest sample in the mean time that a request holds a slot.
static constexpr double SlotTimeWeight = 0.1;

static double decay(core::Duration Elapsed) {
  return std::exp(-core::toSeconds(Elapsed) / ArrivalTimeConstantSeconds);
}

void DemandTable::recordArrival(const core::PoolName &Pool,
                                const Priority &Tier, core::TimePoint Now) {
  Meter &Known = m_Meters[Pool][Tier];
  Known.m_RecentArrivals =
      Known.m_RecentArrivals * decay(Now - Known.m_LastArrivalAt) + 1;
  Known.m_LastArrivalAt = Now;
}

void DemandTable::recordWaiting(const core::PoolName &Pool,
                                const Priority &Tier) {
  ++m_Meters[Pool][Tier].m_Waiting;
}

void DemandTable::recordWaitEnd(const core::PoolName &Pool,
                                const Priority &Tier) {
  Meter &Known = m_Meters[Pool][Tier];
  if (Known.m_Waiting > 0)
    --Known.m_Waiting;
}

void DemandTable::recordStart(const core::PoolName &Pool,
                              const Priority &Tier) {
  ++m_Meters[Pool][Tier].m_Running;
}

void DemandTable::recordEnd(const core::PoolName &Pool, const Priority &Tier,
                            core::Duration SlotTime) {
  Meter &Known = m_Meters[Pool][Tier];
  if (Known.m_Running > 0)
    --Known.m_Running;
  double Seconds = core::toSeconds(SlotTime);
  Known.m_SlotSeconds =
      Known.m_SlotSeconds == 0
          ? Seconds
          : Known.m_SlotSeconds +
                SlotTimeWeight * (Seconds - Known.m_SlotSeconds);
}

PoolDemand DemandTable::own(const core::PoolName &Pool,
                            core::TimePoint Now) const {
  PoolDemand Out;
  auto Found = m_Meters.find(Pool);
  if (Found == m_Meters.end())
    return Out;
  for (const auto &[Tier, Known] : Found->second) {
    TierDemand Demand;
    Demand.m_Waiting = Known.m_Waiting;
    Demand.m_Running = Known.m_Running;
    Demand.m_ArrivalsPerSecond = Known.m_RecentArrivals *
                                 decay(Now - Known.m_LastArrivalAt) /
                                 ArrivalTimeConstantSeconds;
    Demand.m_OfferedSlots = Demand.m_ArrivalsPerSecond * Known.m_SlotSeconds;
    Out.emplace(Tier, Demand);
  }
  return Out;
}

PoolDemand DemandTable::group(const core::PoolName &Pool,
                              core::TimePoint Now) const {
  PoolDemand Out = own(Pool, Now);
  for (const auto &[Address, Reported] : m_Peers) {
    auto Found = Reported.find(hashOf(Pool));
    if (Found != Reported.end())
      add(Out, Found->second);
  }
  return Out;
}

} // namespace yardrill::routing
