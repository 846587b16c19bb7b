//===-- PeerExchange.cpp - What instances report to each other ------------===//
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
/// A follower sends every peer of another group a full report, with its
/// revision of the store, within this number of periods: once a second.
static constexpr std::size_t FollowerRounds = 4;
/// Every other instance sends the record writer a full report once in this
/// number of periods: every 2 s. The writer counts an instance as live for 10 s
/// after its last report.
static constexpr std::size_t WriterRounds = 8;
/// While the store is not reached, owners of quotas in other groups get a full
/// report from their witnesses once in this number of periods.
static constexpr std::size_t WitnessRounds = 4;
/// Time after the loss of the store in which witnesses report.
static constexpr std::chrono::seconds WitnessTime{2};
/// Average number of peers per group to which a follower reports a new revision
/// at once; these fetch it and report it within their groups.
static constexpr std::size_t ReceiversPerGroup = 2;
/// Period of reports in a fleet of several groups; longer, since each report
/// costs processor time at every receiver.
static constexpr std::chrono::milliseconds LargeFleetPeriod{100};
/// Time after the start in which a process finds its peers.
static constexpr std::chrono::seconds DiscoveryTime{3};
static constexpr std::size_t MaxHintedPeers = 64;
static constexpr std::size_t MaxHintsInReport = 3;
/// Keeps a report within one datagram.
static constexpr std::size_t MaxTargetsInReport = 60;
static constexpr std::size_t MaxDemandsInReport = 16;

PeerExchange::PeerExchange(decision::InstanceRef Self,
                           const GatewaySettings &Settings,
                           platform::StoreMirror &Mirror,
                           PeerExchangeHooks Hooks, core::TimePoint Now,
                           std::uint64_t Seed)
    : m_Self(std::move(Self)), m_Settings(Settings), m_Mirror(Mirror),
      m_Hooks(std::move(Hooks)), m_Peers(Settings.m_PeerAddress),
      m_StartedAt(Now), m_Random(Seed) {}

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

void PeerExchange::setStopping() {
  m_IsStopping = true;
  std::vector<config::Endpoint> To = m_GroupAddresses;
  for (const auto &[Incarnation, Each] : m_Peers.all())
    if (!Each.m_IsGroupPeer)
      To.push_back(Each.m_Instance.m_Peer);
  sendReport(To, true);
}

//===----------------------------------------------------------------------===//
// Reports
//===----------------------------------------------------------------------===//

