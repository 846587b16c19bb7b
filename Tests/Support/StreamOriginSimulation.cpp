#include "StreamOriginSimulation.h"

#include "EventSimulation.h"

#include "LibGateway/StreamOriginExchange.h"
#include "LibPeer/PeerCodec.h"
#include "LibRouting/RendezvousHash.h"
#include "LibRouting/VersionHistory.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>

namespace yardrill::tests {

using namespace std::chrono_literals;
using core::Duration;
using core::TimePoint;
using gateway::StreamOriginExchange;

static constexpr Duration RestartTime = 700ms;
/// Time in which a release replaces all targets.
static constexpr Duration ReleaseTime = 5s;
/// Time for which the last target of a version serves beside its successor.
static constexpr Duration OverlapTime = 2s;
static constexpr Duration FirstEventTime = 80ms;
static constexpr double MeanStreamSeconds = 1.5;
/// Time for which streams may be resumed.
static constexpr Duration Retention = 45s;
static constexpr Duration UpkeepPeriod = 250ms;
/// Time until peers know that an instance is down.
static constexpr Duration SilenceTime = 250ms;
static constexpr Duration ReadTimeout = 300ms;
static constexpr Duration ReturnTime = 20ms;
static constexpr Duration RetryAfter = 300ms;
/// Time after a fault from which an instance counts as in touch.
static constexpr Duration ContactTime = 3s;
static constexpr std::size_t GroupSize = 16;
static constexpr std::size_t HeaderBytes = 28; ///< Of IP and UDP.
static const core::PoolName Pool("pool");

namespace {

struct StoreChange {
  TimePoint m_At;
  core::TargetVersion m_Version;
  bool m_IsAdded = true;
};

struct Stream {
  gateway::StreamKey m_Key;
  core::TargetVersion m_Version;
  TimePoint m_EndsAt{};
  int m_TriesLeft = 2;
};
using StreamHandle = std::shared_ptr<Stream>;

struct Instance {
  std::unique_ptr<StreamOriginExchange> m_Exchange;
  std::unique_ptr<routing::VersionHistory> m_Versions;
  std::map<core::TargetVersion, std::size_t> m_Targets;
  std::size_t m_AppliedChanges = 0;
  std::optional<TimePoint> m_KnownSince;
  std::size_t m_Incarnation = 0;
  bool m_IsUp = false;
  bool m_IsCut = false;
  bool m_IsPollScheduled = false;
  TimePoint m_DownSince{};
  TimePoint m_RecoveredAt{}; ///< End of its last fault.
  std::map<gateway::StreamKey, StreamHandle>
      m_Open; ///< Streams that it relays.
};

class StreamOriginSimulation : private EventSimulation {
public:
  explicit StreamOriginSimulation(const StreamScenario &Scenario)
      : EventSimulation(Scenario.m_Seed), m_Scenario(Scenario) {}
  StreamResult run();

private:
  Duration drawDelay(double Min, double Max) {
    return core::fromSeconds(Min + (Max - Min) * draw());
  }

  // The store.
  void change(const core::TargetVersion &Version, bool IsAdded);
  void release(std::size_t Number);
  bool reachesStore(const Instance &From) const {
    return From.m_IsUp && !From.m_IsCut && m_IsStoreUp;
  }
  /// Applies all changes that the store has.
  void follow(std::size_t Index);

  // Instances.
  void start(std::size_t Index);
  void kill(std::size_t Index);
  void upkeep(std::size_t Index, std::size_t Incarnation);
  void schedulePoll(std::size_t Index);
  gateway::StreamOriginHooks hooks(std::size_t Index);
  std::optional<core::TargetVersion> onlyVersion(const Instance &Of) const;
  void confirm(std::size_t Index,
               const gateway::StreamOriginHooks::VersionCallback &Call);
  void awaitChanges(std::size_t Index, std::size_t Count, TimePoint End,
                    const gateway::StreamOriginHooks::VersionCallback &Call);
  bool isSilent(std::size_t Index) const {
    const Instance &Each = m_Instances[Index];
    return !Each.m_IsUp && m_Now - Each.m_DownSince > SilenceTime;
  }
  std::vector<config::Endpoint> selected(std::size_t Self,
                                         const gateway::StreamKey &Key,
                                         std::size_t Count) const;
  std::vector<config::Endpoint> asked(std::size_t Self,
                                      const gateway::StreamKey &Key);
  std::vector<config::Endpoint> groupOf(std::size_t Self) const;
  void send(std::size_t From, const std::vector<config::Endpoint> &To,
            const peer::PeerBody &Body);
  static config::Endpoint address(std::size_t Index) {
    return {"10.0." + std::to_string(Index / 250) + "." +
                std::to_string(Index % 250),
            7600};
  }

