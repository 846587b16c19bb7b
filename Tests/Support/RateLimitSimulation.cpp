#include "RateLimitSimulation.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

namespace yardrill::tests {

using core::TimePoint;
using routing::FleetSubset;
using routing::TargetThrottleTable;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Step{10};
static constexpr milliseconds ResponseTime{40};
static constexpr seconds SimulatedTime{40};
static constexpr seconds LimitFrom{5};
static constexpr seconds LimitUntil{30};
/// Time from the start of the limits, or after a fault of the instance, in
/// which requests are not counted.
static constexpr seconds ContactTime{3};
/// Requests sent within this time of the first response with a limit are not
/// counted.
static constexpr milliseconds InFlightTime{500};
static constexpr seconds Window{4};
static constexpr seconds ReportPeriod{1};
/// Share of lost datagrams.
static constexpr double LossShare = 0.03;
/// Maximum additional delay of late datagrams; all others are delayed by at
/// most a tenth of it.
static constexpr milliseconds MaxDelay{300};
/// Share of late datagrams.
static constexpr double LateShare = 0.02;
/// Limit on the delay until an instance learns of a change of the fleet.
static constexpr milliseconds MaxUpdateDelay{2000};
static constexpr double FaultsPerSecond = 0.7;

const char *toString(RateLimitStrategy Strategy) {
  switch (Strategy) {
  case RateLimitStrategy::Senders:
    return "senders";
  case RateLimitStrategy::OneSender:
    return "one-sender";
  case RateLimitStrategy::EqualParts:
    return "equal-parts";
  case RateLimitStrategy::Alone:
    return "alone";
  }
  return "unknown";
}

namespace {

struct Arrival {
  TimePoint m_At;
  std::size_t m_Instance = 0;
};

struct Datagram {
  TimePoint m_At;
  std::size_t m_To = 0;
  routing::BackpressureReport m_Backpressure;
  TimePoint m_SentAt;
};

struct Response {
  TimePoint m_At;
  std::size_t m_Instance = 0;
  std::size_t m_Target = 0;
  std::uint64_t m_Incarnation = 0;
};

struct ModelInstance {
  std::unique_ptr<TargetThrottleTable> m_ThrottleTable;
  FleetSubset::Fleet m_KnownFleet; ///< Fleet as this instance knows it.
  FleetSubset m_Subset;
  std::uint64_t m_Incarnation = 1;
  bool m_IsMember = true;
  TimePoint m_DownUntil{};
  TimePoint m_FrozenUntil{};
  TimePoint m_CutUntil{};
  TimePoint m_ExemptUntil{}; ///< Requests before then are not counted.
  TimePoint m_ReportedAt{};
  /// Times of the first response with a limit, by target.
  std::vector<TimePoint> m_LimitKnownAt;
  std::size_t m_ReceivedDatagrams = 0;
};

class RateLimitSimulation {
public:
  RateLimitSimulation(const RateLimitScenario &Scenario,
                      RateLimitStrategy Strategy)
      : m_Scenario(Scenario), m_Strategy(Strategy), m_Random(Scenario.m_Seed) {}

  RateLimitResult run();

private:
  static config::Endpoint addressOf(std::size_t Instance) {
    return {"10.1." + std::to_string(Instance / 250) + "." +
                std::to_string(Instance % 250 + 1),
            7600};
  }
  static core::DataHallName dataHallOf(std::size_t Instance) {
    return core::DataHallName("hall-" + std::to_string(Instance % 3));
  }
  static routing::TargetIncarnation incarnationOf(std::size_t Target) {
    return {core::TargetName("t-" + std::to_string(Target))};
  }
  bool chance(double Share) {
    return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
  }
  core::Duration drawDuration(core::Duration Max) {
    return core::Duration(std::uniform_int_distribution<std::int64_t>(
        0, core::Duration(Max).count())(m_Random));
  }
  std::size_t drawIndex(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }
  bool isUp(const ModelInstance &Instance) const {
    return Instance.m_IsMember && Instance.m_DownUntil <= m_Now &&
           Instance.m_FrozenUntil <= m_Now;
  }
  bool isCut(const ModelInstance &Instance) const {
    return m_Now < Instance.m_CutUntil;
  }
  bool isLimited() const {
    return m_Now >= m_Start + LimitFrom && m_Now < m_Start + LimitUntil;
  }

