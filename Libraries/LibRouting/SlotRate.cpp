#include "LibRouting/SlotRate.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Time constant of the observed rate.
static constexpr double ObservationSeconds = 2;
static constexpr double MinTierShare = 0.1;

static double decay(core::Duration Elapsed) {
  return std::exp(-core::toSeconds(Elapsed) / ObservationSeconds);
}

void SlotRate::recordEnd(const core::PoolName &Pool, core::TimePoint Now) {
  RecentEnds &Ends = m_Ends[Pool];
  Ends.m_Count = Ends.m_Count * decay(Now - Ends.m_LastAt) + 1;
  Ends.m_LastAt = Now;
}

double SlotRate::observed(const core::PoolName &Pool,
                          core::TimePoint Now) const {
  auto Found = m_Ends.find(Pool);
  if (Found == m_Ends.end())
    return 0;
  return Found->second.m_Count * decay(Now - Found->second.m_LastAt) /
         ObservationSeconds;
}

SlotRates SlotRate::rates(const core::PoolName &Pool, const PoolDemand &Group,
                          const Priority &Tier, core::TimePoint Now) const {
  double Known = 0;
  double KnownRunning = 0;
  double Running = 0;
  double HigherArrivals = 0;
  for (const auto &[Each, Demand] : Group) {
    Running += Demand.m_Running;
    if (Each < Tier)
      HigherArrivals += Demand.m_ArrivalsPerSecond;
    double SlotSeconds = core::toSeconds(Demand.meanSlotTime());
    if (SlotSeconds <= 0 || Demand.m_Running == 0)
      continue;
    Known += Demand.m_Running / SlotSeconds;
    KnownRunning += Demand.m_Running;
  }
  if (Known <= 0)
    return {};
  SlotRates Out;
  // Tiers of unknown slot time are taken to hold slots as long as the others.
  Out.m_Total = std::max(Known * Running / KnownRunning, observed(Pool, Now));
  // Less the standard deviation of the arrivals in the time over which their
  // rate is measured, about two seconds.
  HigherArrivals -= std::min(HigherArrivals, std::sqrt(HigherArrivals / 2));
  Out.m_OfTier =
      std::max(Out.m_Total - HigherArrivals, Out.m_Total * MinTierShare);
  return Out;
}

} // namespace yardrill::routing
