//===-- Gateway.h - One gateway instance ----------------------------------===//
//
// One event loop on one thread relays requests, dispatches them and follows the
// store: on a quarter of a core, handing work between threads costs more than
// running it in parallel saves (docs/design/0005-platform.md).
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_GATEWAY_H
#define YARDRILL_LIBGATEWAY_GATEWAY_H

#include "LibCore/CorrelationIds.h"
#include "LibCore/Digest.h"
#include "LibCore/TimerService.h"
#include "LibGateway/BackpressureService.h"
#include "LibGateway/Dialect.h"
#include "LibGateway/FleetMembership.h"
#include "LibGateway/ForwardingPeers.h"
#include "LibGateway/GatewaySettings.h"
#include "LibGateway/LoadMonitor.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/PathMonitor.h"
#include "LibGateway/PeerService.h"
#include "LibGateway/QuarantineService.h"
#include "LibGateway/QuotaOwnership.h"
#include "LibGateway/QuotaService.h"
#include "LibGateway/RetentionMonitor.h"
#include "LibGateway/RetryBudgets.h"
#include "LibGateway/RolloutService.h"
#include "LibGateway/RolloutWriter.h"
#include "LibGateway/SlotLendingService.h"
#include "LibGateway/SlotService.h"
#include "LibGateway/StoreFollower.h"
#include "LibGateway/StoreFreshness.h"
#include "LibGateway/StreamOriginService.h"
#include "LibGateway/TargetExitDetector.h"
#include "LibHTTP/ConnectionPool.h"
#include "LibHTTP/Server.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibRouting/Dispatcher.h"
#include "LibRouting/RouteHistory.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetDirectory.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <random>
#include <unordered_map>

namespace yardrill::gateway {

class GatewayRequest;

/// Time after the end of a stream's attempt for which its caller may resume
/// it; callers return at once, or as Retry-After states.
inline constexpr std::chrono::seconds StreamReturnTime{30};

/// Accepts requests of callers, sends each to a target and relays its response.
/// Owns the servers, the connections to targets, peers and the store, and the
/// state that each GatewayRequest works on.
class Gateway {
public:
  class Builder;

  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Begins to exchange reports with peers and to follow the store.
  void start();
  /// Reports not ready, and accepts requests for a while longer. Calls
  /// \p OnStopped once no request is open or the stop grace is nearly over.
  void stop(std::function<void()> OnStopped);
  /// Brings a stop that has begun to its end: open requests are answered.
  void endStop();
  /// Applies new retry limits, overload switches and a new stop grace, and
  /// stores new seeds, which only start() uses; other settings stay.
  void reload(const GatewaySettings &Settings);

private:
  friend class GatewayRequest;

  struct GoneTarget {
    core::TargetStartTime m_StartTime;
    core::TimePoint m_GoneAt{};
  };

  Gateway(boost::asio::io_context &Context, GatewaySettings Settings,
          const Dialect &Wire, platform::KeyValueService &Store);

