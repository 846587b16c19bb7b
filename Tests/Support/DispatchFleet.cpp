#include "DispatchFleet.h"

#include <algorithm>

namespace yardrill::tests {

using core::TimePoint;
using routing::FleetSubset;
using routing::TargetIncarnation;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds Step{2};
/// Period in which an instance looks after its queue, and in which it learns of
/// the load of its group if it exchanges no messages.
static constexpr milliseconds LoadPeriod{20};
static constexpr seconds BackpressurePeriod{1};
static constexpr seconds RequestTime{3};
/// Time for which a fleet counts as refusing after a refusal.
static constexpr milliseconds RefusalMemory{100};
/// Longest time for which requests may take to end after the last arrival.
static constexpr seconds MaxEndTime{60};
static const char PoolName[] = "pool";

DispatchFleet::DispatchFleet(const DispatchScenario &Scenario)
    : m_Scenario(Scenario), m_Random(Scenario.m_Seed),
      m_FaultRandom(Scenario.m_Seed + 1), m_SlotRandom(Scenario.m_Seed + 4),
      m_SkewRandom(Scenario.m_Seed + 5),
      m_Network(Scenario.m_Network, Scenario.m_Seed + 2) {
  if (m_Scenario.m_Kinds.empty())
    return;
  m_Callers = std::make_unique<SimulatedCallers>(
      m_Scenario.m_Kinds, m_Scenario.m_Callers, m_Scenario.m_Instances,
      core::PoolName(PoolName), m_Start, m_Scenario.m_Seed + 3,
      [this](std::size_t Index, const routing::PlacementRequest &Request) {
        arrive(Index, Request);
      });
  if (m_Scenario.m_Skew)
    m_Callers->setBalancer(
        [this](std::size_t Usual) { return balance(Usual); });
}

//===----------------------------------------------------------------------===//
// Set-up
//===----------------------------------------------------------------------===//

void DispatchFleet::addTargets() {
  for (std::size_t I = 0; I < m_Scenario.m_Targets; ++I) {
    SimulatedTarget Added;
    Added.m_DataHall = dataHallOf(I);
    Added.m_Speed = m_Scenario.m_Speeds.empty()
                        ? 0.8 + 0.4 * draw()
                        : m_Scenario.m_Speeds[I % m_Scenario.m_Speeds.size()];
    Added.m_FreeAt.resize(m_Scenario.m_Slots);
    m_Targets.add(Added);
    m_TargetIndexes[nameOf(I)] = I;
  }
  m_Result.m_Arrivals.resize(m_Targets.size());
}

void DispatchFleet::addInstances() {
  m_Instances.resize(m_Scenario.m_Instances);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    m_Fleet[addressOf(I)] = dataHallOf(I);
    m_Indexes[addressOf(I)] = I;
  }
  std::size_t GroupSize =
      FleetSubset::groupSizeFor(m_Scenario.m_Instances, m_Scenario.m_Targets);
  for (std::size_t I = 0; I < m_Instances.size(); ++I) {
    SimulatedInstance &Added = m_Instances[I];
    Added.m_Subset = FleetSubset(addressOf(I), m_Fleet, GroupSize);
    Added.m_IsRestarted = draw() < m_Scenario.m_RestartedShare;
    // Instances report at different times.
    if (m_Scenario.m_ReportPeriod)
      Added.m_ReportsAt =
          m_Start + *m_Scenario.m_ReportPeriod * I / m_Scenario.m_Instances;
    startInstance(I, true);
  }
}

routing::Target DispatchFleet::announcementOf(std::size_t Target) const {
  routing::Target Out;
  Out.m_Name = nameOf(Target);
  Out.m_Pool = core::PoolName(PoolName);
  Out.m_DataHall = m_Targets[Target].m_DataHall;
  Out.m_Slots = m_Scenario.m_Slots;
  Out.m_IsLeaving = m_Targets[Target].m_IsLeaving;
  return Out;
}