  void start(std::size_t Index, const FleetSubset::Fleet &KnownFleet);
  void setKnownFleet(std::size_t Index, FleetSubset::Fleet KnownFleet);
  std::size_t sendersOf(std::size_t Index,
                        const routing::TargetIncarnation &Incarnation);
  void sendRequest();
  void handleResponse(const Response &Received);
  void sendReports(std::size_t From,
                   const std::vector<routing::BackpressureReport> &Reports);
  void deliver();
  void injectFault();
  void applyFleetUpdates();
  void evaluate(RateLimitResult &Out) const;

  RateLimitScenario m_Scenario;
  RateLimitStrategy m_Strategy;
  std::mt19937_64 m_Random;
  TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  std::size_t m_GroupSize = 0;
  std::size_t m_Limited = 0; ///< Number of limited targets; they come first.
  std::vector<ModelInstance> m_Instances;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  FleetSubset::Fleet m_Fleet; ///< Actual fleet.
  /// Times at which instances learn the actual fleet, with their indexes.
  std::vector<std::pair<TimePoint, std::size_t>> m_PendingFleetUpdates;
  std::vector<Datagram> m_Datagrams;
  std::deque<Response> m_Responses;
  /// Arrivals by target, only from instances that know the limit and are not
  /// exempt.
  std::vector<std::vector<Arrival>> m_Arrivals;
  std::vector<std::size_t> m_SentWhileLimited; ///< By target.
};

} // namespace

std::size_t
RateLimitSimulation::sendersOf(std::size_t Index,
                               const routing::TargetIncarnation &Incarnation) {
  const ModelInstance &Own = m_Instances[Index];
  std::size_t SubsetSize =
      Own.m_Subset.subsetInstances(m_Scenario.m_Targets).size();
  std::size_t Rank =
      Own.m_Subset.rendezvousRank(Incarnation.hash(), m_Scenario.m_Targets);
  switch (m_Strategy) {
  case RateLimitStrategy::Senders: {
    std::size_t Senders =
        std::min(routing::SharedRateLimit::MaxSenders, SubsetSize);
    return Rank < Senders ? Senders : 0;
  }
  case RateLimitStrategy::OneSender:
    return Rank == 0 ? 1 : 0;
  case RateLimitStrategy::EqualParts:
    return SubsetSize;
  case RateLimitStrategy::Alone:
    return 1;
  }
  return 0;
}

void RateLimitSimulation::setKnownFleet(std::size_t Index,
                                        FleetSubset::Fleet KnownFleet) {
  ModelInstance &Own = m_Instances[Index];
  Own.m_KnownFleet = std::move(KnownFleet);
  Own.m_Subset = FleetSubset(addressOf(Index), Own.m_KnownFleet, m_GroupSize);
  Own.m_ThrottleTable->invalidateSenders();
}

void RateLimitSimulation::start(std::size_t Index,
                                const FleetSubset::Fleet &KnownFleet) {
  ModelInstance &Own = m_Instances[Index];
  Own.m_ThrottleTable = std::make_unique<TargetThrottleTable>(
      [this, Index](const routing::TargetIncarnation &Incarnation) {
        return sendersOf(Index, Incarnation);
      });
  Own.m_LimitKnownAt.assign(m_Limited, TimePoint::max());
  ++Own.m_Incarnation;
  setKnownFleet(Index, KnownFleet);
}

void RateLimitSimulation::sendRequest() {
  std::size_t Index = drawIndex(m_Instances.size());
  ModelInstance &Own = m_Instances[Index];
  if (!isUp(Own))
    return;
  // Worst case: a dispatcher that considers limited targets the least busy.
  std::vector<std::size_t> Candidates;
  for (std::size_t Target = 0; Target < m_Limited; ++Target)
    if (Own.m_Subset.isInSubset(Target * m_Scenario.m_Targets / m_Limited,
                                m_Scenario.m_Targets) &&
        Own.m_ThrottleTable->acceptsRequests(incarnationOf(Target), m_Now))
      Candidates.push_back(Target);
  if (Candidates.empty())
    return;
  std::size_t Target = Candidates[drawIndex(Candidates.size())];
  Own.m_ThrottleTable->recordSent(incarnationOf(Target), m_Now);
  bool IsLimitKnown = Own.m_LimitKnownAt[Target] < m_Now - InFlightTime;
  if (IsLimitKnown && Own.m_ExemptUntil < m_Now)
    m_Arrivals[Target].push_back({m_Now, Index});
  m_SentWhileLimited[Target] += isLimited() ? 1 : 0;
  m_Responses.push_back(
      {m_Now + ResponseTime, Index, Target, Own.m_Incarnation});
}

void RateLimitSimulation::handleResponse(const Response &Received) {
  ModelInstance &Own = m_Instances[Received.m_Instance];
  if (!Own.m_IsMember || Own.m_Incarnation != Received.m_Incarnation)
    return;
  routing::TargetBackpressure Backpressure;
  if (isLimited()) {
    Backpressure.m_RequestsPerSecond = m_Scenario.m_Limit;
    Own.m_LimitKnownAt[Received.m_Target] =
        std::min(Own.m_LimitKnownAt[Received.m_Target], m_Now);
  }
  routing::TargetIncarnation Incarnation = incarnationOf(Received.m_Target);
  if (Own.m_ThrottleTable->update(Incarnation, Backpressure, m_Now))
    sendReports(Received.m_Instance,
                {Own.m_ThrottleTable->reportOf(Incarnation)});
}

void RateLimitSimulation::sendReports(
    std::size_t From, const std::vector<routing::BackpressureReport> &Reports) {
  ModelInstance &Own = m_Instances[From];
  if (Reports.empty() || isCut(Own))
    return;
  for (const config::Endpoint &To :
       Own.m_Subset.subsetInstances(m_Scenario.m_Targets)) {
    std::size_t Index = m_Indexes.at(To);
    if (Index == From || chance(LossShare))
      continue;
    for (const routing::BackpressureReport &Each : Reports)
      m_Datagrams.push_back({m_Now + Step + drawDuration(MaxDelay) / 10 +
                                 (chance(LateShare) ? drawDuration(MaxDelay)
                                                    : core::Duration::zero()),
                             Index, Each, m_Now});
  }
}

void RateLimitSimulation::deliver() {
  std::vector<Datagram> Pending;
  for (Datagram &Each : m_Datagrams) {
    ModelInstance &To = m_Instances[Each.m_To];
    bool IsWaiting = Each.m_At > m_Now || m_Now < To.m_FrozenUntil;
    if (IsWaiting) {
      Pending.push_back(std::move(Each));
      continue;
    }
    if (!isUp(To) || isCut(To))
      continue;
    ++To.m_ReceivedDatagrams;
    // Reports carry the age of the limit, so that transit time makes it look
    // newer.
    Each.m_Backpressure.m_Limit.m_At += m_Now - Each.m_SentAt;
    To.m_ThrottleTable->update(Each.m_Backpressure, m_Now);
  }
  m_Datagrams = std::move(Pending);
}

void RateLimitSimulation::injectFault() {
  std::size_t Index = drawIndex(m_Instances.size());
  ModelInstance &Own = m_Instances[Index];
  core::Duration Length = milliseconds(500) + drawDuration(seconds(5));
  enum Kind { Kill, Freeze, Cut, ToggleMembership, KindCount };
  switch (static_cast<Kind>(drawIndex(KindCount))) {
  case Kill:
    Own.m_DownUntil = m_Now + milliseconds(500);
    Own.m_ExemptUntil = Own.m_DownUntil + ContactTime;
    // A restarted instance knows only itself.
    start(Index, {{addressOf(Index), dataHallOf(Index)}});
    m_PendingFleetUpdates.emplace_back(
        Own.m_DownUntil + drawDuration(MaxUpdateDelay), Index);
    return;
  case Freeze:
    Own.m_FrozenUntil = m_Now + Length;
    Own.m_ExemptUntil = Own.m_FrozenUntil + ContactTime;
    return;
  case Cut:
    Own.m_CutUntil = m_Now + Length;
    Own.m_ExemptUntil = Own.m_CutUntil + ContactTime;
    return;
  case ToggleMembership:
  case KindCount:
    break;
  }
  // Removes the instance from the fleet, or adds it again.
  Own.m_IsMember = !Own.m_IsMember;
  if (Own.m_IsMember) {
    m_Fleet[addressOf(Index)] = dataHallOf(Index);
    Own.m_ExemptUntil = m_Now + ContactTime;
    start(Index, {{addressOf(Index), dataHallOf(Index)}});
  } else {
    m_Fleet.erase(addressOf(Index));
  }
  for (std::size_t Other = 0; Other < m_Instances.size(); ++Other)
    m_PendingFleetUpdates.emplace_back(m_Now + drawDuration(MaxUpdateDelay),
                                       Other);
}

void RateLimitSimulation::applyFleetUpdates() {
  std::vector<std::pair<TimePoint, std::size_t>> Pending;
  for (const auto &Each : m_PendingFleetUpdates) {
    ModelInstance &Own = m_Instances[Each.second];
    if (Each.first > m_Now || m_Now < Own.m_FrozenUntil || isCut(Own))
      Pending.push_back(Each);
    else if (Own.m_IsMember && Own.m_KnownFleet != m_Fleet)
      setKnownFleet(Each.second, m_Fleet);
  }
  m_PendingFleetUpdates = std::move(Pending);
}

void RateLimitSimulation::evaluate(RateLimitResult &Out) const {
  double Allowed =
      1.5 * m_Scenario.m_Limit * core::toSeconds(core::Duration(Window)) + 5;
  TimePoint From = m_Start + LimitFrom + ContactTime;
  for (const std::vector<Arrival> &Each : m_Arrivals) {
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Each.size(); ++Last) {
      while (Each[Last].m_At - Each[First].m_At > Window ||
             Each[First].m_At < From) {
        if (First == Last)
          break;
        ++First;
      }
      if (Each[First].m_At < From || Each[Last].m_At > m_Start + LimitUntil)
        continue;
      Out.m_MaxWindowRatio =
          std::max(Out.m_MaxWindowRatio,
                   static_cast<double>(Last - First + 1) / Allowed);
    }
  }
  double Capacity =
      m_Scenario.m_Limit * core::toSeconds(LimitUntil - LimitFrom);
  for (std::size_t Each : m_SentWhileLimited)
    Out.m_ServedShare += static_cast<double>(Each) / Capacity /
                         static_cast<double>(m_SentWhileLimited.size());
}

