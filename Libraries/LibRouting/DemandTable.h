//===-- DemandTable.h - Demand of this instance and of its group ----------===//
//
// The decisions under overload need to know what others want of the same
// targets. This table measures the demand of this instance and keeps what group
// peers last reported. All of it is lost with the process and learned anew
// within seconds.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_DEMANDTABLE_H
#define YARDRILL_LIBROUTING_DEMANDTABLE_H

#include "LibConfig/Endpoint.h"
#include "LibRouting/TierDemand.h"

#include <map>
#include <unordered_map>

namespace yardrill::routing {

/// Demand that one group peer reported, by pool.
using ReportedDemand = std::map<PoolHash, PoolDemand>;

/// Measures the demand for slots by pool and priority, and keeps that of peers.
/// Does no I/O and reads no clock.
class DemandTable {
public:
  // This instance.
  void recordArrival(const core::PoolName &Pool, const Priority &Tier,
                     core::TimePoint Now);
  void recordWaiting(const core::PoolName &Pool, const Priority &Tier);
  /// Records that a request no longer waits, whatever the reason.
  void recordWaitEnd(const core::PoolName &Pool, const Priority &Tier);
  void recordStart(const core::PoolName &Pool, const Priority &Tier);
  /// \param SlotTime time for which the request held its slot.
  void recordEnd(const core::PoolName &Pool, const Priority &Tier,
                 core::Duration SlotTime);
  /// Returns the demand of this instance alone.
  PoolDemand own(const core::PoolName &Pool, core::TimePoint Now) const;

  // The group.
  /// Replaces the demand of all group peers. A peer that is missing has none.
  void setPeers(std::map<config::Endpoint, ReportedDemand> Peers) {
    m_Peers = std::move(Peers);
  }
  const std::map<config::Endpoint, ReportedDemand> &peers() const {
    return m_Peers;
  }
  /// Returns the demand of this instance and its group peers together. Reports
  /// are up to a report period old, and a peer reports only while slots are
  /// scarce as it sees it.
  PoolDemand group(const core::PoolName &Pool, core::TimePoint Now) const;

private:
  /// What is measured for one pool and priority.
  struct Meter {
    std::uint32_t m_Waiting = 0;
    std::uint32_t m_Running = 0;
    double m_RecentArrivals = 0; ///< Decays with time.
    core::TimePoint m_LastArrivalAt{};
    double m_SlotSeconds = 0; ///< Moving average; 0 while unknown.
  };

  std::unordered_map<core::PoolName, std::map<Priority, Meter>> m_Meters;
  std::map<config::Endpoint, ReportedDemand> m_Peers;
};

} // namespace yardrill::routing

#endif
