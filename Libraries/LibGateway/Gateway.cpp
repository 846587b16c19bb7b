#include "LibGateway/Gateway.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/GatewayRequest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

/// Minimum time between two writes of the announced stops. A stopping instance
/// exits within seconds, and may be the last that knows of its stop.
static constexpr std::chrono::seconds DeparturesWritePeriod{1};
/// Period in which waiting requests and a stop are checked.
static constexpr std::chrono::milliseconds TickPeriod{20};
/// Period of the upkeep of rollouts.
static constexpr std::chrono::milliseconds RolloutPeriod{50};
/// Period of the upkeep of state that rarely changes.
static constexpr std::chrono::milliseconds UpkeepPeriod{250};
/// Time after the start in which requests wait for a configuration; later they
/// are refused at once. Peers and the store respond within 100 ms if they are
/// reachable.
static constexpr std::chrono::milliseconds ConfigurationTimeout{400};
/// Time in which a stopping instance still accepts requests: the load balancer
/// needs two seconds to notice that it is not ready.
static constexpr std::chrono::milliseconds AcceptPeriodWhenStopping{3000};
/// Time before the end of a stop from which on no request is sent to a target.
static constexpr std::chrono::milliseconds StopServiceTime{2500};
/// Time before the kill at which requests that are still at targets are
/// answered.
static constexpr std::chrono::milliseconds StopMargin{300};
/// Time between the end of a stop and the kill.
static constexpr std::chrono::milliseconds ExitMargin{100};
/// Range of the delay before an instance asks the store at a fleet's first
/// start. Seeds ask at once, and the others ask the seeds; a fleet has this
/// time before its first request.
static constexpr core::Duration MinStartDelay = std::chrono::milliseconds(1500);
static constexpr core::Duration MaxStartDelay = std::chrono::seconds(4);
/// Range of the delay before a restarted process asks the store. Peers, if any,
/// respond within tens of milliseconds and with a tenth of the store's bytes;
/// the delay is no longer than that, since callers wait meanwhile.
static constexpr core::Duration MinRestartDelay = std::chrono::milliseconds(40);
static constexpr core::Duration MaxRestartDelay = std::chrono::milliseconds(90);
/// Delay before a process that has received the state asks the store: by then
/// it knows whether it is selected as a follower. Peers send it updates
/// meanwhile.
static constexpr core::Duration FollowerDecisionDelay =
    std::chrono::milliseconds(1500);
/// Time within which a peer that has the state supplies it.
static constexpr core::Duration PeerTransferTimeout = std::chrono::seconds(1);
/// Connecting takes about a millisecond, or seconds if a full accept queue
/// drops the SYN.
static constexpr std::chrono::milliseconds ConnectTimeout{350};
/// The same for a peer, another of which may take the request instead.
static constexpr std::chrono::milliseconds PeerConnectTimeout{150};
/// Time after which a silent peer's requests end. A peer notices the silence of
/// its connection after three seconds and may then send them elsewhere.
static constexpr std::chrono::seconds ForwardedSilenceTimeout{2};
/// Retry-After, in seconds, of a request whose body exceeds the budget for all
/// bodies: some of those being read are complete by then.
static const char BodyBudgetRetryAfter[] = "0.5";
/// Idle connections kept for each target.
static constexpr std::size_t MaxIdleConnections = 64;
/// Changes kept for peers that are behind; a peer further behind gets a
/// snapshot.
static constexpr std::size_t MaxMirrorChanges = 4096;

