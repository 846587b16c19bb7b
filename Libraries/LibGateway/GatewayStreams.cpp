//===-- GatewayStreams.cpp - Versions at which streams may go on ----------===//
#include "LibGateway/Gateway.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Lower bound of the time for which a target is announced: it states that it
/// leaves some seconds before it does, and an announcement lapses after three
/// missed heartbeats.
static constexpr std::chrono::seconds MinAnnouncementTime{2};

void Gateway::updateStreamRetention() {
  for (const auto &[Host, Routes] : m_Table->routesByHost())
    for (const routing::Route &Each : Routes)
      if (Each.m_IsResumable)
        m_StreamRetention =
            std::max(m_StreamRetention, Each.m_Timeout + StreamReturnTime);
  m_Targets.setVersionRetention(m_StreamRetention);
}

bool Gateway::hasVersionHistory(core::TimePoint Now) const {
  return !m_VersionsKnownSince ||
         Now - *m_VersionsKnownSince >= m_StreamRetention;
}

void Gateway::noteSkippedChanges(const std::string &Key) {
  core::TimePoint Now = core::steadyNow();
  platform::Entry Skipped;
  Skipped.m_Key = Key;
  if (!Key.empty() && !m_Wire.targetOf(Skipped))
    return;
  // A whole snapshot: no target comes and goes within that time.
  if (Key.empty() && m_Follower.heardAt() &&
      Now - *m_Follower.heardAt() < MinAnnouncementTime)
    return;
  m_VersionsKnownSince = Now;
}

std::optional<core::TargetVersion>
Gateway::onlyVersionOf(const StreamRoute &Route) const {
  core::TimePoint Now = core::steadyNow();
  if (!hasVersionHistory(Now) ||
      !m_RouteHistory.hasLedTo(Route.m_Route, Route.m_Pool, m_StreamRetention,
                               Now))
    return std::nullopt;
  return m_Targets.versions().onlyVersion(Route.m_Pool);
}

StreamOriginHooks Gateway::streamOriginHooks() {
  StreamOriginHooks Out;
  Out.m_Send = [this](const std::vector<config::Endpoint> &To,
                      const peer::PeerBody &Body) { m_Peers->send(To, Body); };
  Out.m_OnlyVersion = [this](const StreamRoute &Route) {
    return onlyVersionOf(Route);
  };
  Out.m_IsUpToDate = [this] { return m_Peers->isStoreReachable(); };
  Out.m_ConfirmOnlyVersion =
      [this](const StreamRoute &Route,
             const StreamOriginHooks::VersionCallback &Confirmed) {
        if (!onlyVersionOf(Route))
          return Confirmed(std::nullopt, core::steadyNow());
        asio::spawn(
            m_Context,
            [this, Route, Confirmed](asio::yield_context Yield) {
              bool IsFresh = m_Freshness.confirm(Yield);
              Confirmed(IsFresh ? onlyVersionOf(Route) : std::nullopt,
                        core::steadyNow());
            },
            asio::detached);
      };
  return Out;
}

bool Gateway::isKnownSilent(const config::Endpoint &Instance) const {
  const LivePeer *Found = m_Peers->peers().find(Instance);
  return Found && (Found->m_IsSilent || Found->m_Report.m_IsStopping);
}

} // namespace yardrill::gateway