  /// Creates the servers and the peer service, which bind their addresses.
  void listen();
  /// Returns the time after the start in which the store is not asked, whether
  /// or not peers respond.
  core::Duration startDelay();
  /// Whether to ask the store later, since peers may supply its state sooner or
  /// at a lower cost.
  bool mustWaitForPeers(core::Duration SinceStart) const;
  /// Passes a changed store entry to the component that it concerns.
  void applyEntry(const platform::Entry &Change);
  /// Whether a change that was found in a restored store must not come into
  /// force. Operators' orders are looked at again later.
  bool isHeldBack(const platform::Entry &Change, const StoreUpdate &Decoded);
  /// Applies the entry of an order that was held back, unless it was written
  /// again in the meantime.
  void applyHeldBack(const platform::Entry &HeldBack);
  void removeOldGoneTargets(core::TimePoint Now);
  void applyTargetRemoval(const TargetRemoval &Removal,
                          const platform::Entry &Change);
  /// \param ModRevision revision of the announcement.
  void applyTarget(const TargetUpdate &Announced,
                   platform::Revision ModRevision);
  /// Limits a target that warms up by its announcement, or may do so.
  void updateWarmUp(const TargetUpdate &Update,
                    routing::AnnouncementEffect Effect);
  void applyDataHall(const DataHallUpdate &Update,
                     platform::Revision ModRevision);
  /// Puts a configuration in force if it is newer than the current one.
  void applyConfiguration(routing::RoutingTableHandle Next);
  /// Returns the number of targets of the largest configured pool.
  std::size_t largestPoolSize() const;
  /// Fills in this instance's load for a report to peers.
  void describeLoad(peer::LoadReport &Report) const;
  /// Sums up the loads that group peers report for each target.
  void updatePeerLoads();
  /// Applies a change of the members of the fleet or of the owners of quotas.
  /// \returns false if \p Change is of another kind.
  bool applyMembershipRecord(const platform::Entry &Change);
  /// Recomputes which instances own quotas from the records.
  void updateQuotaOwners();
  /// Corrects the records if this instance is their writer.
  void updateMembershipRecords(core::TimePoint Now);
  RolloutHooks rolloutHooks();
  /// Schedules upkeep of rollouts while any is active.
  void scheduleRolloutUpkeep();
  /// Sends, queues or refuses a request, by the peers' latest reports.
  void place(const routing::PlacementRequest &Request);
  /// Sends waiting requests, by the peers' latest reports.
  void dispatchWaiting(core::TimePoint Now);
  /// Returns the time from which a throttled pool takes one more request; none
  /// if it takes one now or no such time is known.
  std::optional<core::TimePoint> availableAt(const core::PoolName &Pool,
                                             core::TimePoint Now);
  /// Gives a freed slot to the most urgent request that waits in the group, and
  /// reports it soon if requests wait at group peers.
  void handleFreedSlot(const routing::TargetIncarnation &Target);
  /// Schedules a tick only while requests wait, slots are granted or a stop is
  /// under way, so that an idle instance is not woken.
  void scheduleTick();
  void tick(core::TimePoint Now);
  /// Completes a stop once no request is open or its time is up.
  void pollStop(core::TimePoint Now);
  /// Whether a stopping instance no longer admits requests, since one that
  /// arrives now might not complete.
  bool isPastAcceptPeriod(core::TimePoint Now) const;
  /// Whether a stop ends too soon to send a request to a target or a peer.
  bool isPastSendPeriod(core::TimePoint Now) const;
  /// Refuses the requests that wait for a target, so that their callers can
  /// turn to other instances.
  void refuseWaiting();
  /// Ends the requests that are at targets, so that their callers get a
  /// response before the process exits.
  void breakOffRequests();
  bool isReady() const;
  /// Whether the first configuration may still arrive.
  bool isJustStarted() const;
  SlotLendingServiceHooks lendingHooks();
  TargetExitDetectorHooks exitDetectorHooks();
  QuarantineHooks quarantineHooks();
  PathMonitorHooks pathMonitorHooks();
  StreamOriginHooks streamOriginHooks();
  /// Adapts the time for which streams may be resumed to the routes.
  void updateStreamRetention();
  /// Whether this process has known all versions of targets for as long as
  /// streams may be resumed.
  bool hasVersionHistory(core::TimePoint Now) const;
  /// Called when a target may have come and gone unseen.
  void noteSkippedChanges(const std::string &Key);
  /// See StreamOriginHooks::m_OnlyVersion.
  std::optional<core::TargetVersion>
  onlyVersionOf(const StreamRoute &Route) const;
  /// Whether the instance at that address is stopping, or sends no reports
  /// although it should.
  bool isKnownSilent(const config::Endpoint &Instance) const;
  /// Returns the targets of this instance's subset that are expected to accept
  /// connections.
  std::vector<routing::Target> usableTargets(const core::PoolName &Pool);
  /// Reports the change to peers, and forwards the requests that wait for
  /// targets behind a lost path.
  void handlePathChange(const core::PoolName &Pool, routing::PathState State);
  /// Handles a request that arrived at the peer address with a ticket.
  void handleForwarded(http::Exchange &Call, boost::asio::yield_context Yield);
  /// Returns the requests that have waited for bytes of targets for long, by
  /// pool.
  std::map<core::PoolName, SilentRequests>
  silentRequests(core::TimePoint Now) const;
  /// Returns the target's process, to which connections are kept.
  static http::ServerProcess serverOf(const routing::Target &Target);
  /// Opens a connection to find out whether a target still listens.
  ProbeResult probe(const routing::Target &Target,
                    boost::asio::yield_context Yield);
  /// Whether a target that refuses connections has exited: not if all others of
  /// its pool that this instance tries can't be connected to either.
  bool isExitConfirmed(const routing::Target &Refusing,
                       boost::asio::yield_context Yield);
  /// Counts a retry if the pool's budget allows one. \returns whether it does.
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
  LoadMonitor m_Load{m_Metrics};
  MembershipRecord m_MembershipRecord;
  MembershipRecord m_OwnersRecord;
  MembershipRecord m_LeaseholdersRecord;
  MembershipRecord m_DeparturesRecord;
  FleetMembership m_Membership;
  QuotaOwnership m_QuotaOwnership;
  RetentionMonitor m_RetainedMembers{m_Metrics, "members"};
  RetentionMonitor m_RetainedOwners{m_Metrics, "quota_owners"};
  RetentionMonitor m_RetainedLeaseholders{m_Metrics, "quota_leaseholders"};
  platform::StoreMirror m_Mirror;
  StoreFollower m_Follower;
  routing::RoutingTableHandle m_Table;
  routing::TargetDirectory m_Targets;
  /// Targets whose announcement was removed recently.
  std::map<core::TargetName, GoneTarget> m_GoneTargets;
  routing::Dispatcher m_Dispatcher;
  http::ConnectionPool m_Connections;
  http::ConnectionPool m_PeerConnections; ///< For forwarded requests.
  core::CorrelationIds m_ForwardIds{core::randomBits()};
  RetryBudgets m_Retries;
  PathMonitor m_Paths;
  TargetExitDetector m_ExitDetector;
  BackpressureService m_Backpressure;
  SlotService m_Slots;
  SlotLendingService m_Lending;
  QuarantineService m_Quarantine;
  routing::RendezvousHash m_AllInstances; ///< With this one.
  std::unique_ptr<PeerService> m_Peers;
  StoreFreshness m_Freshness;
  StreamOriginService m_StreamOrigins;
  routing::RouteHistory m_RouteHistory;
  /// Time for which streams may be resumed after they have begun.
  core::Duration m_StreamRetention = StreamReturnTime;
  /// Time since which no target has come and gone unseen; none: ever since the
  /// fleet's first start.
  std::optional<core::TimePoint> m_VersionsKnownSince;
  ForwardingPeers m_ForwardingPeers;
  QuotaService m_Quotas;
  RolloutWriter m_RolloutWriter;
  RolloutService m_Rollouts;
  std::unique_ptr<http::Server> m_CallerServer;
  std::unique_ptr<http::Server> m_ReadinessServer;
  std::unique_ptr<http::Server> m_MetricsServer;
  std::unordered_map<core::RequestId, GatewayRequest *> m_OpenRequests;
  bool m_HasWaitingPeers = false; ///< Whether requests wait at group peers.
  bool m_IsTickScheduled = false;
  bool m_IsRolloutUpkeepScheduled = false;
  std::uint64_t m_NextRequest = 1;
  std::mt19937_64 m_Random;
  core::Duration m_StartDelay{};
  core::TimePoint m_StoppingSince{}; ///< Epoch: not stopping.
  std::function<void()> m_OnStopped;
  bool m_AreRequestsBrokenOff = false;
};

/// Builds a gateway. The dialect and the store are required and must outlive
/// it.
class Gateway::Builder {
public:
  Builder &settings(GatewaySettings Settings);
  Builder &dialect(const Dialect &Wire);
  Builder &store(platform::KeyValueService &Store);
  /// Binds the addresses. \throws core::Error of kind AddressInUse.
  std::unique_ptr<Gateway> build(boost::asio::io_context &Context);

private:
  GatewaySettings m_Settings;
  const Dialect *m_Wire = nullptr;
  platform::KeyValueService *m_Store = nullptr;
};

} // namespace yardrill::gateway

#endif
