//===-- QuotaOwnership.h - Decides which members own quotas ---------------===//
//
// Does no I/O. The owners follow the membership of the fleet, but later: a new
// owner must not grant while its predecessor still does. An owner that does not
// reach the store goes on, as in an outage of the store, while at least half of
// its witnesses know of no newer membership. So it can be replaced only once it
// knows the new membership, or once most of its witnesses do.
//
// Half of a fleet or more may be lost without an announced stop, and then
// neither can be shown. So shares belong to leaseholders: a lease is renewed by
// reaching the store as a member, and a successor begins once the lease of an
// instance that has left the membership has ended. An owner without a lease
// goes on with a part of its shares, as in an outage of the store, and its
// successors have the rest until it is removed from the owners.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_QUOTAOWNERSHIP_H
#define YARDRILL_LIBGATEWAY_QUOTAOWNERSHIP_H

#include "LibCore/Time.h"
#include "LibGateway/MemberReport.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/RetentionReason.h"
#include "LibPlatform/Revision.h"
#include "LibRouting/ConsistentHashRing.h"
#include "LibRouting/QuotaOwner.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace yardrill::gateway {

/// Returns the ring of the given instances.
routing::ConsistentHashRing ringOf(const FleetMembers &Instances);

/// Instances that own quotas, by the lists in the store.
struct QuotaOwnerLists {
  FleetMembers m_Owners;       ///< Those that may grant.
  FleetMembers m_Leaseholders; ///< Those that hold the shares.
};

/// Returns the rings by which \p Self owns quotas.
/// \param Members of the fleet. Those that own no quotas yet are about to, and
/// owners that are not among them are about to be removed.
routing::QuotaRings ringsOf(const config::Endpoint &Self,
                            const QuotaOwnerLists &Lists,
                            const FleetMembers &Members);

/// Time for which an instance holds its whole shares after it has reached the
/// store as a member.
inline constexpr std::chrono::seconds QuotaLeaseTime{10};

/// Witnesses of an owner while a change of the owners may be pending.
struct QuotaWitnesses {
  QuotaWitnesses() = default;
  /// See ringsOf().
  QuotaWitnesses(const config::Endpoint &Owner, const FleetMembers &Owners,
                 const FleetMembers &Members);

  /// Whether \p Agreeing of m_Permanent are enough for the owner to go on.
  bool areEnough(std::size_t Agreeing) const { return Agreeing * 2 >= m_Count; }

  /// Those that no pending change adds or removes.
  std::vector<config::Endpoint> m_Permanent;
  std::size_t m_Count = 0; ///< All of them.
  /// Owners that have this one as a witness.
  std::vector<config::Endpoint> m_Witnessed;
};

/// Compares the recorded owners with the membership; used by Gateway.
class QuotaOwnership {
public:
  /// Sets the owners that the store holds since revision \p At; empty if it
  /// holds none.
  void setOwners(FleetMembers Owners, platform::Revision At);
  /// Handles that a store which came back from an older copy holds \p Owners
  /// since revision \p At. Those known before stay in place, and are proposed.
  void setRestoredOwners(const FleetMembers &Owners, platform::Revision At);
  const FleetMembers &owners() const { return m_Owners; }
  /// The same for leaseholders. As long as the store holds none, these are the
  /// owners.
  void setLeaseholders(FleetMembers Leaseholders);
  void setRestoredLeaseholders(const FleetMembers &Leaseholders);
  const FleetMembers &leaseholders() const {
    return m_Leaseholders.empty() ? m_Owners : m_Leaseholders;
  }
  /// Whether \p Instance is an owner or a leaseholder.
  bool isListed(const config::Endpoint &Instance) const {
    return m_Owners.count(Instance) != 0 || m_Leaseholders.count(Instance) != 0;
  }
  /// Sets the membership that the store holds since revision \p At.
  void setMembers(FleetMembers Members, platform::Revision At);
  /// Sets the instances whose stop the store holds; see FleetMembership.
  void setDeparted(FleetMembers Instances) {
    m_Departed = std::move(Instances);
  }