Gateway::Gateway(asio::io_context &Context, GatewaySettings Settings,
                 const Dialect &Wire, platform::KeyValueService &Store)
    : m_Context(Context), m_Settings(std::move(Settings)), m_Wire(Wire),
      m_Store(Store), m_Timers(Context), m_MembershipRecord(Context, Store),
      m_OwnersRecord(Context, Store, "quota-owners"),
      m_LeaseholdersRecord(Context, Store, "quota-leaseholders"),
      m_DeparturesRecord(Context, Store, "departures", DeparturesWritePeriod),
      m_Mirror(MaxMirrorChanges), m_Follower(Context, Store, m_Mirror),
      m_Dispatcher(
          m_Targets, m_Settings.m_DataHall, m_Settings.m_Placement,
          {[this](core::RequestId Request, const routing::Target &Chosen) {
             GatewayRequest &Dispatched = *m_OpenRequests.at(Request);
             m_Rollouts.recordSent(Dispatched.routeHash(), Chosen);
             Dispatched.assignTarget(Chosen);
             m_Peers->scheduleReport();
           },
           [this](core::RequestId Request) {
             m_OpenRequests.at(Request)->refuse();
           },
           [this](const core::PoolName &Pool) {
             return m_Rollouts.gateOf(Pool);
           },
           [this](core::RequestId Request) { m_Lending.recordEnd(Request); },
           [this](const routing::PlacementRequest &Request,
                  core::TimePoint Now) {
             return m_Lending.awaitSlotFor(Request, Now);
           }}),
      m_Connections(Context, {ConnectTimeout, MaxIdleConnections}),
      m_PeerConnections(Context, {PeerConnectTimeout, MaxIdleConnections}),
      m_Retries(m_Settings.m_Retries,
                // No retry was sent before a deployment's first start.
                m_Settings.m_IsFirstStart ? core::TimePoint() : m_StartedAt),
      m_Paths(Context, pathMonitorHooks()),
      m_ExitDetector(Context, exitDetectorHooks()),
      m_Backpressure(
          m_Settings.m_PeerAddress, m_Targets,
          [this](const config::Endpoint &To, const peer::PeerBody &Body) {
            m_Peers->send(To, Body);
          }),
      m_Slots(m_Dispatcher, m_Targets, m_Metrics,
              [this](const config::Endpoint &To, const peer::PeerBody &Body) {
                m_Peers->send(To, Body);
              }),
      m_Lending(m_Dispatcher, m_Targets, m_Slots.leases(),
                m_Settings.m_DataHall, m_Metrics, lendingHooks()),
      m_Quarantine(Context, Store, quarantineHooks()),
      m_Freshness(Context, Store, m_Mirror),
      m_StreamOrigins(Context, m_Timers, Store, m_Settings.m_PeerAddress,
                      streamOriginHooks(),
                      [this](const config::Endpoint &Instance) {
                        return isKnownSilent(Instance);
                      }),
      m_ForwardingPeers(
          [this]() -> const PeerTable & { return m_Peers->peers(); },
          m_Settings.m_DataHall, m_Settings.m_Regions, core::randomBits()),
      m_Quotas(Context, m_Settings, m_Metrics,
               [this](const config::Endpoint &To, const peer::PeerBody &Body) {
                 m_Peers->send(To, Body);
               }),
      m_RolloutWriter(Context, Store, Wire),
      m_Rollouts(m_Settings.m_PeerAddress,
                 core::IncarnationId(core::randomBits()), m_Settings.m_Exposure,
                 m_Targets, rolloutHooks()),
      m_Random(core::randomBits()) {
  m_Mirror.subscribe(
      [this](const platform::Entry &Change) { applyEntry(Change); });
  m_Mirror.setSkippedCallback(
      [this](const std::string &Key) { noteSkippedChanges(Key); });
  m_Targets.setRegions(m_Settings.m_Regions);
  m_Targets.setVersionRetention(m_StreamRetention);
  m_Dispatcher.setOverload(m_Settings.m_Overload);
  listen();
}

Gateway::~Gateway() {
  for (const auto &[Id, Request] : m_OpenRequests)
    Request->notifyOwnerDestroyed();
}