RateLimitResult RateLimitSimulation::run() {
  m_GroupSize =
      FleetSubset::groupSizeFor(m_Scenario.m_Instances, m_Scenario.m_Targets);
  m_Limited = std::max<std::size_t>(
      1, static_cast<std::size_t>(static_cast<double>(m_Scenario.m_Targets) *
                                  m_Scenario.m_LimitedShare));
  m_Instances.resize(m_Scenario.m_Instances);
  m_Arrivals.resize(m_Limited);
  m_SentWhileLimited.resize(m_Limited);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Fleet[addressOf(I)] = dataHallOf(I);
    m_Indexes[addressOf(I)] = I;
  }
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    start(I, m_Fleet);
    m_Instances[I].m_ReportedAt = m_Now + drawDuration(ReportPeriod);
  }
  RateLimitResult Out;
  std::poisson_distribution<int> Requests(m_Scenario.m_RequestsPerSecond *
                                          core::toSeconds(Step));
  std::size_t Seconds = 0;
  for (; m_Now < m_Start + SimulatedTime; m_Now += Step, ++Seconds) {
    if (m_Scenario.m_HasFaults &&
        chance(FaultsPerSecond * core::toSeconds(core::Duration(Step))))
      injectFault();
    applyFleetUpdates();
    deliver();
    while (!m_Responses.empty() && m_Responses.front().m_At <= m_Now) {
      handleResponse(m_Responses.front());
      m_Responses.pop_front();
    }
    for (int I = Requests(m_Random); I > 0; --I)
      sendRequest();
    bool IsAnyLimited = false;
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      ModelInstance &Own = m_Instances[I];
      if (!isUp(Own))
        continue;
      IsAnyLimited = IsAnyLimited || Own.m_ThrottleTable->limited() > 0;
      if (m_Now - Own.m_ReportedAt < ReportPeriod)
        continue;
      Own.m_ReportedAt = m_Now;
      Own.m_ThrottleTable->removeStale(m_Now);
      sendReports(I, Own.m_ThrottleTable->dueReports(m_Now));
    }
    if (m_Now >= m_Start + LimitUntil && IsAnyLimited)
      Out.m_LimitEndDelaySeconds =
          core::toSeconds(m_Now - (m_Start + LimitUntil));
  }
  evaluate(Out);
  double Time = core::toSeconds(SimulatedTime - LimitFrom);
  for (const ModelInstance &Each : m_Instances)
    Out.m_DatagramsPerSecond =
        std::max(Out.m_DatagramsPerSecond,
                 static_cast<double>(Each.m_ReceivedDatagrams) / Time);
  return Out;
}

RateLimitResult simulateRateLimit(const RateLimitScenario &Scenario,
                                  RateLimitStrategy Strategy) {
  return RateLimitSimulation(Scenario, Strategy).run();
}

} // namespace yardrill::tests
