#include "GatewayFleet.h"

#include <atomic>

namespace yardrill::tests {

static const char Configuration[] = R"({"version":7,"routes":[
  {"host":"h","pathPrefix":"/once/","routeKind":"non_idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":1},
  {"host":"h","pathPrefix":"/again/","routeKind":"idempotent",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2},
  {"host":"h","pathPrefix":"/stream/","routeKind":"streaming",
   "timeoutMs":3000,"sloMs":300,"service":"app","maxAttempts":2,
   "resumable":true}],
  "services":[{"name":"app"}],
  "tenants":[{"name":"owner","apiKeys":["key"]}]})";

static config::Endpoint local(int Port) {
  return {"127.0.0.1", static_cast<std::uint16_t>(Port)};
}

GatewayFleet::GatewayFleet(std::size_t Gateways, std::size_t Targets,
                           bool HasLinks)
    : m_Instances(Gateways) {
  m_Store.put("op/config", Configuration);
  for (Instance &Each : m_Instances)
    if (HasLinks)
      Each.m_Links = std::make_unique<TargetLinks>(m_Context);
  for (std::size_t I = 0; I < Targets; ++I)
    m_Targets.push_back(
        std::make_unique<ExitingTarget>(m_Context, m_Store, m_ArrivalLog, I));
  m_Thread = std::thread([this] { m_Context.run(); });
}

GatewayFleet::~GatewayFleet() {
  killAll();
  m_Context.stop();
  m_Thread.join();
}

void GatewayFleet::runOnTargetThread(const std::function<void()> &Task) {
  std::promise<void> Done;
  asio::post(m_Context, [&] {
    Task();
    Done.set_value();
  });
  Done.get_future().wait();
}

void GatewayFleet::start(std::size_t Index) {
  Instance &Started = m_Instances[Index];
  gateway::GatewaySettings Settings;
  Settings.m_Name = core::InstanceName("gateway-" + std::to_string(Index));
  Settings.m_DataHall = core::DataHallName("hall");
  Settings.m_CallerAddress = local(Started.m_CallerPort);
  Settings.m_ReadinessAddress = local(Started.m_ReadinessPort);
  Settings.m_PeerAddress = local(Started.m_PeerPort);
  Settings.m_MetricsAddress = local(Started.m_MetricsPort);
  Settings.m_PeerKey = "test";
  for (const Instance &Each : m_Instances)
    Settings.m_Seeds.push_back(local(Each.m_PeerPort));
  Settings.m_IsFirstStart = !Started.m_HasRun;
  Settings.m_Retries = {0.2, std::chrono::seconds(10), 200};
  Started.m_HasRun = true;
  const gateway::Dialect *Wire = &m_Dialect;
  if (Started.m_Links)
    Wire = Started.m_Links.get();
  platform::KeyValueService *Store = &m_Store;
  if (Started.m_Store)
    Store = Started.m_Store;
  Started.m_Context = std::make_unique<asio::io_context>(1);
  Started.m_Gateway = gateway::Gateway::Builder()
                          .settings(Settings)
                          .dialect(*Wire)
                          .store(*Store)
                          .build(*Started.m_Context);
  Started.m_Gateway->start();
  Started.m_Thread = std::thread([&Started] { Started.m_Context->run(); });
}

void GatewayFleet::setLinks(std::size_t Index, ProxyMode Mode) {
  runOnTargetThread([&] { m_Instances[Index].m_Links->setMode(Mode); });
}

void GatewayFleet::resetLinks(std::size_t Index) {
  runOnTargetThread([&] { m_Instances[Index].m_Links->resetAll(); });
}

void GatewayFleet::startAll() {
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    start(I);
}

void GatewayFleet::kill(std::size_t Index) {
  Instance &Killed = m_Instances[Index];
  if (!Killed.m_Gateway)
    return;
  Killed.m_Context->stop();
  Killed.m_Thread.join();
  // Before the context, whose destruction ends the coroutines of its requests.
  Killed.m_Gateway.reset();
  Killed.m_Context.reset();
}

