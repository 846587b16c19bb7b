//===-- FleetMembership.h - Decides which instances belong to the fleet ---===//
//
// Does no I/O. The owner of a quota must not change with each restart or
// network partition, since a new owner does not know what its predecessor
// granted. So an instance is added at once, and removed only after a delay.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H
#define YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H

#include "LibCore/Time.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/RetentionReason.h"

#include <map>
#include <optional>

namespace yardrill::gateway {

/// Compares the recorded membership with the live instances; used by Gateway.
class FleetMembership {
public:
  /// Sets the membership that the store holds; empty if it holds none.
  void setRecorded(FleetMembers Instances) {
    m_Recorded = std::move(Instances);
  }
  const FleetMembers &recorded() const { return m_Recorded; }

  /// Returns the recorded membership with the live instances added, and without
  /// those that have not been live for too long; none if nothing changes. If at
  /// least half of the recorded instances are not live, none is removed, since
  /// the live ones may themselves be partitioned from the fleet.
  /// \param Live live instances, this one included.
  std::optional<FleetMembers> proposeUpdate(const FleetMembers &Live,
                                            core::TimePoint Now);
  /// Returns the recorded instances that were not live at the last call of
  /// proposeUpdate() and stay members.
  const RetainedInstances &retained() const { return m_Retained; }

private:
  FleetMembers m_Recorded;
  /// Time since which each recorded instance that is not live has been absent.
  std::map<config::Endpoint, core::TimePoint> m_SilentSince;
  RetainedInstances m_Retained;
};

} // namespace yardrill::gateway

#endif
