#include "DispatchSimulation.h"

#include "LibRouting/Dispatcher.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>

namespace yardrill::tests {

using core::TimePoint;
using routing::FleetSubset;
using routing::TargetIncarnation;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Step{2};
/// Period in which an instance learns of the load of its group.
static constexpr milliseconds LoadPeriod{20};
static constexpr seconds ReportPeriod{1};
/// Maximum time until a report of another instance arrives.
static constexpr milliseconds MaxReportDelay{30};
static constexpr seconds RequestTime{3};
static const char PoolName[] = "pool";

namespace {

struct SimulatedTarget {
  core::DataHallName m_DataHall;
  double m_Speed = 1;
  /// Times at which its slots become free.
  std::vector<TimePoint> m_FreeAt;
};

struct Completion {
  TimePoint m_At;
  std::size_t m_Instance = 0;
  std::size_t m_Process = 0; ///< Number of the instance's process.
  std::size_t m_Target = 0;
  core::Duration m_ServiceTime{};

  bool operator>(const Completion &Other) const { return Other.m_At < m_At; }
};

struct StoreChange {
  TimePoint m_At;
  std::size_t m_Instance = 0;
  core::DataHallName m_DataHall;
  bool m_IsDrained = false;
};

struct Report {
  TimePoint m_At;
  std::size_t m_Instance = 0;
  routing::BackpressureReport m_Backpressure;
};

struct SimulatedInstance {
  std::unique_ptr<routing::TargetDirectory> m_Targets;
  std::unique_ptr<routing::Dispatcher> m_Dispatcher;
  FleetSubset m_Subset;
  std::size_t m_Process = 0;
  bool m_IsRestarted = false; ///< See DispatchScenario::m_RestartedShare.
  std::map<core::DataHallName, bool> m_DrainedHalls; ///< Known to the store.
};

class DispatchSimulation {
public:
  explicit DispatchSimulation(const DispatchScenario &Scenario)
      : m_Scenario(Scenario), m_Random(Scenario.m_Seed) {}

  DispatchResult run();

private:
  static config::Endpoint addressOf(std::size_t Instance) {
    return {"10.1." + std::to_string(Instance / 250) + "." +
                std::to_string(Instance % 250 + 1),
            7600};
  }
  core::DataHallName dataHallOf(std::size_t Index) const {
    return core::DataHallName("hall-" +
                              std::to_string(Index % m_Scenario.m_DataHalls));
  }
  static core::TargetName nameOf(std::size_t Target) {
    return core::TargetName("t-" + std::to_string(Target));
  }
  double draw() {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  }
  core::Duration drawDelay(core::Duration Max) {
    return std::chrono::duration_cast<core::Duration>(Max * draw());
  }
  std::size_t drawInstance() {
    return std::uniform_int_distribution<std::size_t>(0, m_Instances.size() -
                                                             1)(m_Random);
  }

  void addTargets();
  void startInstance(std::size_t Index, bool IsFirstStart);
  void scheduleDrains();
  void send(std::size_t Index, const routing::Target &Chosen);
  void sendRequest();
  void complete(const Completion &Ended);
  void report(std::size_t From, const routing::BackpressureReport &Update);
  void applyStoreChanges();
  void deliverReports();
  void exchangeLoads();
  void repeatReports();
  bool isLimited(std::size_t Target) const {
    return Target < m_Scenario.m_LimitedTargets &&
           m_Now < m_Start + m_Scenario.m_LimitUntil;
  }

