//===-- PoolRollout.h - The roll-outs of one pool, as one instance knows --===//
//
// Pure. Brings together what the store says: the order, its status, and the
// record written with it.
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

class PoolRollout : public routing::VersionGate {
public:
  explicit PoolRollout(core::PoolName Pool) : m_Pool(std::move(Pool)) {}

  void setOrder(std::optional<rollout::Order> Order, core::TimePoint Now);
  /// \param At its revision; 0 when it is absent.
  void setStatus(std::optional<rollout::Status> Status, platform::Revision At);
  /// \param WallSeconds now.
  void setRecord(std::optional<rollout::Record> Record,
                 std::int64_t WallSeconds, core::TimePoint Now);

  /// Whether an order has not come to its end.
  bool isActive() const;
  /// Whether the status is not what order and record ask for: an order that has
  /// just come, or one that was withdrawn.
  bool mustWrite() const;
  /// What has to be written then. \param WallSeconds now.
  rollout::Status nextStatus() const;
  rollout::Record nextRecord(std::int64_t WallSeconds) const;
  /// The record of an order that ends so. \param OldVersions of targets there.
  rollout::Record finalRecord(const rollout::Decision &End,
                              std::set<core::TargetVersion> OldVersions) const;

  const core::PoolName &pool() const { return m_Pool; }
  const std::optional<rollout::Order> &order() const { return m_Order; }
  platform::Revision statusRevision() const { return m_StatusRevision; }
  /// \pre isActive().
  rollout::Participant &participant() { return *m_Participant; }

  bool mayServe(const routing::Target &What,
                core::TimePoint Now) const override;
  bool isCanaryDue(std::uint32_t Route, core::TimePoint Now) const override;
  bool isCanary(const routing::Target &What) const override;
  std::size_t canaryTurn(core::TimePoint Now) const override;
  double canaryShare() const override;
  /// Whether any version is treated otherwise than the others.
  bool isOpen() const { return isActive() || !excluded().empty(); }

private:
  const std::set<core::TargetVersion> &excluded() const;
  bool isStatusCurrent() const;

  core::PoolName m_Pool;
  std::optional<rollout::Order> m_Order;
  std::optional<rollout::Status> m_Status;
  platform::Revision m_StatusRevision;
  std::optional<rollout::Record> m_Record;
  std::optional<rollout::Participant> m_Participant; ///< Of m_Order.
};

} // namespace yardrill::gateway

#endif
