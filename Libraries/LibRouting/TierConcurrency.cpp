#include "LibRouting/TierConcurrency.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Slots kept free for the variation of the higher tiers' load, in standard
/// deviations of the number of slots that they want.
static constexpr double MarginDeviations = 0.75;
/// Variance of the number of slots that clumped arrivals want, relative to
/// independent ones: (1 + clump size) / 2, for clumps of three.
static constexpr double ClumpFactor = 2;
/// Share of their permitted wait that requests of higher tiers are expected to
/// use. The rest covers the delay of load reports.
static constexpr double UsableWaitShare = 0.5;
/// Share of the slots that is left to the lowest tier.
static constexpr double LowestFloorShare = 0.1;
/// Share of an equal service that is left to each lower tier.
static constexpr double FloorServiceShare = 0.25;
/// Rate below which a tier without a measured slot time needs no slots.
static constexpr double MinArrivalsPerSecond = 0.1;

static double usableSeconds(core::Duration MaxWait) {
  return UsableWaitShare * core::toSeconds(MaxWait);
}

void TierConcurrency::recordEnd(const Priority &Tier) {
  TierDemand &Known = m_Group[Tier];
  if (Known.m_Running > 0)
    --Known.m_Running;
}

TierConcurrency::Split TierConcurrency::splitAt(const Priority &Tier) const {
  Split Out;
  for (const auto &[Each, Demand] : m_Group) {
    if (!(Each < Tier)) {
      Out.m_Others += Demand;
      if (Each == Tier)
        Out.m_Own = Demand;
      continue;
    }
    if (Demand.m_OfferedSlots <= 0 &&
        Demand.m_ArrivalsPerSecond >= MinArrivalsPerSecond)
      return Split();
    Out.m_IsKnown = true;
    Out.m_Higher += Demand;
    auto Wait = m_Waits.find(Each);
    Out.m_HigherWait =
        std::min(Out.m_HigherWait,
                 Wait == m_Waits.end() ? core::Duration::zero() : Wait->second);
  }
  return Out;
}

double TierConcurrency::floorOf(const Priority &Tier) const {
  double Offered = 0;
  for (const auto &[Each, Demand] : m_Group)
    Offered += Demand.m_OfferedSlots;
  double ServiceShare = Offered > m_UsableSlots ? m_UsableSlots / Offered : 1;
  double Floor = 0;
  for (auto Each = m_Group.rbegin(); Each != m_Group.rend(); ++Each) {
    if (Each->first < Tier)
      break;
    Floor += FloorServiceShare * ServiceShare * Each->second.m_OfferedSlots;
    if (Each == m_Group.rbegin())
      Floor = std::max({1.0, LowestFloorShare * m_UsableSlots, Floor});
  }
  return Floor;
}

double TierConcurrency::maxHeld(const Priority &Tier,
                                const Split &Demand) const {
  double Offered = Demand.m_Higher.m_OfferedSlots;
  double Margin = MarginDeviations * std::sqrt(ClumpFactor * Offered);
  double Bound = std::max(0.0, m_UsableSlots - Offered - Margin);
  double SlotSeconds = core::toSeconds(Demand.m_Others.meanSlotTime());
  double Wait = usableSeconds(Demand.m_HigherWait);
  if (SlotSeconds > 0)
    Bound =
        Wait < SlotSeconds ? Bound / (1 - Wait / SlotSeconds) : m_UsableSlots;
  return std::max(std::min(Bound, m_UsableSlots), floorOf(Tier));
}

std::optional<double> TierConcurrency::maxHeld(const Priority &Tier) const {
  Split Demand = splitAt(Tier);
  if (!Demand.m_IsKnown)
    return std::nullopt;
  return maxHeld(Tier, Demand);
}

std::optional<bool> TierConcurrency::mayStart(const Priority &Tier,
                                              double FreeSlots) const {
  Split Demand = splitAt(Tier);
  if (!Demand.m_IsKnown)
    return std::nullopt;
  double Held = Demand.m_Others.m_Running + 1.0;
  if (Held <= floorOf(Tier))
    return true;
  // A short request frees its slot again before those that wait are late.
  double SlotSeconds = core::toSeconds(Demand.m_Own.meanSlotTime());
  bool IsShort =
      SlotSeconds > 0 && SlotSeconds <= usableSeconds(Demand.m_HigherWait);
  if (!IsShort && Demand.m_Higher.m_Waiting > FreeSlots - 1)
    return false;
  return Held <= std::round(maxHeld(Tier, Demand));
}

} // namespace yardrill::routing