static http::ServerLimits toServerLimits(const routing::CallerLimits &Limits,
                                         const GatewaySettings &Settings) {
  http::ServerLimits Out;
  Out.m_HeaderBytes = Limits.m_HeaderBytes;
  Out.m_BodyBytes = Limits.m_BodyBytes;
  Out.m_OpenConnections = Settings.m_MaxConnections;
  Out.m_AllBodyBytes = Settings.m_MaxBodyBytes;
  Out.m_ReadTimeout = Limits.m_HeaderTimeout;
  Out.m_IdleTimeout = Limits.m_IdleTimeout;
  Out.m_LinkBytesPerSecond = Settings.m_LinkBytesPerSecond;
  return Out;
}

/// Returns the limits of requests that peers forward, with room for the ticket.
static http::ServerLimits
toForwardedLimits(const routing::CallerLimits &Limits) {
  static constexpr std::size_t TicketBytes = 1024;
  http::ServerLimits Out;
  Out.m_HeaderBytes = Limits.m_HeaderBytes + TicketBytes;
  Out.m_SilenceTimeout = ForwardedSilenceTimeout;
  Out.m_BodyBytes = std::max(Out.m_BodyBytes, Limits.m_BodyBytes);
  return Out;
}

void Gateway::listen() {
  m_CallerServer = http::Server::create(
      m_Context, m_Settings.m_CallerAddress.toTcp(),
      toServerLimits({}, m_Settings),
      [this](http::Exchange &Caller, asio::yield_context Yield) {
        GatewayRequest Request(*this, Caller);
        Request.run(Yield);
      },
      [this](unsigned Status) {
        m_Metrics.count("yardrill_unreadable_requests_total");
        core::LogLine("request-unreadable")
            .add("status", Status)
            .add("held_bytes", m_CallerServer->bodyBudget().used());
        http::ResponseMessage Response = http::emptyResponse(Status);
        if (Status == 503)
          Response.m_Head.m_Headers.set("Retry-After", BodyBudgetRetryAfter);
        return Response;
      });
  m_ReadinessServer = http::Server::create(
      m_Context, m_Settings.m_ReadinessAddress.toTcp(), http::ServerLimits(),
      [this](http::Exchange &Call, asio::yield_context Yield) {
        Call.sendResponse(readinessResponse(), Yield);
      },
      http::emptyResponse);
  if (m_Settings.m_MetricsAddress)
    m_MetricsServer = http::Server::create(
        m_Context, m_Settings.m_MetricsAddress->toTcp(), http::ServerLimits(),
        [this](http::Exchange &Call, asio::yield_context Yield) {
          updateGauges();
          http::ResponseMessage Response = http::emptyResponse(200);
          Response.m_Head.m_Headers.set("Content-Type",
                                        "text/plain; version=0.0.4");
          Response.m_Body = m_Metrics.exposition();
          Call.sendResponse(std::move(Response), Yield);
        },
        http::emptyResponse);
  m_Peers = std::make_unique<PeerService>(
      m_Context, m_Settings, m_Mirror, m_Metrics,
      PeerExchangeHooks{
          [this](peer::LoadReport &Report) { describeLoad(Report); },
          [this] { updatePeerLoads(); }, [this] { return largestPoolSize(); },
          [this](const routing::FleetSubset &Subset) {
            m_Targets.setSubset(Subset);
            std::vector<config::Endpoint> Instances = m_Peers->otherInstances();
            m_StreamOrigins.setOthers(Instances);
            Instances.push_back(m_Settings.m_PeerAddress);
            m_AllInstances = routing::RendezvousHash(Instances);
            updateQuotaOwners();
          },
          [this](const peer::PeerMessage &Message) {
            m_Quotas.handle(Message);
            m_Rollouts.handle(Message);
            m_Quarantine.handle(Message);
            m_Backpressure.handle(Message, core::steadyNow());
            m_Slots.handle(Message, core::steadyNow());
            m_Lending.handle(Message, core::steadyNow());
            m_StreamOrigins.handle(Message);
            scheduleTick();
          }});
  m_Peers->setForwardedHandler(
      [this](http::Exchange &Call, asio::yield_context Yield) {
        handleForwarded(Call, Yield);
      });
}

