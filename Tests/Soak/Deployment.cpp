#include "Deployment.h"

#include "Sleep.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibHTTP/ClientConnection.h"

#include <csignal>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace yardrill::soak {

namespace asio = boost::asio;
namespace json = boost::json;

static constexpr std::uint16_t CallerPort = 8221;
static constexpr std::uint16_t ReadinessPort = 8224;
static constexpr std::uint16_t ControlPort = 8229;
static constexpr std::uint16_t PeerPort = 7600;
static constexpr std::chrono::seconds StopGrace{8};
static constexpr std::chrono::milliseconds RestartDelay{300};
/// Time from a SIGSTOP until the process surely stands still.
static constexpr std::chrono::milliseconds FreezeTime{50};
/// Time after which a target that exited under a bad content restarts.
static constexpr std::chrono::milliseconds ExitedTargetDownTime{800};
/// Time for which a target serves after the store accepted that it leaves.
static constexpr std::chrono::milliseconds LeavingServiceTime{2600};
static constexpr std::chrono::milliseconds LeavingExitDelay{600};
/// Time after which the announcement of a target that stopped without leaving
/// is removed.
static constexpr std::chrono::milliseconds AnnouncementExpiryTime{1500};
/// Bound of the time for which the entry of a target stays that has started
/// again under another name.
static constexpr std::chrono::milliseconds MaxOldAnnouncementTime{2000};
static constexpr std::chrono::seconds OperatorTimeout{20};
static constexpr std::chrono::milliseconds PublishPollInterval{20};

/// Tokens a second, several times what the callers of ModestAccount request.
static constexpr int ModestLimit = 200000;

/// Derives a block of loopback addresses from the process id, so that several
/// soaks can run at the same time.
static std::string loopbackAddress(std::size_t Index) {
  auto Process = static_cast<unsigned>(getpid());
  std::ostringstream Out;
  Out << "127." << 1 + Process / 256 % 254 << "." << Process % 256 << "."
      << 10 + Index;
  return Out.str();
}

Deployment::Deployment(asio::io_context &Context, InvariantChecker &Checker,
                       const DeploymentShape &Shape, std::mt19937_64 &Random)
    : m_Context(Context), m_Checker(Checker), m_Shape(Shape),
      m_StorePort(tests::freePort()),
      m_Store({Shape.m_StandIn, "platform",
               "--port=" + std::to_string(m_StorePort)},
              Shape.m_Folder + "/store.log"),
      m_Gateways(Shape.m_Gateways), m_Random(Random) {
  for (std::size_t I = 0; I < m_Gateways.size(); ++I) {
    m_Gateways[I].m_Address = loopbackAddress(m_UsedAddresses++);
    m_Gateways[I].m_StoreProxy = std::make_unique<tests::LoopbackProxy>(
        Context, tests::freePort(), m_StorePort);
    m_Gateways[I].m_CallerProxy = std::make_unique<tests::LoopbackProxy>(
        Context, tests::freePort(), callerAddress(I));
  }
  for (const char *Pool : {"app", "engine"})
    for (std::size_t I = 0; I < Shape.m_TargetsPerPool; ++I)
      m_Targets.push_back(std::make_unique<SoakTarget>(Context, Checker, Random,
                                                       nextTargetName(), Pool));
  for (std::size_t I = 0; I < m_Targets.size(); ++I)
    installExitHook(I);
}

Deployment::~Deployment() = default;

void Deployment::installExitHook(std::size_t Index) {
  m_Targets[Index]->setExitHook([this, Index] {
    asio::spawn(
        m_Context,
        [this, Index](asio::yield_context Yield) {
          crashTarget(Index, ExitedTargetDownTime, Yield);
        },
        asio::detached);
  });
}

std::string Deployment::nextTargetName() {
  return "i-" + std::to_string(m_NextTarget++);
}

static asio::ip::tcp::endpoint toTcp(const std::string &Address,
                                     std::uint16_t Port) {
  return {asio::ip::make_address(Address), Port};
}

asio::ip::tcp::endpoint Deployment::callerAddress(std::size_t Gateway) const {
  return toTcp(m_Gateways[Gateway].m_Address, CallerPort);
}

