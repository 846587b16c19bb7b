//===-- PeerExchangeReports.cpp - Load reports and their receivers --------===//
#include "LibGateway/PeerExchange.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

/// Period of full reports, which are also sent to addresses that have not
/// responded.
static constexpr std::chrono::milliseconds FullReportPeriod{250};
/// Without a recorded membership, every peer of another group gets a full
/// report within this number of periods, so that all instances find each other.
static constexpr std::size_t DiscoveryRounds = 10;
/// Period of full reports if news spreads along the tree: each is a heartbeat,
/// and changed loads are reported at once.
static constexpr std::chrono::seconds HeartbeatPeriod{1};
/// Period in which each follower tells all groups of itself and of its
/// revision. Groups that missed news learn of it so.
static constexpr std::chrono::milliseconds FollowerHeartbeatPeriod{500};
/// Number of heartbeats between two reports to the record writer, which counts
/// an instance as live for 10 s after the last one that names it.
static constexpr std::size_t WriterRounds = 3;
/// Average number of peers per group to which a follower reports a new revision
/// at once; these fetch it and report it within their groups.
static constexpr std::size_t ReceiversPerGroup = 2;
/// Period of reports in a fleet of several groups; longer, since each report
/// costs processor time at every receiver.
static constexpr std::chrono::milliseconds LargeFleetPeriod{100};
static constexpr std::size_t MaxHintsInReport = 3;
/// Keeps a report within one datagram.
static constexpr std::size_t MaxTargetsInReport = 60;

void PeerExchange::setStopping() {
  m_IsStopping = true;
  std::vector<config::Endpoint> To = m_GroupAddresses;
  for (const auto &[Incarnation, Each] : m_Peers.all())
    if (!Each.m_IsGroupPeer)
      To.push_back(Each.m_Instance.m_Peer);
  sendReport(To, true);
}

void PeerExchange::greetPeer(const config::Endpoint &Peer,
                             const peer::LoadReport &Report) {
  if (!m_Recorded.empty() && !m_Subset.isGroupPeer(Peer) &&
      !canSupplyState(Report))
    return;
  core::LogLine("peer-found")
      .add("peer", Report.m_Name)
      .add("address", Peer.toString());
  // The peer may not know this instance yet.
  sendReport({Peer}, true);
}

void PeerExchange::scheduleReport() {
  if (m_IsReportDue)
    return;
  m_IsReportDue = true;
  m_Hooks.m_Defer([this] {
    m_IsReportDue = false;
    sendReport(m_GroupAddresses, false);
  });
}

void PeerExchange::addOtherGroupPeers(std::size_t MaxCount,
                                      std::vector<config::Endpoint> &To) {
  for (std::size_t I = 0; I < std::min(MaxCount, m_OtherGroupAddresses.size());
       ++I)
    To.push_back(m_OtherGroupAddresses[m_OtherGroupRotation.next()]);
}

void PeerExchange::addOtherGroupReceivers(std::vector<config::Endpoint> &To) {
  if (m_Recorded.empty())
    return addOtherGroupPeers(
        (m_OtherGroupAddresses.size() + DiscoveryRounds - 1) / DiscoveryRounds,
        To);
  if (!isTreeUsed() || ++m_FullReports % WriterRounds != 0)
    return;
  if (isGroupReporter())
    sendGroupStatus();
  // The other members can't know whether an unrecorded instance is in their
  // group.
  auto Writer = m_Peers.firstFollower();
  if (Writer && m_Recorded.count(m_Settings.m_PeerAddress) == 0)
    To.push_back(*Writer);
}

bool PeerExchange::isGroupReporter() const {
  std::uint64_t Own = PeerTable::followerOrder(m_Settings.m_PeerAddress);
  std::vector<const LivePeer *> Group = m_Peers.groupPeers();
  return std::all_of(Group.begin(), Group.end(), [Own](const LivePeer *Each) {
    return Own < Each->m_AddressHash;
  });
}

void PeerExchange::sendGroupStatus() {
  auto Writer = m_Peers.firstFollower();
  if (!Writer || m_Peers.followersBefore() == 0)
    return;
  peer::GroupStatus Status;
  Status.m_LiveMembers.push_back(m_Settings.m_PeerAddress);
  for (const LivePeer *Each : m_Peers.groupPeers())
    Status.m_LiveMembers.push_back(Each->m_Instance.m_Peer);
  m_Hooks.m_Send({*Writer}, Status);
}

core::Duration PeerExchange::fullReportPeriod() const {
  return isTreeUsed() ? core::Duration(HeartbeatPeriod)
                      : core::Duration(FullReportPeriod);
}