  /// Returns the owners that should replace the recorded ones; none if nothing
  /// changes. Must be called several times a second; after a pause, the reports
  /// received before do not count.
  std::optional<FleetMembers> proposeUpdate(const MemberReports &Live,
                                            core::TimePoint Now);
  /// Returns the leaseholders that should replace the recorded ones; none if
  /// nothing changes. Must be called after proposeUpdate().
  std::optional<FleetMembers> proposeLeaseholders(core::TimePoint Now);
  /// Returns the owners that stay although they were not live or not members
  /// at the last call of proposeUpdate().
  const RetainedInstances &retained() const { return m_Retained; }
  /// The same for leaseholders.
  const RetainedInstances &retainedLeaseholders() const {
    return m_RetainedLeaseholders;
  }

private:
  struct Sample {
    core::TimePoint m_At{};
    platform::Revision m_Revision;
  };
  /// What is known of one instance.
  struct Known {
    std::deque<Sample> m_Samples; ///< Those younger than SettlingTime.
    /// Revision that it has known for SettlingTime.
    platform::Revision m_SettledRevision;
    core::TimePoint m_LastLiveAt{};
    /// Time since which it has not been a member; epoch: it is one.
    core::TimePoint m_RemovedSince{};
    bool m_IsLive = false;
    bool m_IsStopping = false; ///< By its last report.
  };

  void observe(const MemberReports &Live, core::TimePoint Now);
  void observe(const config::Endpoint &Instance, const MemberReports &Live,
               core::TimePoint Now);
  /// Forgets instances that hold no shares any more.
  void forgetOthers();
  /// Returns the highest revision that all of \p Instances have known for long;
  /// none if there are no instances.
  std::optional<platform::Revision>
  settledRevision(const FleetMembers &Instances) const;
  /// Adds the members that may begin to own quotas.
  /// \param Settled revision known to all that may lose a share to them; none
  /// if nobody may.
  /// \param ListAt revision of a list that these must know as well.
  void addMembers(std::optional<platform::Revision> Settled,
                  platform::Revision ListAt, FleetMembers &Next) const;
  /// Whether an instance with state up to \p Known knows the change at \p At.
  static bool includes(platform::Revision Known, platform::Revision At);
  static void addReport(Known &Instance, const MemberReport &Report,
                        core::TimePoint Now);
  /// Returns the revision since which \p Instance is a member, or no longer is.
  platform::Revision changedAt(const config::Endpoint &Instance) const;
  /// Whether \p Instance has known revision \p At for long.
  bool hasSettled(const config::Endpoint &Instance,
                  platform::Revision At) const;
  /// Returns why an owner that is no longer a member may still grant; none if
  /// it has stopped.
  std::optional<RetentionReason>
  retentionReason(const config::Endpoint &Owner,
                  const routing::ConsistentHashRing &Ring,
                  core::TimePoint Now) const;
  /// The same for a leaseholder, without the evidence of its witnesses.
  std::optional<RetentionReason>
  leaseRetentionReason(const config::Endpoint &Leaseholder,
                       core::TimePoint Now) const;
  /// Whether the lease of an owner that is no longer a member has ended.
  bool hasLeaseEnded(const config::Endpoint &Owner, core::TimePoint Now) const;
  /// Returns the owners that are no longer members and have stopped granting,
  /// without those whose removal would change the witnesses of others that may
  /// not know of it.
  FleetMembers removableOwners(core::TimePoint Now);

  FleetMembers m_Owners;
  platform::Revision m_OwnersAt;
  bool m_IsStoreOutdated = false; ///< The store holds owners of an older copy.
  FleetMembers m_Leaseholders;
  bool m_AreLeaseholdersOutdated = false; ///< As m_IsStoreOutdated.
  FleetMembers m_Members;
  FleetMembers m_Departed;
  platform::Revision
      m_FirstMembersAt; ///< Of the first membership that was set.
  std::map<config::Endpoint, platform::Revision> m_ChangedAt;
  std::map<config::Endpoint, Known> m_Known;
  core::TimePoint m_ObservedAt{};
  RetainedInstances m_Retained;
  RetainedInstances m_RetainedLeaseholders;
};

} // namespace yardrill::gateway

#endif
