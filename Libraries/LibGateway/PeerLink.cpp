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
/// Far peers report every so many seek periods.
static constexpr std::size_t FarTurns = 10;
/// Prime, and above the size of a group.
static constexpr std::size_t Stride = 11;
/// Instances of a large fleet that follow the store: each pays for its calls,
/// and a third may be cut off at once without leaving none (0.35^6 = 0.002). A
/// fleet of one group follows it with all.
static constexpr std::size_t FollowersInFleet = 6;
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
}

void PeerLink::setStopping() {
  m_IsStopping = true;
  std::vector<config::Endpoint> All = m_Peers.far();
  All.insert(All.end(), m_Peers.near().begin(), m_Peers.near().end());
  sendReport(All, true);
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
  for (const decision::Home &Other : Report->m_Others)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_Hinted.size() < MostHinted && !m_Peers.isLive(Other.m_Peer))
      m_Hinted.insert(Other.m_Peer);
  if (Taken.m_IsNew) {
    m_Hinted.erase(Message.m_From.m_Peer);
    m_Missing.heard(Message.m_From.m_Peer);
    core::LogLine("peer-found")
        .add("peer", Report->m_Name)
        .add("address", Message.m_From.m_Peer.toString());
    // It may not know of us yet.
    sendReport({Message.m_From.m_Peer}, true);
  }
  // Worked out when it matters: reports come more often than requests.
  m_IsChanged = true;
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
    sendReport(m_Peers.near(), false);
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
  std::vector<config::Endpoint> Far = m_Peers.far();
  // A stride that meets all of them, and each group early.
  for (std::size_t I = 0; I < std::min(Most, Far.size()); ++I) {
    m_NextFar = (m_NextFar + Stride) % Far.size();
    To.push_back(Far[m_NextFar]);
  }
}

void PeerLink::recut() {
  auto Changed = m_Peers.takeChangedFleet();
  if (!Changed)
    return;
  routing::FleetShare::Fleet Fleet = std::move(*Changed);
  Fleet[m_Settings.m_PeerAddress] = m_Settings.m_DataHall;
  if (Fleet == m_Fleet)
    return;
  m_Fleet = std::move(Fleet);
  m_Share = routing::FleetShare(m_Settings.m_PeerAddress, m_Fleet,
                                m_Settings.m_GroupSize);
  m_Peers.setShare(m_Share);
  core::LogLine("fleet-cut")
      .add("instances", m_Fleet.size())
      .add("groups", m_Share.groups())
      .add("near", m_Share.near().size());
  m_Hooks.m_Recut(m_Share);
}

bool PeerLink::mustFollowStore() const {
  return m_Share.groups() == 1 || m_Peers.followersBefore() < FollowersInFleet;
}

std::size_t PeerLink::missing() const {
  const auto &All = m_Missing.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [this](const auto &Each) {
        return m_Share.groups() == 1 || m_Share.isNear(Each.first);
      }));
}

bool PeerLink::isStoreHeard() const {
  return m_Reported.m_IsStoreConnected || m_Peers.followers() > 0;
}

bool PeerLink::isSettled() const {
  core::TimePoint Now = core::steadyNow();
  return Now - m_StartedAt > FindTime;
}

std::vector<config::Endpoint> PeerLink::instances() const {
  std::vector<config::Endpoint> Out;
  for (const auto &[Address, Hall] : m_Fleet)
    Out.push_back(Address);
  return Out;
}

std::size_t PeerLink::sharers() const {
  std::size_t Seen = 1 + m_Peers.all().size() + m_Missing.all().size();
  return isSettled() ? Seen : std::max(Seen, m_RecordedSize);
}

void PeerLink::beat(core::TimePoint Now) {
  expire(Now);
  fetchIfBehind(Now);
  tellChange();
  bool IsLarge = m_Share.groups() > 1;
  if (IsLarge && Now - m_ReportedAt < LargeFleetPeriod)
    return;
  m_ReportedAt = Now;
  if (Now - m_SoughtAt < SeekPeriod) {
    std::vector<config::Endpoint> To = m_Peers.near();
    // Each group has to hear soon that the store said something new.
    if (IsLarge && hasStoreNews())
      addSomeFarPeers(m_Share.groups(), To);
    return sendReport(To, false);
  }
  m_SoughtAt = Now;
  recut();
  std::vector<config::Endpoint> To = m_Peers.near();
  addSomeFarPeers((m_Fleet.size() + FarTurns - 1) / FarTurns, To);
  To.insert(To.end(), m_Hinted.begin(), m_Hinted.end());
  for (const auto &[Address, Since] : m_Missing.all())
    if (!m_Peers.isLive(Address))
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