asio::ip::tcp::endpoint Deployment::proxiedAddress(std::size_t Gateway) const {
  return toTcp("127.0.0.1", static_cast<std::uint16_t>(
                                m_Gateways[Gateway].m_CallerProxy->port()));
}

asio::ip::tcp::endpoint
Deployment::readinessAddress(std::size_t Gateway) const {
  return toTcp(m_Gateways[Gateway].m_Address, ReadinessPort);
}

//===----------------------------------------------------------------------===//
// Processes
//===----------------------------------------------------------------------===//

void Deployment::writeSettings(std::size_t Index, bool IsFirstStart) const {
  const Gateway &Instance = m_Gateways[Index];
  const std::string &Ip = Instance.m_Address;
  auto QuotedEndpoint = [&Ip](std::uint16_t Port) {
    return "\"" + Ip + ":" + std::to_string(Port) + "\"\n";
  };
  std::ofstream Out(m_Shape.m_Folder + "/gateway-" + std::to_string(Index) +
                    ".toml");
  Out << "nodeName = \"gateway-" << Index << "\"\nip = \"" << Ip
      << "\"\nzone = \"hall\"\nportRange = [" << PeerPort << ", "
      << PeerPort + 15 << "]\nseeds = [\"" << m_Gateways[0].m_Address << ":"
      << ControlPort << "\"]\nbootstrap = " << (IsFirstStart ? "true" : "false")
      << "\npeerKey = \"soak " << getpid()
      << "\"\n[listen]\nfrontend = " << QuotedEndpoint(CallerPort)
      << "readiness = " << QuotedEndpoint(ReadinessPort)
      << "control = " << QuotedEndpoint(ControlPort)
      << "[limits]\nmaxFds = 4100\n[bounds]\ngraceS = "
      << std::chrono::seconds(StopGrace).count()
      << "\nretryRatio = " << bounds::RetryRatio
      << "\nretryWindowS = " << bounds::RetryWindow.count()
      << "\nretrySlack = " << bounds::RetrySlack
      << "\n[platform]\naddress = \"127.0.0.1:" << Instance.m_StoreProxy->port()
      << "\"\nreadsPerS = 2000\n";
}

void Deployment::startGateway(std::size_t Index, bool IsFirstStart) {
  writeSettings(Index, IsFirstStart);
  Gateway &Instance = m_Gateways[Index];
  std::string Stem = m_Shape.m_Folder + "/gateway-" + std::to_string(Index);
  Instance.m_Process = tests::Process(
      {m_Shape.m_Program, "gateway", "--config=" + Stem + ".toml"},
      Stem + ".log");
  Instance.m_IsExitExpected = false;
  Instance.m_StoppingSince = TimePoint();
  Instance.m_FrozenSince.reset();
}

void Deployment::start(asio::yield_context Yield) {
  for (bool IsUp = false; !IsUp;
       tests::sleepFor(m_Context, std::chrono::milliseconds(20), Yield)) {
    try {
      controlStore({}, Yield);
      IsUp = true;
    } catch (const core::Error &) {
      // The store's process is still starting up.
    }
  }
  publish(Yield);
  for (const auto &Each : m_Targets)
    put(Each->key(), Each->announcement(), Yield);
  for (std::size_t I = 0; I < m_Gateways.size(); ++I)
    startGateway(I, true);
}

void Deployment::killGateway(std::size_t Index) {
  Gateway &Instance = m_Gateways[Index];
  if (!Instance.m_Process.isRunning())
    return;
  Instance.m_IsExitExpected = true;
  Instance.m_KilledAt = Clock::now();
  // Before the signal, since callers may notice the exit immediately.
  m_Checker.noteProcessDisturbance(Index, true);
  Instance.m_Process.kill();
  handleGatewayExit(Index, -SIGKILL);
  m_Checker.noteProcessDisturbance(Index, false);
}

