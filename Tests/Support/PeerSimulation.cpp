#include "PeerSimulation.h"

#include "LibGateway/MirrorUpdate.h"
#include "LibGateway/PeerExchange.h"
#include "LibPeer/PeerCodec.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace yardrill::tests {

using core::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Step{5};
/// Time after which messages and changes are measured.
static constexpr seconds SettleTime{4};
static constexpr std::chrono::microseconds Latency{1400};
static constexpr milliseconds MaxJitter{4};
/// Period in which a follower hears of changes of the store.
static constexpr milliseconds WatchPeriod{150};
static constexpr std::size_t DatagramHeaderBytes = 28;
/// Headers of the packets of one request and its response by TCP, from the
/// handshake to the close, and the heads of both messages.
static constexpr std::size_t TransferOverheadBytes = 10 * 52 + 300;
static constexpr std::size_t ChangeBytes = 300;
static constexpr std::int64_t WallSeconds = 1000;

namespace {

struct Datagram {
  TimePoint m_At;
  std::size_t m_To = 0;
  std::shared_ptr<const peer::PeerMessage> m_Message;
  std::size_t m_Bytes = 0;
  const char *m_Purpose = "";

  bool operator>(const Datagram &Other) const { return Other.m_At < m_At; }
};

struct Fetch {
  TimePoint m_At;
  std::size_t m_To = 0;
  std::size_t m_From = 0;
};

struct SimulatedInstance {
  gateway::GatewaySettings m_Settings;
  decision::InstanceRef m_Reference;
  std::unique_ptr<platform::StoreMirror> m_Mirror;
  std::unique_ptr<gateway::PeerExchange> m_Exchange;
  std::uint64_t m_Sequence = 0;
  bool m_IsUp = true;
  bool m_IsFetching = false;
  bool m_IsConnected = false; ///< Whether it follows the store.
  TimePoint m_TickAt{};
  TimePoint m_WatchAt{};
  double m_Bytes = 0;
  double m_Messages = 0;
};

class PeerSimulation {
public:
  explicit PeerSimulation(const PeerScenario &Scenario)
      : m_Scenario(Scenario), m_Random(Scenario.m_Seed) {}

