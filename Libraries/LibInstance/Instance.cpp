#include "LibInstance/Instance.h"

#include "LibConfig/Diagnostic.h"
#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/json.hpp>
#include <charconv>
#include <thread>

namespace yardrill::instance {

namespace json = boost::json;

static const std::chrono::milliseconds DrainPollPeriod(20);
/// Time for the platform to receive the resignation, and for peers to receive
/// the notice that this instance leaves.
static const std::chrono::milliseconds LeaveNoticeTime(1000);
/// Time in which the requests that a forced stop breaks off get their
/// responses.
static const std::chrono::milliseconds BreakOffTime(1000);
/// Maximum of events and actions that one open request has in a queue at once.
static const std::size_t QueueEntriesPerRequest = 4;

InstanceBuilder &InstanceBuilder::settings(config::InstanceSettings Settings) {
  m_Settings = std::move(Settings);
  return *this;
}

std::unique_ptr<Instance> InstanceBuilder::build() {
  std::size_t Needed =
      m_Settings.m_Callers.m_OpenConnections * QueueEntriesPerRequest;
  if (m_Settings.m_QueueCapacity < Needed)
    throw core::Error(core::ErrorKind::Settings,
                      "instance.ring_capacity must be at least 4 times "
                      "callers.open_connections");
  std::unique_ptr<Instance> Out(new Instance(std::move(m_Settings)));
  Out->createComponents();
  return Out;
}

Instance::Instance(config::InstanceSettings Settings)
    : m_Settings(std::move(Settings)) {
  m_Self.m_Incarnation = core::IncarnationId(core::randomBits());
  m_Self.m_Peer = m_Settings.m_PeerAddress;
}

Instance::~Instance() {
  auto Stop = [](const auto &Component) {
    // Null when construction failed, such as on an address in use.
    if (Component)
      Component->stop();
  };
  // Each component stops before those that it calls.
  Stop(m_OperatorServer);
  Stop(m_Traffic);
  Stop(m_Platform);
  Stop(m_Peers);
  Stop(m_Decision);
}

void Instance::createComponents() {
  m_Decision = std::make_unique<DecisionThread>(m_Settings.m_QueueCapacity,
                                                m_Settings.m_TraceFile);
  auto Push = [this](const decision::Event &NewEvent) {
    m_Decision->push(NewEvent);
  };
  TrafficHooks Traffic;
  Traffic.m_TryPush = [this](decision::Event NewEvent) {
    return m_Decision->tryPush(std::move(NewEvent));
  };
  Traffic.m_Push = Push;
  m_Traffic = std::make_unique<TrafficThread>(
      m_Settings, m_Self, m_Configuration, m_Metrics, Traffic);
  m_Peers = std::make_unique<PeerThread>(m_Settings, m_Self, m_Configuration,
                                         m_Metrics, Push);
  PlatformHooks Platform;
  Platform.m_Push = Push;
  Platform.m_OnSchedulersListed = [this](std::vector<config::Endpoint> Listed) {
    m_Peers->setListedPeers(std::move(Listed));
  };
  m_Platform = std::make_unique<PlatformThread>(
      m_Settings, m_Self, m_Configuration, m_Metrics, Platform);
  m_OperatorServer = std::make_unique<OperatorServer>(
      m_Settings.m_OperatorAddress, m_Settings.m_OperatorToken,
      [this](const OperatorRequest &Request) {
        return handleOperator(Request);
      });
  m_Decision->setSink(
      [this](const decision::Action &CoreAction) { routeAction(CoreAction); });
  m_Configuration.subscribe([this](const config::ConfigurationHandle &Next) {
    m_Decision->push(decision::ConfigurationAccepted{Next});
  });
}

void Instance::routeAction(const decision::Action &CoreAction) {
  bool IsForPlatform =
      std::holds_alternative<decision::Claim>(CoreAction) ||
      std::holds_alternative<decision::ReadThresholdRecord>(CoreAction) ||
      std::holds_alternative<decision::WriteThresholdRecord>(CoreAction) ||
      std::holds_alternative<decision::ResignLeadership>(CoreAction);
  bool IsForPeers =
      std::holds_alternative<decision::SendThresholdCommand>(CoreAction) ||
      std::holds_alternative<decision::SendThresholdReport>(CoreAction);
  if (IsForPlatform)
    m_Platform->push(CoreAction);
  else if (IsForPeers)
    m_Peers->push(CoreAction);
  else
    m_Traffic->push(CoreAction);
}

void Instance::start() {
  decision::InstanceStarted StartEvent;
  StartEvent.m_Self = m_Self;
  StartEvent.m_Seed = core::randomBits();
  StartEvent.m_Identities = m_Settings.m_Identities.m_Identities;
  StartEvent.m_RetentionMicros = m_Settings.m_Identities.m_Retention.count();
  m_Decision->start(StartEvent);
  m_Traffic->start();
  m_Peers->start();
  m_Platform->start();
  m_OperatorServer->start();
  core::LogLine("instance-started")
      .add("instance", m_Settings.m_Name)
      .add("data_hall", m_Settings.m_DataHall)
      .add("incarnation", m_Self.m_Incarnation)
      .add("caller_address", m_Settings.m_CallerAddress.toString())
      .add("operator_address", m_Settings.m_OperatorAddress.toString())
      .add("peer_address", m_Settings.m_PeerAddress.toString());
}

void Instance::drain(const std::atomic<bool> &IsStopForced) {
  m_IsStopping = true;
  core::LogLine("instance-stopping")
      .add("instance", m_Settings.m_Name)
      .add("open_requests", m_Traffic->load().m_Requests);
  auto DrainDelayEnd = core::steadyNow() + m_Settings.m_DrainDelay;
  while (core::steadyNow() < DrainDelayEnd && !IsStopForced)
    std::this_thread::sleep_for(DrainPollPeriod);
  m_Traffic->stopAccepting();
  m_Decision->push(decision::StopRequested{});
  m_Peers->setStopping();
  auto HasOpenWork = [this] {
    TrafficThread::Load Load = m_Traffic->load();
    return Load.m_Requests > 0 || Load.m_Connections > 0;
  };
  while (HasOpenWork() && !IsStopForced)
    std::this_thread::sleep_for(DrainPollPeriod);
  if (IsStopForced) {
    m_Traffic->breakOffRequests();
    auto End = core::steadyNow() + BreakOffTime;
    while (HasOpenWork() && core::steadyNow() < End)
      std::this_thread::sleep_for(DrainPollPeriod);
  } else {
    std::this_thread::sleep_for(LeaveNoticeTime);
  }
  core::LogLine("instance-stopped")
      .add("instance", m_Settings.m_Name)
      .add("open_requests", m_Traffic->load().m_Requests);
}

//===----------------------------------------------------------------------===//
// Operator endpoint
//===----------------------------------------------------------------------===//

static OperatorResponse problemResponse(unsigned Status, const char *Reason,
                                        const std::string &Type,
                                        const std::string &Detail) {
  json::object Body{{"type", "urn:yardrill:problem:" + Type},
                    {"status", Status},
                    {"detail", Detail}};
  return {Status, Reason, "application/problem+json",
          json::serialize(Body) + "\n"};
}

OperatorResponse Instance::handleOperator(const OperatorRequest &Request) {
  if (Request.m_Path == "/healthz")
    return {200, "OK", "text/plain", "ok\n"};
  if (Request.m_Path == "/readyz") {
    if (m_Configuration.current() && !m_IsStopping)
      return {200, "OK", "text/plain", "ready\n"};
    return {503, "Service Unavailable", "text/plain",
            m_IsStopping ? "stopping\n" : "no configuration\n"};
  }
  if (Request.m_Path == "/metrics") {
    updateGauges();
    return {200, "OK", "text/plain; version=0.0.4", m_Metrics.exposition()};
  }
  if (Request.m_Path == "/status")
    return {200, "OK", "application/json", statusJson()};
  if (Request.m_Path == "/configuration")
    return Request.m_Method == "PUT" || Request.m_Method == "POST"
               ? publish(Request)
               : readConfiguration();
  return problemResponse(404, "Not Found", "unknown-path", Request.m_Path);
}

void Instance::updateGauges() {
  TrafficThread::Load Load = m_Traffic->load();
  DecisionStatus Decision = m_Decision->status();
  auto Set = [this](const char *Name, std::size_t Value) {
    m_Metrics.setGauge(Name, static_cast<double>(Value));
  };
  Set("yardrill_open_connections", Load.m_Connections);
  Set("yardrill_open_requests", Load.m_Requests);
  Set("yardrill_identities", Decision.m_Identities);
  Set("yardrill_policy_failures", Decision.m_PolicyFailures);
  Set("yardrill_configuration_version", m_Configuration.version().value());
}

OperatorResponse Instance::readConfiguration() const {
  ConfigurationEnvelope Envelope = m_Configuration.envelope();
  return {200, "OK", "application/json", Envelope.toJson() + "\n"};
}

static OperatorResponse errorResponse(const config::DocumentError &Failure) {
  json::array Diagnostics;
  for (const config::Diagnostic &F : Failure.diagnostics())
    Diagnostics.push_back(json::object{{"line", F.m_Line},
                                       {"key", F.m_Key},
                                       {"problem", F.m_Problem},
                                       {"allowed", F.m_Allowed}});
  json::object Body{{"type", "urn:yardrill:problem:configuration"},
                    {"status", 422},
                    {"detail", Failure.detail()},
                    {"faults", Diagnostics}};
  return {422, "Unprocessable Content", "application/problem+json",
          json::serialize(Body) + "\n"};
}

OperatorResponse Instance::publish(const OperatorRequest &Request) {
  PublishRequest Publication;
  std::uint64_t Base = 0;
  const std::string &Text = Request.m_BaseVersion;
  auto [Last, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Base);
  if (Code != std::errc() || Last != Text.data() + Text.size() ||
      Request.m_ChangeId.empty())
    return problemResponse(400, "Bad Request", "usage",
                           "the query must have base (a version) and "
                           "change (an id)");
  Publication.m_BaseVersion = core::ConfigurationVersion(Base);
  Publication.m_ChangeId = Request.m_ChangeId;
  Publication.m_Text = Request.m_Body;
  try {
    core::ConfigurationVersion Version = m_Platform->publish(Publication);
    return {200, "OK", "application/json",
            "{\"version\":" + std::to_string(Version.value()) + "}\n"};
  } catch (const config::DocumentError &Failure) {
    return errorResponse(Failure);
  } catch (const core::Error &Failure) {
    if (Failure.kind() == core::ErrorKind::Policy)
      return problemResponse(422, "Unprocessable Content", "policy",
                             Failure.detail());
    bool IsConflict = Failure.kind() == core::ErrorKind::Conflict;
    return problemResponse(IsConflict ? 409 : 503,
                           IsConflict ? "Conflict" : "Service Unavailable",
                           core::toString(Failure.kind()), Failure.detail());
  }
}

static json::object toJson(const PoolStatus &Pool) {
  json::array Targets;
  for (const TargetStatus &T : Pool.m_Targets)
    Targets.push_back(
        json::object{{"name", T.m_Name.value()},
                     {"address", T.m_Address.toString()},
                     {"running", T.m_Running},
                     {"takes_new_work", T.m_TakesNewWork},
                     {"decode_tokens_per_second", T.m_DecodeRate}});
  return {{"name", Pool.m_Name.value()},
          {"queued", Pool.m_Queued},
          {"running", Pool.m_Running},
          {"floor_tier", Pool.m_Threshold.value()},
          {"is_leader", Pool.m_IsLeader},
          {"leader_phase", Pool.m_LeaderPhase},
          {"has_permission", Pool.m_HasShedPermit},
          {"targets", Targets}};
}

std::string Instance::statusJson() const {
  DecisionStatus Decision = m_Decision->status();
  json::array Pools;
  for (const PoolStatus &Pool : Decision.m_Pools)
    Pools.push_back(toJson(Pool));
  json::array Peers;
  for (const PeerStatus &Peer : m_Peers->status())
    Peers.push_back(
        json::object{{"name", Peer.m_Name.value()},
                     {"peer_address", Peer.m_Instance.m_Peer.toString()},
                     {"configuration_version", Peer.m_Version.value()},
                     {"silent_for_ms", Peer.m_SilentFor.count() / 1000},
                     {"is_stopping", Peer.m_IsStopping}});
  json::object Out{
      {"instance", m_Settings.m_Name.value()},
      {"data_hall", m_Settings.m_DataHall.value()},
      {"incarnation", std::to_string(m_Self.m_Incarnation.value())},
      {"configuration_version", m_Configuration.version().value()},
      {"is_stopping", m_IsStopping.load()},
      {"open_requests", Decision.m_OpenRequests},
      {"identities", Decision.m_Identities},
      {"policy_failures", Decision.m_PolicyFailures},
      {"pools", Pools},
      {"peers", Peers}};
  return json::serialize(Out) + "\n";
}

} // namespace yardrill::instance