void Deployment::stopGateway(std::size_t Index) {
  Gateway &Instance = m_Gateways[Index];
  if (!Instance.m_Process.isRunning() ||
      Instance.m_StoppingSince != TimePoint())
    return;
  Instance.m_StoppingSince = Clock::now();
  Instance.m_IsExitExpected = true;
  m_Checker.setStopping(Index, true);
  Instance.m_Process.signal(SIGTERM);
}

void Deployment::repeatStop(std::size_t Index) {
  Gateway &Instance = m_Gateways[Index];
  if (Instance.m_Process.isRunning() && Instance.m_StoppingSince != TimePoint())
    Instance.m_Process.signal(SIGTERM);
}

bool Deployment::wasKilledSince(std::size_t Index, TimePoint Since) const {
  return m_Gateways[Index].m_KilledAt >= Since;
}

void Deployment::replaceGateway(std::size_t Index) {
  m_Gateways[Index].m_IsReplaced = true;
  stopGateway(Index);
}

bool Deployment::isFrozenSince(std::size_t Index, TimePoint Since) const {
  const Gateway &Instance = m_Gateways[Index];
  return Instance.m_FrozenSince && Instance.m_Process.isRunning() &&
         *Instance.m_FrozenSince + FreezeTime <= Since;
}

void Deployment::signalGateway(std::size_t Index, int Signal) {
  Gateway &Instance = m_Gateways[Index];
  Instance.m_Process.signal(Signal);
  if (Signal == SIGSTOP && !Instance.m_FrozenSince)
    Instance.m_FrozenSince = Clock::now();
  else if (Signal == SIGCONT)
    Instance.m_FrozenSince.reset();
}

void Deployment::handleGatewayExit(std::size_t Index, int ExitCode) {
  Gateway &Instance = m_Gateways[Index];
  if (!Instance.m_IsExitExpected)
    m_Checker.addViolation("exit", "gateway " + std::to_string(Index) +
                                       " exited unexpectedly with " +
                                       std::to_string(ExitCode));
  m_Checker.setStopping(Index, false);
  m_Checker.noteProcessDisturbance(Index, true);
  Instance.m_StartsAt = Clock::now() + RestartDelay;
}

void Deployment::noteTargetShortages() {
  std::map<std::string, std::size_t> Sound;
  for (const auto &Each : m_Targets)
    Sound[Each->pool()] += Each->isSound() ? 1 : 0;
  for (const auto &[Pool, Count] : Sound) {
    bool IsShort =
        static_cast<double>(Count) <
        bounds::MinSoundTargets * static_cast<double>(m_Shape.m_TargetsPerPool);
    if (std::exchange(m_Shortages[Pool], IsShort) != IsShort)
      m_Checker.noteTargetShortage(Pool, IsShort);
  }
}

void Deployment::supervise() {
  noteTargetShortages();
  for (std::size_t I = 0; I < m_Gateways.size(); ++I) {
    Gateway &Instance = m_Gateways[I];
    if (!Instance.m_Process.isRunning()) {
      if (Instance.m_StartsAt > Clock::now())
        continue;
      ++Instance.m_Restarts;
      if (std::exchange(Instance.m_IsReplaced, false)) {
        Instance.m_Address = loopbackAddress(m_UsedAddresses++);
        Instance.m_CallerProxy->setDestination(callerAddress(I));
      }
      m_Checker.gatewayRestarted(I);
      startGateway(I, false);
      m_Checker.noteProcessDisturbance(I, false);
      continue;
    }
    if (auto Code = Instance.m_Process.poll())
      handleGatewayExit(I, *Code);
    else if (Instance.m_StoppingSince != TimePoint() &&
             Clock::now() > Instance.m_StoppingSince + StopGrace)
      killGateway(I);
  }
}

//===----------------------------------------------------------------------===//
// The store and the operator
//===----------------------------------------------------------------------===//

void Deployment::freezeStore(bool IsFrozen) {
  m_Store.signal(IsFrozen ? SIGSTOP : SIGCONT);
}

