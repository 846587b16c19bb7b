#include "LibGateway/TargetExitDetector.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Time within which evidence of an exit arrives, if any does: three missed
/// heartbeats and the delay of the store's update.
static constexpr std::chrono::seconds ExitNoticeTimeout{6};

void TargetExitDetector::noteBrokenResponse(
    const routing::Target &Target,
    const std::vector<quarantine::ContentDigest> &Contents,
    asio::yield_context Yield) {
  auto [It, IsNew] = m_BrokenResponses.try_emplace(Target.incarnation());
  if (IsNew)
    It->second = std::make_shared<BrokenResponses>(m_Context, Target);
  // Kept alive while this coroutine waits, since upkeep() may erase the entry.
  BrokenResponsesHandle Broken = It->second;
  Broken->m_Contents.insert(Broken->m_Contents.end(), Contents.begin(),
                            Contents.end());
  Broken->m_LastBrokenAt = core::steadyNow();
  if (Broken->m_HasExited)
    return reportExit(*Broken);
  if (!Broken->m_IsProbing)
    return probe(Broken, Yield);
  boost::system::error_code Ignored;
  Broken->m_ProbeDone.async_wait(Yield[Ignored]);
}

void TargetExitDetector::probe(const BrokenResponsesHandle &Broken,
                               asio::yield_context Yield) {
  Broken->m_IsProbing = true;
  Broken->m_ProbeDone.expires_at(core::Timer::time_point::max());
  ProbeResult Result = m_Hooks.m_Probe(Broken->m_Target, Yield);
  Broken->m_IsProbing = false;
  if (Result == ProbeResult::Gone)
    Broken->m_HasExited = true;
  // The target outlived these requests, so they did not cause a later exit.
  if (Result == ProbeResult::Listens)
    Broken->m_Contents.clear();
  if (Broken->m_HasExited)
    reportExit(*Broken);
  Broken->m_ProbeDone.cancel();
}

bool TargetExitDetector::hasBrokenResponses(
    const routing::TargetIncarnation &Incarnation) const {
  auto Found = m_BrokenResponses.find(Incarnation);
  return Found != m_BrokenResponses.end() && !Found->second->m_Contents.empty();
}

void TargetExitDetector::noteTargetExit(
    const routing::TargetIncarnation &Incarnation) {
  auto Found = m_BrokenResponses.find(Incarnation);
  if (Found == m_BrokenResponses.end())
    return;
  Found->second->m_HasExited = true;
  reportExit(*Found->second);
}

void TargetExitDetector::reportExit(BrokenResponses &Broken) {
  std::vector<quarantine::ContentDigest> Contents;
  Contents.swap(Broken.m_Contents);
  if (!Contents.empty())
    m_Hooks.m_ReportExit(Broken.m_Target, Contents);
}

void TargetExitDetector::upkeep(core::TimePoint Now) {
  for (auto Each = m_BrokenResponses.begin();
       Each != m_BrokenResponses.end();) {
    bool IsOld = Now - Each->second->m_LastBrokenAt > ExitNoticeTimeout;
    Each = IsOld ? m_BrokenResponses.erase(Each) : std::next(Each);
  }
}

} // namespace yardrill::gateway
