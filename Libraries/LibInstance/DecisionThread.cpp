#include "LibInstance/DecisionThread.h"

#include "LibCore/Error.h"

#include <boost/asio/post.hpp>

namespace yardrill::instance {

static const std::chrono::milliseconds TickPeriod(50);
static const std::chrono::milliseconds StatusPeriod(200);

DecisionThread::DecisionThread(std::size_t QueueCapacity,
                               const std::string &TraceFile)
    : m_Thread("decision"), m_Events(QueueCapacity, m_Thread.makeWaker([this] {
        m_Events.drain([this](const decision::Event &NewEvent) {
          handle(NewEvent, core::steadyNow());
        });
      })),
      m_Timers(m_Thread.context()) {
  if (TraceFile.empty())
    return;
  m_TraceStream.open(TraceFile, std::ios::trunc);
  if (!m_TraceStream)
    throw core::Error(core::ErrorKind::Settings,
                      "cannot write trace file " + TraceFile);
  m_Trace.emplace(m_TraceStream);
}

DecisionThread::~DecisionThread() { stop(); }

void DecisionThread::start(const decision::InstanceStarted &StartEvent) {
  push(StartEvent);
  m_Timers.subscribe(TickPeriod, [this](core::TimePoint Now) {
    handle(decision::TimePassed{}, Now);
  });
  m_Timers.subscribe(StatusPeriod,
                     [this](core::TimePoint Now) { publishStatus(Now); });
  m_Thread.start();
}

void DecisionThread::push(const decision::Event &NewEvent) {
  m_Events.push(NewEvent);
}

void DecisionThread::handle(const decision::Event &NewEvent,
                            core::TimePoint Now) {
  std::vector<decision::Action> Actions = m_Core.handle(NewEvent, Now);
  // An exception here is a bug. EventLoopThread logs it as duty-failure, which
  // fails the tests.
  if (m_Trace)
    m_Trace->write(NewEvent, Now, Actions);
  for (decision::Action &Next : Actions)
    m_Sink(std::move(Next));
}

static PoolStatus statusOf(const core::PoolName &Name,
                           const decision::PoolScheduler &Pool,
                           core::TimePoint Now) {
  PoolStatus Out;
  Out.m_Name = Name;
  Out.m_Queued = Pool.queued();
  Out.m_Running = Pool.running();
  Out.m_Threshold = Pool.member().threshold();
  Out.m_IsLeader = Pool.isLeader();
  Out.m_LeaderPhase = Pool.leaderPhase();
  Out.m_HasShedPermit = Now < Pool.member().shedPermitUntil();
  for (const auto &[TargetName, State] : Pool.targets().all())
    Out.m_Targets.push_back({TargetName, State.m_Target.m_Address,
                             State.m_Running, State.takesNewWork(Now),
                             State.m_DecodeRate});
  return Out;
}

void DecisionThread::publishStatus(core::TimePoint Now) {
  DecisionStatus Next;
  Next.m_OpenRequests = m_Core.openRequests();
  Next.m_Identities = m_Core.identities();
  Next.m_PolicyFailures = m_Core.policyFailures();
  for (const auto &[Name, Pool] : m_Core.pools())
    Next.m_Pools.push_back(statusOf(Name, *Pool, Now));
  std::lock_guard<std::mutex> Lock(m_StatusMutex);
  m_Status = std::move(Next);
}

DecisionStatus DecisionThread::status() const {
  std::lock_guard<std::mutex> Lock(m_StatusMutex);
  return m_Status;
}

} // namespace yardrill::instance