void DispatchFleet::startInstance(std::size_t Index, bool IsFirstStart) {
  SimulatedInstance &Own = m_Instances[Index];
  ++Own.m_Process;
  Own.m_PeerReports.clear();
  Own.m_Borrowing.reset();
  Own.m_Lending.reset();
  Own.m_Slots.reset();
  Own.m_Dispatcher.reset();
  Own.m_Targets = std::make_unique<routing::TargetDirectory>();
  if (!m_Scenario.m_Intakes.empty())
    Own.m_Intake = std::make_unique<SimulatedIntake>(
        m_Scenario.m_Intakes[Index % m_Scenario.m_Intakes.size()]);
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
    routing::Target Announced = announcementOf(I);
    Own.m_Targets->announce(Announced);
    if (!IsFirstStart)
      Own.m_Targets->assumeWarmUp(Announced.m_Name, m_Now);
  }
  routing::DispatcherHooks Hooks;
  Hooks.m_Send = [this, Index](core::RequestId Id,
                               const routing::Target &Chosen) {
    send(Index, Id, Chosen);
  };
  Hooks.m_Refuse = [this, Index](core::RequestId Id) { refuse(Index, Id); };
  Hooks.m_Ended = [&Own](core::RequestId Id) {
    Own.m_Borrowing->recordEnd(Id);
  };
  Hooks.m_Borrow = [&Own](const routing::PlacementRequest &Request,
                          core::TimePoint Now) {
    return Own.m_Borrowing->awaitSlotFor(Request, Now);
  };
  Own.m_Dispatcher = std::make_unique<routing::Dispatcher>(
      *Own.m_Targets, dataHallOf(Index),
      routing::PlacementPolicy::LeastPredictedWait, std::move(Hooks));
  Own.m_Dispatcher->setOverload(m_Scenario.m_Overload);
  Own.m_Slots = std::make_unique<routing::SlotExchange>(
      *Own.m_Dispatcher, *Own.m_Targets, m_SlotRandom(), slotHooks(Index));
  Own.m_Lending = std::make_unique<routing::SlotLending>(
      *Own.m_Targets, *Own.m_Dispatcher, Own.m_Slots->leases());
  Own.m_Borrowing = std::make_unique<routing::SlotBorrowing>(
      *Own.m_Dispatcher, dataHallOf(Index), m_SlotRandom(),
      borrowingHooks(Index));
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

std::size_t DispatchFleet::balance(std::size_t Usual) {
  const ConnectionSkew &Skew = *m_Scenario.m_Skew;
  core::Duration Since = m_Now - m_Start;
  bool IsAffected =
      Skew.m_From <= Since && Since < Skew.m_Until &&
      (!Skew.m_DataHall || dataHallOf(Usual) == dataHallOf(*Skew.m_DataHall));
  std::uniform_real_distribution<double> Draw(0, 1);
  return IsAffected && Draw(m_SkewRandom) < Skew.m_Share ? Skew.m_Instance
                                                         : Usual;
}

void DispatchFleet::arrive(std::size_t Index,
                           const routing::PlacementRequest &Request) {
  SimulatedInstance &To = m_Instances[Index];
  core::RequestId Id = Request.m_Request;
  if (!To.m_Intake) {
    m_Callers->recordRead(Id);
    return place(Index, Request);
  }
  if (!To.m_Intake->mayAccept(m_Now)) {
    ++m_Result.m_ClosedUnread;
    return m_Callers->recordUnread(Id, m_Now);
  }
  TimePoint ReadAt = To.m_Intake->beginRead(Id, m_Now);
  if (ReadAt - m_Now > SimulatedIntake::CallerPatience) {
    ++m_Result.m_GivenUpUnread;
    m_Network.callAt(m_Now + SimulatedIntake::CallerPatience, [this, Id] {
      if (m_Callers->isOpen(Id))
        m_Callers->recordUnread(Id, m_Now);
    });
  }
  std::size_t Process = To.m_Process;
  m_Network.callAt(ReadAt, [this, Index, Process, Request] {
    SimulatedInstance &Own = m_Instances[Index];
    if (Own.m_Process != Process)
      return;
    Own.m_Intake->endRead(Request.m_Request, m_Now);
    if (!m_Callers->isOpen(Request.m_Request))
      return;
    m_Callers->recordRead(Request.m_Request);
    place(Index, Request);
  });
}

void DispatchFleet::place(std::size_t Index,
                          const routing::PlacementRequest &Request) {
  SimulatedInstance &To = m_Instances[Index];
  applyReports(To);
  To.m_Dispatcher->place(Request, m_Now);
  To.m_Borrowing->update(m_Now);
}

void DispatchFleet::sendRequest() {
  std::size_t Index = std::uniform_int_distribution<std::size_t>(
      0, m_Instances.size() - 1)(m_Random);
  routing::PlacementRequest Request;
  Request.m_Request = core::RequestId(m_NextRequest++);
  Request.m_Pool = core::PoolName(PoolName);
  Request.m_ArrivedAt = m_Now;
  Request.m_EndsAt = m_Now + RequestTime;
  Request.m_FirstByteDue = Request.m_EndsAt;
  Request.m_FirstEventDeadline = Request.m_EndsAt;
  m_Instances[Index].m_Dispatcher->place(Request, m_Now);
}

