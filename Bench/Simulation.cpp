#include "Simulation.h"

#include <chrono>
#include <random>

namespace yardrill::bench {

static const std::size_t CachedPrefixes = 10;
static const core::Duration ReportPeriod = std::chrono::seconds(2);

void SimulationResult::add(const SimulationResult &Other) {
  for (int T = 1; T < 4; ++T) {
    m_InTime[T] += Other.m_InTime[T];
    m_Arrived[T] += Other.m_Arrived[T];
    m_InTimeInBurst[T] += Other.m_InTimeInBurst[T];
    m_ArrivedInBurst[T] += Other.m_ArrivedInBurst[T];
    m_FirstToken[T].insert(m_FirstToken[T].end(), Other.m_FirstToken[T].begin(),
                           Other.m_FirstToken[T].end());
  }
  m_WastedTokens += Other.m_WastedTokens;
  m_PrefilledTokens += Other.m_PrefilledTokens;
  m_Refused += Other.m_Refused;
  m_Evicted += Other.m_Evicted;
}

Simulation::Simulation(std::vector<Request> Requests, unsigned Seed,
                       const SchedulerFactory &Factory)
    : m_Requests(std::move(Requests)), m_ReportedLoads(EngineCount),
      m_EngineOf(m_Requests.size(), -1), m_IsCancelled(m_Requests.size()),
      m_HasStarted(m_Requests.size()) {
  std::mt19937_64 Random(Seed + 1000);
  for (std::size_t I = 0; I < EngineCount; ++I) {
    m_Speeds.push_back(Random() % 3 == 0 ? 0.5 : 1.0);
    m_Engines.emplace_back(m_Speeds.back(), EngineSlots, CachedPrefixes);
  }
  std::size_t Slow = Random() % EngineCount;
  at(m_Requests.back().m_At / 2,
     [this, Slow] { m_Engines[Slow].setSlowness(3); });
  m_Scheduler = Factory(*this);
}

void Simulation::at(core::Duration When, std::function<void()> Task) {
  m_Tasks.push({When, m_NextSequence++, std::move(Task)});
}

SimulationResult Simulation::run() {
  m_Scheduler->start();
  for (std::size_t I = 0; I < m_Requests.size(); ++I)
    at(m_Requests[I].m_At, [this, I] {
      ++m_Result.m_Arrived[m_Requests[I].m_Tier];
      m_Result.m_ArrivedInBurst[m_Requests[I].m_Tier] += isInBurst(I) ? 1 : 0;
      m_Scheduler->requestArrived(I);
    });
  at(m_Requests.back().m_At * 45 / 100,
     [this] { m_Scheduler->loseInstance(3); });
  reportLoads();
  core::Duration End = m_Requests.back().m_At + std::chrono::seconds(180);
  while (!m_Tasks.empty() && m_Tasks.top().m_At <= End) {
    ScheduledTask Next = m_Tasks.top();
    m_Tasks.pop();
    m_Now = Next.m_At;
    Next.m_Function();
  }
  return m_Result;
}

void Simulation::reportLoads() {
  for (std::size_t I = 0; I < EngineCount; ++I)
    m_ReportedLoads[I] = m_Engines[I].load();
  at(m_Now + ReportPeriod, [this] { reportLoads(); });
}

void Simulation::dispatch(std::size_t Index, std::size_t Engine) {
  m_EngineOf[Index] = static_cast<int>(Engine);
  m_Engines[Engine].enqueue(Index, m_Requests[Index]);
  startWaitingRequests(Engine);
}

void Simulation::recordPrefill(std::size_t Engine,
                               const StartedRequest &Started) {
  const Request &Prefilled = m_Requests[Started.m_Request];
  if (Started.m_IsCached)
    return;
  m_Result.m_PrefilledTokens += Prefilled.m_Prefill;
  bool IsCachedElsewhere = false;
  for (std::size_t I = 0; I < EngineCount; ++I)
    IsCachedElsewhere =
        IsCachedElsewhere || (I != Engine && Prefilled.m_Prefix != 0 &&
                              m_Engines[I].hasPrefix(Prefilled.m_Prefix));
  if (IsCachedElsewhere)
    m_Result.m_WastedTokens += Prefilled.m_Prefill;
}

void Simulation::startWaitingRequests(std::size_t Engine) {
  while (auto Next = m_Engines[Engine].startNext(m_Requests)) {
    std::size_t Index = Next->m_Request;
    m_HasStarted[Index] = true;
    recordPrefill(Engine, *Next);
    at(m_Now + Next->m_Prefill, [this, Index] {
      if (m_IsCancelled[Index])
        return;
      const Request &Answered = m_Requests[Index];
      m_Result.m_FirstToken[Answered.m_Tier].push_back(
          core::toSeconds(m_Now - Answered.m_At));
      m_Scheduler->responseStarted(Index);
    });
    at(m_Now + Next->m_Total, [this, Index, Engine] {
      if (!m_IsCancelled[Index])
        finish(Index, Engine);
    });
  }
}

void Simulation::finish(std::size_t Index, std::size_t Engine) {
  const Request &Finished = m_Requests[Index];
  m_Engines[Engine].finishRequest();
  if (m_Now <= Finished.m_At + Finished.m_Deadline) {
    ++m_Result.m_InTime[Finished.m_Tier];
    m_Result.m_InTimeInBurst[Finished.m_Tier] += isInBurst(Index) ? 1 : 0;
  }
  startWaitingRequests(Engine);
  m_Scheduler->responseEnded(Index, false);
}

void Simulation::cancel(std::size_t Index) {
  const Request &Cancelled = m_Requests[Index];
  auto Engine = static_cast<std::size_t>(m_EngineOf[Index]);
  m_IsCancelled[Index] = true;
  ++m_Result.m_Evicted;
  if (!m_Engines[Engine].cancelWaiting(Index, Cancelled)) {
    m_Result.m_WastedTokens += Cancelled.m_Prefill;
    m_Engines[Engine].finishRequest();
    startWaitingRequests(Engine);
  }
  at(m_Now + MessageDelay,
     [this, Index] { m_Scheduler->responseEnded(Index, true); });
}

void Simulation::refuse(std::size_t) { ++m_Result.m_Refused; }

} // namespace yardrill::bench
