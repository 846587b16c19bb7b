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
/// Silence after which a near peer counts as gone: several lost reports in a
/// row.
static constexpr std::chrono::milliseconds NearSilence{700};
/// Far peers report every FarTurns seek periods; several may be lost.
static constexpr std::chrono::seconds FarSilence{10};
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
static constexpr std::size_t MostPeers = 1024;
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
      m_Codec(Settings.m_PeerKey), m_Directory(MostPeers, FarSilence),
      m_Socket(Context, Settings.m_PeerAddress, m_Codec),
      m_Fetcher(Context, Settings.m_PeerAddress, m_Codec, Mirror, Metrics,
                Settings.m_LinkBytesPerSecond),
      m_Random(core::randomBits()) {}

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
  sendReport(livePeers(), true);
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
  auto Known = m_Reports.find(Message.m_From.m_Incarnation);
  if (Known == m_Reports.end() && !Report->m_IsFull)
    return; // A full one comes soon.
  bool IsNew = m_Directory.all().count(Message.m_From.m_Incarnation) == 0;
  auto Reason = m_Directory.heard(Message, core::steadyNow(),
                                  core::wallSeconds().count());
  if (Reason)
    return drop(*Reason);
  m_Hinted.erase(Message.m_From.m_Peer);
  m_Missing.heard(Message.m_From.m_Peer);
  forgetEarlier(Message.m_From);
  if (Report->m_IsFull) {
    m_Reports[Message.m_From.m_Incarnation] = *Report;
    m_Halls[Message.m_From.m_Peer] = Report->m_DataHall;
  } else {
    Known->second = peer::completed(*Report, Known->second);
  }
  for (const decision::Home &Other : Report->m_Others)
    if (!(Other.m_Peer == m_Settings.m_PeerAddress) &&
        m_Hinted.size() < MostHinted &&
        m_Directory.all().count(Other.m_Incarnation) == 0)
      m_Hinted.insert(Other.m_Peer);
  if (IsNew) {
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
  // A process that has just started asks before its first report is here.
  if (m_Reports.count(Message.m_From.m_Incarnation) != 0) {
    auto Reason = m_Directory.heard(Message, core::steadyNow(),
                                    core::wallSeconds().count());
    if (Reason)
      return drop(*Reason);
  }
  m_Hooks.m_Other(Message);
}

void PeerLink::reportSoon() {
  if (m_IsReportDue)
    return;
  m_IsReportDue = true;
  asio::post(m_Context, [this] {
    m_IsReportDue = false;
    sendReport(nearPeers(), false);
  });
}

void PeerLink::tellChange() {
  if (!m_IsChanged)
    return;
  m_IsChanged = false;
  m_Hooks.m_Changed();
}

void PeerLink::forgetEarlier(const decision::Home &Newest) {
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    if (Peer.m_Home.m_Peer == Newest.m_Peer &&
        Incarnation != Newest.m_Incarnation)
      m_Reports.erase(Incarnation);
}

std::set<config::Endpoint> PeerLink::livePeers() const {
  std::set<config::Endpoint> Out;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    Out.insert(Peer.m_Home.m_Peer);
  return Out;
}

std::set<config::Endpoint> PeerLink::nearPeers() const {
  std::set<config::Endpoint> Out;
  for (const config::Endpoint &Each : livePeers())
    if (m_Share.isNear(Each))
      Out.insert(Each);
  return Out;
}

std::set<config::Endpoint> PeerLink::someFarPeers(std::size_t Most) {
  std::vector<config::Endpoint> Far;
  for (const config::Endpoint &Each : livePeers())
    if (!m_Share.isNear(Each))
      Far.push_back(Each);
  std::set<config::Endpoint> Out;
  // A stride that meets all of them, and each group early.
  for (std::size_t I = 0; I < std::min(Most, Far.size()); ++I) {
    m_NextFar = (m_NextFar + Stride) % Far.size();
    Out.insert(Far[m_NextFar]);
  }
  return Out;
}

void PeerLink::recut() {
  routing::FleetShare::Fleet Fleet;
  for (const config::Endpoint &Each : livePeers())
    Fleet[Each] = m_Halls[Each];
  Fleet[m_Settings.m_PeerAddress] = m_Settings.m_DataHall;
  m_Halls = Fleet;
  if (Fleet == m_Fleet)
    return;
  m_Fleet = std::move(Fleet);
  m_Share = routing::FleetShare(m_Settings.m_PeerAddress, m_Fleet,
                                m_Settings.m_GroupSize);
  core::LogLine("fleet-cut")
      .add("instances", m_Fleet.size())
      .add("groups", m_Share.groups())
      .add("near", m_Share.near().size());
  m_Hooks.m_Recut(m_Share);
}

bool PeerLink::mustFollowStore() const {
  return m_Share.groups() == 1 || followersBefore() < FollowersInFleet;
}