void Deployment::controlStore(const json::object &Settings,
                              asio::yield_context Yield) {
  http::RequestMessage Request;
  Request.m_Method = "POST";
  Request.m_Target = "/control";
  Request.m_Headers.set("Host", "store");
  Request.m_Body = json::serialize(Settings);
  auto Connection = http::ClientConnection::connect(
      m_Context, toTcp("127.0.0.1", static_cast<std::uint16_t>(m_StorePort)),
      OperatorTimeout, Yield);
  Connection->sendRequest(Request, OperatorTimeout, Yield);
  Connection->readResponse(OperatorTimeout, std::size_t(64) << 20, Yield);
}

void Deployment::put(const std::string &Key, const std::string &Value,
                     asio::yield_context Yield) {
  controlStore({{"put", json::object{{"key", Key}, {"value", Value}}}}, Yield);
}

void Deployment::remove(const std::string &Key, asio::yield_context Yield) {
  controlStore({{"put", json::object{{"key", Key}}}}, Yield);
}

static json::object route(const std::string &Prefix, const char *Kind,
                          const char *Pool, bool IsResumable = false) {
  return {{"name", Prefix},       {"host", "h"},
          {"pathPrefix", Prefix}, {"routeKind", Kind},
          {"timeoutMs", 2000},    {"sloMs", 300},
          {"service", Pool},      {"maxAttempts", 2},
          {"gapAimMs", 200},      {"resumable", IsResumable}};
}

/// Returns the number of unused routes in a version. It varies, so that
/// configurations grow and shrink between 1 kB and 0.5 MB.
static std::uint64_t idleRoutes(std::uint64_t Version) {
  return Version % 3 * 1400;
}

void Deployment::publish(asio::yield_context Yield) {
  // Serializes publications: if an older version overwrote a newer one in the
  // store, no gateway would go back to it.
  while (m_IsPublishing)
    tests::sleepFor(m_Context, PublishPollInterval, Yield);
  m_IsPublishing = true;
  std::uint64_t Number = m_NextVersion++;
  json::array Routes{
      route("/once/", "non_idempotent", "app"),
      route("/again/", "idempotent", "app"),
      route("/stream/", "streaming", "engine"),
      route("/resume/", "streaming", "engine", true),
      // Exists in this version only; callers probe it.
      route("/probe-" + std::to_string(Number) + "/", "idempotent", "app")};
  for (std::uint64_t I = 0; I < idleRoutes(Number); ++I)
    Routes.push_back(
        route("/idle-" + std::to_string(I) + "/", "idempotent", "app"));
  json::object Text{
      {"version", Number},
      {"routes", Routes},
      {"services",
       json::array{json::object{{"name", "app"}},
                   json::object{{"name", "engine"},
                                {"engine", json::object{{"stride", 1}}}}}},
      {"tenants",
       json::array{
           json::object{{"name", "open"},
                        {"apiKeys", json::array{"open-key"}},
                        {"plainTokens", 100}},
           json::object{{"name", "limited"},
                        {"apiKeys", json::array{"limited-key"}},
                        {"plainTokens", 100},
                        {"ratePerS", 2000},
                        {"burst", 2000}},
           json::object{
               {"name", ModestAccount},
               {"apiKeys", json::array{std::string(ModestAccount) + "-key"}},
               {"plainTokens", 100},
               {"ratePerS", ModestLimit},
               {"burst", ModestLimit}}}}};
  put("op/config", json::serialize(Text), Yield);
  m_Versions.push_back({Number, Clock::now()});
  m_IsPublishing = false;
}

//===----------------------------------------------------------------------===//
// Targets
//===----------------------------------------------------------------------===//

void Deployment::replaceTarget(std::size_t Index, asio::yield_context Yield) {
  SoakTarget &Target = *m_Targets[Index];
  if (Target.isRetired())
    return;
  std::string Key = Target.key();
  Target.setLeavingInResponses();
  Target.setLeavingInStore();
  // Set again below, as the grace period starts at the store's response.
  put(Key, Target.announcement(), Yield);
  Target.setLeavingInStore();
  tests::sleepFor(m_Context, LeavingServiceTime, Yield);
  if (Target.isRetired())
    return;
  remove(Key, Yield);
  tests::sleepFor(m_Context, LeavingExitDelay, Yield);
  crashTarget(Index, RestartDelay, Yield);
}

