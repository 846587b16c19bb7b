#include "LibGateway/PeerLink.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Reports within a group: old enough to cost little, new enough that a place
/// is not given away twice for long.
static constexpr std::chrono::milliseconds BeatPeriod{40};
/// How often addresses are tried that have not answered.
static constexpr std::chrono::milliseconds SeekPeriod{250};
/// While the store holds no list of instances, all far peers are told of this
/// one in so many seek periods, so that all find all.
static constexpr std::size_t FindTurns = 10;
/// Those that follow the store tell all others in so many seek periods that
/// they do, and how far they are: once a second.
static constexpr std::size_t FollowerTurns = 4;
/// The others tell the one that keeps the list that they live, every so many
/// seek periods: it leaves out who is silent for 12 s.
static constexpr std::size_t KeeperTurns = 8;
/// Far peers that a follower tells at once of something new, for each group;
/// these tell their groups.
static constexpr std::size_t NewsInGroup = 2;
/// Where there are several groups, reports are rarer: each costs all others.
static constexpr std::chrono::milliseconds LargeFleetPeriod{100};
/// A process that has started has found the others after this time.
static constexpr std::chrono::seconds FindTime{3};
static constexpr std::size_t MostHinted = 64;
static constexpr std::size_t HintsInReport = 3;
/// Keeps a report within one datagram.
static constexpr std::size_t MostTargetsInReport = 60;

PeerLink::PeerLink(asio::io_context &Context, const GatewaySettings &Settings,
                   platform::StoreMirror &Mirror,
                   metrics::MetricsRegistry &Metrics, PeerLinkHooks Hooks)
    : m_Context(Context), m_Settings(Settings), m_Mirror(Mirror),
      m_Metrics(Metrics),
      m_Hooks(std::move(Hooks)), m_Self{core::IncarnationId(core::randomBits()),
                                        Settings.m_PeerAddress},
      m_Codec(Settings.m_PeerKey),
      m_Socket(Context, Settings.m_PeerAddress, m_Codec),
      m_Fetcher(Context, Settings.m_PeerAddress, m_Codec, Mirror, Metrics,
                Settings.m_LinkBytesPerSecond),
      m_Peers(Settings.m_PeerAddress), m_Random(core::randomBits()) {}

PeerLink::~PeerLink() = default;

void PeerLink::start(core::TimerService &Timers) {
  for (const config::Endpoint &Seed : m_Settings.m_Seeds)
    if (!(Seed == m_Settings.m_PeerAddress))
      m_Hinted.insert(Seed);
  m_Socket.start({[this](const peer::PeerMessage &Message) { take(Message); },
                  [this](peer::DropReason Reason) { drop(Reason); }});
  Timers.subscribe(BeatPeriod, [this](core::TimePoint Now) { beat(Now); });
  // Who starts again is answered at once by those who know.
  asio::post(m_Context, [this] {
    sendReport({m_Hinted.begin(), m_Hinted.end()}, true);
  });
}

bool PeerLink::hasWhoKnows() const {
  const auto &All = m_Peers.all();
  return std::any_of(All.begin(), All.end(), [](const auto &Each) {
    const peer::LoadReport &Report = Each.second.m_Report;
    return !Each.second.m_IsSilent && !Report.m_IsStopping &&
           Report.m_StoreRevision > 0;
  });
}

bool PeerLink::canHelp(const peer::LoadReport &Report) const {
  return Report.m_StoreRevision == 0 &&
         m_Mirror.revision() != platform::Revision();
}

void PeerLink::setStopping() {
  m_IsStopping = true;
  std::vector<config::Endpoint> To = m_Near;
  for (const auto &[Incarnation, Each] : m_Peers.all())
    if (!Each.m_IsNear)
      To.push_back(Each.m_Home.m_Peer);
  sendReport(To, true);
}

//===----------------------------------------------------------------------===//
// Reports
//===----------------------------------------------------------------------===//

void PeerLink::drop(peer::DropReason Reason) {
  m_Metrics.count(peer::dropCounter(Reason));
}

