//===-- FleetMembership.h - Who belongs to the fleet for longer
//---------------===//
//
// Pure. Who keeps which quota must not change with each restart or cut: what
// the earlier owner granted is not known to the next one. So an instance is
// recorded as soon as it is heard, and left out only after a long silence.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H
#define YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H

#include "LibCore/Time.h"
#include "LibGateway/MembershipRecord.h"

#include <map>
#include <optional>

namespace yardrill::gateway {

class FleetMembership {
public:
  /// What the store says; empty: nothing is recorded.
  void setRecorded(FleetMembers Instances) {
    m_Recorded = std::move(Instances);
  }
  const FleetMembers &recorded() const { return m_Recorded; }

  /// \param Live instances that are heard now, this one included. Where they
  /// are not more than half of the recorded ones, they may be cut off
  /// themselves, and leave nobody out. \returns what should be recorded in
  /// place of what is.
  std::optional<FleetMembers> proposeUpdate(const FleetMembers &Live,
                                            core::TimePoint Now);

private:
  FleetMembers m_Recorded;
  /// Of recorded instances that are not heard: since when.
  std::map<config::Endpoint, core::TimePoint> m_SilentSince;
};

} // namespace yardrill::gateway

#endif