void Gateway::start() {
  m_StartDelay = startDelay();
  m_Follower.start(
      [this](core::Duration Since) { return mustWaitForPeers(Since); });
  m_Peers->start(m_Timers);
  m_Timers.subscribe(UpkeepPeriod, [this](core::TimePoint Now) {
    m_Load.upkeep(UpkeepPeriod, m_CallerServer->intake(),
                  m_Lending.borrowedCount(), m_CallerServer->refusingTime(),
                  Now);
    m_Targets.removeExpired(Now);
    removeOldGoneTargets(Now);
    m_Follower.setEnabled(m_Peers->mustFollowStore());
    m_Connections.closeExpired();
    m_PeerConnections.closeExpired();
    for (const auto &[Id, Open] : m_OpenRequests)
      Open->checkUnreadResponse(Now);
    m_Paths.upkeep(silentRequests(Now), Now);
    m_ExitDetector.upkeep(Now);
    m_Backpressure.upkeep(Now);
    m_Slots.upkeep(Now);
    m_Quarantine.upkeep(Now);
    m_StreamOrigins.upkeep(Now);
    m_Quotas.upkeep(m_Peers->ownershipEvidence(Now),
                    m_Peers->hasQuotaLease(Now), Now);
    // Without a record, the quota owners are the discovered instances.
    if (m_Membership.recorded().empty())
      updateQuotaOwners();
    updateMembershipRecords(Now);
  });
  core::LogLine("instance-started")
      .add("instance", m_Settings.m_Name)
      .add("data_hall", m_Settings.m_DataHall)
      .add("caller_address", m_Settings.m_CallerAddress.toString())
      .add("peer_address", m_Settings.m_PeerAddress.toString())
      .add("store_address", m_Settings.m_StoreAddress.toString())
      .add("seeds", m_Settings.m_Seeds.size())
      .add("is_first_start", m_Settings.m_IsFirstStart)
      .add("overload_off", m_Dispatcher.overload().switchesOff());
}

core::Duration Gateway::startDelay() {
  const auto &Seeds = m_Settings.m_Seeds;
  auto IsOwn = [this](const config::Endpoint &Seed) {
    return Seed == m_Settings.m_PeerAddress;
  };
  bool IsSeed = std::any_of(Seeds.begin(), Seeds.end(), IsOwn);
  bool HasNoOtherSeed = std::all_of(Seeds.begin(), Seeds.end(), IsOwn);
  bool IsFirst = m_Settings.m_IsFirstStart;
  if (HasNoOtherSeed || (IsFirst && IsSeed))
    return core::Duration::zero();
  std::uniform_int_distribution<std::int64_t> Delay(
      (IsFirst ? MinStartDelay : MinRestartDelay).count(),
      (IsFirst ? MaxStartDelay : MaxRestartDelay).count());
  return core::Duration(Delay(m_Random));
}

bool Gateway::mustWaitForPeers(core::Duration SinceStart) const {
  bool HasState = m_Mirror.revision() != platform::Revision();
  core::Duration MinDelay =
      HasState ? std::max(m_StartDelay, FollowerDecisionDelay) : m_StartDelay;
  if (HasState || SinceStart < MinDelay)
    return SinceStart < MinDelay;
  return SinceStart < m_StartDelay + PeerTransferTimeout &&
         m_Peers->hasPeerWithState();
}

void Gateway::reload(const GatewaySettings &Settings) {
  m_Settings.m_Retries = Settings.m_Retries;
  m_Settings.m_StopGrace = Settings.m_StopGrace;
  m_Settings.m_Seeds = Settings.m_Seeds;
  m_Settings.m_Overload = Settings.m_Overload;
  m_Retries.setLimits(m_Settings.m_Retries);
  m_Dispatcher.setOverload(m_Settings.m_Overload);
  core::LogLine("instance-reloaded")
      .add("instance", m_Settings.m_Name)
      .add("overload_off", m_Dispatcher.overload().switchesOff());
}