void PeerLink::take(const peer::PeerMessage &Message) {
  if (Message.m_From == m_Self)
    return;
  const auto *Report = std::get_if<peer::LoadReport>(&Message.m_Body);
  if (!Report)
    return takeOther(Message);
  PeerTable::Taken Taken = m_Peers.take(Message, *Report, core::steadyNow(),
                                        core::wallSeconds().count());
  if (Taken.m_Dropped)
    return drop(*Taken.m_Dropped);
  takeHints(*Report);
  if (Taken.m_IsNew) {
    m_Hinted.erase(Message.m_From.m_Peer);
    m_Missing.heard(Message.m_From.m_Peer);
    welcome(Message.m_From.m_Peer, *Report);
  } else if (canHelp(*Report)) {
    sendReport({Message.m_From.m_Peer}, true);
  }
  // Worked out when it matters: reports come more often than requests.
  m_IsChanged = true;
}

void PeerLink::takeHints(const peer::LoadReport &Report) {
  // The store's list names them all.
  if (!m_Recorded.empty())
    return;
  for (const decision::Home &Other : Report.m_Others)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_Hinted.size() < MostHinted && !m_Peers.isLive(Other.m_Peer))
      m_Hinted.insert(Other.m_Peer);
}

void PeerLink::welcome(const config::Endpoint &Peer,
                       const peer::LoadReport &Report) {
  if (!m_Recorded.empty() && !m_Subset.isGroupPeer(Peer) && !canHelp(Report))
    return;
  core::LogLine("peer-found")
      .add("peer", Report.m_Name)
      .add("address", Peer.toString());
  // It may not know of us yet.
  sendReport({Peer}, true);
}

void PeerLink::takeOther(const peer::PeerMessage &Message) {
  auto Reason =
      m_Peers.check(Message, core::steadyNow(), core::wallSeconds().count());
  if (Reason)
    return drop(*Reason);
  m_Hooks.m_Other(Message);
}

void PeerLink::reportSoon() {
  if (m_IsReportDue)
    return;
  m_IsReportDue = true;
  asio::post(m_Context, [this] {
    m_IsReportDue = false;
    sendReport(m_Near, false);
  });
}

void PeerLink::tellChange() {
  if (!m_IsChanged)
    return;
  m_IsChanged = false;
  m_Hooks.m_Changed();
}

void PeerLink::addSomeFarPeers(std::size_t Most,
                               std::vector<config::Endpoint> &To) {
  for (std::size_t I = 0; I < std::min(Most, m_Far.size()); ++I)
    To.push_back(m_Far[m_FarTurns.next()]);
}

void PeerLink::addFarReceivers(std::vector<config::Endpoint> &To) {
  if (m_Recorded.empty())
    return addSomeFarPeers((m_Far.size() + FindTurns - 1) / FindTurns, To);
  if (m_Reported.m_IsStoreConnected)
    return addSomeFarPeers((m_Far.size() + FollowerTurns - 1) / FollowerTurns,
                           To);
  auto Keeper = m_Peers.firstFollower();
  if (Keeper && ++m_SeekNumber % KeeperTurns == 0 &&
      !m_Subset.isGroupPeer(*Keeper))
    To.push_back(*Keeper);
}

void PeerLink::setRecorded(FleetList Instances) {
  m_Recorded = std::move(Instances);
  m_IsRecordNew = true;
  if (!m_Recorded.empty())
    m_Hinted.clear();
}

void PeerLink::recut() {
  bool IsChanged = m_Peers.takeFleetChange();
  if (!IsChanged && !m_IsRecordNew && wantedMembers() == m_Members)
    return;
  m_IsRecordNew = false;
  // With those that the list does not have yet.
  routing::FleetSubset::Fleet Fleet = heard();
  Fleet.insert(m_Recorded.begin(), m_Recorded.end());
  bool IsSameFleet = Fleet == m_Fleet;
  m_Fleet = std::move(Fleet);
  if (IsSameFleet && wantedMembers() == m_Members)
    return;
  m_Members = wantedMembers();
  m_Subset = routing::FleetSubset(m_Settings.m_PeerAddress, m_Fleet, m_Members);
  m_Peers.setSubset(m_Subset);
  noteFleet();
  core::LogLine("fleet-cut")
      .add("instances", m_Fleet.size())
      .add("groups", m_Subset.groupCount())
      .add("near", m_Subset.groupMembers().size());
  m_Hooks.m_Recut(m_Subset);
}

