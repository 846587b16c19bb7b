//===-- PeerExchange.cpp - What instances report to each other ------------===//
#include "LibGateway/PeerExchange.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

static constexpr std::chrono::seconds ReportedLiveTimeout{10};
/// Time after the start in which a process finds its peers.
static constexpr std::chrono::seconds DiscoveryTime{3};
static constexpr std::size_t MaxHintedPeers = 64;

PeerExchange::PeerExchange(decision::InstanceRef Self,
                           const GatewaySettings &Settings,
                           platform::StoreMirror &Mirror,
                           PeerExchangeHooks Hooks, core::TimePoint Now,
                           std::uint64_t Seed)
    : m_Self(std::move(Self)), m_Settings(Settings), m_Mirror(Mirror),
      m_Hooks(std::move(Hooks)), m_Peers(Settings.m_PeerAddress),
      m_News(
          Mirror,
          [this](const std::vector<config::Endpoint> &To,
                 const peer::PeerBody &Body) {
            if (!To.empty())
              m_Hooks.m_Send(To, Body);
          },
          Seed),
      m_StartedAt(Now), m_Now(Now), m_Random(Seed) {}

void PeerExchange::start() {
  for (const config::Endpoint &Seed : m_Settings.m_Seeds)
    if (!(Seed == m_Settings.m_PeerAddress))
      m_HintedPeers.insert(Seed);
  // Peers respond at once if they can supply this instance with state.
  m_Hooks.m_Defer([this] {
    sendReport({m_HintedPeers.begin(), m_HintedPeers.end()}, true);
  });
}

bool PeerExchange::hasPeerWithState() const {
  const auto &All = m_Peers.all();
  return std::any_of(All.begin(), All.end(), [](const auto &Each) {
    const peer::LoadReport &Report = Each.second.m_Report;
    return !Each.second.m_IsSilent && !Report.m_IsStopping &&
           Report.m_StoreRevision > 0;
  });
}

bool PeerExchange::canSupplyState(const peer::LoadReport &Report) const {
  return Report.m_StoreRevision == 0 &&
         m_Mirror.revision() != platform::Revision();
}

std::optional<peer::DropReason>
PeerExchange::handle(const peer::PeerMessage &Message, core::TimePoint Now,
                     std::int64_t NowWallSeconds) {
  m_Now = Now;
  if (Message.m_From == m_Self)
    return std::nullopt;
  const auto *Report = std::get_if<peer::LoadReport>(&Message.m_Body);
  if (!Report)
    return handleOther(Message, Now, NowWallSeconds);
  PeerTable::ReportResult Result =
      m_Peers.handle(Message, *Report, Now, NowWallSeconds);
  if (Result.m_Dropped)
    return Result.m_Dropped;
  addHintedPeers(*Report);
  noteFollowers(Report->m_Followers);
  if (Result.m_IsNew) {
    m_HintedPeers.erase(Message.m_From.m_Peer);
    m_Missing.remove(Message.m_From.m_Peer);
    greetPeer(Message.m_From.m_Peer, *Report);
  } else if (canSupplyState(*Report)) {
    sendReport({Message.m_From.m_Peer}, true);
  }
  // notifyIfChanged() calls the hook once for several reports, which are more
  // frequent than requests.
  m_IsChanged = true;
  return std::nullopt;
}

std::optional<peer::DropReason>
PeerExchange::handleOther(const peer::PeerMessage &Message, core::TimePoint Now,
                          std::int64_t NowWallSeconds) {
  auto Dropped = m_Peers.check(Message, Now, NowWallSeconds);
  if (Dropped)
    return Dropped;
  if (const auto *News = std::get_if<peer::StoreNews>(&Message.m_Body))
    handle(Message.m_From.m_Peer, *News, Now);
  else if (const auto *Heartbeat =
               std::get_if<peer::FollowerHeartbeat>(&Message.m_Body))
    handle(Message.m_From.m_Peer, *Heartbeat, Now);
  else if (const auto *Status = std::get_if<peer::GroupStatus>(&Message.m_Body))
    for (const config::Endpoint &Each : Status->m_LiveMembers)
      m_ReportedLive[Each] = Now;
  else
    m_Hooks.m_MessageReceived(Message);
  return std::nullopt;
}