  PeerResult run();

private:
  static config::Endpoint addressOf(std::size_t Index) {
    return {"10." + std::to_string(Index % 5 + 1) + "." +
                std::to_string(Index / 1000) + "." +
                std::to_string(Index / 5 % 200 + 1),
            7400};
  }
  core::DataHallName dataHallOf(std::size_t Index) const {
    return core::DataHallName("edin-hall-" +
                              std::to_string(Index % m_Scenario.m_DataHalls));
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  bool isMeasured() const { return m_Now >= m_Start + SettleTime; }

  void addInstance(std::size_t Index);
  void send(std::size_t From, const std::vector<config::Endpoint> &To,
            const peer::PeerBody &Body);
  void count(std::size_t Index, std::size_t Bytes, const char *Purpose);
  const char *purposeOf(std::size_t From, std::size_t To,
                        const peer::PeerBody &Body) const;
  void deliver();
  void changeStore();
  bool isStoreLost() const;
  void measureEvidence();
  void watchStore(std::size_t Index);
  void startFetch(std::size_t Index);
  void completeFetches();
  void kill();
  void measureDelays();
  bool isWriterListRight() const;

  PeerScenario m_Scenario;
  std::mt19937_64 m_Random;
  peer::PeerCodec m_Codec{"key"};
  TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  gateway::FleetMembers m_Members;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  std::vector<SimulatedInstance> m_Instances;
  std::priority_queue<Datagram, std::vector<Datagram>, std::greater<Datagram>>
      m_Datagrams;
  std::vector<Fetch> m_Fetches;
  /// The store: its entries, and when each revision was made.
  platform::StoreMirror m_Store{100000};
  std::map<platform::Revision, TimePoint> m_ChangedAt;
  PeerResult m_Result;
};

} // namespace

void PeerSimulation::addInstance(std::size_t Index) {
  SimulatedInstance &Own = m_Instances[Index];
  Own.m_Settings.m_PeerAddress = addressOf(Index);
  Own.m_Settings.m_DataHall = dataHallOf(Index);
  Own.m_Settings.m_Name = core::InstanceName(
      "edge-" + dataHallOf(Index).value() + "-" + std::to_string(Index));
  Own.m_Reference = {core::IncarnationId(Index + 1), addressOf(Index)};
  Own.m_Mirror = std::make_unique<platform::StoreMirror>(4096);
  Own.m_Mirror->replaceAll(m_Store.revision(), m_Store.content());
  gateway::PeerExchangeHooks Hooks;
  Hooks.m_Send = [this, Index](const std::vector<config::Endpoint> &To,
                               const peer::PeerBody &Body) {
    send(Index, To, Body);
  };
  Hooks.m_Defer = [](const std::function<void()> &Call) { Call(); };
  Hooks.m_FillReport = [&Own](peer::LoadReport &Report) {
    Report.m_IsStoreConnected = Own.m_IsConnected;
  };
  Hooks.m_Changed = [] {};
  Hooks.m_LargestPoolSize = [this] { return m_Scenario.m_Targets; };
  Hooks.m_Repartitioned = [](const routing::FleetSubset &) {};
  Hooks.m_MessageReceived = [](const peer::PeerMessage &) {};
  Own.m_Exchange = std::make_unique<gateway::PeerExchange>(
      Own.m_Reference, Own.m_Settings, *Own.m_Mirror, std::move(Hooks), m_Now,
      m_Random());
  Own.m_Exchange->setRecorded(m_Members);
  Own.m_Exchange->setQuotaOwners(m_Members, m_Members);
  Own.m_TickAt = m_Now + core::Duration(m_Random() % 40000);
  Own.m_WatchAt = m_Now + core::Duration(m_Random() % 150000);
}

const char *PeerSimulation::purposeOf(std::size_t From, std::size_t To,
                                      const peer::PeerBody &Body) const {
  if (!std::holds_alternative<peer::LoadReport>(Body))
    return "other";
  bool IsGroup = false;
  for (const gateway::LivePeer *Each :
       m_Instances[From].m_Exchange->peers().groupPeers())
    IsGroup = IsGroup || Each->m_Instance.m_Peer == addressOf(To);
  return IsGroup ? "reports-in-group" : "reports-to-others";
}

void PeerSimulation::count(std::size_t Index, std::size_t Bytes,
                           const char *Purpose) {
  if (!isMeasured())
    return;
  m_Instances[Index].m_Bytes += static_cast<double>(Bytes);
  m_Instances[Index].m_Messages += 1;
  m_Result.m_BytesByPurpose[Purpose] += static_cast<double>(Bytes);
}

void PeerSimulation::send(std::size_t From,
                          const std::vector<config::Endpoint> &To,
                          const peer::PeerBody &Body) {
  SimulatedInstance &Own = m_Instances[From];
  auto Message = std::make_shared<peer::PeerMessage>();
  Message->m_From = Own.m_Reference;
  Message->m_Sequence = ++Own.m_Sequence;
  Message->m_WallSeconds = WallSeconds;
  Message->m_Body = Body;
  std::size_t Bytes = m_Codec.encode(*Message).size() + DatagramHeaderBytes;
  for (const config::Endpoint &Each : To) {
    auto Found = m_Indexes.find(Each);
    if (Found == m_Indexes.end())
      continue;
    const char *Purpose = purposeOf(From, Found->second, Body);
    count(From, Bytes, Purpose);
    if (draw() < m_Scenario.m_LossShare)
      continue;
    core::Duration Jitter = std::chrono::duration_cast<core::Duration>(
        core::Duration(MaxJitter) * draw());
    m_Datagrams.push(
        {m_Now + Latency + Jitter, Found->second, Message, Bytes, Purpose});
  }
}

void PeerSimulation::deliver() {
  while (!m_Datagrams.empty() && m_Datagrams.top().m_At <= m_Now) {
    Datagram Arrived = m_Datagrams.top();
    m_Datagrams.pop();
    SimulatedInstance &To = m_Instances[Arrived.m_To];
    if (!To.m_IsUp)
      continue;
    count(Arrived.m_To, Arrived.m_Bytes, Arrived.m_Purpose);
    To.m_Exchange->handle(*Arrived.m_Message, m_Now, WallSeconds);
  }
}

void PeerSimulation::changeStore() {
  // Replaces the announcements of a few targets in turn.
  std::int64_t Next = m_Store.revision().value() + 1;
  platform::Entry Change;
  Change.m_Key = "servers/i-" + std::to_string(Next % 50);
  // Not compressible, as names, addresses and digits are.
  for (std::size_t I = 0; I < ChangeBytes; ++I)
    Change.m_Value += static_cast<char>('0' + m_Random() % 64);
  Change.m_ModRevision = platform::Revision(Next);
  m_Store.apply(Change.m_ModRevision, {Change});
  if (isMeasured())
    m_ChangedAt[Change.m_ModRevision] = m_Now;
}

bool PeerSimulation::isStoreLost() const {
  return m_Scenario.m_StoreLostAt &&
         m_Now >= m_Start + SettleTime + *m_Scenario.m_StoreLostAt;
}

void PeerSimulation::watchStore(std::size_t Index) {
  SimulatedInstance &Own = m_Instances[Index];
  Own.m_WatchAt = m_Now + WatchPeriod;
  Own.m_IsConnected = !isStoreLost() && Own.m_Exchange->mustFollowStore();
  if (!Own.m_IsConnected || !(Own.m_Mirror->revision() < m_Store.revision()))
    return;
  gateway::MirrorUpdate::since(m_Store, Own.m_Mirror->revision())
      .applyTo(*Own.m_Mirror);
}

void PeerSimulation::startFetch(std::size_t Index) {
  SimulatedInstance &Own = m_Instances[Index];
  if (Own.m_IsFetching || !Own.m_Exchange->isBehind())
    return;
  auto Ahead = Own.m_Exchange->peersAhead();
  if (Ahead.empty())
    return;
  const auto &From = Ahead[m_Random() % Ahead.size()];
  Own.m_IsFetching = true;
  // A handshake and an exchange; one second until a dead peer is given up.
  bool IsUp = m_Instances[m_Indexes.at(From.m_Address)].m_IsUp;
  m_Fetches.push_back({m_Now + (IsUp ? core::Duration(4 * Latency)
                                     : core::Duration(seconds(1))),
                       Index, m_Indexes.at(From.m_Address)});
}

void PeerSimulation::completeFetches() {
  std::vector<Fetch> Pending;
  for (const Fetch &Each : m_Fetches) {
    if (m_Now < Each.m_At) {
      Pending.push_back(Each);
      continue;
    }
    SimulatedInstance &To = m_Instances[Each.m_To];
    const SimulatedInstance &From = m_Instances[Each.m_From];
    To.m_IsFetching = false;
    if (!To.m_IsUp || !From.m_IsUp)
      continue;
    auto Update =
        gateway::MirrorUpdate::since(*From.m_Mirror, To.m_Mirror->revision());
    std::size_t Bytes = Update.encode().size() + TransferOverheadBytes;
    count(Each.m_To, Bytes, "transfers");
    count(Each.m_From, Bytes, "transfers");
    Update.applyTo(*To.m_Mirror);
  }
  m_Fetches = std::move(Pending);
}

void PeerSimulation::kill() {
  for (SimulatedInstance &Each : m_Instances)
    if (draw() < m_Scenario.m_KilledShare ||
        (m_Scenario.m_AreFollowersKilled && Each.m_IsConnected))
      Each.m_IsUp = false;
}

void PeerSimulation::measureDelays() {
  for (auto Change = m_ChangedAt.begin(); Change != m_ChangedAt.end();) {
    std::size_t Live = 0;
    std::size_t Known = 0;
    for (const SimulatedInstance &Each : m_Instances) {
      Live += Each.m_IsUp ? 1 : 0;
      Known += Each.m_IsUp && !(Each.m_Mirror->revision() < Change->first);
    }
    core::Duration Delay = m_Now - Change->second;
    if (Known == 0)
      m_Result.m_FirstDelay = std::max(m_Result.m_FirstDelay, Delay);
    if (Known * 2 < Live)
      m_Result.m_MiddleDelay = std::max(m_Result.m_MiddleDelay, Delay);
    if (Known < Live)
      m_Result.m_LastDelay = std::max(m_Result.m_LastDelay, Delay);
    Change = Known == Live ? m_ChangedAt.erase(Change) : std::next(Change);
  }
}

void PeerSimulation::measureEvidence() {
  std::size_t Live = 0;
  std::size_t Without = 0;
  for (const SimulatedInstance &Each : m_Instances) {
    if (!Each.m_IsUp)
      continue;
    ++Live;
    Without += Each.m_Exchange->ownershipEvidence(m_Now) ==
                       routing::OwnershipEvidence::None
                   ? 1
                   : 0;
  }
  m_Result.m_MaxWithoutEvidence =
      std::max(m_Result.m_MaxWithoutEvidence,
               static_cast<double>(Without) / static_cast<double>(Live));
}

bool PeerSimulation::isWriterListRight() const {
  gateway::FleetMembers Live;
  for (const SimulatedInstance &Each : m_Instances)
    if (Each.m_IsUp)
      Live[Each.m_Settings.m_PeerAddress] = Each.m_Settings.m_DataHall;
  return std::any_of(m_Instances.begin(), m_Instances.end(),
                     [&](const SimulatedInstance &Each) {
                       return Each.m_IsUp && Each.m_IsConnected &&
                              Each.m_Exchange->isRecordWriter(m_Now) &&
                              Each.m_Exchange->liveInstances() == Live;
                     });
}

PeerResult PeerSimulation::run() {
  m_Instances.resize(m_Scenario.m_Instances);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Members[addressOf(I)] = dataHallOf(I);
    m_Indexes[addressOf(I)] = I;
  }
  changeStore();
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    addInstance(I);
  std::poisson_distribution<int> Changes(m_Scenario.m_ChangesPerSecond *
                                         core::toSeconds(core::Duration(Step)));
  bool IsKillDue = m_Scenario.m_KillAt.has_value();
  for (; m_Now < m_Start + SettleTime + m_Scenario.m_Length; m_Now += Step) {
    // Changes end early enough to reach all.
    if (m_Scenario.m_ChangesPerSecond > 0 &&
        m_Now < m_Start + SettleTime + m_Scenario.m_Length - seconds(3))
      for (int I = Changes(m_Random); I > 0; --I)
        changeStore();
    if (IsKillDue && m_Now >= m_Start + SettleTime + *m_Scenario.m_KillAt) {
      IsKillDue = false;
      kill();
    }
    deliver();
    completeFetches();
    std::size_t Followers = 0;
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      SimulatedInstance &Own = m_Instances[I];
      if (!Own.m_IsUp)
        continue;
      if (Own.m_WatchAt <= m_Now)
        watchStore(I);
      if (Own.m_TickAt <= m_Now) {
        Own.m_TickAt += gateway::PeerExchange::TickPeriod;
        Own.m_Exchange->tick(m_Now);
        startFetch(I);
      }
      Followers += Own.m_IsConnected ? 1 : 0;
    }
    if (isMeasured()) {
      m_Result.m_MaxFollowers = std::max(m_Result.m_MaxFollowers, Followers);
      measureDelays();
      measureEvidence();
    }
  }
  double Time = core::toSeconds(m_Scenario.m_Length);
  std::vector<PeerTraffic> Traffic;
  for (const SimulatedInstance &Each : m_Instances)
    if (Each.m_IsUp)
      Traffic.push_back({Each.m_Bytes / Time, Each.m_Messages / Time});
  std::sort(Traffic.begin(), Traffic.end(), [](const auto &A, const auto &B) {
    return A.m_BytesPerSecond < B.m_BytesPerSecond;
  });
  m_Result.m_Middle = Traffic[Traffic.size() / 2];
  m_Result.m_Busiest = Traffic.back();
  for (auto &[Purpose, Bytes] : m_Result.m_BytesByPurpose)
    Bytes /= Time * static_cast<double>(m_Instances.size());
  m_Result.m_IsWriterListRight = isWriterListRight();
  return m_Result;
}

PeerResult simulatePeers(const PeerScenario &Scenario) {
  return PeerSimulation(Scenario).run();
}

} // namespace yardrill::tests