void Deployment::crashTarget(std::size_t Index,
                             std::chrono::milliseconds DownFor,
                             asio::yield_context Yield) {
  SoakTarget &Target = *m_Targets[Index];
  if (Target.isRetired())
    return;
  std::string Old = Target.key();
  Target.setDisturbed(true);
  Target.proxy().setMode(tests::ProxyMode::Closed);
  Target.proxy().resetAll();
  tests::sleepFor(m_Context, DownFor, Yield);
  if (Target.isRetired())
    return;
  bool KeepsName = m_NextTarget % 2 == 0;
  std::string Next = nextTargetName();
  Target.restart(KeepsName ? Target.name() : Next);
  Target.proxy().setMode(tests::ProxyMode::PassThrough);
  Target.setDisturbed(false);
  put(Target.key(), Target.announcement(), Yield);
  if (KeepsName)
    return;
  tests::sleepFor(
      m_Context,
      std::chrono::milliseconds(m_Random() % MaxOldAnnouncementTime.count()),
      Yield);
  remove(Old, Yield);
}

void Deployment::startVersion(const std::string &Pool,
                              const std::string &Version,
                              const ResponseFaults &Faults,
                              asio::yield_context Yield) {
  for (std::size_t I = 0; I < m_Shape.m_TargetsPerPool; ++I) {
    m_CanaryTargets.push_back(std::make_unique<SoakTarget>(
        m_Context, m_Checker, m_Random, nextTargetName(), Pool, Version));
    m_CanaryTargets.back()->setResponseFaults(Faults);
    put(m_CanaryTargets.back()->key(), m_CanaryTargets.back()->announcement(),
        Yield);
  }
}

void Deployment::promoteNewVersion(const std::string &Pool,
                                   asio::yield_context Yield) {
  std::vector<std::string> RetiredKeys;
  for (auto &Each : m_Targets) {
    if (Each->pool() != Pool)
      continue;
    Each->retire();
    RetiredKeys.push_back(Each->key());
    m_Retired.push_back(std::move(Each));
    Each = std::move(m_CanaryTargets.back());
    m_CanaryTargets.pop_back();
  }
  for (std::size_t I = 0; I < m_Targets.size(); ++I)
    installExitHook(I);
  tests::sleepFor(m_Context, AnnouncementExpiryTime, Yield);
  for (const std::string &Key : RetiredKeys)
    remove(Key, Yield);
}

void Deployment::discardNewVersion(asio::yield_context Yield) {
  for (auto &Each : m_CanaryTargets) {
    Each->setLeavingInStore();
    put(Each->key(), Each->announcement(), Yield);
  }
  tests::sleepFor(m_Context, LeavingServiceTime, Yield);
  for (auto &Each : m_CanaryTargets) {
    remove(Each->key(), Yield);
    Each->retire();
    m_Retired.push_back(std::move(Each));
  }
  m_CanaryTargets.clear();
}

void Deployment::putRolloutOrder(const std::string &Pool,
                                 const std::string &Version,
                                 std::chrono::seconds BakeTime,
                                 asio::yield_context Yield) {
  json::object Text{{"service", Pool},
                    {"targetVersion", Version},
                    {"bakeS", BakeTime.count()}};
  put("op/rollout/" + Pool, json::serialize(Text), Yield);
}

std::string Deployment::rolloutState(const std::string &Pool,
                                     asio::yield_context Yield) {
  http::RequestMessage Request;
  Request.m_Method = "GET";
  Request.m_Target = "/kv-key?privateKey=status/rollout/" + Pool;
  Request.m_Headers.set("Host", "store");
  auto Connection = http::ClientConnection::connect(
      m_Context, toTcp("127.0.0.1", static_cast<std::uint16_t>(m_StorePort)),
      OperatorTimeout, Yield);
  Connection->sendRequest(Request, OperatorTimeout, Yield);
  auto Response =
      Connection->readResponse(OperatorTimeout, std::size_t(1) << 20, Yield);
  if (Response.m_Head.m_Status != 200)
    return "";
  json::value Item = json::parse(Response.m_Body);
  return core::fromBase64(std::string(Item.at("value").as_string()));
}

} // namespace yardrill::soak
