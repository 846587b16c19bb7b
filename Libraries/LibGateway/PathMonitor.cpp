//===-- PathMonitor.cpp - Finds out that the path to a pool is lost -------===//
#include "LibGateway/PathMonitor.h"

#include "LibCore/Log.h"

#include <boost/asio/detached.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;
using routing::PathState;

/// Silence of all targets of a pool after which a path is checked, if requests
/// wait at one target only. Several silent targets are suspicious sooner.
static constexpr std::chrono::seconds MaxSilenceOfOne{1};
/// Targets that are connected to at once when a path is suspected to be lost.
static constexpr std::size_t MaxChecks = 3;
/// Minimum time between two suspicions of the same pool.
static constexpr std::chrono::seconds SuspicionPeriod{1};

PathMonitor::PathMonitor(asio::io_context &Context, PathMonitorHooks Hooks)
    : m_Context(Context), m_Hooks(std::move(Hooks)),
      m_Paths([this](const core::PoolName &Pool, PathState State) {
        core::LogLine("path-changed", core::LogLevel::Warning)
            .add("pool", Pool)
            .add("state", routing::toString(State))
            .add("targets", m_Hooks.m_Targets(Pool).size());
        m_Hooks.m_Changed(Pool, State);
      }) {}

void PathMonitor::noteConnectFailure(const routing::Target &Failed,
                                     core::TimePoint BegunAt,
                                     core::TimePoint Now) {
  m_Paths.recordConnectFailure(Failed, m_Hooks.m_Targets(Failed.m_Pool).size(),
                               BegunAt, Now);
}

bool PathMonitor::isSuspect(const core::PoolName &Pool,
                            const SilentRequests *Silent,
                            core::TimePoint Now) const {
  core::Duration SinceHeard = Now - m_Paths.heardAt(Pool);
  if (SinceHeard < MinSilence)
    return false;
  // Whatever cuts this instance off from one pool may do so from all.
  if (!m_Paths.areAllOpen())
    return true;
  if (!Silent)
    return false;
  return Silent->m_Targets.size() > 1 ||
         (Silent->m_Longest >= MaxSilenceOfOne &&
          SinceHeard >= MaxSilenceOfOne);
}

void PathMonitor::upkeep(const std::map<core::PoolName, SilentRequests> &Silent,
                         core::TimePoint Now) {
  if (m_Paths.areAllOpen() && Silent.empty())
    return;
  m_Paths.removeExpired(Now);
  for (const core::PoolName &Pool : m_Hooks.m_Pools()) {
    if (m_Paths.stateOf(Pool) != PathState::Open) {
      startChecks(Pool, 1, Now);
      continue;
    }
    auto Found = Silent.find(Pool);
    if (isSuspect(Pool, Found == Silent.end() ? nullptr : &Found->second,
                  Now) &&
        Now - m_Checks[Pool].m_LastAt >= SuspicionPeriod)
      startChecks(Pool, MaxChecks, Now);
  }
}

void PathMonitor::startChecks(const core::PoolName &Pool, std::size_t Count,
                              core::TimePoint Now) {
  std::vector<routing::Target> Targets = m_Hooks.m_Targets(Pool);
  PoolChecks &Checks = m_Checks[Pool];
  Checks.m_LastAt = Now;
  for (std::size_t I = 0; I < std::min(Count, Targets.size()); ++I) {
    routing::Target Next = Targets[Checks.m_Next++ % Targets.size()];
    if (!m_Checking.insert(Next.m_Name).second)
      continue;
    asio::spawn(
        m_Context,
        [this, Next](asio::yield_context Yield) { check(Next, Yield); },
        asio::detached);
  }
}

void PathMonitor::check(const routing::Target &Checked,
                        asio::yield_context Yield) {
  core::TimePoint BegunAt = core::steadyNow();
  bool IsConnected = m_Hooks.m_Connect(Checked, Yield);
  core::TimePoint Now = core::steadyNow();
  m_Checking.erase(Checked.m_Name);
  if (IsConnected)
    m_Paths.recordConnected(Checked.m_Pool, Now);
  else
    noteConnectFailure(Checked, BegunAt, Now);
}

} // namespace yardrill::gateway
