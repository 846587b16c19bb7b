//===-- RolloutService.h - Roll-outs of all pools, with the other instances
//--===//
#ifndef YARDRILL_LIBGATEWAY_ROLLOUTSERVICE_H
#define YARDRILL_LIBGATEWAY_ROLLOUTSERVICE_H

#include "LibGateway/PoolRollout.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/TargetDirectory.h"

#include <functional>
#include <map>
#include <memory>

namespace yardrill::gateway {

/// What is put under a condition: the pool's status must stand at \c
/// m_Expected.
struct RolloutWrite {
  core::PoolName m_Pool;
  platform::Revision m_Expected; ///< 0: absent.
  rollout::Status m_Status;
  rollout::Record m_Record;
};

struct RolloutHooks {
  /// Sends a message to another instance; it may be lost.
  std::function<void(const config::Endpoint &, const peer::PeerBody &)> m_Send;
  /// Who coordinates now; none: nobody is known to follow the store.
  std::function<std::optional<config::Endpoint>()> m_Coordinator;
  std::function<std::size_t()> m_FleetSize;
  /// Begins a write; its outcome is heard from the store.
  std::function<void(const RolloutWrite &)> m_Write;
};

class RolloutService {
public:
  RolloutService(config::Endpoint Self, core::IncarnationId Incarnation,
                 rollout::ExposureLimits Limits,
                 const routing::TargetDirectory &Targets, RolloutHooks Hooks);

  // What the store says.
  void setOrder(const core::PoolName &Pool,
                std::optional<rollout::Order> Order);
  void setStatus(const core::PoolName &Pool,
                 std::optional<rollout::Status> Status, platform::Revision At);
  /// \returns whether the entry is a record of this class.
  bool takeRecord(const platform::Entry &Change);
  /// Where a pool's record is kept.
  static std::string recordKey(const core::PoolName &Pool);

  /// Takes a message of a peer, if it is about roll-outs.
  void handle(const peer::PeerMessage &Message);

  /// \returns null where all versions are alike.
  const routing::VersionGate *gateOf(const core::PoolName &Pool) const;
  void recordSent(std::uint32_t Route, const routing::Target &Where);
  void recordResponse(std::uint32_t Route, const routing::Target &Where,
                      rollout::ResponseQuality How, core::Duration Time);

  /// Whether upkeep() is needed.
  bool isBusy() const;
  /// To be called several times a second.
  void upkeep(core::TimePoint Now);

private:
  struct Pool {
    explicit Pool(core::PoolName Name) : m_State(std::move(Name)) {}

    PoolRollout m_State;
    std::unique_ptr<rollout::Coordinator> m_Coordinator;
    core::TimePoint m_LastReportAt{};
    core::TimePoint m_LastEvaluationAt{};
    core::TimePoint m_LastWriteAt{};
    core::TimePoint m_LastLogAt{};
  };

  Pool &poolOf(const core::PoolName &Name);
  /// \returns null where no order is open.
  Pool *findActive(const core::PoolName &Name);
  void report(Pool &Rollout, core::TimePoint Now);
  void coordinate(Pool &Rollout, core::TimePoint Now);
  void write(Pool &Rollout, const RolloutWrite &What, core::TimePoint Now);
  void logJudgement(Pool &Rollout, const rollout::PoolCapacity &Targets,
                    core::TimePoint Now) const;
  rollout::Coordinator &coordinatorOf(Pool &Rollout, core::TimePoint Now);
  rollout::PoolCapacity poolCapacity(const Pool &Rollout) const;
  std::set<core::TargetVersion> oldVersions(const Pool &Rollout) const;
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
