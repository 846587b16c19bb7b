//===-- TierConcurrencyTable.h - Bounds on lower tiers, by pool -----------===//
#ifndef YARDRILL_LIBROUTING_TIERCONCURRENCYTABLE_H
#define YARDRILL_LIBROUTING_TIERCONCURRENCYTABLE_H

#include "LibRouting/DemandTable.h"
#include "LibRouting/TierConcurrency.h"

#include <optional>
#include <unordered_map>

namespace yardrill::routing {

/// Keeps the bound of each pool for some milliseconds, because the demand of a
/// group is a sum over its instances and the Dispatcher asks for each request.
class TierConcurrencyTable {
public:
  /// Records for how long a request of this tier may wait for a slot.
  void recordArrival(const core::PoolName &Pool, const Priority &Tier,
                     core::Duration MaxWait);
  void recordStart(const core::PoolName &Pool, const Priority &Tier);
  void recordEnd(const core::PoolName &Pool, const Priority &Tier);
  /// Returns whether a request of this tier may take a free slot; none if there
  /// is no bound.
  /// \param Demand measured demand, read if the kept bound is too old.
  /// \param UsableSlots as for TierConcurrency.
  std::optional<bool> mayStart(const core::PoolName &Pool, const Priority &Tier,
                               const DemandTable &Demand, double UsableSlots,
                               double FreeSlots, core::TimePoint Now);

private:
  struct PoolState {
    TierConcurrency::MaxWaits m_Waits; ///< Of the last request of each tier.
    std::optional<TierConcurrency> m_Bound;
    core::TimePoint m_BoundAt{};
  };

  std::unordered_map<core::PoolName, PoolState> m_Pools;
};

} // namespace yardrill::routing

#endif