  DispatchScenario m_Scenario;
  std::mt19937_64 m_Random;
  TimePoint m_Start{std::chrono::hours(1)};
  TimePoint m_Now = m_Start;
  FleetSubset::Fleet m_Fleet;
  std::map<config::Endpoint, std::size_t> m_Indexes;
  std::vector<SimulatedInstance> m_Instances;
  std::vector<SimulatedTarget> m_Targets;
  std::map<core::TargetName, std::size_t> m_TargetIndexes;
  std::priority_queue<Completion, std::vector<Completion>,
                      std::greater<Completion>>
      m_Completions;
  std::vector<StoreChange> m_StoreChanges;
  std::vector<Report> m_Reports;
  std::uint64_t m_NextRequest = 1;
  DispatchResult m_Result;
};

} // namespace

void DispatchSimulation::addTargets() {
  for (std::size_t I = 0; I < m_Scenario.m_Targets; ++I) {
    SimulatedTarget Added;
    Added.m_DataHall = dataHallOf(I);
    Added.m_Speed = 0.8 + 0.4 * draw();
    Added.m_FreeAt.resize(m_Scenario.m_Slots);
    m_Targets.push_back(Added);
    m_TargetIndexes[nameOf(I)] = I;
  }
  m_Result.m_Arrivals.resize(m_Targets.size());
}

void DispatchSimulation::startInstance(std::size_t Index, bool IsFirstStart) {
  SimulatedInstance &Own = m_Instances[Index];
  ++Own.m_Process;
  Own.m_Dispatcher.reset();
  Own.m_Targets = std::make_unique<routing::TargetDirectory>();
  routing::Pool Pool;
  Pool.m_Name = core::PoolName(PoolName);
  if (m_Scenario.m_IsWarmUpKnown) {
    Pool.m_WarmUpPerSecond = m_Scenario.m_WarmUpPerSecond;
    Pool.m_WarmUpTime = m_Scenario.m_WarmUpTime;
  }
  Own.m_Targets->setPools({{Pool.m_Name, Pool}}, m_Now);
  Own.m_Targets->setSubset(Own.m_Subset);
  for (const auto &[Hall, IsDrained] : Own.m_DrainedHalls)
    Own.m_Targets->setDrained(Hall, IsDrained, m_Now);
  for (std::size_t I = 0; I < m_Targets.size(); ++I) {
    routing::Target Announced;
    Announced.m_Name = nameOf(I);
    Announced.m_Pool = Pool.m_Name;
    Announced.m_DataHall = m_Targets[I].m_DataHall;
    Announced.m_Slots = m_Scenario.m_Slots;
    Own.m_Targets->announce(Announced);
    if (!IsFirstStart)
      Own.m_Targets->assumeWarmUp(Announced.m_Name, m_Now);
  }
  Own.m_Dispatcher = std::make_unique<routing::Dispatcher>(
      *Own.m_Targets, dataHallOf(Index),
      routing::PlacementPolicy::LeastPredictedWait,
      routing::DispatcherHooks{
          [this, Index](core::RequestId, const routing::Target &Chosen) {
            send(Index, Chosen);
          },
          [this](core::RequestId) { ++m_Result.m_Refused; }});
}

void DispatchSimulation::scheduleDrains() {
  for (const DrainPeriod &Each : m_Scenario.m_Drains)
    for (std::size_t I = 0; I < m_Instances.size(); ++I) {
      auto Schedule = [&](core::Duration At, bool IsDrained) {
        core::Duration Delay = m_Instances[I].m_IsRestarted
                                   ? core::Duration::zero()
                                   : drawDelay(m_Scenario.m_MaxUpdateDelay);
        m_StoreChanges.push_back(
            {m_Start + At + Delay, I, dataHallOf(Each.m_DataHall), IsDrained});
      };
      Schedule(Each.m_From, true);
      Schedule(Each.m_Until, false);
    }
}

void DispatchSimulation::applyStoreChanges() {
  std::vector<StoreChange> Pending;
  for (const StoreChange &Each : m_StoreChanges) {
    if (m_Now < Each.m_At) {
      Pending.push_back(Each);
      continue;
    }
    SimulatedInstance &To = m_Instances[Each.m_Instance];
    To.m_DrainedHalls[Each.m_DataHall] = Each.m_IsDrained;
    if (To.m_IsRestarted && !Each.m_IsDrained)
      startInstance(Each.m_Instance, false);
    else
      To.m_Targets->setDrained(Each.m_DataHall, Each.m_IsDrained, m_Now);
  }
  m_StoreChanges = std::move(Pending);
}

void DispatchSimulation::send(std::size_t Index,
                              const routing::Target &Chosen) {
  std::size_t Target = m_TargetIndexes.at(Chosen.m_Name);
  m_Result.m_Arrivals[Target].push_back(m_Now - m_Start);
  SimulatedTarget &Receiver = m_Targets[Target];
  TimePoint &FreeAt =
      *std::min_element(Receiver.m_FreeAt.begin(), Receiver.m_FreeAt.end());
  auto Time = std::chrono::duration_cast<core::Duration>(
      m_Scenario.m_ServiceTime * (Receiver.m_Speed * (0.9 + 0.2 * draw())));
  FreeAt = std::max(FreeAt, m_Now) + Time;
  m_Completions.push(
      {FreeAt, Index, m_Instances[Index].m_Process, Target, FreeAt - m_Now});
}

void DispatchSimulation::sendRequest() {
  std::size_t Index = drawInstance();
  routing::PlacementRequest Request;
  Request.m_Request = core::RequestId(m_NextRequest++);
  Request.m_Pool = core::PoolName(PoolName);
  Request.m_ArrivedAt = m_Now;
  Request.m_EndsAt = m_Now + RequestTime;
  Request.m_FirstByteDue = Request.m_EndsAt;
  Request.m_FirstEventDeadline = Request.m_EndsAt;
  m_Instances[Index].m_Dispatcher->place(Request, m_Now);
}

void DispatchSimulation::complete(const Completion &Ended) {
  SimulatedInstance &Own = m_Instances[Ended.m_Instance];
  if (Own.m_Process != Ended.m_Process)
    return;
  ++m_Result.m_Served;
  TargetIncarnation Incarnation = nameOf(Ended.m_Target);
  Own.m_Targets->recordEnd(Incarnation, 0);
  Own.m_Targets->recordSuccess(Incarnation);
  Own.m_Targets->recordServiceTime(Incarnation, Ended.m_ServiceTime);
  routing::TargetBackpressure Stated;
  if (isLimited(Ended.m_Target))
    Stated.m_RequestsPerSecond = m_Scenario.m_LimitPerSecond;
  if (Own.m_Targets->throttles().update(Incarnation, Stated, m_Now))
    report(Ended.m_Instance, Own.m_Targets->throttles().reportOf(Incarnation));
  Own.m_Dispatcher->dispatchWaiting(m_Now);
}

void DispatchSimulation::report(std::size_t From,
                                const routing::BackpressureReport &Update) {
  for (const config::Endpoint &To :
       m_Instances[From].m_Subset.subsetInstances(m_Targets.size()))
    if (m_Indexes.at(To) != From)
      m_Reports.push_back(
          {m_Now + drawDelay(MaxReportDelay), m_Indexes.at(To), Update});
}

void DispatchSimulation::deliverReports() {
  std::vector<Report> Pending;
  for (const Report &Each : m_Reports)
    if (m_Now < Each.m_At)
      Pending.push_back(Each);
    else
      m_Instances[Each.m_Instance].m_Targets->throttles().update(
          Each.m_Backpressure, m_Now);
  m_Reports = std::move(Pending);
}

void DispatchSimulation::repeatReports() {
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    routing::TargetThrottleTable &Throttles =
        m_Instances[I].m_Targets->throttles();
    Throttles.removeStale(m_Now);
    for (const auto &Each : Throttles.dueReports(m_Now))
      report(I, Each);
  }
}

