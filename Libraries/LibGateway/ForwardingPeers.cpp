#include "LibGateway/ForwardingPeers.h"

#include "LibRouting/TierDemand.h"

#include <algorithm>

namespace yardrill::gateway {

/// Time for which a peer that failed is not chosen.
static constexpr std::chrono::milliseconds ExclusionTime{500};
/// Requests by which a peer in another data hall counts as more loaded, since
/// traffic between data halls is billed.
static constexpr double OtherHallLoad = 2;
/// Requests by which a peer counts as more loaded while requests wait there.
static constexpr double WaitingLoad = 8;

bool ForwardingPeers::isInRegions(
    const core::DataHallName &Hall,
    const routing::AllowedRegions &Allowed) const {
  if (!Allowed || Hall == m_LocalDataHall)
    return true;
  auto Region = m_RegionOfHall.find(Hall);
  if (Region == m_RegionOfHall.end())
    return false;
  auto Local = m_RegionOfHall.find(m_LocalDataHall);
  bool IsLocal =
      Local != m_RegionOfHall.end() && Local->second == Region->second;
  return IsLocal || Allowed->count(Region->second) != 0;
}

bool ForwardingPeers::isCandidate(const LivePeer &Peer,
                                  const core::PoolName &Pool,
                                  const routing::AllowedRegions &Allowed,
                                  const std::set<config::Endpoint> &Tried,
                                  core::TimePoint Now) {
  const peer::LoadReport &Report = Peer.m_Report;
  const config::Endpoint &Address = Peer.m_Instance.m_Peer;
  if (Peer.m_IsSilent || Report.m_IsStopping || Report.m_StoreRevision == 0 ||
      Tried.count(Address) != 0 || !isInRegions(Report.m_DataHall, Allowed))
    return false;
  const auto &Lost = Report.m_LostPools;
  if (std::find(Lost.begin(), Lost.end(), routing::hashOf(Pool)) != Lost.end())
    return false;
  auto Excluded = m_ExcludedUntil.find(Address);
  if (Excluded == m_ExcludedUntil.end())
    return true;
  if (Now < Excluded->second)
    return false;
  m_ExcludedUntil.erase(Excluded);
  return true;
}

std::vector<const LivePeer *> ForwardingPeers::candidates(
    const core::PoolName &Pool, const routing::AllowedRegions &Allowed,
    const std::set<config::Endpoint> &Tried, core::TimePoint Now) {
  std::vector<const LivePeer *> Out;
  if (m_OpenCount >= MaxOpen)
    return Out;
  for (const LivePeer *Each : m_Peers().groupPeers())
    if (isCandidate(*Each, Pool, Allowed, Tried, Now))
      Out.push_back(Each);
  if (!Out.empty())
    return Out;
  for (const auto &[Incarnation, Each] : m_Peers().all())
    if (isCandidate(Each, Pool, Allowed, Tried, Now))
      Out.push_back(&Each);
  return Out;
}

double ForwardingPeers::loadOf(const LivePeer &Peer) const {
  double Out = 0;
  for (const peer::TargetLoadEntry &Each : Peer.m_Report.m_Targets)
    Out += Each.m_Running;
  auto Open = m_Open.find(Peer.m_Instance.m_Peer);
  if (Open != m_Open.end())
    Out += static_cast<double>(Open->second);
  if (Peer.m_Report.m_DataHall != m_LocalDataHall)
    Out += OtherHallLoad;
  if (Peer.m_Report.m_HasWaitingRequests)
    Out += WaitingLoad;
  return Out;
}

std::optional<config::Endpoint> ForwardingPeers::choose(
    const core::PoolName &Pool, const routing::AllowedRegions &Allowed,
    const std::set<config::Endpoint> &Tried, core::TimePoint Now) {
  std::vector<const LivePeer *> From = candidates(Pool, Allowed, Tried, Now);
  if (From.empty())
    return std::nullopt;
  // The best of all would get the requests of all instances that are cut off.
  std::uniform_int_distribution<std::size_t> Draw(0, From.size() - 1);
  const LivePeer *First = From[Draw(m_Random)];
  const LivePeer *Second = From[Draw(m_Random)];
  return (loadOf(*Second) < loadOf(*First) ? Second : First)->m_Instance.m_Peer;
}

bool ForwardingPeers::hasPeer(const core::PoolName &Pool,
                              const routing::AllowedRegions &Allowed,
                              core::TimePoint Now) {
  return !candidates(Pool, Allowed, {}, Now).empty();
}

void ForwardingPeers::recordStart(const config::Endpoint &Peer) {
  ++m_Open[Peer];
  ++m_OpenCount;
}

void ForwardingPeers::recordEnd(const config::Endpoint &Peer) {
  --m_OpenCount;
  auto Found = m_Open.find(Peer);
  if (--Found->second == 0)
    m_Open.erase(Found);
}

void ForwardingPeers::recordFailure(const config::Endpoint &Peer,
                                    core::TimePoint Now) {
  m_ExcludedUntil[Peer] = Now + ExclusionTime;
}

} // namespace yardrill::gateway
