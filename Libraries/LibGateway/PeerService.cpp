//===-- PeerService.cpp - Communication with other instances --------------===//
#include "LibGateway/PeerService.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Period of tick(), and of reports in a fleet of one group. Limits both their
/// cost and the time in which two instances can assign the same slot.
static constexpr std::chrono::milliseconds TickPeriod{40};
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

PeerService::PeerService(asio::io_context &Context,
                         const GatewaySettings &Settings,
                         platform::StoreMirror &Mirror,
                         metrics::MetricsRegistry &Metrics,
                         PeerServiceHooks Hooks)
    : m_Context(Context), m_Settings(Settings), m_Mirror(Mirror),
      m_Metrics(Metrics),
      m_Hooks(std::move(Hooks)), m_Self{core::IncarnationId(core::randomBits()),
                                        Settings.m_PeerAddress},
      m_Codec(Settings.m_PeerKey),
      m_Socket(Context, Settings.m_PeerAddress, m_Codec),
      m_Fetcher(Context, Settings.m_PeerAddress, m_Codec, Mirror, Metrics,
                Settings.m_LinkBytesPerSecond),
      m_Peers(Settings.m_PeerAddress), m_Random(core::randomBits()) {}

PeerService::~PeerService() = default;

void PeerService::start(core::TimerService &Timers) {
  for (const config::Endpoint &Seed : m_Settings.m_Seeds)
    if (!(Seed == m_Settings.m_PeerAddress))
      m_HintedPeers.insert(Seed);
  m_Socket.start({[this](const peer::PeerMessage &Message) { handle(Message); },
                  [this](peer::DropReason Reason) { drop(Reason); }});
  Timers.subscribe(TickPeriod, [this](core::TimePoint Now) { tick(Now); });
  // Peers respond at once if they can supply this instance with state.
  asio::post(m_Context, [this] {
    sendReport({m_HintedPeers.begin(), m_HintedPeers.end()}, true);
  });
}

bool PeerService::hasPeerWithState() const {
  const auto &All = m_Peers.all();
  return std::any_of(All.begin(), All.end(), [](const auto &Each) {
    const peer::LoadReport &Report = Each.second.m_Report;
    return !Each.second.m_IsSilent && !Report.m_IsStopping &&
           Report.m_StoreRevision > 0;
  });
}

bool PeerService::canSupplyState(const peer::LoadReport &Report) const {
  return Report.m_StoreRevision == 0 &&
         m_Mirror.revision() != platform::Revision();
}

void PeerService::setStopping() {
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

void PeerService::drop(peer::DropReason Reason) {
  m_Metrics.count(peer::droppedCounterName(Reason));
}

void PeerService::handle(const peer::PeerMessage &Message) {
  if (Message.m_From == m_Self)
    return;
  const auto *Report = std::get_if<peer::LoadReport>(&Message.m_Body);
  if (!Report)
    return handleOther(Message);
  PeerTable::ReportResult Result = m_Peers.handle(
      Message, *Report, core::steadyNow(), core::wallSeconds().count());
  if (Result.m_Dropped)
    return drop(*Result.m_Dropped);
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
}

void PeerService::addHintedPeers(const peer::LoadReport &Report) {
  // The record names all instances.
  if (!m_Recorded.empty())
    return;
  for (const decision::InstanceRef &Other : Report.m_RecentPeers)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_HintedPeers.size() < MaxHintedPeers && !m_Peers.isKnown(Other.m_Peer))
      m_HintedPeers.insert(Other.m_Peer);
}