//===----------------------------------------------------------------------===//
// Updates from the store and from peers
//===----------------------------------------------------------------------===//

void Gateway::applyConfiguration(routing::RoutingTableHandle Next) {
  if (m_Table && !(m_Table->version() < Next->version()))
    return;
  // What came before the first configuration that this process has is unknown.
  if (!m_Table && !m_Settings.m_IsFirstStart)
    m_VersionsKnownSince = core::steadyNow();
  m_Table = std::move(Next);
  m_RouteHistory.update(*m_Table, core::steadyNow());
  updateStreamRetention();
  m_StreamOrigins.replicate();
  m_Quotas.setAccounts(m_Table->accounts());
  m_Targets.setPools(m_Table->pools(), core::steadyNow());
  m_CallerServer->setLimits(toServerLimits(m_Table->limits(), m_Settings));
  m_Peers->setForwardedLimits(toForwardedLimits(m_Table->limits()));
  core::LogLine("configuration-in-force")
      .add("version", m_Table->version())
      .add("accounts", m_Table->accounts().size());
}

std::size_t Gateway::largestPoolSize() const {
  std::size_t Out = 0;
  if (m_Table)
    for (const auto &[Name, Pool] : m_Table->pools())
      Out = std::max(Out, m_Targets.targetCount(Name));
  return Out;
}

static peer::TierDemandEntry toEntry(const core::PoolName &Pool,
                                     const routing::Priority &Tier,
                                     const routing::TierDemand &Demand) {
  peer::TierDemandEntry Out;
  Out.m_Pool = routing::hashOf(Pool);
  Out.m_AccountTier = Tier.m_Account.value();
  Out.m_RouteTier = Tier.m_Route.value();
  Out.m_Waiting = static_cast<std::uint16_t>(Demand.m_Waiting);
  Out.m_Running = static_cast<std::uint16_t>(Demand.m_Running);
  Out.m_ArrivalsPerSecond = static_cast<float>(Demand.m_ArrivalsPerSecond);
  Out.m_OfferedSlots = static_cast<float>(Demand.m_OfferedSlots);
  return Out;
}

static routing::TierDemand toDemand(const peer::TierDemandEntry &Entry) {
  routing::TierDemand Out;
  Out.m_Waiting = Entry.m_Waiting;
  Out.m_Running = Entry.m_Running;
  Out.m_ArrivalsPerSecond = Entry.m_ArrivalsPerSecond;
  Out.m_OfferedSlots = Entry.m_OfferedSlots;
  return Out;
}

void Gateway::describeLoad(peer::LoadReport &Report) const {
  for (const routing::KnownTarget *Known : m_Targets.busyTargets()) {
    const routing::TargetLoad &LocalLoad = Known->m_LocalLoad;
    peer::TargetLoadEntry LoadEntry;
    LoadEntry.m_Target = Known->m_Hash;
    LoadEntry.m_Running = static_cast<std::uint16_t>(LocalLoad.m_Running);
    LoadEntry.m_PendingPromptTokens =
        static_cast<std::uint32_t>(LocalLoad.m_PendingPromptTokens);
    Report.m_Targets.push_back(LoadEntry);
  }
  Report.m_IsStoreConnected = m_Follower.isConnected();
  Report.m_HasWaitingRequests = m_Dispatcher.waiting() > 0;
  for (const core::PoolName &Pool : m_Paths.paths().impairedPools())
    Report.m_LostPools.push_back(routing::hashOf(Pool));
  for (const auto &[Pool, Demand] :
       m_Dispatcher.scarceDemand(core::steadyNow()))
    for (const auto &[Tier, Each] : Demand)
      Report.m_Demand.push_back(toEntry(Pool, Tier, Each));
}

//===----------------------------------------------------------------------===//
// Target exits and quarantine
//===----------------------------------------------------------------------===//

SlotLendingServiceHooks Gateway::lendingHooks() {
  SlotLendingServiceHooks Out;
  Out.m_Send = [this](const config::Endpoint &To, const peer::PeerBody &Body) {
    m_Peers->send(To, Body);
  };
  Out.m_ReportSoon = [this] { m_Peers->scheduleReport(); };
  return Out;
}

