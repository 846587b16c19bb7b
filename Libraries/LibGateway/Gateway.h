//===-- Gateway.h - One instance in front of targets that others run ------===//
//
// One loop on one thread carries requests, decides and follows the store: on a
// quarter of a core each hand-off between threads is dearer than what it would
// spread (docs/design/0005-platform.md).
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_GATEWAY_H
#define YARDRILL_LIBGATEWAY_GATEWAY_H

#include "LibCore/TimerService.h"
#include "LibGateway/BackpressureService.h"
#include "LibGateway/Dialect.h"
#include "LibGateway/FleetMembership.h"
#include "LibGateway/GatewaySettings.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/PeerService.h"
#include "LibGateway/QuarantineService.h"
#include "LibGateway/QuotaService.h"
#include "LibGateway/RetryBudgets.h"
#include "LibGateway/RolloutService.h"
#include "LibGateway/RolloutWriter.h"
#include "LibGateway/StoreFollower.h"
#include "LibGateway/TargetExitDetector.h"
#include "LibHTTP/ConnectionPool.h"
#include "LibHTTP/Server.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibRouting/Dispatcher.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetDirectory.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <unordered_map>

namespace yardrill::gateway {

class GatewayRequest;

class Gateway {
public:
  class Builder;

  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  void start();
  /// Not ready from now on; what arrives is served for a while longer, and
  /// \p Finished is called once nothing is left or the grace is nearly over.
  void stop(std::function<void()> OnStopped);
  /// New settings; addresses stay as they were.
  void reload(const GatewaySettings &Settings);

private:
  friend class GatewayRequest;

  Gateway(boost::asio::io_context &Context, GatewaySettings Settings,
          const Dialect &Wire, platform::KeyValueService &Store);

  void listen();
  /// How long the store is left alone after the start, whoever is there.
  core::Duration startDelay();
  /// Whether peers may tell everything sooner, or cheaper, than the store.
  bool mustWaitForPeers(core::Duration SinceStart) const;
  void applyEntry(const platform::Entry &Change);
  /// \param At of its announcement.
  void applyTarget(const routing::Target &Update, platform::Revision At);
  void applyConfiguration(routing::RoutingTableHandle Next);
  /// Targets of the largest pool that the configuration names.
  std::size_t largestPoolSize() const;
  void describeLoad(peer::LoadReport &Report) const;
  void updatePeerLoads();
  /// Who owns quotas, by what is known of the fleet now.
  void updateQuotaOwners();
  void updateMembershipRecord(core::TimePoint Now);
  RolloutHooks rolloutHooks();
  /// Looks after roll-outs while there are any.
  void scheduleRolloutUpkeep();
  /// Both decide by what the peers said up to now.
  void place(const routing::PlacementRequest &What);
  void dispatchWaiting(core::TimePoint Now);
  /// From when a pool that takes nothing now takes one more request.
  std::optional<core::TimePoint> availableAt(const core::PoolName &Pool,
                                             core::TimePoint Now);
  /// Gives the place to a request that waits here, or lets the peers know.
  void handleFreedSlot();
  /// Looks at what waits soon, if anything does: an instance at rest is not
  /// woken 50 times a second.
  void scheduleTick();
  void tick(core::TimePoint Now);
  void pollStop(core::TimePoint Now);
  /// Whether a request that comes now could no longer be finished.
  bool isPastAcceptPeriod(core::TimePoint Now) const;
  bool isReady() const;
  /// Whether the configuration may still be on its way.
  bool isJustStarted() const;
  TargetExitDetectorHooks exitDetectorHooks();
  QuarantineHooks quarantineHooks();
  /// Whether somebody listens at a target's address.
  ProbeResult probe(const routing::Target &Which,
                    boost::asio::yield_context Yield);
  /// Counts the retry, if one more is within the budget.
  bool tryReserveRetry(const core::PoolName &Pool);
  http::ResponseMessage readinessResponse() const;
  void updateGauges();

  boost::asio::io_context &m_Context;
  GatewaySettings m_Settings;
  core::TimePoint m_StartedAt = core::steadyNow();
  const Dialect &m_Wire;
  platform::KeyValueService &m_Store;
  core::SteadyTimerService m_Timers;
  metrics::MetricsRegistry m_Metrics;
  MembershipRecord m_MembershipRecord;
  FleetMembership m_Membership;
  platform::StoreMirror m_Mirror;
  StoreFollower m_Follower;
  routing::RoutingTableHandle m_Table;
  routing::TargetDirectory m_Targets;
  routing::Dispatcher m_Dispatcher;
  http::ConnectionPool m_Connections;
  RetryBudgets m_Retries;
  TargetExitDetector m_ExitDetector;
  BackpressureService m_Backpressure;
  QuarantineService m_Quarantine;
  std::unique_ptr<PeerService> m_Peers;
  QuotaService m_Quotas;
  RolloutWriter m_RolloutWriter;
  RolloutService m_Rollouts;
  std::unique_ptr<http::Server> m_CallerServer;
  std::unique_ptr<http::Server> m_ReadinessServer;
  std::unique_ptr<http::Server> m_MetricsServer;
  std::unordered_map<core::RequestId, GatewayRequest *> m_OpenRequests;
  bool m_HasWaitingPeers = false; ///< Near peers, for free places.
  bool m_IsTickScheduled = false;
  bool m_IsRolloutUpkeepScheduled = false;
  std::uint64_t m_NextRequest = 1;
  std::mt19937_64 m_Random;
  core::Duration m_StartDelay{};
  core::TimePoint m_StoppingSince{};
  std::function<void()> m_OnStopped;
};

class Gateway::Builder {
public:
  Builder &settings(GatewaySettings Settings);
  Builder &dialect(const Dialect &Wire);
  Builder &store(platform::KeyValueService &Store);
  /// \throws core::Error of kind AddressInUse.
  std::unique_ptr<Gateway> build(boost::asio::io_context &Context);

private:
  GatewaySettings m_Settings;
  const Dialect *m_Wire = nullptr;
  platform::KeyValueService *m_Store = nullptr;
};

} // namespace yardrill::gateway

#endif