void DispatchSimulation::exchangeLoads() {
  for (SimulatedInstance &Each : m_Instances) {
    std::unordered_map<std::uint32_t, routing::TargetLoad> Sums;
    for (const config::Endpoint &Peer : Each.m_Subset.groupMembers())
      for (const routing::KnownTarget *Busy :
           m_Instances[m_Indexes.at(Peer)].m_Targets->busyTargets())
        Sums[Busy->m_Hash].m_Running += Busy->m_LocalLoad.m_Running;
    Each.m_Targets->setRemoteLoad(Sums);
    Each.m_Dispatcher->dispatchWaiting(m_Now);
  }
}

DispatchResult DispatchSimulation::run() {
  addTargets();
  m_Instances.resize(m_Scenario.m_Instances);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Fleet[addressOf(I)] = dataHallOf(I);
    m_Indexes[addressOf(I)] = I;
  }
  std::size_t GroupSize =
      FleetSubset::groupSizeFor(m_Scenario.m_Instances, m_Scenario.m_Targets);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Instances[I].m_Subset = FleetSubset(addressOf(I), m_Fleet, GroupSize);
    m_Instances[I].m_IsRestarted = draw() < m_Scenario.m_RestartedShare;
    startInstance(I, true);
  }
  scheduleDrains();
  std::poisson_distribution<int> Requests(
      m_Scenario.m_RequestsPerSecond * core::toSeconds(core::Duration(Step)));
  TimePoint LoadsAt = m_Now;
  TimePoint ReportsAt = m_Now;
  for (; m_Now < m_Start + m_Scenario.m_Length; m_Now += Step) {
    applyStoreChanges();
    deliverReports();
    while (!m_Completions.empty() && m_Completions.top().m_At <= m_Now) {
      Completion Ended = m_Completions.top();
      m_Completions.pop();
      complete(Ended);
    }
    if (LoadsAt <= m_Now) {
      LoadsAt = m_Now + LoadPeriod;
      exchangeLoads();
    }
    if (ReportsAt <= m_Now) {
      ReportsAt = m_Now + ReportPeriod;
      repeatReports();
    }
    for (int I = Requests(m_Random); I > 0; --I)
      sendRequest();
    bool IsAnyLimited =
        m_Scenario.m_LimitedTargets > 0 &&
        std::any_of(m_Instances.begin(), m_Instances.end(),
                    [](const SimulatedInstance &Each) {
                      return Each.m_Targets->throttles().limited() > 0;
                    });
    if (IsAnyLimited && m_Now >= m_Start + m_Scenario.m_LimitUntil)
      m_Result.m_LimitEndDelay = m_Now - (m_Start + m_Scenario.m_LimitUntil);
  }
  return m_Result;
}

std::size_t DispatchResult::arrivalsIn(std::size_t Target, core::Duration From,
                                       core::Duration Until) const {
  const std::vector<core::Duration> &All = m_Arrivals.at(Target);
  return static_cast<std::size_t>(
      std::lower_bound(All.begin(), All.end(), Until) -
      std::lower_bound(All.begin(), All.end(), From));
}

std::size_t DispatchResult::maxArrivalsWithin(std::size_t Target,
                                              core::Duration Length,
                                              core::Duration From,
                                              core::Duration Until) const {
  std::size_t Out = 0;
  for (core::Duration Each : m_Arrivals.at(Target))
    if (From <= Each && Each < Until)
      Out = std::max(Out, arrivalsIn(Target, Each, Each + Length));
  return Out;
}

DispatchResult simulateDispatch(const DispatchScenario &Scenario) {
  return DispatchSimulation(Scenario).run();
}

} // namespace yardrill::tests
