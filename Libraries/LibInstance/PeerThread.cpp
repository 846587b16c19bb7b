#include "LibInstance/PeerThread.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibHTTP/ClientConnection.h"

#include <algorithm>
#include <boost/asio.hpp>

namespace yardrill::instance {

namespace asio = boost::asio;
using core::Error;

/// Heartbeats go to all peers up to this number; in a larger fleet they go to
/// HeartbeatSampleSize random peers, so that the traffic of an instance does
/// not grow with the fleet (docs/CAPACITY.md).
static const std::size_t MaxPeersWithoutSampling = 8;
static const std::size_t HeartbeatSampleSize = 3;
static const std::size_t RecentPeersPerHeartbeat = 2;
static const std::size_t MaxHintedPeers = 64;
static const std::chrono::seconds FetchTimeout(2);
static const std::size_t MaxEnvelopeBytes = 4UL * 1024 * 1024;

PeerThread::PeerThread(const config::InstanceSettings &Settings,
                       decision::InstanceRef Self,
                       ActiveConfiguration &Configuration,
                       metrics::MetricsRegistry &Metrics,
                       std::function<void(decision::Event)> Push)
    : m_Thread("peers"), m_Timers(m_Thread.context()), m_Settings(Settings),
      m_Self(std::move(Self)), m_Configuration(Configuration),
      m_Metrics(Metrics), m_Push(std::move(Push)),
      m_Codec(Settings.m_Peers.m_Key),
      m_Directory(Settings.m_Peers.m_MaxKnownPeers,
                  Settings.m_Peers.m_SilenceTimeout),
      m_Signature(Settings.m_Peers.m_Key),
      m_Actions(Settings.m_QueueCapacity, m_Thread.makeWaker([this] {
        m_Actions.drain([this](const decision::Action &CoreAction) {
          handleAction(CoreAction);
        });
      })),
      m_Socket(m_Thread.context(), Settings.m_PeerAddress, m_Codec),
      m_Random(core::randomBits()) {}

PeerThread::~PeerThread() { stop(); }

void PeerThread::start() {
  m_Socket.start(
      {[this](const peer::PeerMessage &Message) { handleMessage(Message); },
       [this](peer::DropReason Reason) { countDropped(Reason); }});
  m_Timers.subscribe(m_Settings.m_Peers.m_HeartbeatPeriod,
                     [this](core::TimePoint Now) { sendHeartbeats(Now); });
  m_Thread.start();
}

void PeerThread::push(const decision::Action &CoreAction) {
  m_Actions.push(CoreAction);
}

void PeerThread::setListedPeers(std::vector<config::Endpoint> Addresses) {
  asio::post(m_Thread.context(), [this, Addresses = std::move(Addresses)] {
    m_ListedPeers = Addresses;
    updateInstanceCount();
  });
}

void PeerThread::setStopping() {
  asio::post(m_Thread.context(), [this] { m_IsStopping = true; });
}

std::vector<PeerStatus> PeerThread::status() const {
  std::lock_guard<std::mutex> Lock(m_StatusMutex);
  return m_Status;
}

//===----------------------------------------------------------------------===//
// Receiving
//===----------------------------------------------------------------------===//

void PeerThread::countDropped(peer::DropReason Reason) {
  m_Metrics.count(peer::droppedCounterName(Reason));
}

void PeerThread::handleMessage(const peer::PeerMessage &Message) {
  if (Message.m_From == m_Self)
    return;
  core::TimePoint Now = core::steadyNow();
  auto Reason = m_Directory.accept(Message, Now, core::wallSeconds().count());
  if (Reason)
    return countDropped(*Reason);
  m_HintedPeers.erase(Message.m_From.m_Peer);
  updateInstanceCount();
  if (const auto *Beat = std::get_if<peer::Heartbeat>(&Message.m_Body))
    return handleHeartbeat(Message, *Beat);
  if (const auto *Command =
          std::get_if<decision::ThresholdCommand>(&Message.m_Body))
    return m_Push(*Command);
  if (const auto *Report =
          std::get_if<decision::ThresholdReport>(&Message.m_Body))
    m_Push(*Report);
}

void PeerThread::handleHeartbeat(const peer::PeerMessage &Message,
                                 const peer::Heartbeat &Beat) {
  for (const decision::InstanceRef &Other : Beat.m_RecentPeers)
    if (!(Other == m_Self) && m_HintedPeers.size() < MaxHintedPeers &&
        m_Directory.all().count(Other.m_Incarnation) == 0)
      m_HintedPeers.insert(Other.m_Peer);
  if (!(m_Configuration.version() < Beat.m_Version) || m_IsFetching)
    return;
  m_IsFetching = true;
  asio::spawn(
      m_Thread.context(),
      [this, From = Message.m_From.m_Peer](asio::yield_context Yield) {
        fetchConfiguration(From, Yield);
      },
      asio::detached);
}

void PeerThread::fetchConfiguration(const config::Endpoint &From,
                                    asio::yield_context Yield) {
  try {
    auto Connection = http::ClientConnection::connect(
        m_Thread.context(), From.toTcp(), FetchTimeout, Yield);
    http::RequestMessage Request;
    Request.m_Method = "GET";
    Request.m_Target = "/peer/configuration";
    Request.m_Headers.set("Host", From.toString());
    m_Signature.sign(Request, core::wallSeconds().count());
    Connection->sendRequest(Request, FetchTimeout, Yield);
    auto Response =
        Connection->readResponse(FetchTimeout, MaxEnvelopeBytes, Yield);
    if (Response.m_Head.m_Status == 200)
      m_Configuration.offer(ConfigurationEnvelope::parse(Response.m_Body));
  } catch (const std::exception &Failure) {
    core::LogLine("configuration-fetch-failed", core::LogLevel::Warning)
        .add("peer", From.toString())
        .add("reason", Failure.what());
  }
  m_IsFetching = false;
}

//===----------------------------------------------------------------------===//
// Sending
//===----------------------------------------------------------------------===//

void PeerThread::handleAction(const decision::Action &CoreAction) {
  core::TimePoint Now = core::steadyNow();
  if (const auto *Command =
          std::get_if<decision::SendThresholdCommand>(&CoreAction)) {
    send(Command->m_To.m_Peer, Command->m_Command);
    return reportIfGone(Command->m_To, Now);
  }
  if (const auto *Report =
          std::get_if<decision::SendThresholdReport>(&CoreAction))
    send(Report->m_To.m_Peer, Report->m_Report);
}

void PeerThread::send(const config::Endpoint &To, peer::PeerBody Body) {
  peer::PeerMessage Message;
  Message.m_From = m_Self;
  Message.m_Sequence = m_NextSequence++;
  Message.m_WallSeconds = core::wallSeconds().count();
  Message.m_Body = std::move(Body);
  std::string Datagram = m_Codec.encode(Message);
  m_Socket.send(Datagram, To);
  m_Metrics.count("yardrill_peer_bytes_sent_total", Datagram.size());
}

peer::Heartbeat PeerThread::makeHeartbeat() {
  peer::Heartbeat Out;
  Out.m_Name = m_Settings.m_Name;
  if (auto Current = m_Configuration.current()) {
    Out.m_Version = Current->version();
    Out.m_Digest = Current->digest();
  }
  Out.m_IsStopping = m_IsStopping;
  std::vector<decision::InstanceRef> Known;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    Known.push_back(Peer.m_Instance);
  std::sample(Known.begin(), Known.end(), std::back_inserter(Out.m_RecentPeers),
              RecentPeersPerHeartbeat, m_Random);
  return Out;
}

std::vector<config::Endpoint> PeerThread::heartbeatRecipients() {
  std::set<config::Endpoint> All(m_ListedPeers.begin(), m_ListedPeers.end());
  All.insert(m_Settings.m_Peers.m_Seeds.begin(),
             m_Settings.m_Peers.m_Seeds.end());
  All.insert(m_HintedPeers.begin(), m_HintedPeers.end());
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    All.insert(Peer.m_Instance.m_Peer);
  All.erase(m_Self.m_Peer);
  std::size_t Count =
      All.size() <= MaxPeersWithoutSampling ? All.size() : HeartbeatSampleSize;
  std::vector<config::Endpoint> Recipients;
  std::sample(All.begin(), All.end(), std::back_inserter(Recipients), Count,
              m_Random);
  return Recipients;
}

void PeerThread::sendHeartbeats(core::TimePoint Now) {
  peer::Heartbeat Beat = makeHeartbeat();
  for (const config::Endpoint &To : heartbeatRecipients())
    send(To, Beat);
  for (const peer::KnownPeer &Expired : m_Directory.expire(Now))
    core::LogLine("peer-silent", core::LogLevel::Warning)
        .add("instance", Expired.m_LastHeartbeat.m_Name)
        .add("peer", Expired.m_Instance.m_Peer.toString());
  updateInstanceCount();
  publishStatus(Now);
}

void PeerThread::updateInstanceCount() {
  std::size_t Count =
      std::max(m_Directory.all().size() + 1, m_ListedPeers.size());
  if (Count == m_LastInstanceCount)
    return;
  m_LastInstanceCount = Count;
  m_Push(decision::InstanceCountChanged{static_cast<std::uint32_t>(Count)});
}

void PeerThread::reportIfGone(const decision::InstanceRef &Member,
                              core::TimePoint Now) {
  // Silence alone may mean that the member is suspended or unreachable. It
  // counts as gone when, in addition, its address is unlisted or used by
  // another process.
  if (m_Directory.all().count(Member.m_Incarnation) != 0) {
    m_FirstCommandAt.erase(Member.m_Incarnation);
    return;
  }
  core::TimePoint FirstAt =
      m_FirstCommandAt.emplace(Member.m_Incarnation, Now).first->second;
  if (Now - FirstAt < m_Settings.m_Peers.m_SilenceTimeout)
    return;
  bool IsListed = std::find(m_ListedPeers.begin(), m_ListedPeers.end(),
                            Member.m_Peer) != m_ListedPeers.end();
  bool IsReplaced = Member.m_Peer == m_Self.m_Peer;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    IsReplaced = IsReplaced || Peer.m_Instance.m_Peer == Member.m_Peer;
  if (IsListed && !IsReplaced)
    return;
  m_FirstCommandAt.erase(Member.m_Incarnation);
  core::LogLine("member-gone", core::LogLevel::Warning)
      .add("incarnation", Member.m_Incarnation)
      .add("peer", Member.m_Peer.toString())
      .add("is_listed", IsListed)
      .add("is_replaced", IsReplaced);
  m_Push(decision::MemberGone{Member.m_Incarnation});
}

void PeerThread::publishStatus(core::TimePoint Now) {
  std::vector<PeerStatus> Next;
  for (const auto &[Incarnation, Peer] : m_Directory.all())
    Next.push_back({Peer.m_LastHeartbeat.m_Name, Peer.m_Instance,
                    Peer.m_LastHeartbeat.m_Version, Now - Peer.m_LastSeenAt,
                    Peer.m_LastHeartbeat.m_IsStopping});
  m_Metrics.setGauge("yardrill_peers", static_cast<double>(Next.size()));
  std::lock_guard<std::mutex> Lock(m_StatusMutex);
  m_Status = std::move(Next);
}

} // namespace yardrill::instance
