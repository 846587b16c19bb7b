#include "Fleet.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

namespace yardrill::tests {

namespace json = boost::json;

static const char AccountKey[] = "box-office-secret";
static const char OperatorToken[] = "operator-secret";

/// Programs are in the parent directory of the test program's directory.
std::string program(const std::string &Name) {
  static const auto Folder =
      std::filesystem::read_symlink("/proc/self/exe").parent_path();
  return Folder.parent_path() / Name;
}

static std::string local(int Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

static std::string makeFolder() {
  std::string Name =
      (std::filesystem::temp_directory_path() / "yardrill-test-XXXXXX");
  if (!mkdtemp(Name.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return Name;
}

static std::vector<std::string> splitWords(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Out;
  for (std::string Word; In >> Word;)
    Out.push_back(Word);
  return Out;
}

Fleet::Fleet(const Options &FleetOptions)
    : m_Options(FleetOptions), m_Folder(makeFolder()) {
  std::string Log = m_Folder + "/stand-ins.log";
  std::string StandIn = program("Tests/stand_in");
  m_PlatformPort = freePort();
  m_ApplicationPort = freePort();
  m_Platform = Process(
      {StandIn, "platform", "--port=" + std::to_string(m_PlatformPort)}, Log);
  startApplication();
  for (int I = 0; I < FleetOptions.m_Engines; ++I) {
    m_EnginePorts.push_back(freePort());
    std::vector<std::string> Command = {
        StandIn, "engine", "--port=" + std::to_string(m_EnginePorts.back()),
        "--places=" + std::to_string(FleetOptions.m_Slots)};
    for (const std::string &Flag : splitWords(FleetOptions.m_EngineFlags))
      Command.push_back(Flag);
    m_Engines.emplace_back(Command, Log);
  }
  m_Instances.resize(static_cast<std::size_t>(FleetOptions.m_Instances));
  for (int I = 0; I < FleetOptions.m_Instances; ++I) {
    at(I).m_CallerPort = freePort();
    at(I).m_OperatorPort = freePort();
    at(I).m_PeerPort = freePort();
  }
  if (!eventually([&] { return !countersOf(m_PlatformPort).empty(); }))
    throw std::runtime_error("the platform stand-in did not respond in time");
  for (int I = 0; I < FleetOptions.m_Instances; ++I) {
    writeSettings(at(I), I);
    start(I);
  }
}

static bool HadInternalFailures = false;

bool Fleet::hadInternalFailures() { return HadInternalFailures; }

Fleet::~Fleet() {
  std::string Failures = internalFailures();
  if (!Failures.empty()) {
    HadInternalFailures = true;
    std::cerr << "internal failures of an instance:\n" << Failures;
  }
  for (Instance &Each : m_Instances)
    Each.m_Process.kill();
  if (!std::getenv("YARDRILL_KEEP_LOGS"))
    std::filesystem::remove_all(m_Folder);
}

void Fleet::startApplication() {
  m_Application = Process({program("Tests/stand_in"), "application",
                           "--port=" + std::to_string(m_ApplicationPort)},
                          m_Folder + "/stand-ins.log");
}

void Fleet::writeSettings(Instance &Configured, int Index) const {
  std::string Name = "entry-" + std::to_string(Index + 1);
  Configured.m_SettingsFile = m_Folder + "/" + Name + ".yaml";
  Configured.m_LogFile = m_Folder + "/" + Name + ".log";
  Configured.m_TraceFile = m_Folder + "/" + Name + ".trace";
  std::ofstream Out(Configured.m_SettingsFile);
  Out << "instance:\n  name: " << Name
      << "\n  data_hall: edinburgh\n  caller_address: "
      << local(Configured.m_CallerPort)
      << "\n  operator_address: " << local(Configured.m_OperatorPort)
      << "\n  peer_address: " << local(Configured.m_PeerPort)
      << "\n  operator_token: " << OperatorToken << '\n';
  // Meta/record-traces requests the traces of Tests/Traces this way.
  if (std::getenv("YARDRILL_TRACE"))
    Out << "  trace_file: " << Configured.m_TraceFile << '\n';
  Out << "platform:\n  addresses: [" << local(m_PlatformPort)
      << "]\n  call_timeout_ms: 1000\n  calls_per_second: 100\n"
      << "peers:\n  key_hex: 000102030405060708090a0b0c0d0e0f\n"
      << "  heartbeat_ms: 100\n  silence_ms: 2000\n  seeds: [";
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    Out << (I == 0 ? "" : ", ") << local(m_Instances[I].m_PeerPort);
  Out << "]\n" << m_Options.m_ExtraSettings;
}

void Fleet::start(int Index) {
  at(Index).m_Process = Process(
      {program("yardrill"), "serve", "--config=" + at(Index).m_SettingsFile},
      at(Index).m_LogFile);
}

std::string Fleet::configuration(const std::string &LeavingTarget) const {
  std::ostringstream Out;
  const char *Names[] = {"hold", "assist", "batch"};
  Out << "tiers:\n";
  for (int I = 0; I < 3; ++I)
    Out << "  - {name: " << Names[I] << ", tier: " << I + 1
        << ", deadline_ms: " << m_Options.m_DeadlineMilliseconds[I] << "}\n";
  Out << "client_accounts:\n  - name: box-office\n    key_sha256: "
      << core::sha256Hex(AccountKey)
      << "\n    default_tier: assist\n    tiers: [hold, assist, batch]\n"
      << "pools:\n  - name: assistant\n    kind: model\n"
      << "    models: [assistant-1]\n    queue_limit: "
      << m_Options.m_QueueLimit << "\n    targets:\n";
  for (std::size_t I = 0; I < m_EnginePorts.size(); ++I) {
    std::string Name = "engine-" + std::to_string(I + 1);
    Out << "      - {name: " << Name << ", address: " << local(m_EnginePorts[I])
        << ", data_hall: edinburgh, places: " << m_Options.m_Slots
        << (Name == LeavingTarget ? ", leaving: true" : "") << "}\n";
  }
  Out << "  - name: seats\n    kind: application\n    queue_limit: "
      << m_Options.m_QueueLimit
      << "\n    routes:\n      - {prefix: /transfers, repeatable: false}\n"
      << "    targets:\n      - {name: seats-1, address: "
      << local(m_ApplicationPort)
      << ", data_hall: glasgow, places: " << m_Options.m_Slots << "}\n";
  return Out.str();
}

static http::RequestMessage operatorRequest(const std::string &Method,
                                            const std::string &Target,
                                            const std::string &Body) {
  http::RequestMessage Out;
  Out.m_Method = Method;
  Out.m_Target = Target;
  Out.m_Headers.set("Host", "operator");
  Out.m_Headers.set("Authorization", std::string("Bearer ") + OperatorToken);
  Out.m_Body = Body;
  return Out;
}

Reply Fleet::publish(int Index, int Base, const std::string &Change,
                     const std::string &Text) {
  return call(at(Index).m_OperatorPort,
              operatorRequest("PUT",
                              "/configuration?base=" + std::to_string(Base) +
                                  "&change=" + Change,
                              Text));
}

Reply Fleet::callOperatorApi(int Index, const std::string &Path) {
  return call(at(Index).m_OperatorPort, operatorRequest("GET", Path, ""));
}

json::object Fleet::status(int Index) {
  return json::parse(callOperatorApi(Index, "/status").m_Body).as_object();
}

bool Fleet::waitUntilServing() {
  bool IsPublished = eventually(
      [&] { return publish(0, 0, "first", configuration()).m_Status == 200; });
  auto IsReady = [this](int Index) {
    json::object Status = status(Index);
    std::size_t Peers = Status.at("peers").as_array().size();
    const json::array &Pools = Status.at("pools").as_array();
    return Peers + 1 == m_Instances.size() && !Pools.empty() &&
           std::all_of(Pools.begin(), Pools.end(), [](const json::value &P) {
             return P.at("floor_tier").to_number<int>() == 3;
           });
  };
  for (int I = 0; IsPublished && I < m_Options.m_Instances; ++I)
    if (!eventually([&] { return IsReady(I); }))
      return false;
  return IsPublished;
}

std::vector<std::string> Fleet::logLines() const {
  std::vector<std::string> Out;
  for (const Instance &Each : m_Instances) {
    std::ifstream In(Each.m_LogFile);
    for (std::string Line; std::getline(In, Line);)
      Out.push_back(Line);
  }
  return Out;
}

std::string Fleet::internalFailures() const {
  std::string Out;
  for (const std::string &Line : logLines())
    if (Line.find("event=duty-failure") != std::string::npos)
      Out += Line + "\n";
  return Out;
}

static http::RequestMessage callerRequest(const std::string &Target,
                                          const std::string &Body) {
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target = Target;
  Out.m_Headers.set("Host", "yardrill");
  Out.m_Headers.set("Authorization", std::string("Bearer ") + AccountKey);
  Out.m_Body = Body;
  return Out;
}

http::RequestMessage applicationRequest(const std::string &Path,
                                        const std::string &Identity,
                                        const std::string &Body) {
  http::RequestMessage Out = callerRequest("/apps/seats" + Path, Body);
  Out.m_Headers.set("Test-Identity", Identity);
  return Out;
}

http::RequestMessage completionRequest(const std::string &Prompt, int Tokens,
                                       bool IsStream, const std::string &Tier) {
  json::object Body{{"model", "assistant-1"},
                    {"prompt", Prompt},
                    {"max_tokens", Tokens},
                    {"stream", IsStream}};
  http::RequestMessage Out =
      callerRequest("/v1/completions", json::serialize(Body));
  if (!Tier.empty())
    Out.m_Headers.set("Yardrill-Tier", Tier);
  return Out;
}

std::string completionText(const Reply &Response) {
  std::string Text;
  std::istringstream In(Response.m_Body);
  for (std::string Line; std::getline(In, Line);) {
    if (Line.compare(0, 6, "data: ") == 0)
      Line = Line.substr(6);
    if (Line.empty() || Line == "[DONE]" || Line.compare(0, 4, "id: ") == 0)
      continue;
    json::value Event = json::parse(Line);
    Text += std::string(
        Event.at("choices").as_array().at(0).at("text").as_string());
  }
  return Text;
}

std::int64_t executionsOf(int ApplicationPort, const std::string &Identity) {
  json::object Counters = countersOf(ApplicationPort);
  const json::value *Count =
      Counters.at("executions").as_object().if_contains(Identity);
  return Count ? Count->to_number<std::int64_t>() : 0;
}

std::string issueTicket(int CallerPort) {
  Reply Response = call(CallerPort, callerRequest("/v1/tickets", ""));
  json::value Parsed = json::parse(Response.m_Body);
  return std::string(Parsed.at("tickets").as_array().at(0).as_string());
}

} // namespace yardrill::tests