void DispatchFleet::send(std::size_t Index, core::RequestId Id,
                         const routing::Target &Chosen) {
  std::size_t Target = m_TargetIndexes.at(Chosen.m_Name);
  m_Result.m_Arrivals[Target].push_back(m_Now - m_Start);
  if (m_Callers)
    return sendForCaller(Index, Id, Target);
  auto Time = std::chrono::duration_cast<core::Duration>(
      m_Scenario.m_ServiceTime *
      (m_Targets[Target].m_Speed * (0.9 + 0.2 * draw())));
  TimePoint EndsAt = m_Targets.start(Target, m_Now, Time) + Time;
  m_Completions.push({EndsAt, Index, m_Instances[Index].m_Process, Target,
                      EndsAt - m_Now, Id});
}

void DispatchFleet::sendForCaller(std::size_t Index, core::RequestId Id,
                                  std::size_t Target) {
  double Speed = m_Targets[Target].m_Speed;
  const RequestKind &Kind = m_Callers->kindOf(Id);
  m_Callers->recordSent(Id);
  m_Instances[Index].m_IsReportDue = true;
  auto Scale = [Speed](core::Duration Time) {
    return std::chrono::duration_cast<core::Duration>(Time * Speed);
  };
  core::Duration Time = Scale(m_Callers->slotTimeOf(Id));
  SimulatedIntake *Intake = m_Instances[Index].m_Intake.get();
  TimePoint ArrivesAt = Intake ? Intake->send(m_Now) : m_Now;
  TimePoint StartsAt = m_Targets.start(Target, ArrivesAt, Time);
  if (ArrivesAt < StartsAt)
    ++m_Result.m_SentToFullTarget;
  Completion Sent{
      StartsAt + Time,         Index, m_Instances[Index].m_Process, Target,
      StartsAt + Time - m_Now, Id};
  if (Kind.m_IsStream) {
    Sent.m_ServiceTime = Scale(Kind.m_EventGap);
    core::Duration FirstEventTime =
        StartsAt + Scale(Kind.m_FirstEventTime) - m_Now;
    m_Network.callAt(m_Now + FirstEventTime, [this, Sent, FirstEventTime] {
      recordFirstEvent(Sent, FirstEventTime);
    });
  }
  m_Completions.push(Sent);
}

void DispatchFleet::recordFirstEvent(const Completion &Sent,
                                     core::Duration Time) {
  SimulatedInstance &Own = m_Instances[Sent.m_Instance];
  if (Own.m_Process != Sent.m_Process)
    return;
  Own.m_Targets->recordFirstEvent(
      nameOf(Sent.m_Target), m_Callers->request(Sent.m_Request).m_PromptTokens);
  Own.m_Targets->recordFirstEventTime(core::PoolName(PoolName), Time);
  m_Callers->recordFirstEvent(Sent.m_Request, m_Now);
}

void DispatchFleet::refuse(std::size_t Index, core::RequestId Id) {
  ++m_Result.m_Refused;
  m_RefusedAt = m_Now;
  if (!m_Callers)
    return;
  std::optional<core::Duration> RetryAfter;
  if (m_Scenario.m_RetryAfter)
    RetryAfter = m_Scenario.m_RetryAfter(*m_Instances[Index].m_Dispatcher,
                                         m_Callers->request(Id), m_Now);
  m_Callers->recordRefusal(Id, RetryAfter, m_Now);
}

void DispatchFleet::withdrawOverdue() {
  for (const auto &[Id, Index] : m_Callers->overdue(m_Now))
    if (m_Instances[Index].m_Dispatcher->withdraw(Id))
      refuse(Index, Id);
}

void DispatchFleet::completeDue() {
  while (!m_Completions.empty() && m_Completions.top().m_At <= m_Now) {
    Completion Ended = m_Completions.top();
    m_Completions.pop();
    complete(Ended);
  }
}