void PeerExchange::handle(const config::Endpoint &From,
                          const peer::StoreNews &News, core::TimePoint Now) {
  m_Peers.noteRevision(News.m_StoreRevision, News.m_CompleteRevision);
  try {
    m_News.handle(From, News, Now);
  } catch (const core::Error &Failure) {
    core::LogLine("store-news-unreadable", core::LogLevel::Warning)
        .add("peer", From.toString())
        .add("revision", News.m_StoreRevision)
        .add("reason", Failure.what());
  }
}

void PeerExchange::handle(const config::Endpoint &From,
                          const peer::FollowerHeartbeat &Heartbeat,
                          core::TimePoint Now) {
  noteFollowers(Heartbeat.m_Followers);
  m_Peers.noteRevision(Heartbeat.m_StoreRevision, Heartbeat.m_CompleteRevision);
  m_News.noteSource(From, platform::Revision(Heartbeat.m_StoreRevision),
                    platform::Revision(Heartbeat.m_CompleteRevision), Now);
  m_News.passHeartbeat(Heartbeat.m_Scope, followerSightings());
}

void PeerExchange::noteFollowers(
    const std::vector<peer::FollowerSighting> &Followers) {
  for (const peer::FollowerSighting &Each : Followers) {
    auto Known = m_ByOrder.find(Each.m_Order);
    if (Known != m_ByOrder.end())
      m_Peers.noteFollower(Known->second,
                           m_Now - std::chrono::milliseconds(Each.m_AgeMs));
  }
}

void PeerExchange::addHintedPeers(const peer::LoadReport &Report) {
  // The record names all instances.
  if (!m_Recorded.empty())
    return;
  for (const decision::InstanceRef &Other : Report.m_RecentPeers)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_HintedPeers.size() < MaxHintedPeers && !m_Peers.isKnown(Other.m_Peer))
      m_HintedPeers.insert(Other.m_Peer);
}

void PeerExchange::notifyIfChanged() {
  if (!m_IsChanged)
    return;
  m_IsChanged = false;
  m_Hooks.m_Changed();
}

void PeerExchange::setRecorded(FleetMembers Instances) {
  m_Recorded = std::move(Instances);
  m_IsMembershipChanged = true;
  if (!m_Recorded.empty())
    m_HintedPeers.clear();
}

void PeerExchange::repartition() {
  bool IsChanged = m_Peers.consumeFleetChange();
  if (!IsChanged && !m_IsMembershipChanged &&
      desiredGroupSize() == m_MaxGroupMembers)
    return;
  m_IsMembershipChanged = false;
  // Live instances may not be recorded yet.
  routing::FleetSubset::Fleet Fleet = liveInstances();
  Fleet.insert(m_Recorded.begin(), m_Recorded.end());
  bool IsSameFleet = Fleet == m_Fleet;
  m_Fleet = std::move(Fleet);
  if (IsSameFleet && desiredGroupSize() == m_MaxGroupMembers)
    return;
  m_MaxGroupMembers = desiredGroupSize();
  m_Subset = routing::FleetSubset(m_Settings.m_PeerAddress, m_Fleet,
                                  m_MaxGroupMembers);
  m_Peers.setSubset(m_Subset);
  rebuildPeerLists();
  core::LogLine("fleet-cut")
      .add("instances", m_Fleet.size())
      .add("groups", m_Subset.groupCount())
      .add("near", m_Subset.groupMembers().size());
  m_Hooks.m_Repartitioned(m_Subset);
}

std::size_t PeerExchange::desiredGroupSize() const {
  if (m_Settings.m_GroupSize != 0)
    return m_Settings.m_GroupSize;
  return routing::FleetSubset::groupSizeFor(m_Fleet.size(),
                                            m_Hooks.m_LargestPoolSize());
}

void PeerExchange::rebuildPeerLists() {
  std::uint64_t Own = PeerTable::followerOrder(m_Settings.m_PeerAddress);
  std::size_t Rank = 0;
  m_GroupAddresses.assign(m_Subset.groupMembers().begin(),
                          m_Subset.groupMembers().end());
  m_OtherGroupAddresses.clear();
  m_ByOrder.clear();
  for (const auto &[Address, Hall] : m_Fleet) {
    std::uint64_t Order = PeerTable::followerOrder(Address);
    m_ByOrder.emplace(Order, Address);
    Rank += Order < Own ? 1 : 0;
    if (!(Address == m_Settings.m_PeerAddress) &&
        !m_Subset.isGroupPeer(Address))
      m_OtherGroupAddresses.push_back(Address);
  }
  m_OtherGroupRotation.setSize(m_OtherGroupAddresses.size());
  m_News.setSubset(m_Subset);
  m_FollowerSelection.setRank(Rank);
}