std::size_t PeerLink::wantedMembers() const {
  if (m_Settings.m_GroupSize != 0)
    return m_Settings.m_GroupSize;
  return routing::FleetSubset::groupSizeFor(m_Fleet.size(),
                                            m_Hooks.m_LargestPool());
}

void PeerLink::noteFleet() {
  std::uint64_t Own = PeerTable::orderOf(m_Settings.m_PeerAddress);
  std::size_t Rank = 0;
  m_Near.assign(m_Subset.groupMembers().begin(), m_Subset.groupMembers().end());
  m_Far.clear();
  for (const auto &[Address, Hall] : m_Fleet) {
    Rank += PeerTable::orderOf(Address) < Own ? 1 : 0;
    if (!(Address == m_Settings.m_PeerAddress) &&
        !m_Subset.isGroupPeer(Address))
      m_Far.push_back(Address);
  }
  m_FarTurns.setSize(m_Far.size());
  m_Duty.setRank(Rank);
}

bool PeerLink::mustFollowStore() const {
  return m_Subset.groupCount() == 1 || m_Duty.isNeeded();
}

std::size_t PeerLink::missing() const {
  const auto &All = m_Missing.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [this](const auto &Each) {
        return m_Subset.groupCount() == 1 || m_Subset.isGroupPeer(Each.first);
      }));
}

bool PeerLink::isStoreHeard() const {
  return m_Reported.m_IsStoreConnected || m_Peers.followers() > 0;
}

bool PeerLink::isListConfirmed() const {
  return isStoreHeard() || m_Peers.nearPeers().size() * 2 >= m_Near.size();
}

bool PeerLink::isSettled() const {
  core::TimePoint Now = core::steadyNow();
  return Now - m_StartedAt > FindTime;
}

FleetList PeerLink::heard() const {
  FleetList Out{{m_Settings.m_PeerAddress, m_Settings.m_DataHall}};
  for (const auto &[Incarnation, Each] : m_Peers.all())
    Out[Each.m_Home.m_Peer] = Each.m_Report.m_DataHall;
  return Out;
}

std::vector<config::Endpoint> PeerLink::others() const {
  FleetList All = heard();
  All.insert(m_Recorded.begin(), m_Recorded.end());
  All.erase(m_Settings.m_PeerAddress);
  std::vector<config::Endpoint> Out;
  for (const auto &[Address, Hall] : All)
    Out.push_back(Address);
  return Out;
}

std::size_t PeerLink::sharers() const {
  return std::max(m_Fleet.size(), 1 + m_Missing.all().size());
}

void PeerLink::beat(core::TimePoint Now) {
  expire(Now);
  m_Duty.update(m_Peers.followersBefore(), Now);
  fetchIfBehind(Now);
  tellChange();
  bool IsLarge = m_Subset.groupCount() > 1;
  if (IsLarge && Now - m_ReportedAt < LargeFleetPeriod)
    return;
  m_ReportedAt = Now;
  if (Now - m_SoughtAt < SeekPeriod) {
    std::vector<config::Endpoint> To = m_Near;
    // Each group has to hear soon that the store said something new.
    if (IsLarge && m_Reported.m_IsStoreConnected && hasStoreNews())
      addSomeFarPeers(m_Subset.groupCount() * NewsInGroup, To);
    return sendReport(To, false);
  }
  m_SoughtAt = Now;
  recut();
  std::vector<config::Endpoint> To = m_Near;
  addFarReceivers(To);
  To.insert(To.end(), m_Hinted.begin(), m_Hinted.end());
  for (const auto &[Address, Since] : m_Missing.all())
    if (!m_Subset.isGroupPeer(Address))
      To.push_back(Address);
  sendReport(To, true);
}

bool PeerLink::hasStoreNews() const {
  return m_Reported.m_StoreRevision < m_Mirror.revision().value() ||
         m_Reported.m_WholeRevision < m_Mirror.wholeRevision().value();
}

void PeerLink::expire(core::TimePoint Now) {
  std::vector<LivePeer> Silent = m_Peers.expire(Now);
  for (const LivePeer &Gone : Silent)
    noteSilent(Gone, Now);
  if (isStoreHeard())
    m_Missing.forgetOld(Now);
  m_IsChanged = m_IsChanged || !Silent.empty();
}

