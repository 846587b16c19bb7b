//===-- PeerTable.cpp - Live peers and their latest reports ---------------===//
#include "LibGateway/PeerTable.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <iterator>

namespace yardrill::gateway {

/// Time without a report after which a group peer is silent: several lost
/// reports.
static constexpr std::chrono::milliseconds GroupPeerTimeout{700};
static constexpr std::chrono::seconds ScanPeriod{1};
/// Time without a report after which a peer does not count as a follower:
/// followers report to other groups once a second.
static constexpr std::chrono::milliseconds FollowerTimeout{2500};
static constexpr std::size_t MaxPeers = 1024;

PeerTable::PeerTable(const config::Endpoint &Self)
    : m_SelfHash(followerOrder(Self)), m_Directory(MaxPeers, PeerTimeout) {}

std::uint64_t PeerTable::followerOrder(const config::Endpoint &Address) {
  return core::stableHash(Address.toString());
}

std::optional<config::Endpoint> PeerTable::firstFollower() const {
  if (m_Followers.empty())
    return std::nullopt;
  return m_Peers.at(m_Followers.begin()->second).m_Instance.m_Peer;
}

const LivePeer *PeerTable::find(core::IncarnationId Peer) const {
  auto Found = m_Peers.find(Peer);
  return Found == m_Peers.end() ? nullptr : &Found->second;
}

const LivePeer *PeerTable::find(const config::Endpoint &Address) const {
  auto Found = m_ByAddress.find(Address);
  return Found == m_ByAddress.end() ? nullptr : find(Found->second);
}

PeerTable::ReportResult PeerTable::handle(const peer::PeerMessage &Message,
                                          const peer::LoadReport &Report,
                                          core::TimePoint Now,
                                          std::int64_t NowWallSeconds) {
  core::IncarnationId From = Message.m_From.m_Incarnation;
  auto Known = m_Peers.find(From);
  bool IsNew = Known == m_Peers.end() || Known->second.m_IsSilent;
  if (IsNew && !Report.m_IsFull)
    return {}; // A full one follows shortly.
  auto Dropped = m_Directory.accept(Message, Now, NowWallSeconds);
  if (Dropped)
    return {Dropped, false};
  if (Known == m_Peers.end()) {
    // An earlier incarnation at the same address has ended.
    auto Predecessor = m_ByAddress.find(Message.m_From.m_Peer);
    if (Predecessor != m_ByAddress.end())
      remove(Predecessor->second);
    Known = m_Peers.emplace(From, LivePeer()).first;
    LivePeer &Added = Known->second;
    Added.m_Instance = Message.m_From;
    Added.m_AddressHash = followerOrder(Message.m_From.m_Peer);
    m_ByAddress[Message.m_From.m_Peer] = From;
    m_IsFleetChanged = true;
    rebuildGroupPeers();
  }
  Known->second.m_LastSeenAt = Now;
  Known->second.m_IsSilent = false;
  applyReport(Known->second, Report);
  return {std::nullopt, IsNew};
}

void PeerTable::applyReport(LivePeer &Entry, const peer::LoadReport &Report) {
  std::pair<std::uint64_t, core::IncarnationId> FollowerKey(
      Entry.m_AddressHash, Entry.m_Instance.m_Incarnation);
  if (Report.m_IsFull) {
    m_IsFleetChanged =
        m_IsFleetChanged || Entry.m_Report.m_DataHall != Report.m_DataHall;
    Entry.m_Report = Report;
  } else {
    Entry.m_Report = peer::completed(Report, Entry.m_Report);
  }
  if (Report.m_IsStoreConnected)
    m_Followers.insert(FollowerKey);
  else
    m_Followers.erase(FollowerKey);
  m_NewestRevision = std::max(m_NewestRevision, Report.m_StoreRevision);
  m_NewestCompleteRevision =
      std::max(m_NewestCompleteRevision, Report.m_CompleteRevision);
}

std::optional<peer::DropReason>
PeerTable::check(const peer::PeerMessage &Message, core::TimePoint Now,
                 std::int64_t NowWallSeconds) {
  if (m_Peers.count(Message.m_From.m_Incarnation) == 0)
    return std::nullopt;
  return m_Directory.accept(Message, Now, NowWallSeconds);
}

void PeerTable::remove(core::IncarnationId Peer) {
  auto Found = m_Peers.find(Peer);
  if (Found == m_Peers.end())
    return;
  m_Followers.erase({Found->second.m_AddressHash, Peer});
  auto ByAddress = m_ByAddress.find(Found->second.m_Instance.m_Peer);
  if (ByAddress != m_ByAddress.end() && ByAddress->second == Peer)
    m_ByAddress.erase(ByAddress);
  m_Peers.erase(Found);
  m_IsFleetChanged = true;
}

std::vector<LivePeer> PeerTable::expire(core::TimePoint Now) {
  std::vector<LivePeer> SilentPeers;
  for (core::IncarnationId PeerId : m_GroupPeers) {
    LivePeer &Each = m_Peers.at(PeerId);
    if (Each.m_IsSilent || Now - Each.m_LastSeenAt <= GroupPeerTimeout)
      continue;
    SilentPeers.push_back(Each);
    Each.m_IsSilent = true;
    m_Followers.erase({Each.m_AddressHash, PeerId});
  }
  for (auto Each = m_Followers.begin(); Each != m_Followers.end();) {
    bool IsRecent =
        Now - m_Peers.at(Each->second).m_LastSeenAt <= FollowerTimeout;
    Each = IsRecent ? std::next(Each) : m_Followers.erase(Each);
  }
  if (Now - m_LastScanAt <= ScanPeriod)
    return SilentPeers;
  m_LastScanAt = Now;
  for (const peer::KnownPeer &Each : m_Directory.expire(Now)) {
    auto Expired = m_Peers.find(Each.m_Instance.m_Incarnation);
    if (Expired == m_Peers.end())
      continue;
    if (!Expired->second.m_IsSilent)
      SilentPeers.push_back(Expired->second);
    remove(Each.m_Instance.m_Incarnation);
    rebuildGroupPeers();
  }
  return SilentPeers;
}

void PeerTable::setSubset(const routing::FleetSubset &Subset) {
  m_Subset = Subset;
  rebuildGroupPeers();
}

void PeerTable::rebuildGroupPeers() {
  m_GroupPeers.clear();
  for (auto &[Incarnation, Each] : m_Peers) {
    Each.m_IsGroupPeer = m_Subset.isGroupPeer(Each.m_Instance.m_Peer);
    if (Each.m_IsGroupPeer)
      m_GroupPeers.push_back(Incarnation);
  }
}

std::vector<const LivePeer *> PeerTable::groupPeers() const {
  std::vector<const LivePeer *> Out;
  for (core::IncarnationId PeerId : m_GroupPeers) {
    const LivePeer &Each = m_Peers.at(PeerId);
    if (!Each.m_IsSilent)
      Out.push_back(&Each);
  }
  return Out;
}

bool PeerTable::consumeFleetChange() {
  bool Out = m_IsFleetChanged;
  m_IsFleetChanged = false;
  return Out;
}

std::size_t PeerTable::followersBefore() const {
  auto End = m_Followers.lower_bound({m_SelfHash, core::IncarnationId()});
  return static_cast<std::size_t>(std::distance(m_Followers.begin(), End));
}

} // namespace yardrill::gateway