  // Streams.
  void generate();
  void begin(const StreamHandle &Current);
  void resume(const StreamHandle &Current);
  void handleOrigin(std::size_t Index, std::size_t Incarnation,
                    const StreamHandle &Current, TimePoint AskedAt,
                    const std::optional<gateway::StreamOrigin> &Origin);
  /// Runs the stream at an instance, which may be killed meanwhile.
  void relay(std::size_t Index, const StreamHandle &Current);
  void retry(const StreamHandle &Current, Duration Delay);
  bool isInTouch(const Instance &Of) const;
  static bool hasTargetOf(const Instance &Of,
                          const core::TargetVersion &Version);
  std::optional<std::size_t> drawInstance();

  StreamScenario m_Scenario;
  std::vector<Instance> m_Instances;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  routing::RendezvousHash m_All;
  std::vector<StoreChange> m_Store;
  bool m_IsStoreUp = true;
  TimePoint m_StoreRecoveredAt{};
  std::uint64_t m_NextStream = 1;
  peer::PeerCodec m_Codec{"key"};
  std::map<std::size_t, std::size_t> m_MessageBytes; ///< By kind of message.
  StreamResult m_Result;
};

//===----------------------------------------------------------------------===//
// The store
//===----------------------------------------------------------------------===//

void StreamOriginSimulation::change(const core::TargetVersion &Version,
                                    bool IsAdded) {
  m_Store.push_back({m_Now, Version, IsAdded});
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    after(drawDelay(0.005, 0.06), [this, I] { follow(I); });
}

void StreamOriginSimulation::follow(std::size_t Index) {
  Instance &Follower = m_Instances[Index];
  if (!reachesStore(Follower))
    return;
  bool IsChanged = Follower.m_AppliedChanges < m_Store.size();
  while (Follower.m_AppliedChanges < m_Store.size()) {
    const StoreChange &Each = m_Store[Follower.m_AppliedChanges++];
    if (Each.m_IsAdded) {
      Follower.m_Versions->add(Pool, Each.m_Version);
      ++Follower.m_Targets[Each.m_Version];
    } else {
      Follower.m_Versions->remove(Pool, Each.m_Version);
      --Follower.m_Targets[Each.m_Version];
    }
  }
  if (IsChanged)
    Follower.m_Exchange->replicate(m_Now);
}

void StreamOriginSimulation::release(std::size_t Number) {
  core::TargetVersion Old("v" + std::to_string(Number));
  core::TargetVersion New("v" + std::to_string(Number + 1));
  for (std::size_t I = 0; I < m_Scenario.m_Targets; ++I) {
    Duration Delay = ReleaseTime * static_cast<long>(I) /
                     static_cast<long>(m_Scenario.m_Targets);
    after(Delay, [this, New] { change(New, true); });
    after(Delay + OverlapTime, [this, Old] { change(Old, false); });
  }
}

//===----------------------------------------------------------------------===//
// Instances
//===----------------------------------------------------------------------===//

void StreamOriginSimulation::start(std::size_t Index) {
  Instance &Started = m_Instances[Index];
  bool IsFirst = Started.m_Incarnation == 0;
  Started.m_Exchange = std::make_unique<StreamOriginExchange>(
      std::uniform_int_distribution<std::uint64_t>()(m_Random), hooks(Index));
  Started.m_Versions = std::make_unique<routing::VersionHistory>();
  Started.m_Targets.clear();
  Started.m_AppliedChanges = 0;
  Started.m_KnownSince.reset();
  if (!IsFirst || !m_Scenario.m_IsOldFleet)
    Started.m_KnownSince = m_Now;
  Started.m_IsUp = true;
  if (!IsFirst)
    Started.m_RecoveredAt = m_Now;
  Started.m_IsPollScheduled = false;
  std::size_t Incarnation = ++Started.m_Incarnation;
  // A process that starts has only the state of that time.
  follow(Index);
  Started.m_Versions->removeOld(Duration(-1), m_Now);
  upkeep(Index, Incarnation);
}

void StreamOriginSimulation::kill(std::size_t Index) {
  Instance &Killed = m_Instances[Index];
  if (!Killed.m_IsUp)
    return;
  Killed.m_IsUp = false;
  Killed.m_DownSince = m_Now;
  for (const auto &[Key, Each] : Killed.m_Open)
    retry(Each, ReturnTime);
  Killed.m_Open.clear();
  after(RestartTime, [this, Index] { start(Index); });
}

void StreamOriginSimulation::upkeep(std::size_t Index,
                                    std::size_t Incarnation) {
  Instance &Current = m_Instances[Index];
  if (!Current.m_IsUp || Current.m_Incarnation != Incarnation)
    return;
  Current.m_Versions->removeOld(Retention, m_Now);
  Current.m_Exchange->removeExpired(m_Now);
  Current.m_Exchange->replicate(m_Now);
  after(UpkeepPeriod,
        [this, Index, Incarnation] { upkeep(Index, Incarnation); });
}

void StreamOriginSimulation::schedulePoll(std::size_t Index) {
  Instance &Current = m_Instances[Index];
  if (Current.m_IsPollScheduled || !Current.m_Exchange->hasLookups())
    return;
  Current.m_IsPollScheduled = true;
  std::size_t Incarnation = Current.m_Incarnation;
  after(StreamOriginExchange::QueryPeriod, [this, Index, Incarnation] {
    Instance &Polled = m_Instances[Index];
    if (!Polled.m_IsUp || Polled.m_Incarnation != Incarnation)
      return;
    Polled.m_IsPollScheduled = false;
    Polled.m_Exchange->pollLookups(m_Now);
    schedulePoll(Index);
  });
}

std::optional<core::TargetVersion>
StreamOriginSimulation::onlyVersion(const Instance &Of) const {
  if (Of.m_KnownSince && m_Now - *Of.m_KnownSince < Retention)
    return std::nullopt;
  return Of.m_Versions->onlyVersion(Pool);
}

gateway::StreamOriginHooks StreamOriginSimulation::hooks(std::size_t Index) {
  gateway::StreamOriginHooks Out;
  // Without records in the store.
  Out.m_FindRecorded = [](const gateway::StreamKey &) {
    return std::optional<gateway::StreamOrigin>();
  };
  Out.m_Send = [this, Index](const std::vector<config::Endpoint> &To,
                             const peer::PeerBody &Body) {
    send(Index, To, Body);
  };
  Out.m_ReplicaHolders = [this, Index](const gateway::StreamKey &Key) {
    if (m_Scenario.m_Replication == OriginReplication::Selected)
      return selected(Index, Key, m_Scenario.m_Replicas);
    if (m_Scenario.m_Replication == OriginReplication::Group)
      return groupOf(Index);
    return std::vector<config::Endpoint>();
  };
  Out.m_Asked = [this, Index](const gateway::StreamKey &Key) {
    return asked(Index, Key);
  };
  Out.m_OnlyVersion = [this, Index](const gateway::StreamRoute &) {
    return onlyVersion(m_Instances[Index]);
  };
  Out.m_IsUpToDate = [this, Index] { return reachesStore(m_Instances[Index]); };
  Out.m_ConfirmOnlyVersion =
      [this, Index](const gateway::StreamRoute &,
                    const gateway::StreamOriginHooks::VersionCallback &Call) {
        confirm(Index, Call);
      };
  return Out;
}

void StreamOriginSimulation::confirm(
    std::size_t Index,
    const gateway::StreamOriginHooks::VersionCallback &Call) {
  const Instance &Asking = m_Instances[Index];
  std::size_t Incarnation = Asking.m_Incarnation;
  auto CallBack = [this, Index, Incarnation,
                   Call](const std::optional<core::TargetVersion> &Only,
                         TimePoint Now) {
    const Instance &Current = m_Instances[Index];
    if (!Current.m_IsUp || Current.m_Incarnation != Incarnation)
      return;
    Call(Only, Now);
    schedulePoll(Index);
  };
  if (!onlyVersion(Asking))
    return CallBack(std::nullopt, m_Now);
  if (!reachesStore(Asking))
    return after(ReadTimeout,
                 [this, CallBack] { CallBack(std::nullopt, m_Now); });
  std::size_t Count = m_Store.size();
  TimePoint End = m_Now + ReadTimeout;
  after(drawDelay(0.004, 0.006), [this, Index, Count, End, CallBack] {
    awaitChanges(Index, Count, End, CallBack);
  });
}

void StreamOriginSimulation::awaitChanges(
    std::size_t Index, std::size_t Count, TimePoint End,
    const gateway::StreamOriginHooks::VersionCallback &Call) {
  const Instance &Asking = m_Instances[Index];
  if (Count <= Asking.m_AppliedChanges)
    return Call(onlyVersion(Asking), m_Now);
  if (End <= m_Now)
    return Call(std::nullopt, m_Now);
  after(5ms, [this, Index, Count, End, Call] {
    awaitChanges(Index, Count, End, Call);
  });
}

std::vector<config::Endpoint> StreamOriginSimulation::selected(
    std::size_t Self, const gateway::StreamKey &Key, std::size_t Count) const {
  return m_All.select(Key.m_Low, Count, [&](const config::Endpoint &Each) {
    std::size_t Index = m_Indexes.at(Each);
    return Index != Self && !isSilent(Index);
  });
}

std::vector<config::Endpoint>
StreamOriginSimulation::groupOf(std::size_t Self) const {
  std::vector<config::Endpoint> Out;
  std::size_t First = Self / GroupSize * GroupSize;
  for (std::size_t I = First;
       I < std::min(First + GroupSize, m_Instances.size()); ++I)
    if (I != Self)
      Out.push_back(address(I));
  return Out;
}

std::vector<config::Endpoint>
StreamOriginSimulation::asked(std::size_t Self, const gateway::StreamKey &Key) {
  if (m_Scenario.m_Replication == OriginReplication::Selected)
    return selected(Self, Key, m_Scenario.m_Replicas + 2);
  std::vector<config::Endpoint> Out;
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    if (I != Self && m_Scenario.m_Replication == OriginReplication::None)
      Out.push_back(address(I));
  if (m_Scenario.m_Replication == OriginReplication::None)
    return Out;
  for (std::size_t First = 0; First < m_Instances.size(); First += GroupSize)
    for (int I = 0; I < 2; ++I) {
      std::size_t Size = std::min(GroupSize, m_Instances.size() - First);
      std::size_t Index = First + drawBelow(Size);
      if (Index != Self)
        Out.push_back(address(Index));
    }
  return Out;
}

void StreamOriginSimulation::send(std::size_t From,
                                  const std::vector<config::Endpoint> &To,
                                  const peer::PeerBody &Body) {
  peer::PeerMessage Message;
  Message.m_From = {core::IncarnationId(From + 1), address(From)};
  Message.m_Body = Body;
  // All versions are of one length, so that messages of a kind are as well.
  std::size_t &Bytes = m_MessageBytes[Body.index()];
  if (Bytes == 0)
    Bytes = m_Codec.encode(Message).size() + HeaderBytes;
  for (const config::Endpoint &Each : To) {
    ++m_Result.m_Datagrams;
    m_Result.m_Bytes += Bytes;
    if (m_Instances[From].m_IsCut || draw() < m_Scenario.m_DatagramLoss)
      continue;
    std::size_t Index = m_Indexes.at(Each);
    after(drawDelay(0.0005, 0.0035), [this, Index, Message] {
      Instance &Receiver = m_Instances[Index];
      if (Receiver.m_IsUp && !Receiver.m_IsCut)
        Receiver.m_Exchange->handle(Message, m_Now);
    });
  }
}

//===----------------------------------------------------------------------===//
// Streams
//===----------------------------------------------------------------------===//

std::optional<std::size_t> StreamOriginSimulation::drawInstance() {
  for (std::size_t I = 0; I < 2 * m_Instances.size(); ++I) {
    std::size_t Index = drawBelow(m_Instances.size());
    if (m_Instances[Index].m_IsUp)
      return Index;
  }
  return std::nullopt;
}

void StreamOriginSimulation::generate() {
  auto Current = std::make_shared<Stream>();
  std::uint64_t Number = m_NextStream++;
  Current->m_Key = gateway::StreamKey::of("account", "host", "/path",
                                          std::to_string(Number));
  begin(Current);
  double Rate =
      m_Scenario.m_StreamsPerSecond * static_cast<double>(m_Instances.size());
  after(drawInterval(Rate), [this] { generate(); });
}

void StreamOriginSimulation::begin(const StreamHandle &Current) {
  auto Index = drawInstance();
  if (!Index)
    return;
  const Instance &First = m_Instances[*Index];
  std::vector<core::TargetVersion> Known;
  for (const auto &[Version, Count] : First.m_Targets)
    Known.insert(Known.end(), Count, Version);
  if (Known.empty())
    return;
  Current->m_Version = Known[drawBelow(Known.size())];
  std::size_t Incarnation = First.m_Incarnation;
  after(FirstEventTime, [this, Index, Incarnation, Current] {
    const Instance &Relaying = m_Instances[*Index];
    if (!Relaying.m_IsUp || Relaying.m_Incarnation != Incarnation)
      return;
    ++m_Result.m_Begun;
    Current->m_EndsAt = m_Now + drawInterval(1 / MeanStreamSeconds);
    relay(*Index, Current);
  });
}

void StreamOriginSimulation::relay(std::size_t Index,
                                   const StreamHandle &Current) {
  Instance &Relaying = m_Instances[Index];
  Relaying.m_Exchange->recordBegin(Current->m_Key, {1, Pool},
                                   {routing::hashOf(Pool), Current->m_Version},
                                   m_Now + Retention, m_Now);
  Relaying.m_Open[Current->m_Key] = Current;
  at(Current->m_EndsAt, [this, Index, Current] {
    Instance &Ended = m_Instances[Index];
    if (Ended.m_Open.erase(Current->m_Key) > 0)
      Ended.m_Exchange->recordComplete(Current->m_Key);
  });
}

void StreamOriginSimulation::retry(const StreamHandle &Current,
                                   Duration Delay) {
  after(Delay, [this, Current] { resume(Current); });
}

void StreamOriginSimulation::resume(const StreamHandle &Current) {
  auto Index = drawInstance();
  if (!Index) {
    retry(Current, RetryAfter);
    return;
  }
  ++m_Result.m_Resumed;
  std::size_t Incarnation = m_Instances[*Index].m_Incarnation;
  TimePoint AskedAt = m_Now;
  m_Instances[*Index].m_Exchange->lookUp(
      Current->m_Key, {1, Pool},
      [this, Index, Incarnation, Current,
       AskedAt](const std::optional<gateway::StreamOrigin> &Origin) {
        handleOrigin(*Index, Incarnation, Current, AskedAt, Origin);
      });
}

void StreamOriginSimulation::handleOrigin(
    std::size_t Index, std::size_t Incarnation, const StreamHandle &Current,
    TimePoint AskedAt, const std::optional<gateway::StreamOrigin> &Origin) {
  const Instance &At = m_Instances[Index];
  if (!At.m_IsUp || At.m_Incarnation != Incarnation)
    return;
  auto Took =
      std::chrono::duration_cast<std::chrono::microseconds>(m_Now - AskedAt);
  m_Result.m_AllLookups += Took;
  m_Result.m_LongestLookup = std::max(m_Result.m_LongestLookup, Took);
  bool IsCounted = isInTouch(At) && hasTargetOf(At, Current->m_Version);
  m_Result.m_ResumedInTouch += IsCounted ? 1 : 0;
  if (!Origin) {
    ++m_Result.m_Unknown;
    if (--Current->m_TriesLeft > 0)
      retry(Current, RetryAfter);
    return;
  }
  if (!hasTargetOf(At, Origin->m_Version)) {
    ++m_Result.m_WithoutTarget;
    return;
  }
  ++m_Result.m_GoneOn;
  m_Result.m_GoneOnInTouch += IsCounted ? 1 : 0;
  m_Result.m_Changed += Origin->m_Version != Current->m_Version;
  Current->m_EndsAt = std::max(Current->m_EndsAt, m_Now + Duration(100ms));
  relay(Index, Current);
}

bool StreamOriginSimulation::isInTouch(const Instance &Of) const {
  return reachesStore(Of) && m_Now - Of.m_RecoveredAt >= ContactTime &&
         m_Now - m_StoreRecoveredAt >= ContactTime;
}

bool StreamOriginSimulation::hasTargetOf(const Instance &Of,
                                         const core::TargetVersion &Version) {
  auto Found = Of.m_Targets.find(Version);
  return Found != Of.m_Targets.end() && Found->second > 0;
}

//===----------------------------------------------------------------------===//
// Runs
//===----------------------------------------------------------------------===//

StreamResult StreamOriginSimulation::run() {
  TimePoint End = m_Now + m_Scenario.m_Length;
  m_Instances.resize(m_Scenario.m_Instances);
  std::vector<config::Endpoint> Addresses;
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    Addresses.push_back(address(I));
    m_Indexes[address(I)] = I;
  }
  m_All = routing::RendezvousHash(Addresses);
  for (std::size_t I = 0; I < m_Scenario.m_Targets; ++I)
    m_Store.push_back({m_Now, core::TargetVersion("v1"), true});
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    start(I);
  for (std::size_t I = 0; I < m_Scenario.m_Releases.size(); ++I)
    after(m_Scenario.m_Releases[I], [this, I] { release(I + 1); });
  for (const StreamFault &Fault : m_Scenario.m_Faults)
    after(Fault.m_At, [this, Fault] {
      if (Fault.m_Kind == StreamFaultKind::StoreDown) {
        m_IsStoreUp = false;
        return after(Fault.m_Length, [this] {
          m_IsStoreUp = true;
          m_StoreRecoveredAt = m_Now;
          for (std::size_t I = 0; I < m_Instances.size(); ++I)
            follow(I);
        });
      }
      for (std::size_t I = 0; I < m_Instances.size(); ++I) {
        if (!(draw() < Fault.m_Share))
          continue;
        if (Fault.m_Kind == StreamFaultKind::Kill) {
          kill(I);
          continue;
        }
        m_Instances[I].m_IsCut = true;
        after(Fault.m_Length, [this, I] {
          m_Instances[I].m_IsCut = false;
          m_Instances[I].m_RecoveredAt = m_Now;
          follow(I);
        });
      }
    });
  generate();
  runUntil(End);
  return m_Result;
}

} // namespace