void PeerService::greetPeer(const config::Endpoint &Peer,
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

void PeerService::handleOther(const peer::PeerMessage &Message) {
  auto Reason =
      m_Peers.check(Message, core::steadyNow(), core::wallSeconds().count());
  if (Reason)
    return drop(*Reason);
  m_Hooks.m_MessageReceived(Message);
}

void PeerService::scheduleReport() {
  if (m_IsReportDue)
    return;
  m_IsReportDue = true;
  asio::post(m_Context, [this] {
    m_IsReportDue = false;
    sendReport(m_GroupAddresses, false);
  });
}

void PeerService::notifyIfChanged() {
  if (!m_IsChanged)
    return;
  m_IsChanged = false;
  m_Hooks.m_Changed();
}

void PeerService::addOtherGroupPeers(std::size_t MaxCount,
                                     std::vector<config::Endpoint> &To) {
  for (std::size_t I = 0; I < std::min(MaxCount, m_OtherGroupAddresses.size());
       ++I)
    To.push_back(m_OtherGroupAddresses[m_OtherGroupRotation.next()]);
}

void PeerService::addOtherGroupReceivers(std::vector<config::Endpoint> &To) {
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

void PeerService::setRecorded(FleetMembers Instances) {
  m_Recorded = std::move(Instances);
  m_IsMembershipChanged = true;
  if (!m_Recorded.empty())
    m_HintedPeers.clear();
}

void PeerService::repartition() {
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

std::size_t PeerService::desiredGroupSize() const {
  if (m_Settings.m_GroupSize != 0)
    return m_Settings.m_GroupSize;
  return routing::FleetSubset::groupSizeFor(m_Fleet.size(),
                                            m_Hooks.m_LargestPoolSize());
}

void PeerService::rebuildPeerLists() {
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

bool PeerService::mustFollowStore() const {
  return m_Subset.groupCount() == 1 || m_FollowerSelection.isSelected();
}

std::size_t PeerService::missingCount() const {
  const auto &All = m_Missing.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [this](const auto &Each) {
        return m_Subset.groupCount() == 1 || m_Subset.isGroupPeer(Each.first);
      }));
}

bool PeerService::isStoreReachable() const {
  return m_LastReport.m_IsStoreConnected || m_Peers.followerCount() > 0;
}

bool PeerService::isListConfirmed() const {
  return isStoreReachable() ||
         m_Peers.groupPeers().size() * 2 >= m_GroupAddresses.size();
}

bool PeerService::isDiscoveryDone() const {
  core::TimePoint Now = core::steadyNow();
  return Now - m_StartedAt > DiscoveryTime;
}

FleetMembers PeerService::liveInstances() const {
  FleetMembers Out{{m_Settings.m_PeerAddress, m_Settings.m_DataHall}};
  for (const auto &[Incarnation, Each] : m_Peers.all())
    Out[Each.m_Instance.m_Peer] = Each.m_Report.m_DataHall;
  return Out;
}

std::vector<config::Endpoint> PeerService::otherInstances() const {
  FleetMembers All = liveInstances();
  All.insert(m_Recorded.begin(), m_Recorded.end());
  All.erase(m_Settings.m_PeerAddress);
  std::vector<config::Endpoint> Out;
  for (const auto &[Address, Hall] : All)
    Out.push_back(Address);
  return Out;
}

std::size_t PeerService::activeInstanceCount() const {
  return std::max(m_Fleet.size(), 1 + m_Missing.all().size());
}

void PeerService::tick(core::TimePoint Now) {
  expire(Now);
  m_FollowerSelection.update(m_Peers.followersBefore(), Now);
  fetchIfBehind(Now);
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
  To.insert(To.end(), m_HintedPeers.begin(), m_HintedPeers.end());
  for (const auto &[Address, Since] : m_Missing.all())
    if (!m_Subset.isGroupPeer(Address))
      To.push_back(Address);
  sendReport(To, true);
}

bool PeerService::hasUnreportedRevision() const {
  return m_LastReport.m_StoreRevision < m_Mirror.revision().value() ||
         m_LastReport.m_CompleteRevision < m_Mirror.completeRevision().value();
}

void PeerService::expire(core::TimePoint Now) {
  std::vector<LivePeer> SilentPeers = m_Peers.expire(Now);
  for (const LivePeer &LostPeer : SilentPeers)
    handleSilentPeer(LostPeer, Now);
  if (isStoreReachable())
    m_Missing.forgetOld(Now);
  m_IsChanged = m_IsChanged || !SilentPeers.empty();
}

void PeerService::handleSilentPeer(const LivePeer &LostPeer,
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

void PeerService::sendReport(const std::vector<config::Endpoint> &To,
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
      Report.m_StoreRevision != m_LastReport.m_StoreRevision ||
      Report.m_CompleteRevision != m_LastReport.m_CompleteRevision;
  if (!IsFull && !HasChanges)
    return;
  std::swap(m_LastReport, Report);
  Report = IsFull ? m_LastReport : peer::shortened(m_LastReport);
  // A random sample, so that all peers become known within a few reports.
  if (IsFull)
    addHints(Report);
  std::string Datagram = encode(std::move(Report));
  for (const config::Endpoint &Address : To)
    m_Socket.send(Datagram, Address);
}

void PeerService::addHints(peer::LoadReport &Report) {
  std::vector<PeerTable::Peers::value_type> Sample;
  std::sample(m_Peers.all().begin(), m_Peers.all().end(),
              std::back_inserter(Sample), MaxHintsInReport, m_Random);
  for (const auto &[Incarnation, Each] : Sample)
    Report.m_RecentPeers.push_back(Each.m_Instance);
}

std::string PeerService::encode(peer::PeerBody Body) {
  peer::PeerMessage Message;
  Message.m_From = m_Self;
  Message.m_Sequence = ++m_Sequence;
  Message.m_WallSeconds = core::wallSeconds().count();
  Message.m_Body = std::move(Body);
  return m_Codec.encode(Message);
}

void PeerService::send(const config::Endpoint &To, const peer::PeerBody &Body) {
  m_Socket.send(encode(Body), To);
}

void PeerService::fetchIfBehind(core::TimePoint Now) {
  std::vector<FetchCandidate> PeersAhead;
  if (m_Mirror.revision().value() < m_Peers.newestRevision() ||
      m_Mirror.completeRevision().value() < m_Peers.newestCompleteRevision())
    PeersAhead = peersAhead();
  // Only a follower can expect the same from the store.
  bool MayWaitForStore = !PeersAhead.empty() && mustFollowStore();
  m_Fetcher.fetchIfDue(PeersAhead, MayWaitForStore, Now);
}

std::vector<FetchCandidate> PeerService::peersAhead() const {
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
