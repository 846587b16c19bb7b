//===-- RolloutService.h - Roll-outs of all pools -------------------------===//
#ifndef YARDRILL_LIBGATEWAY_ROLLOUTSERVICE_H
#define YARDRILL_LIBGATEWAY_ROLLOUTSERVICE_H

#include "LibGateway/PoolRollout.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/TargetDirectory.h"

#include <functional>
#include <map>
#include <memory>

namespace yardrill::gateway {

/// Write of a pool's status and record, provided that the status is still at
/// revision \c m_Expected.
struct RolloutWrite {
  core::PoolName m_Pool;
  platform::Revision m_Expected; ///< 0: absent
  rollout::Status m_Status;
  rollout::Record m_Record;
};

/// Callbacks through which RolloutService uses the gateway.
struct RolloutHooks {
  /// Sends a message to another instance; it can be lost.
  std::function<void(const config::Endpoint &, const peer::PeerBody &)> m_Send;
  /// Returns the current coordinator; none if no follower of the store is
  /// known.
  std::function<std::optional<config::Endpoint>()> m_Coordinator;
  /// Returns the number of instances that may report.
  std::function<std::size_t()> m_FleetSize;
  /// Starts a write; its outcome arrives as a change of the store.
  std::function<void(const RolloutWrite &)> m_Write;
};

/// Takes part in the roll-outs of all pools, and coordinates them if this
/// instance is the coordinator; owned by Gateway.
class RolloutService {
public:
  RolloutService(config::Endpoint Self, core::IncarnationId Incarnation,
                 rollout::ExposureLimits Limits,
                 const routing::TargetDirectory &Targets, RolloutHooks Hooks);

  // Changes of the store.
  /// Sets a pool's order; none if it was withdrawn.
  void setOrder(const core::PoolName &Pool,
                std::optional<rollout::Order> Order);
  /// Sets a pool's status. \param At its revision; 0 if absent.
  void setStatus(const core::PoolName &Pool,
                 std::optional<rollout::Status> Status, platform::Revision At);
  /// Applies \p Change if it is a record of a roll-out. \returns whether it is.
  bool applyRecord(const platform::Entry &Change);
  /// Returns the key of a pool's record.
  static std::string recordKey(const core::PoolName &Pool);

  /// Handles reports and permits of peers; ignores other messages.
  void handle(const peer::PeerMessage &Message);

  /// Returns the gate of a pool; null if it treats all versions alike.
  const routing::VersionGate *gateOf(const core::PoolName &Pool) const;
  /// Records that a request was sent to a target.
  void recordSent(std::uint32_t Route, const routing::Target &Destination);
  /// Records the quality and the time of a response.
  /// \param Time response time, normalized to one size of request.
  void recordResponse(std::uint32_t Route, const routing::Target &Destination,
                      rollout::ResponseQuality Quality, core::Duration Time);

  /// Whether any roll-out needs upkeep().
  bool isBusy() const;
  /// Sends reports, and evaluates roll-outs as the coordinator. Must be called
  /// several times a second while isBusy().
  void upkeep(core::TimePoint Now);

private:
  /// The roll-out of one pool.
  struct Pool {
    explicit Pool(core::PoolName Name) : m_State(std::move(Name)) {}

    PoolRollout m_State;
    /// Null until needed, and while another instance coordinates.
    std::unique_ptr<rollout::Coordinator> m_Coordinator;
    core::TimePoint m_LastReportAt{};
    core::TimePoint m_LastEvaluationAt{};
    core::TimePoint m_LastWriteAt{};
    core::TimePoint m_LastLogAt{};
  };

  Pool &poolOf(const core::PoolName &Name);
  /// Returns the pool; null if it has no active order.
  Pool *findActive(const core::PoolName &Name);
  /// Reports to the coordinator if that is due.
  void report(Pool &Rollout, core::TimePoint Now);
  /// Evaluates the roll-out, and writes its status if that has to change.
  void coordinate(Pool &Rollout, core::TimePoint Now);
  /// Starts a write, unless one was started recently.
  void write(Pool &Rollout, const RolloutWrite &Write, core::TimePoint Now);
  void logJudgement(Pool &Rollout, const rollout::PoolCapacity &Targets,
                    core::TimePoint Now) const;
  /// Returns the coordinator of a roll-out; creates it if needed.
  rollout::Coordinator &coordinatorOf(Pool &Rollout, core::TimePoint Now);
  rollout::PoolCapacity poolCapacity(const Pool &Rollout) const;
  /// Returns the versions of targets that are not canaries.
  std::set<core::TargetVersion> oldVersions(const Pool &Rollout) const;
  /// Returns the number of this instance's requests at targets of old versions.
  std::uint32_t runningOld(const Pool &Rollout) const;
  bool isCoordinator() const;

  config::Endpoint m_Self;
  core::IncarnationId m_Incarnation;
  rollout::ExposureLimits m_Limits;
  const routing::TargetDirectory &m_Targets;
  RolloutHooks m_Hooks;
  std::map<core::PoolName, Pool> m_Pools;
};

} // namespace yardrill::gateway

#endif