void PeerLink::noteSilent(const LivePeer &Gone, core::TimePoint Now) {
  // Far peers report only for as long as there is no list.
  if (!m_Recorded.empty() && !Gone.m_IsNear)
    return;
  bool HasStopped = Gone.m_Report.m_IsStopping;
  if (!HasStopped)
    m_Missing.lost(Gone.m_Home.m_Peer, Now);
  core::LogLine("peer-lost", core::LogLevel::Warning)
      .add("peer", Gone.m_Report.m_Name)
      .add("address", Gone.m_Home.m_Peer.toString())
      .add("has_stopped", HasStopped);
}

void PeerLink::sendReport(const std::vector<config::Endpoint> &To,
                          bool IsFull) {
  if (To.empty())
    return;
  peer::LoadReport Report;
  Report.m_Name = m_Settings.m_Name;
  Report.m_DataHall = m_Settings.m_DataHall;
  Report.m_StoreRevision = m_Mirror.revision().value();
  Report.m_WholeRevision = m_Mirror.wholeRevision().value();
  Report.m_IsStopping = m_IsStopping;
  m_Hooks.m_Describe(Report);
  if (Report.m_Targets.size() > MostTargetsInReport)
    Report.m_Targets.resize(MostTargetsInReport);
  bool IsNews = Report.m_Targets != m_Reported.m_Targets ||
                Report.m_HasWaiting != m_Reported.m_HasWaiting ||
                Report.m_IsStoreConnected != m_Reported.m_IsStoreConnected ||
                Report.m_StoreRevision != m_Reported.m_StoreRevision ||
                Report.m_WholeRevision != m_Reported.m_WholeRevision;
  if (!IsFull && !IsNews)
    return;
  std::swap(m_Reported, Report);
  Report = IsFull ? m_Reported : peer::shortened(m_Reported);
  // A few at random, so that all learn of all within some reports.
  if (IsFull)
    addHints(Report);
  std::string Datagram = encode(std::move(Report));
  for (const config::Endpoint &Address : To)
    m_Socket.send(Datagram, Address);
}

void PeerLink::addHints(peer::LoadReport &Report) {
  std::vector<PeerTable::Peers::value_type> Drawn;
  std::sample(m_Peers.all().begin(), m_Peers.all().end(),
              std::back_inserter(Drawn), HintsInReport, m_Random);
  for (const auto &[Incarnation, Each] : Drawn)
    Report.m_Others.push_back(Each.m_Home);
}

std::string PeerLink::encode(peer::PeerBody Body) {
  peer::PeerMessage Message;
  Message.m_From = m_Self;
  Message.m_Sequence = ++m_Sequence;
  Message.m_WallSeconds = core::wallSeconds().count();
  Message.m_Body = std::move(Body);
  return m_Codec.encode(Message);
}

void PeerLink::send(const config::Endpoint &To, const peer::PeerBody &Body) {
  m_Socket.send(encode(Body), To);
}

void PeerLink::fetchIfBehind(core::TimePoint Now) {
  std::vector<StoreHolder> Ahead;
  if (m_Mirror.revision().value() < m_Peers.newestRevision() ||
      m_Mirror.wholeRevision().value() < m_Peers.newestWholeRevision())
    Ahead = peersAhead();
  // One that does not ask the store has nothing to wait for.
  bool IsPatient = !Ahead.empty() && mustFollowStore();
  m_Fetcher.consider(Ahead, IsPatient, Now);
}

std::vector<StoreHolder> PeerLink::peersAhead() const {
  std::vector<StoreHolder> Out;
  for (const auto &[Incarnation, Each] : m_Peers.all()) {
    platform::Revision Known(Each.m_Report.m_StoreRevision);
    platform::Revision Whole(Each.m_Report.m_WholeRevision);
    bool IsAhead =
        m_Mirror.revision() < Known || m_Mirror.wholeRevision() < Whole;
    if (IsAhead && !Each.m_IsSilent)
      Out.push_back({Each.m_Home.m_Peer, Known, Whole,
                     Each.m_Report.m_DataHall == m_Settings.m_DataHall});
  }
  return Out;
}

} // namespace yardrill::gateway
