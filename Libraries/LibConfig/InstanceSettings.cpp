#include "LibConfig/InstanceSettings.h"

#include "LibConfig/YamlReader.h"
#include "LibCore/Digest.h"

#include <fstream>
#include <sstream>

namespace yardrill::config {

static const IntegerRange TimeoutRangeMs{1, 86'400'000};
static const IntegerRange DelayRangeMs{0, 86'400'000};
static const IntegerRange SizeRange{1, 1'000'000'000};
// boost::lockfree's fixed-size queue counts its nodes in 16 bits.
static const IntegerRange QueueCapacityRange{16, 65'534};
static const std::size_t MinKeyBytes = 16;

const char *InstanceSettings::example() {
  return R"(# Settings of one yardrill instance. Keys without a default are required;
# each optional key is shown with its default.
instance:
  name: entry-1
  data_hall: edinburgh
  caller_address: 127.0.0.1:8080     # for callers, behind a load balancer
  operator_address: 127.0.0.1:8081   # health, metrics, status, configuration
  peer_address: 127.0.0.1:8082       # for other instances, UDP and TCP
  operator_token: change-me          # Bearer token of the operator endpoint
  trace_file: ""                     # file for recorded decisions; "": none
  ring_capacity: 16384               # of each queue between two threads
  drain_notice_ms: 0                 # not ready but accepting before a stop

callers:
  header_bytes: 16384                # larger headers get status 431
  body_bytes: 8388608                # larger bodies get status 413
  open_connections: 4096             # more wait in the listen queue
  open_requests: 4096                # not enforced yet
  read_timeout_ms: 10000             # slower requests get status 408
  write_timeout_ms: 30000            # slower readers are disconnected
  idle_timeout_ms: 60000             # between requests of one connection

targets:
  connect_timeout_ms: 1000
  silence_timeout_ms: 60000          # maximum pause within a response
  idle_connections: 64               # for reuse, per target

identities:
  identities: 100000                 # further ones get status 429
  answer_bytes: 16777216             # for all stored responses
  one_answer_bytes: 262144           # larger responses are not stored
  retention_ms: 600000               # time until an identity is forgotten

platform:
  addresses: [127.0.0.1:8225]        # the metadata store
  call_timeout_ms: 2000
  calls_per_second: 20               # rate limit of this instance
  call_burst: 40
  waiting_calls: 256                 # further calls fail at once

peers:
  seeds: []                          # peer_address of some other instances
  key_hex: 000102030405060708090a0b0c0d0e0f  # same for all instances
  heartbeat_ms: 1000
  silence_ms: 5000                   # after which a peer is considered gone
  known_peers: 1024
)";
}

static void readInstance(YamlReader &Reader, InstanceSettings &Out) {
  Out.m_Name = core::InstanceName(Reader.readString("name"));
  Out.m_DataHall = core::DataHallName(Reader.readString("data_hall"));
  Out.m_CallerAddress = Reader.readEndpoint("caller_address");
  Out.m_OperatorAddress = Reader.readEndpoint("operator_address");
  Out.m_PeerAddress = Reader.readEndpoint("peer_address");
  Out.m_OperatorToken = Reader.readString("operator_token");
  Out.m_TraceFile = Reader.readString("trace_file", "");
  Out.m_QueueCapacity = static_cast<std::size_t>(
      Reader.readInteger("ring_capacity", QueueCapacityRange, 16384));
  Out.m_DrainDelay =
      Reader.readMilliseconds("drain_notice_ms", DelayRangeMs, 0);
  if (Out.m_OperatorToken.empty())
    Reader.reportError("operator_token", "is empty", "a secret");
}

static std::size_t readSize(YamlReader &Reader, const char *Key,
                            std::int64_t Default) {
  return static_cast<std::size_t>(Reader.readInteger(Key, SizeRange, Default));
}

static void readCallers(YamlReader &Reader, CallerLimits &Out) {
  Out.m_HeaderBytes = readSize(Reader, "header_bytes", 16384);
  Out.m_BodyBytes = readSize(Reader, "body_bytes", 8388608);
  Out.m_OpenConnections = readSize(Reader, "open_connections", 4096);
  Out.m_MaxOpenRequests = readSize(Reader, "open_requests", 4096);
  Out.m_ReadTimeout =
      Reader.readMilliseconds("read_timeout_ms", TimeoutRangeMs, 10000);
  Out.m_WriteTimeout =
      Reader.readMilliseconds("write_timeout_ms", TimeoutRangeMs, 30000);
  Out.m_IdleTimeout =
      Reader.readMilliseconds("idle_timeout_ms", TimeoutRangeMs, 60000);
}

static void readTargets(YamlReader &Reader, TargetLimits &Out) {
  Out.m_ConnectTimeout =
      Reader.readMilliseconds("connect_timeout_ms", TimeoutRangeMs, 1000);
  Out.m_SilenceTimeout =
      Reader.readMilliseconds("silence_timeout_ms", TimeoutRangeMs, 60000);
  Out.m_MaxIdleConnections = readSize(Reader, "idle_connections", 64);
}

static void readIdentities(YamlReader &Reader, IdentityLimits &Out) {
  Out.m_Identities = readSize(Reader, "identities", 100000);
  Out.m_MaxStoreBytes = readSize(Reader, "answer_bytes", 16777216);
  Out.m_MaxStoredResponseBytes = readSize(Reader, "one_answer_bytes", 262144);
  Out.m_Retention =
      Reader.readMilliseconds("retention_ms", TimeoutRangeMs, 600000);
}

static void readPlatform(YamlReader &Reader, PlatformSettings &Out) {
  Out.m_Addresses = Reader.readEndpoints("addresses");
  if (Out.m_Addresses.empty())
    Reader.reportError("addresses", "names no address", "one address or more");
  Out.m_CallTimeout =
      Reader.readMilliseconds("call_timeout_ms", TimeoutRangeMs, 2000);
  Out.m_CallsPerSecond = Reader.readNumber("calls_per_second", 0.1, 10000, 20);
  Out.m_CallBurst = Reader.readNumber("call_burst", 1, 10000, 40);
  Out.m_MaxWaitingCalls = readSize(Reader, "waiting_calls", 256);
}

static void readPeers(YamlReader &Reader, PeerSettings &Out) {
  Out.m_Seeds = Reader.readEndpoints("seeds");
  Out.m_Key = core::fromHex(Reader.readString("key_hex"));
  if (Out.m_Key.size() < MinKeyBytes)
    Reader.reportError("key_hex", "is too short or not hex",
                       "32 hex digits or more");
  Out.m_HeartbeatPeriod =
      Reader.readMilliseconds("heartbeat_ms", TimeoutRangeMs, 1000);
  Out.m_SilenceTimeout =
      Reader.readMilliseconds("silence_ms", TimeoutRangeMs, 5000);
  Out.m_MaxKnownPeers = readSize(Reader, "known_peers", 1024);
}

InstanceSettings InstanceSettings::parse(const std::string &Text,
                                         const std::string &File) {
  YAML::Node Root = YamlReader::load(Text, File, core::ErrorKind::Settings);
  std::vector<Diagnostic> Diagnostics;
  InstanceSettings Out;
  YamlReader Reader(Root, "", Diagnostics);
  Reader.readSection("instance", [&](YamlReader &R) { readInstance(R, Out); });
  Reader.readSection("callers",
                     [&](YamlReader &R) { readCallers(R, Out.m_Callers); });
  Reader.readSection("targets",
                     [&](YamlReader &R) { readTargets(R, Out.m_Targets); });
  Reader.readSection("identities", [&](YamlReader &R) {
    readIdentities(R, Out.m_Identities);
  });
  Reader.readSection("platform",
                     [&](YamlReader &R) { readPlatform(R, Out.m_Platform); });
  Reader.readSection("peers",
                     [&](YamlReader &R) { readPeers(R, Out.m_Peers); });
  Reader.reportUnknownKeys();
  if (!Diagnostics.empty())
    throw DocumentError(core::ErrorKind::Settings, File, Diagnostics);
  return Out;
}

InstanceSettings InstanceSettings::load(const std::string &File) {
  return parse(readFile(File), File);
}

std::string readFile(const std::string &File) {
  std::ifstream In(File, std::ios::binary);
  std::ostringstream Text;
  // Inserting an empty buffer would set failbit of Text.
  bool IsEmpty = In && In.peek() == std::ifstream::traits_type::eof();
  if (IsEmpty)
    throw core::Error(core::ErrorKind::Settings, "file " + File + " is empty");
  if (!In || !(Text << In.rdbuf()))
    throw core::Error(core::ErrorKind::Settings, "cannot read file " + File);
  return Text.str();
}

} // namespace yardrill::config