void PeerExchange::tick(core::TimePoint Now) {
  m_Now = Now;
  expire(Now);
  m_FollowerSelection.update(m_Peers.followersBefore(), Now);
  notifyIfChanged();
  bool IsLarge = m_Subset.groupCount() > 1;
  if (isTreeUsed())
    spreadState(Now);
  if (IsLarge && Now - m_LastReportAt < LargeFleetPeriod)
    return;
  m_LastReportAt = Now;
  if (Now - m_FullReportAt < fullReportPeriod()) {
    std::vector<config::Endpoint> To = m_GroupAddresses;
    // Every group has to learn of a new revision without delay.
    if (IsLarge && !isTreeUsed() && m_LastReport.m_IsStoreConnected &&
        hasUnreportedRevision())
      addOtherGroupPeers(m_Subset.groupCount() * ReceiversPerGroup, To);
    return sendReport(To, false);
  }
  m_FullReportAt = Now;
  repartition();
  std::vector<config::Endpoint> To = m_GroupAddresses;
  addOtherGroupReceivers(To);
  To.insert(To.end(), m_HintedPeers.begin(), m_HintedPeers.end());
  for (const auto &[Address, Since] : m_Missing.all())
    if (!m_Subset.isGroupPeer(Address))
      To.push_back(Address);
  sendReport(To, true);
}

void PeerExchange::spreadState(core::TimePoint Now) {
  bool IsFollower = m_LastReport.m_IsStoreConnected;
  m_News.spreadIfNew(IsFollower, Now);
  if (!IsFollower || Now - m_FollowerHeartbeatAt < FollowerHeartbeatPeriod)
    return;
  m_FollowerHeartbeatAt = Now;
  m_News.sendHeartbeat(followerSightings());
}

bool PeerExchange::hasUnreportedRevision() const {
  return m_LastReport.m_StoreRevision < m_Mirror.revision().value() ||
         m_LastReport.m_CompleteRevision < m_Mirror.completeRevision().value();
}

void PeerExchange::sendReport(const std::vector<config::Endpoint> &To,
                              bool IsFull) {
  if (To.empty())
    return;
  peer::LoadReport Report;
  Report.m_Name = m_Settings.m_Name;
  Report.m_DataHall = m_Settings.m_DataHall;
  Report.m_StoreRevision = m_Mirror.revision().value();
  Report.m_CompleteRevision = m_Mirror.completeRevision().value();
  Report.m_IsStopping = m_IsStopping;
  m_Hooks.m_FillReport(Report);
  if (Report.m_Targets.size() > MaxTargetsInReport)
    Report.m_Targets.resize(MaxTargetsInReport);
  bool HasChanges =
      Report.m_Targets != m_LastReport.m_Targets ||
      Report.m_HasWaitingRequests != m_LastReport.m_HasWaitingRequests ||
      Report.m_IsStoreConnected != m_LastReport.m_IsStoreConnected ||
      isRevisionReportDue(Report);
  if (!IsFull && !HasChanges)
    return;
  std::swap(m_LastReport, Report);
  Report = IsFull ? m_LastReport : peer::shortened(m_LastReport);
  // A random sample, so that all peers become known within a few reports.
  if (IsFull && isTreeUsed())
    Report.m_Followers = followerSightings();
  else if (IsFull)
    addHints(Report);
  m_Hooks.m_Send(To, std::move(Report));
}

bool PeerExchange::isRevisionReportDue(const peer::LoadReport &Next) const {
  bool IsSame = Next.m_StoreRevision == m_LastReport.m_StoreRevision &&
                Next.m_CompleteRevision == m_LastReport.m_CompleteRevision;
  if (IsSame || !isTreeUsed())
    return !IsSame;
  // News spreads revisions; large values are fetched from peers that report to
  // have them.
  return Next.m_CompleteRevision != Next.m_StoreRevision ||
         m_LastReport.m_CompleteRevision != m_LastReport.m_StoreRevision;
}

std::vector<peer::FollowerSighting> PeerExchange::followerSightings() const {
  static constexpr std::int64_t MaxAgeMs = 65535;
  PeerTable::Followers All = m_Peers.followers();
  if (m_LastReport.m_IsStoreConnected)
    All[PeerTable::followerOrder(m_Settings.m_PeerAddress)].m_SeenAt = m_Now;
  std::vector<peer::FollowerSighting> Out;
  for (const auto &[Order, Each] : All) {
    if (Out.size() == FollowerSelection::DesiredFollowers)
      break;
    auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_Now - Each.m_SeenAt);
    Out.push_back({Order, static_cast<std::uint16_t>(std::clamp<std::int64_t>(
                              Age.count(), 0, MaxAgeMs))});
  }
  return Out;
}

void PeerExchange::addHints(peer::LoadReport &Report) {
  std::vector<PeerTable::Peers::value_type> Sample;
  std::sample(m_Peers.all().begin(), m_Peers.all().end(),
              std::back_inserter(Sample), MaxHintsInReport, m_Random);
  for (const auto &[Incarnation, Each] : Sample)
    Report.m_RecentPeers.push_back(Each.m_Instance);
}

} // namespace yardrill::gateway
