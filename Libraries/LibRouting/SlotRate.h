//===-- SlotRate.h - Rate at which slots of a pool come free --------------===//
//
// The wait of a request depends on how many slots come free for its tier.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SLOTRATE_H
#define YARDRILL_LIBROUTING_SLOTRATE_H

#include "LibRouting/TierDemand.h"

#include <unordered_map>

namespace yardrill::routing {

/// Rates at which slots of one pool come free, in slots a second.
struct SlotRates {
  double m_Total = 0; ///< Whoever uses them.
  /// Those that higher tiers leave, at least a tenth of the total: a tier also
  /// gets slots in the gaps between the arrivals of higher ones.
  double m_OfTier = 0;
};

/// Estimates the rate at which slots come free from the requests that hold one
/// and the mean time for which they do, at least as observed here.
class SlotRate {
public:
  /// Records that a request of this instance has ended.
  void recordEnd(const core::PoolName &Pool, core::TimePoint Now);
  /// Returns the rates for a tier; zero if no slot time is known yet.
  /// \param Group demand of all instances that share the slots.
  SlotRates rates(const core::PoolName &Pool, const PoolDemand &Group,
                  const Priority &Tier, core::TimePoint Now) const;

private:
  /// Requests that have ended here, decaying with time.
  struct RecentEnds {
    double m_Count = 0;
    core::TimePoint m_LastAt{};
  };

  double observed(const core::PoolName &Pool, core::TimePoint Now) const;

  std::unordered_map<core::PoolName, RecentEnds> m_Ends;
};

} // namespace yardrill::routing

#endif