TargetExitDetectorHooks Gateway::exitDetectorHooks() {
  TargetExitDetectorHooks Out;
  Out.m_Probe = [this](const routing::Target &Target,
                       asio::yield_context Yield) {
    ProbeResult Result = probe(Target, Yield);
    if (Result == ProbeResult::Gone && !isExitConfirmed(Target, Yield))
      return ProbeResult::Unknown;
    return Result;
  };
  Out.m_ReportExit = [this](const routing::Target &Target,
                            const QuarantineService::Contents &Contents) {
    m_Quarantine.noteTargetExit(Target, Contents);
  };
  return Out;
}

QuarantineHooks Gateway::quarantineHooks() {
  QuarantineHooks Out;
  Out.m_Send = [this](const config::Endpoint &To, const peer::PeerBody &Body) {
    m_Peers->send(To, Body);
  };
  Out.m_Others = [this] { return m_Peers->otherInstances(); };
  Out.m_MayTryAgain = [this](const quarantine::ContentDigest &Content) {
    std::vector<config::Endpoint> First = m_AllInstances.select(
        Content.m_High ^ Content.m_Low, 1,
        [this](const config::Endpoint &Each) { return !isKnownSilent(Each); });
    return !First.empty() && First.front() == m_Settings.m_PeerAddress;
  };
  Out.m_IsRecordWriter = [this] {
    return m_Follower.isConnected() && m_Peers->isRecordWriter();
  };
  return Out;
}

//===----------------------------------------------------------------------===//
// Rollouts and loads of peers
//===----------------------------------------------------------------------===//

RolloutHooks Gateway::rolloutHooks() {
  RolloutHooks Out;
  Out.m_Send = [this](const config::Endpoint &To, const peer::PeerBody &Body) {
    m_Peers->send(To, Body);
  };
  // The writer of the membership record coordinates. Instances may disagree for
  // a while about which one it is.
  Out.m_Coordinator = [this]() -> std::optional<config::Endpoint> {
    if (m_Follower.isConnected() && m_Peers->isRecordWriter())
      return m_Settings.m_PeerAddress;
    return m_Peers->peers().firstFollower();
  };
  Out.m_FleetSize = [this] { return m_Peers->activeInstanceCount(); };
  Out.m_Write = [this](const RolloutWrite &Write) {
    m_RolloutWriter.write(Write);
  };
  return Out;
}

void Gateway::scheduleRolloutUpkeep() {
  if (m_IsRolloutUpkeepScheduled || !m_Rollouts.isBusy())
    return;
  m_IsRolloutUpkeepScheduled = true;
  m_Timers.callAfter(RolloutPeriod, [this](core::TimePoint Now) {
    m_IsRolloutUpkeepScheduled = false;
    m_Rollouts.upkeep(Now);
    scheduleRolloutUpkeep();
  });
}

void Gateway::updatePeerLoads() {
  std::unordered_map<std::uint32_t, routing::TargetLoad> Sums;
  std::map<config::Endpoint, routing::ReportedDemand> Demands;
  m_HasWaitingPeers = false;
  for (const LivePeer *Peer : m_Peers->peers().groupPeers()) {
    const peer::LoadReport &Report = Peer->m_Report;
    m_HasWaitingPeers = m_HasWaitingPeers || Report.m_HasWaitingRequests;
    for (const peer::TargetLoadEntry &LoadEntry : Report.m_Targets) {
      routing::TargetLoad &Sum = Sums[LoadEntry.m_Target];
      Sum.m_Running += LoadEntry.m_Running;
      Sum.m_PendingPromptTokens += LoadEntry.m_PendingPromptTokens;
    }
    for (const peer::TierDemandEntry &Entry : Report.m_Demand) {
      routing::Priority Tier{core::TierNumber(Entry.m_AccountTier),
                             core::TierNumber(Entry.m_RouteTier)};
      Demands[Peer->m_Instance.m_Peer][Entry.m_Pool][Tier] += toDemand(Entry);
    }
    m_Slots.handleReport(Peer->m_Instance.m_Peer, Peer->m_LastSeenAt);
  }
  m_Targets.setRemoteLoad(Sums);
  m_Dispatcher.demand().setPeers(std::move(Demands));
}