void GatewayFleet::killAll() {
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    kill(I);
}

void GatewayFleet::stall(std::size_t Index, std::chrono::milliseconds Time) {
  asio::post(*m_Instances[Index].m_Context,
             [Time] { std::this_thread::sleep_for(Time); });
}

bool GatewayFleet::waitUntilReady() {
  http::RequestMessage Message;
  Message.m_Method = "GET";
  Message.m_Target = "/readyz";
  return eventually([&] {
    for (std::size_t I = 0; I < m_Instances.size(); ++I)
      if (call(m_Instances[I].m_ReadinessPort, Message).m_Status != 200 ||
          metric(I, "yardrill_peers") + 1 !=
              static_cast<double>(m_Instances.size()) ||
          metric(I, "yardrill_targets") !=
              static_cast<double>(m_Targets.size()))
        return false;
    return true;
  });
}

http::RequestMessage GatewayFleet::request(const std::string &Path,
                                           const std::string &Body) {
  static std::atomic<int> Next{1};
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target = Path;
  Out.m_Headers = {{"Host", "h"},
                   {"Attempt-Id", "f" + std::to_string(Next++)},
                   {"Deadline-Ms", "2000"},
                   {"Api-Key", "key"}};
  Out.m_Body = Body;
  return Out;
}

Reply GatewayFleet::send(std::size_t Gateway, const std::string &Path,
                         const std::string &Body) {
  return call(m_Instances[Gateway].m_CallerPort, request(Path, Body));
}

double GatewayFleet::metric(std::size_t Gateway, const std::string &Name) {
  http::RequestMessage Message;
  Message.m_Method = "GET";
  Message.m_Target = "/metrics";
  Reply Response = call(m_Instances[Gateway].m_MetricsPort, Message);
  std::string Line = "\n" + Name + " ";
  std::size_t At = ("\n" + Response.m_Body).find(Line);
  return At == std::string::npos
             ? 0
             : std::strtod(Response.m_Body.c_str() + At + Line.size() - 1,
                           nullptr);
}

std::size_t GatewayFleet::arrivalsOf(const std::string &Body) {
  return arrivalsAfterThirdExit(Body, core::Duration::min());
}

std::vector<core::TimePoint> GatewayFleet::arrivalsAt(std::size_t Target) {
  std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
  std::vector<core::TimePoint> Out;
  for (const Arrival &Each : m_ArrivalLog.m_Arrivals)
    if (Each.m_Target == Target)
      Out.push_back(Each.m_At);
  return Out;
}

std::size_t GatewayFleet::exits() {
  std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
  return m_ArrivalLog.m_Exits.size();
}

std::size_t GatewayFleet::exitPartArrivalsAfter(std::size_t Exit,
                                                core::Duration After) {
  std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
  if (m_ArrivalLog.m_Exits.size() < Exit)
    return 0;
  core::TimePoint Since = m_ArrivalLog.m_Exits[Exit - 1] + After;
  return static_cast<std::size_t>(std::count_if(
      m_ArrivalLog.m_Arrivals.begin(), m_ArrivalLog.m_Arrivals.end(),
      [Since](const Arrival &Each) {
        return Each.m_HasExitPart && Since < Each.m_At;
      }));
}

std::size_t GatewayFleet::arrivalsAfterThirdExit(const std::string &Body,
                                                 core::Duration After) {
  static constexpr std::size_t Third = 3;
  std::lock_guard<std::mutex> Lock(m_ArrivalLog.m_Mutex);
  bool CountsAll = After == core::Duration::min();
  if (!CountsAll && m_ArrivalLog.m_Exits.size() < Third)
    return 0;
  std::size_t Out = 0;
  for (const Arrival &Each : m_ArrivalLog.m_Arrivals)
    if (Each.m_Body == Body &&
        (CountsAll || Each.m_At > m_ArrivalLog.m_Exits[Third - 1] + After))
      ++Out;
  return Out;
}

} // namespace yardrill::tests