StreamResult simulate(const StreamScenario &Scenario) {
  return StreamOriginSimulation(Scenario).run();
}

StreamScenario randomStreamScenario(std::uint64_t Seed, std::size_t Instances,
                                    std::size_t Targets) {
  std::mt19937_64 Random(Seed);
  auto Draw = [&Random](double Min, double Max) {
    return std::uniform_real_distribution<double>(Min, Max)(Random);
  };
  auto DrawTime = [&Draw](double Min, double Max) {
    return std::chrono::milliseconds(static_cast<long>(Draw(Min, Max)));
  };
  StreamScenario Out;
  Out.m_Seed = Seed;
  Out.m_Instances = Instances;
  Out.m_Targets = Targets;
  Out.m_IsOldFleet = Random() % 4 != 0;
  Out.m_DatagramLoss = Random() % 4 == 0 ? 0.1 : 0.01;
  std::chrono::milliseconds At = DrawTime(1000, 12000);
  for (std::size_t I = 0; I < Random() % 4; ++I) {
    Out.m_Releases.push_back(At);
    At += DrawTime(4000, 12000);
  }
  for (int I = 0; I < 8; ++I) {
    StreamFault Fault;
    Fault.m_At = DrawTime(500, 38000);
    Fault.m_Length = DrawTime(500, 9000);
    std::size_t Kind = Random() % 6;
    if (Kind == 4)
      Fault.m_Kind = StreamFaultKind::Cut;
    if (Kind == 5)
      Fault.m_Kind = StreamFaultKind::StoreDown;
    Fault.m_Share = Random() % 6 == 0 ? 1 : Draw(0.1, 0.5);
    if (Fault.m_Kind == StreamFaultKind::Cut)
      Fault.m_Share = Draw(0.1, 0.5);
    Out.m_Faults.push_back(Fault);
  }
  return Out;
}

} // namespace yardrill::tests