void DispatchFleet::complete(const Completion &Ended) {
  SimulatedInstance &Own = m_Instances[Ended.m_Instance];
  if (Own.m_Process != Ended.m_Process)
    return;
  ++m_Result.m_Served;
  TargetIncarnation Incarnation = nameOf(Ended.m_Target);
  Own.m_Targets->recordEnd(Incarnation, 0);
  Own.m_Targets->recordSuccess(Incarnation);
  Own.m_Targets->recordServiceTime(Incarnation, Ended.m_ServiceTime);
  Own.m_Dispatcher->recordEnd(Ended.m_Request, m_Now);
  if (m_Callers)
    m_Callers->recordEnd(Ended.m_Request, m_Now);
  routing::TargetBackpressure Stated;
  if (isLimited(Ended.m_Target))
    Stated.m_RequestsPerSecond = m_Scenario.m_LimitPerSecond;
  if (Own.m_Targets->throttles().update(Incarnation, Stated, m_Now))
    reportBackpressure(Ended.m_Instance,
                       Own.m_Targets->throttles().reportOf(Incarnation));
  handleFreedSlot(Own, Incarnation);
}

void DispatchFleet::handleFreedSlot(SimulatedInstance &Instance,
                                    const TargetIncarnation &Target) {
  bool IsShared =
      m_Scenario.m_Overload.m_SlotHandover && hasWaitingPeers(Instance);
  if (Instance.m_Dispatcher->waiting() > 0 || IsShared)
    applyReports(Instance);
  Instance.m_Slots->handleFreedSlot(Target, m_Now);
  if (hasWaitingPeers(Instance))
    Instance.m_IsReportDue = true;
}

void DispatchFleet::dispatchWaiting(SimulatedInstance &Instance) {
  if (m_Scenario.m_ReportPeriod && Instance.m_Dispatcher->waiting() == 0)
    return;
  applyReports(Instance);
  Instance.m_Dispatcher->dispatchWaiting(m_Now);
}

//===----------------------------------------------------------------------===//
// The simulation
//===----------------------------------------------------------------------===//

void DispatchFleet::recordFreeSlots() {
  if (m_RefusedAt == TimePoint() || m_Now - m_RefusedAt > RefusalMemory)
    return;
  m_Result.m_RefusingTime += Step;
  m_Result.m_FreeSlotSeconds +=
      static_cast<double>(m_Targets.freeSlots(m_Now)) *
      core::toSeconds(core::Duration(Step));
}

void DispatchFleet::recordLimitEnd() {
  TimePoint LimitEnd = m_Start + m_Scenario.m_LimitUntil;
  bool IsAnyLimited =
      m_Scenario.m_LimitedTargets > 0 &&
      std::any_of(m_Instances.begin(), m_Instances.end(),
                  [](const SimulatedInstance &Each) {
                    return Each.m_Targets->throttles().limited() > 0;
                  });
  if (IsAnyLimited && m_Now >= LimitEnd)
    m_Result.m_LimitEndDelay = m_Now - LimitEnd;
}

void DispatchFleet::step() {
  applyStoreChanges();
  deliverBackpressure();
  m_Network.run(m_Now);
  completeDue();
  if (m_LoadsAt <= m_Now) {
    m_LoadsAt = m_Now + LoadPeriod;
    for (SimulatedInstance &Each : m_Instances) {
      if (!m_Scenario.m_ReportPeriod)
        exchangeLoads(Each);
      Each.m_Slots->upkeep(m_Now);
      dispatchWaiting(Each);
      Each.m_Borrowing->update(m_Now);
    }
    if (m_Callers)
      withdrawOverdue();
  }
  if (m_BackpressureAt <= m_Now) {
    m_BackpressureAt = m_Now + BackpressurePeriod;
    repeatBackpressure();
  }
}

DispatchResult DispatchFleet::run() {
  addTargets();
  addInstances();
  scheduleDrains();
  scheduleFaults();
  std::poisson_distribution<int> Requests(
      m_Scenario.m_RequestsPerSecond * core::toSeconds(core::Duration(Step)));
  for (; m_Now < m_Start + m_Scenario.m_Length; m_Now += Step) {
    step();
    if (m_Callers) {
      m_Callers->sendReturns(m_Now);
      m_Callers->sendFirst(m_Now, Step);
      sendDueReports();
      recordFreeSlots();
    } else {
      for (int I = Requests(m_Random); I > 0; --I)
        sendRequest();
    }
    recordLimitEnd();
  }
  if (!m_Callers)
    return m_Result;
  for (TimePoint Last = m_Now + MaxEndTime;
       m_Now < Last && m_Callers->open() > 0; m_Now += Step) {
    step();
    m_Callers->sendReturns(m_Now);
    sendDueReports();
  }
  m_Result.m_Callers = m_Callers->finish();
  return m_Result;
}

DispatchResult simulateDispatch(const DispatchScenario &Scenario) {
  return DispatchFleet(Scenario).run();
}

} // namespace yardrill::tests