//===----------------------------------------------------------------------===//
// Readiness and stop
//===----------------------------------------------------------------------===//

bool Gateway::isJustStarted() const {
  return core::steadyNow() - m_StartedAt < ConfigurationTimeout;
}

bool Gateway::isReady() const {
  return m_Table && m_StoppingSince == core::TimePoint();
}

http::ResponseMessage Gateway::readinessResponse() const {
  return http::emptyResponse(isReady() ? 200 : 503);
}

bool Gateway::isPastAcceptPeriod(core::TimePoint Now) const {
  return m_StoppingSince != core::TimePoint() &&
         Now - m_StoppingSince > AcceptPeriodWhenStopping;
}

bool Gateway::isPastSendPeriod(core::TimePoint Now) const {
  return isPastAcceptPeriod(Now) &&
         Now - m_StoppingSince >
             m_Settings.m_StopGrace - StopMargin - StopServiceTime;
}

void Gateway::refuseWaiting() {
  for (const auto &[Id, Open] : m_OpenRequests)
    Open->refuseIfWaiting();
}

void Gateway::breakOffRequests() {
  if (m_AreRequestsBrokenOff)
    return;
  m_AreRequestsBrokenOff = true;
  for (const auto &[Id, Open] : m_OpenRequests)
    Open->breakOff();
}

void Gateway::stop(std::function<void()> OnStopped) {
  if (m_StoppingSince != core::TimePoint())
    return;
  m_StoppingSince = core::steadyNow();
  m_Lending.setStopping();
  m_OnStopped = std::move(OnStopped);
  m_CallerServer->disableKeepAlive();
  m_Peers->setStopping();
  scheduleTick();
  core::LogLine("instance-stopping")
      .add("instance", m_Settings.m_Name)
      .add("open_requests", m_OpenRequests.size());
}

void Gateway::endStop() {
  m_StoppingSince = std::min(
      m_StoppingSince, core::steadyNow() - m_Settings.m_StopGrace + StopMargin);
}

void Gateway::pollStop(core::TimePoint Now) {
  core::Duration Elapsed = Now - m_StoppingSince;
  if (Elapsed < AcceptPeriodWhenStopping || !m_OnStopped)
    return;
  m_CallerServer->stopAccepting();
  if (isPastSendPeriod(Now))
    refuseWaiting();
  if (Elapsed >= m_Settings.m_StopGrace - StopMargin)
    breakOffRequests();
  bool IsIdle =
      m_CallerServer->openConnections() == 0 && m_OpenRequests.empty();
  if (!IsIdle && Elapsed < m_Settings.m_StopGrace - ExitMargin)
    return;
  core::LogLine("instance-stopped")
      .add("instance", m_Settings.m_Name)
      .add("open_requests", m_OpenRequests.size());
  std::function<void()> OnStopped = std::move(m_OnStopped);
  m_OnStopped = nullptr;
  OnStopped();
}

//===----------------------------------------------------------------------===//
// Dispatch of requests
//===----------------------------------------------------------------------===//

void Gateway::place(const routing::PlacementRequest &Request) {
  m_Peers->notifyIfChanged();
  m_Dispatcher.place(Request, core::steadyNow());
  if (m_Dispatcher.waiting() > 0)
    m_Lending.update(core::steadyNow());
  scheduleTick();
}

void Gateway::scheduleTick() {
  bool IsNeeded =
      m_Dispatcher.waiting() > 0 || m_Slots.hasLeases() || m_OnStopped;
  if (m_IsTickScheduled || !IsNeeded)
    return;
  m_IsTickScheduled = true;
  m_Timers.callAfter(TickPeriod, [this](core::TimePoint Now) {
    m_IsTickScheduled = false;
    tick(Now);
    scheduleTick();
  });
}