std::size_t PeerLink::missing() const {
  const auto &All = m_Missing.all();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [this](const auto &Each) {
        return m_Share.groups() == 1 || m_Share.isNear(Each.first);
      }));
}

bool PeerLink::isStoreHeard() const {
  return m_Reported.m_IsStoreConnected ||
         std::any_of(m_Reports.begin(), m_Reports.end(), [](const auto &Each) {
           return Each.second.m_IsStoreConnected;
         });
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
  std::size_t Seen = 1 + m_Reports.size() + m_Missing.all().size();
  return isSettled() ? Seen : std::max(Seen, m_RecordedSize);
}

std::size_t PeerLink::followersBefore() const {
  // By a hash, so that they lie in several data halls.
  std::uint64_t Self = core::stableHash(m_Settings.m_PeerAddress.toString());
  std::size_t Before = 0;
  for (const auto &[Incarnation, Report] : m_Reports) {
    auto Peer = m_Directory.all().find(Incarnation);
    if (Peer != m_Directory.all().end() && Report.m_IsStoreConnected &&
        core::stableHash(Peer->second.m_Home.m_Peer.toString()) < Self)
      ++Before;
  }
  return Before;
}

bool PeerLink::isNear(core::IncarnationId Peer) const {
  auto Found = m_Directory.all().find(Peer);
  return Found != m_Directory.all().end() &&
         m_Share.isNear(Found->second.m_Home.m_Peer);
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
    std::set<config::Endpoint> To = nearPeers();
    // Each group has to hear soon that the store said something new.
    if (IsLarge && hasStoreNews())
      To.merge(someFarPeers(m_Share.groups()));
    return sendReport(To, false);
  }
  m_SoughtAt = Now;
  recut();
  std::set<config::Endpoint> To = nearPeers();
  To.merge(someFarPeers((m_Fleet.size() + FarTurns - 1) / FarTurns));
  To.insert(m_Hinted.begin(), m_Hinted.end());
  for (const auto &[Address, Since] : m_Missing.all())
    To.insert(Address);
  sendReport(To, true);
}

bool PeerLink::hasStoreNews() const {
  return m_Reported.m_StoreRevision < m_Mirror.revision().value() ||
         m_Reported.m_WholeRevision < m_Mirror.wholeRevision().value();
}

void PeerLink::expire(core::TimePoint Now) {
  std::vector<peer::KnownPeer> Silent;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    if (Now - Peer.m_HeardAt > NearSilence && m_Reports.count(Incarnation) &&
        m_Share.isNear(Peer.m_Home.m_Peer))
      Silent.push_back(Peer);
  for (const peer::KnownPeer &Gone : m_Directory.expire(Now))
    Silent.push_back(Gone);
  for (const peer::KnownPeer &Gone : Silent)
    noteSilent(Gone, Now);
  if (isStoreHeard())
    m_Missing.forgetOld(Now);
  m_IsChanged = m_IsChanged || !Silent.empty();
}

void PeerLink::noteSilent(const peer::KnownPeer &Gone, core::TimePoint Now) {
  auto Report = m_Reports.find(Gone.m_Home.m_Incarnation);
  if (Report == m_Reports.end())
    return;
  bool HasStopped = Report->second.m_IsStopping;
  if (!HasStopped)
    m_Missing.lost(Gone.m_Home.m_Peer, Now);
  core::LogLine("peer-lost", core::LogLevel::Warning)
      .add("peer", Report->second.m_Name)
      .add("address", Gone.m_Home.m_Peer.toString())
      .add("has_stopped", HasStopped);
  m_Reports.erase(Report);
}

void PeerLink::sendReport(const std::set<config::Endpoint> &To, bool IsFull) {
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
  std::vector<decision::Home> Known;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    Known.push_back(Peer.m_Home);
  if (IsFull)
    std::sample(Known.begin(), Known.end(), std::back_inserter(Report.m_Others),
                HintsInReport, m_Random);
  std::string Datagram = encode(std::move(Report));
  for (const config::Endpoint &Address : To)
    m_Socket.send(Datagram, Address);
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
  for (const auto &[Incarnation, Report] : m_Reports) {
    platform::Revision Known(Report.m_StoreRevision);
    platform::Revision Whole(Report.m_WholeRevision);
    if (!(m_Mirror.revision() < Known) && !(m_Mirror.wholeRevision() < Whole))
      continue;
    auto Peer = m_Directory.all().find(Incarnation);
    if (Peer != m_Directory.all().end())
      Ahead.push_back({Peer->second.m_Home.m_Peer, Known, Whole,
                       Report.m_DataHall == m_Settings.m_DataHall});
  }
  // One that does not ask the store has nothing to wait for. Asked only when
  // it matters: it hashes the addresses of all peers.
  bool IsPatient = !Ahead.empty() && mustFollowStore();
  m_Fetcher.consider(Ahead, IsPatient, Now);
}

} // namespace yardrill::gateway
