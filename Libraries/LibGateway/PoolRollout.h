//===-- PoolRollout.h - State of the roll-outs of one pool ----------------===//
//
// Does no I/O. Combines the entries in the store: the order, its status, and
// the record that is written with the status.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_POOLROLLOUT_H
#define YARDRILL_LIBGATEWAY_POOLROLLOUT_H

#include "LibPlatform/KeyValueService.h"
#include "LibRollout/Coordinator.h"
#include "LibRollout/Participant.h"
#include "LibRouting/VersionGate.h"

#include <optional>
#include <set>

namespace yardrill::gateway {

/// Decides which versions of a pool serve requests; used by RolloutService, and
/// by the dispatcher as its VersionGate.
class PoolRollout : public routing::VersionGate {
public:
  explicit PoolRollout(core::PoolName Pool) : m_Pool(std::move(Pool)) {}

  /// Sets the order; none if it was withdrawn. An order with another identifier
  /// starts anew.
  void setOrder(std::optional<rollout::Order> Order, core::TimePoint Now);
  /// Sets the status; none if absent.
  /// \param At revision of the status; 0 if absent.
  void setStatus(std::optional<rollout::Status> Status, platform::Revision At);
  /// Sets the record, none if it is absent or unreadable, and learns the age of
  /// the order from it.
  /// \param WallSeconds current wall-clock time, in Unix seconds.
  void setRecord(std::optional<rollout::Record> Record,
                 std::int64_t WallSeconds, core::TimePoint Now);

  /// Whether there is an order that is not completed or rolled back.
  bool isActive() const;
  /// Whether the status must be written, because an order is new or was
  /// withdrawn.
  bool mustWrite() const;
  /// Returns the status to write. \pre mustWrite().
  rollout::Status nextStatus() const;
  /// Returns the record to write with nextStatus().
  /// \param WallSeconds current wall-clock time, in Unix seconds.
  rollout::Record nextRecord(std::int64_t WallSeconds) const;
  /// Returns the record of an order that ended with \p End.
  /// \param OldVersions versions of all targets that are not canaries.
  rollout::Record finalRecord(const rollout::Decision &End,
                              std::set<core::TargetVersion> OldVersions) const;

  const core::PoolName &pool() const { return m_Pool; }
  const std::optional<rollout::Order> &order() const { return m_Order; }
  platform::Revision statusRevision() const { return m_StatusRevision; }
  /// \pre isActive().
  rollout::Participant &participant() { return *m_Participant; }

  bool mayServe(const routing::Target &Candidate,
                core::TimePoint Now) const override;
  bool isCanaryDue(std::uint32_t Route, core::TimePoint Now) const override;
  bool isCanary(const routing::Target &Candidate) const override;
  std::size_t canaryTurn(core::TimePoint Now) const override;
  double canaryShare() const override;
  /// Whether any version is treated differently from the others.
  bool hasRestrictions() const { return isActive() || !excluded().empty(); }

private:
  /// Returns the versions that must not serve requests.
  const std::set<core::TargetVersion> &excluded() const;
  /// Whether status and record belong to the current order.
  bool isStatusCurrent() const;

  core::PoolName m_Pool;
  std::optional<rollout::Order> m_Order;
  std::optional<rollout::Status> m_Status;
  platform::Revision m_StatusRevision;
  std::optional<rollout::Record> m_Record;
  std::optional<rollout::Participant> m_Participant; ///< For m_Order
};

} // namespace yardrill::gateway

#endif