bool PeerExchange::mustFollowStore() const {
  return m_Subset.groupCount() == 1 || m_FollowerSelection.isSelected();
}

std::size_t PeerExchange::missingCount() const {
  const auto &All = m_Missing.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [this](const auto &Each) {
        return m_Subset.groupCount() == 1 || m_Subset.isGroupPeer(Each.first);
      }));
}

bool PeerExchange::isStoreReachable() const {
  return m_LastReport.m_IsStoreConnected || m_Peers.followerCount() > 0;
}

bool PeerExchange::isListConfirmed() const {
  return isStoreReachable() ||
         m_Peers.groupPeers().size() * 2 >= m_GroupAddresses.size();
}

bool PeerExchange::isDiscoveryDone(core::TimePoint Now) const {
  return Now - m_StartedAt > DiscoveryTime;
}

FleetMembers PeerExchange::liveInstances() const {
  FleetMembers Out{{m_Settings.m_PeerAddress, m_Settings.m_DataHall}};
  for (const auto &[Incarnation, Each] : m_Peers.all())
    Out[Each.m_Instance.m_Peer] = Each.m_Report.m_DataHall;
  // Other groups name recorded instances only.
  for (const auto &[Address, ReportedAt] : m_ReportedLive) {
    auto Known = m_Recorded.find(Address);
    if (Known != m_Recorded.end())
      Out.insert(*Known);
  }
  return Out;
}

std::vector<config::Endpoint> PeerExchange::otherInstances() const {
  FleetMembers All = liveInstances();
  All.insert(m_Recorded.begin(), m_Recorded.end());
  All.erase(m_Settings.m_PeerAddress);
  std::vector<config::Endpoint> Out;
  for (const auto &[Address, Hall] : All)
    Out.push_back(Address);
  return Out;
}

std::size_t PeerExchange::activeInstanceCount() const {
  return std::max(m_Fleet.size(), 1 + m_Missing.all().size());
}

void PeerExchange::expire(core::TimePoint Now) {
  std::vector<LivePeer> SilentPeers = m_Peers.expire(Now);
  for (const LivePeer &LostPeer : SilentPeers)
    handleSilentPeer(LostPeer, Now);
  if (isStoreReachable())
    m_Missing.forgetOld(Now);
  for (auto Each = m_ReportedLive.begin(); Each != m_ReportedLive.end();)
    Each = Now - Each->second > ReportedLiveTimeout ? m_ReportedLive.erase(Each)
                                                    : std::next(Each);
  m_IsChanged = m_IsChanged || !SilentPeers.empty();
}

void PeerExchange::handleSilentPeer(const LivePeer &LostPeer,
                                    core::TimePoint Now) {
  // With a recorded membership, peers of other groups report only rarely, and
  // their silence is not a loss.
  if (!m_Recorded.empty() && !LostPeer.m_IsGroupPeer)
    return;
  bool HasStopped = LostPeer.m_Report.m_IsStopping;
  if (!HasStopped)
    m_Missing.add(LostPeer.m_Instance.m_Peer, Now);
  core::LogLine("peer-lost", core::LogLevel::Warning)
      .add("peer", LostPeer.m_Report.m_Name)
      .add("address", LostPeer.m_Instance.m_Peer.toString())
      .add("has_stopped", HasStopped);
}

bool PeerExchange::isBehind() const {
  return m_Mirror.revision().value() < m_Peers.newestRevision() ||
         m_Mirror.completeRevision().value() < m_Peers.newestCompleteRevision();
}

std::vector<FetchCandidate>
PeerExchange::peersAhead(core::TimePoint Now) const {
  std::vector<FetchCandidate> Out;
  if (auto Source = m_News.source(Now))
    Out.push_back(*Source);
  for (const auto &[Incarnation, Each] : m_Peers.all()) {
    platform::Revision Known(Each.m_Report.m_StoreRevision);
    platform::Revision Complete(Each.m_Report.m_CompleteRevision);
    bool IsAhead =
        m_Mirror.revision() < Known || m_Mirror.completeRevision() < Complete;
    if (IsAhead && !Each.m_IsSilent)
      Out.push_back({Each.m_Instance.m_Peer, Known, Complete,
                     Each.m_Report.m_DataHall == m_Settings.m_DataHall});
  }
  return Out;
}

} // namespace yardrill::gateway
