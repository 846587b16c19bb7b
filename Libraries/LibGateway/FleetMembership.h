//===-- FleetMembership.h - Decides which instances belong to the fleet ---===//
//
// Does no I/O. The owner of a quota must not change with each restart or
// network partition, since a new owner does not know what its predecessor
// granted. So an instance is added at once, and removed only after a delay.
//
// Two ways to leave are kept apart: silence is a suspicion that anything heard
// of the instance refutes, while an announced stop is a fact. The store holds
// it, so that it outlasts the processes that heard it, until the instance is
// back at its address or removed from all lists.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H
#define YARDRILL_LIBGATEWAY_FLEETMEMBERSHIP_H

#include "LibCore/Time.h"
#include "LibGateway/MemberReport.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/RetentionReason.h"

#include <functional>
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

  /// Sets the instances whose stop the store holds.
  void setDeparted(FleetMembers Instances) {
    m_Departed = std::move(Instances);
  }
  const FleetMembers &departed() const { return m_Departed; }

  /// Returns the recorded membership with the live instances added, and without
  /// those that have not been live for too long; none if nothing changes.
  /// \param Live live instances, this one included.
  /// \param ReportLifetime time for which an instance stays live without a
  /// report.
  std::optional<FleetMembers>
  proposeUpdate(const FleetMembers &Live, core::TimePoint Now,
                core::Duration ReportLifetime = core::Duration::zero());
  /// Returns the members and owners of quotas whose stop should be recorded;
  /// none if nothing changes. An instance that reports again without stopping
  /// has restarted.
  /// \param OwnsQuotas returns whether an instance is listed as an owner or
  /// leaseholder of quotas.
  std::optional<FleetMembers> proposeDepartures(
      const MemberReports &Live,
      const std::function<bool(const config::Endpoint &)> &OwnsQuotas) const;
  /// Returns the recorded instances that were not live at the last call of
  /// proposeUpdate() and stay members.
  const RetainedInstances &retained() const { return m_Retained; }

private:
  /// Silence of a recorded instance.
  struct Silence {
    core::TimePoint m_Since{}; ///< It has not been live since then.
    /// Time before that in which it had sent no report either.
    core::Duration m_ReportAge{};
  };

  FleetMembers m_Recorded;
  FleetMembers m_Departed;
  FleetMembers m_Live; ///< At the last call of proposeUpdate().
  std::map<config::Endpoint, Silence> m_Silent;
  RetainedInstances m_Retained;
};

} // namespace yardrill::gateway

#endif