std::optional<peer::DropReason>
PeerExchange::handle(const peer::PeerMessage &Message, core::TimePoint Now,
                     std::int64_t NowWallSeconds) {
  if (Message.m_From == m_Self)
    return std::nullopt;
  const auto *Report = std::get_if<peer::LoadReport>(&Message.m_Body);
  if (!Report) {
    auto Dropped = m_Peers.check(Message, Now, NowWallSeconds);
    if (!Dropped)
      m_Hooks.m_MessageReceived(Message);
    return Dropped;
  }
  PeerTable::ReportResult Result =
      m_Peers.handle(Message, *Report, Now, NowWallSeconds);
  if (Result.m_Dropped)
    return Result.m_Dropped;
  addHintedPeers(*Report);
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

void PeerExchange::addHintedPeers(const peer::LoadReport &Report) {
  // The record names all instances.
  if (!m_Recorded.empty())
    return;
  for (const decision::InstanceRef &Other : Report.m_RecentPeers)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_HintedPeers.size() < MaxHintedPeers && !m_Peers.isKnown(Other.m_Peer))
      m_HintedPeers.insert(Other.m_Peer);
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

void PeerExchange::notifyIfChanged() {
  if (!m_IsChanged)
    return;
  m_IsChanged = false;
  m_Hooks.m_Changed();
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
  if (m_LastReport.m_IsStoreConnected)
    return addOtherGroupPeers(
        (m_OtherGroupAddresses.size() + FollowerRounds - 1) / FollowerRounds,
        To);
  auto Writer = m_Peers.firstFollower();
  if (Writer && ++m_FullReports % WriterRounds == 0 &&
      !m_Subset.isGroupPeer(*Writer))
    To.push_back(*Writer);
}

void PeerExchange::addWitnessedOwners(std::vector<config::Endpoint> &To) {
  if (isStoreReachable() || ++m_UnreachableReports % WitnessRounds != 0)
    return;
  for (const config::Endpoint &Each : m_Witnesses.m_Witnessed)
    if (!m_Subset.isGroupPeer(Each))
      To.push_back(Each);
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
  for (const auto &[Address, Hall] : m_Fleet) {
    Rank += PeerTable::followerOrder(Address) < Own ? 1 : 0;
    if (!(Address == m_Settings.m_PeerAddress) &&
        !m_Subset.isGroupPeer(Address))
      m_OtherGroupAddresses.push_back(Address);
  }
  m_OtherGroupRotation.setSize(m_OtherGroupAddresses.size());
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

void PeerExchange::setQuotaOwners(const FleetMembers &Owners,
                                  const FleetMembers &Members) {
  m_Witnesses = QuotaWitnesses(m_Settings.m_PeerAddress, Owners, Members);
}

bool PeerExchange::agrees(const config::Endpoint &Witness) const {
  const LivePeer *Found = m_Peers.find(Witness);
  return Found && !Found->m_IsSilent && !Found->m_Report.m_IsStopping &&
         Found->m_Report.m_CompleteRevision <=
             m_Mirror.completeRevision().value();
}

std::size_t PeerExchange::agreeingWitnesses() const {
  const std::vector<config::Endpoint> &All = m_Witnesses.m_Permanent;
  return static_cast<std::size_t>(std::count_if(
      All.begin(), All.end(),
      [this](const config::Endpoint &Each) { return agrees(Each); }));
}

bool PeerExchange::hasQuotaLease(core::TimePoint Now) const {
  return Now - m_LeaseRenewedAt <= QuotaLeaseTime;
}

routing::OwnershipEvidence
PeerExchange::ownershipEvidence(core::TimePoint Now) const {
  if (isStoreReachable())
    return routing::OwnershipEvidence::Store;
  // Its successors need not wait for the witnesses of a stopping owner.
  if (m_IsStopping)
    return routing::OwnershipEvidence::None;
  if (Now - m_StoreReachableAt <= WitnessTime ||
      m_Witnesses.areEnough(agreeingWitnesses()))
    return routing::OwnershipEvidence::Witnesses;
  return routing::OwnershipEvidence::None;
}

MemberReports PeerExchange::memberReports() const {
  MemberReports Out{
      {m_Settings.m_PeerAddress, {m_Mirror.completeRevision(), m_IsStopping}}};
  for (const auto &[Incarnation, Each] : m_Peers.all())
    Out[Each.m_Instance.m_Peer] = {
        platform::Revision(Each.m_Report.m_CompleteRevision),
        Each.m_Report.m_IsStopping};
  return Out;
}

bool PeerExchange::isDiscoveryDone(core::TimePoint Now) const {
  return Now - m_StartedAt > DiscoveryTime;
}

FleetMembers PeerExchange::liveInstances() const {
  FleetMembers Out{{m_Settings.m_PeerAddress, m_Settings.m_DataHall}};
  for (const auto &[Incarnation, Each] : m_Peers.all())
    Out[Each.m_Instance.m_Peer] = Each.m_Report.m_DataHall;
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

void PeerExchange::tick(core::TimePoint Now) {
  expire(Now);
  if (isStoreReachable())
    m_StoreReachableAt = Now;
  if (isStoreReachable() && isMember())
    m_LeaseRenewedAt = Now;
  m_FollowerSelection.update(m_Peers.followersBefore(), Now);
  notifyIfChanged();
  bool IsLarge = m_Subset.groupCount() > 1;
  if (IsLarge && Now - m_LastReportAt < LargeFleetPeriod)
    return;
  m_LastReportAt = Now;
  if (Now - m_FullReportAt < FullReportPeriod) {
    std::vector<config::Endpoint> To = m_GroupAddresses;
    // Every group has to learn of a new revision without delay.
    if (IsLarge && m_LastReport.m_IsStoreConnected && hasUnreportedRevision())
      addOtherGroupPeers(m_Subset.groupCount() * ReceiversPerGroup, To);
    return sendReport(To, false);
  }
  m_FullReportAt = Now;
  repartition();
  std::vector<config::Endpoint> To = m_GroupAddresses;
  addOtherGroupReceivers(To);
  addWitnessedOwners(To);
  To.insert(To.end(), m_HintedPeers.begin(), m_HintedPeers.end());
  for (const auto &[Address, Since] : m_Missing.all())
    if (!m_Subset.isGroupPeer(Address))
      To.push_back(Address);
  sendReport(To, true);
}

bool PeerExchange::hasUnreportedRevision() const {
  return m_LastReport.m_StoreRevision < m_Mirror.revision().value() ||
         m_LastReport.m_CompleteRevision < m_Mirror.completeRevision().value();
}

void PeerExchange::expire(core::TimePoint Now) {
  std::vector<LivePeer> SilentPeers = m_Peers.expire(Now);
  for (const LivePeer &LostPeer : SilentPeers)
    handleSilentPeer(LostPeer, Now);
  if (isStoreReachable())
    m_Missing.forgetOld(Now);
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

/// Whether the same number of requests waits in each pool and tier. The other
/// figures of the demand change with time alone.
static bool isSameWaiting(const std::vector<peer::TierDemandEntry> &A,
                          const std::vector<peer::TierDemandEntry> &B) {
  return std::equal(
      A.begin(), A.end(), B.begin(), B.end(),
      [](const peer::TierDemandEntry &X, const peer::TierDemandEntry &Y) {
        return X.m_Pool == Y.m_Pool && X.m_AccountTier == Y.m_AccountTier &&
               X.m_RouteTier == Y.m_RouteTier && X.m_Waiting == Y.m_Waiting;
      });
}

void PeerExchange::sendReport(const std::vector<config::Endpoint> &To,
                              bool IsFull) {
  peer::LoadReport Report;
  Report.m_Name = m_Settings.m_Name;
  Report.m_DataHall = m_Settings.m_DataHall;
  Report.m_StoreRevision = m_Mirror.revision().value();
  Report.m_CompleteRevision = m_Mirror.completeRevision().value();
  Report.m_IsStopping = m_IsStopping;
  m_Hooks.m_FillReport(Report);
  if (Report.m_Targets.size() > MaxTargetsInReport)
    Report.m_Targets.resize(MaxTargetsInReport);
  if (Report.m_Demand.size() > MaxDemandsInReport)
    Report.m_Demand.resize(MaxDemandsInReport);
  bool HasChanges =
      Report.m_Targets != m_LastReport.m_Targets ||
      Report.m_HasWaitingRequests != m_LastReport.m_HasWaitingRequests ||
      !isSameWaiting(Report.m_Demand, m_LastReport.m_Demand) ||
      Report.m_IsStoreConnected != m_LastReport.m_IsStoreConnected ||
      Report.m_LostPools != m_LastReport.m_LostPools ||
      Report.m_StoreRevision != m_LastReport.m_StoreRevision ||
      Report.m_CompleteRevision != m_LastReport.m_CompleteRevision;
  if (!IsFull && !HasChanges)
    return;
  std::swap(m_LastReport, Report);
  if (To.empty())
    return;
  Report = IsFull ? m_LastReport : peer::shortened(m_LastReport);
  // A random sample, so that all peers become known within a few reports.
  if (IsFull)
    addHints(Report);
  m_Hooks.m_Send(To, std::move(Report));
}

void PeerExchange::addHints(peer::LoadReport &Report) {
  std::vector<PeerTable::Peers::value_type> Sample;
  std::sample(m_Peers.all().begin(), m_Peers.all().end(),
              std::back_inserter(Sample), MaxHintsInReport, m_Random);
  for (const auto &[Incarnation, Each] : Sample)
    Report.m_RecentPeers.push_back(Each.m_Instance);
}

bool PeerExchange::isBehind() const {
  return m_Mirror.revision().value() < m_Peers.newestRevision() ||
         m_Mirror.completeRevision().value() < m_Peers.newestCompleteRevision();
}

std::vector<FetchCandidate> PeerExchange::peersAhead() const {
  std::vector<FetchCandidate> Out;
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
