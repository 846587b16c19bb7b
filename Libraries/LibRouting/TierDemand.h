//===-- TierDemand.h - Demand for the slots of a pool ---------------------===//
#ifndef YARDRILL_LIBROUTING_TIERDEMAND_H
#define YARDRILL_LIBROUTING_TIERDEMAND_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>
#include <map>

namespace yardrill::routing {

/// Demand for the slots of one pool by requests of one priority, at one
/// instance or summed over several.
struct TierDemand {
  std::uint32_t m_Waiting = 0; ///< Requests that wait for a slot.
  std::uint32_t m_Running = 0; ///< Requests that hold a slot.
  double m_ArrivalsPerSecond = 0;
  /// Mean number of slots that these arrivals occupy if none waits or is
  /// refused (offered load): their rate times the mean time in a slot.
  double m_OfferedSlots = 0;

  /// Returns the mean time that a request holds a slot; zero if unknown.
  core::Duration meanSlotTime() const;
  TierDemand &operator+=(const TierDemand &Other);
  bool isNone() const { return m_Waiting == 0 && m_Running == 0; }
};

/// Demand for the slots of one pool, the highest priority first.
using PoolDemand = std::map<Priority, TierDemand>;

/// Adds the demand of another instance.
void add(PoolDemand &Sum, const PoolDemand &Other);

/// Hash that identifies a pool in reports.
using PoolHash = std::uint32_t;
PoolHash hashOf(const core::PoolName &Pool);

} // namespace yardrill::routing

#endif