void Gateway::dispatchWaiting(core::TimePoint Now) {
  if (m_Dispatcher.waiting() == 0)
    return;
  m_Peers->notifyIfChanged();
  m_Dispatcher.dispatchWaiting(Now);
}

std::optional<core::TimePoint> Gateway::availableAt(const core::PoolName &Pool,
                                                    core::TimePoint Now) {
  if (m_Targets.throttles().isEmpty())
    return std::nullopt;
  return m_Targets.availableAt(Pool, m_Dispatcher.waitingFor(Pool), Now);
}

void Gateway::handleFreedSlot(const routing::TargetIncarnation &Target) {
  bool IsShared = m_Settings.m_Overload.m_SlotHandover && m_HasWaitingPeers;
  if (m_Dispatcher.waiting() > 0 || IsShared)
    m_Peers->notifyIfChanged();
  m_Slots.handleFreedSlot(Target, core::steadyNow());
  if (m_HasWaitingPeers)
    m_Peers->scheduleReport();
  scheduleTick();
}

void Gateway::tick(core::TimePoint Now) {
  m_Slots.upkeep(Now);
  dispatchWaiting(Now);
  if (m_Dispatcher.waiting() > 0)
    m_Lending.update(Now);
  if (m_StoppingSince != core::TimePoint())
    pollStop(Now);
}

//===----------------------------------------------------------------------===//
// Retry budget and metrics
//===----------------------------------------------------------------------===//

bool Gateway::tryReserveRetry(const core::PoolName &Pool) {
  return m_Retries.budgetOf(Pool).tryTake(core::steadyNow(),
                                          m_Peers->activeInstanceCount());
}

void Gateway::updateGauges() {
  auto Set = [this](const char *Name, std::size_t Value) {
    m_Metrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("yardrill_open_connections", m_CallerServer->openConnections());
  Set("yardrill_open_requests", m_OpenRequests.size());
  Set("yardrill_held_body_bytes", m_CallerServer->bodyBudget().used());
  Set("yardrill_held_body_bytes_peak", m_CallerServer->bodyBudget().peak());
  Set("yardrill_open_transfers",
      m_CallerServer->intake().transfers().open(core::steadyNow()));
  m_Metrics.setGauge("yardrill_refusing_connections_seconds",
                     core::toSeconds(m_CallerServer->refusingTime()));
  Set("yardrill_waiting_requests", m_Dispatcher.waiting());
  Set("yardrill_targets", m_Targets.all().size());
  Set("yardrill_peers", m_Peers->peers().all().size());
  Set("yardrill_peers_missing", m_Peers->missingCount());
  Set("yardrill_target_connections_opened", m_Connections.opened());
  Set("yardrill_quarantined_contents", m_Quarantine.table().quarantined());
  Set("yardrill_limited_targets", m_Targets.throttles().limited());
  Set("yardrill_warming_targets", m_Targets.throttles().warmingUp());
  Set("yardrill_drained_data_halls", m_Targets.drainedHalls().size());
  Set("yardrill_resting_targets",
      m_Targets.throttles().backedOff(core::steadyNow()));
  Set("yardrill_stream_origins", m_StreamOrigins.size());
  Set("yardrill_suspected_contents", m_Quarantine.table().size());
  Set("yardrill_impaired_paths", m_Paths.paths().impairedPools().size());
  Set("yardrill_store_connected", m_Follower.isConnected() ? 1 : 0);
  Set("yardrill_store_revision",
      static_cast<std::size_t>(platform::countOf(m_Mirror.revision())));
  Set("yardrill_store_era",
      static_cast<std::size_t>(platform::eraOf(m_Mirror.revision())));
  Set("yardrill_configuration_version",
      m_Table ? m_Table->version().value() : 0);
}

} // namespace yardrill::gateway
