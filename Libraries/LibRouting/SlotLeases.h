//===-- SlotLeases.h - Slots that this instance has granted to others -----===//
#ifndef YARDRILL_LIBROUTING_SLOTLEASES_H
#define YARDRILL_LIBROUTING_SLOTLEASES_H

#include "LibConfig/Endpoint.h"
#include "LibCore/CorrelationIds.h"
#include "LibCore/Time.h"
#include "LibRouting/TargetDirectory.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// Identifies a lease at the instance that granted it; never 0.
using SlotLeaseId = std::uint64_t;

/// To whom a slot is granted.
enum class LeaseScope {
  GroupPeer,  ///< Its load reports show the request that uses the slot.
  OtherGroup, ///< Nothing but the lease shows that the slot is in use.
};

/// A slot of a target that another instance may use.
struct SlotLease {
  SlotLeaseId m_Id = 0;
  TargetIncarnation m_Target;
  core::PoolName m_Pool;
  config::Endpoint m_Receiver;
  core::TimePoint m_GrantedAt{};
  core::TimePoint m_ExpiresAt{};
  LeaseScope m_Scope = LeaseScope::GroupPeer;
};

/// Table of the slots that this instance has granted. While a lease lasts, its
/// slot counts as one that runs a request of this instance, in the choice of
/// targets as well as in the reports to group peers. A lease ends when it is
/// released or its time is over: the message that grants it or returns it may
/// be lost, and the receiver may exit.
class SlotLeases {
public:
  /// \param FirstId see core::CorrelationIds.
  SlotLeases(TargetDirectory &Targets, SlotLeaseId FirstId)
      : m_Targets(Targets), m_Ids(FirstId) {}
  SlotLeases(const SlotLeases &) = delete;
  SlotLeases &operator=(const SlotLeases &) = delete;

  /// Takes a slot of a target for another instance. Whether a slot is free and
  /// whether the target accepts requests is up to the caller. \returns none if
  /// the incarnation is unknown or has ended.
  std::optional<SlotLease> grant(const TargetIncarnation &Target,
                                 const config::Endpoint &Receiver,
                                 core::Duration HeldTime, core::TimePoint Now,
                                 LeaseScope Scope = LeaseScope::GroupPeer);
  /// Returns a lease, or null if it has ended or was never granted.
  const SlotLease *find(SlotLeaseId Id) const;
  /// Ends a lease and frees its slot. \returns none if it has ended before.
  std::optional<SlotLease> release(SlotLeaseId Id);
  /// Ends the leases that a group peer got by then, whose use its own load
  /// report shows.
  void releaseReported(const config::Endpoint &Receiver,
                       core::TimePoint GrantedBy);
  /// Ends the leases whose time is over, and returns them.
  std::vector<SlotLease> releaseExpired(core::TimePoint Now);
  std::size_t size() const { return m_Leases.size(); }

private:
  /// Ends the leases that meet a condition, and returns them in order of their
  /// ids.
  template <class Condition> std::vector<SlotLease> releaseIf(Condition IsOver);

  TargetDirectory &m_Targets;
  core::CorrelationIds m_Ids;
  std::unordered_map<SlotLeaseId, SlotLease> m_Leases;
};

} // namespace yardrill::routing

#endif
