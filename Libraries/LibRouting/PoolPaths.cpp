#include "LibRouting/PoolPaths.h"

#include <algorithm>

namespace yardrill::routing {

/// Number of targets at which connecting must have failed: one or two may be
/// down at the same time without anything being wrong here.
static constexpr std::size_t MinFailedTargets = 3;
/// Time after which a failure no longer counts.
static constexpr std::chrono::seconds FailureMemory{3};

const char *toString(PathState State) {
  switch (State) {
  case PathState::Open:
    return "open";
  case PathState::NoNewConnections:
    return "no-new-connections";
  case PathState::Lost:
    return "lost";
  }
  return "unknown";
}

void PoolPaths::recordHeard(const core::PoolName &Pool, core::TimePoint Now) {
  m_HeardAt[Pool] = Now;
  if (!m_Impaired.empty())
    update(Pool);
}

void PoolPaths::recordConnected(const core::PoolName &Pool,
                                core::TimePoint Now) {
  m_ConnectedAt[Pool] = Now;
  if (m_Failures.erase(Pool) != 0)
    update(Pool);
}

void PoolPaths::recordConnectFailure(const Target &Failed,
                                     std::size_t PoolTargets,
                                     core::TimePoint BegunAt,
                                     core::TimePoint Now) {
  auto Connected = m_ConnectedAt.find(Failed.m_Pool);
  if (Connected != m_ConnectedAt.end() && BegunAt <= Connected->second)
    return;
  FailedConnects &Failures = m_Failures[Failed.m_Pool];
  removeExpired(Failures, Now);
  Failures.m_At[Failed.m_Name] = Now;
  Failures.m_PoolTargets = PoolTargets;
  update(Failed.m_Pool);
}

void PoolPaths::removeExpired(core::TimePoint Now) {
  for (auto Each = m_Failures.begin(); Each != m_Failures.end();) {
    core::PoolName Pool = Each->first;
    removeExpired(Each->second, Now);
    Each = Each->second.m_At.empty() ? m_Failures.erase(Each) : std::next(Each);
    update(Pool);
  }
}

void PoolPaths::removeExpired(FailedConnects &Failures, core::TimePoint Now) {
  auto &At = Failures.m_At;
  for (auto Each = At.begin(); Each != At.end();)
    Each =
        Now - Each->second > FailureMemory ? At.erase(Each) : std::next(Each);
}

PathState PoolPaths::judge(const core::PoolName &Pool) const {
  auto Found = m_Failures.find(Pool);
  if (Found == m_Failures.end())
    return PathState::Open;
  const FailedConnects &Failures = Found->second;
  std::size_t Needed = std::min(MinFailedTargets, Failures.m_PoolTargets);
  if (Failures.m_At.size() < std::max<std::size_t>(1, Needed))
    return PathState::Open;
  auto First = std::min_element(
      Failures.m_At.begin(), Failures.m_At.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return heardAt(Pool) < First->second ? PathState::Lost
                                       : PathState::NoNewConnections;
}

void PoolPaths::update(const core::PoolName &Pool) {
  PathState State = judge(Pool);
  if (State == stateOf(Pool))
    return;
  if (State == PathState::Open)
    m_Impaired.erase(Pool);
  else
    m_Impaired[Pool] = State;
  m_OnChange(Pool, State);
}

PathState PoolPaths::stateOf(const core::PoolName &Pool) const {
  if (m_Impaired.empty())
    return PathState::Open;
  auto Found = m_Impaired.find(Pool);
  return Found == m_Impaired.end() ? PathState::Open : Found->second;
}

std::vector<core::PoolName> PoolPaths::impairedPools() const {
  std::vector<core::PoolName> Out;
  for (const auto &[Pool, State] : m_Impaired)
    Out.push_back(Pool);
  return Out;
}

core::TimePoint PoolPaths::heardAt(const core::PoolName &Pool) const {
  auto Found = m_HeardAt.find(Pool);
  return Found == m_HeardAt.end() ? core::TimePoint() : Found->second;
}

} // namespace yardrill::routing
