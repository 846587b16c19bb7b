//===-- PeerService.cpp - Communication with other instances --------------===//
#include "LibGateway/PeerService.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Period of the log lines about what was sent.
static constexpr std::chrono::seconds TrafficLogPeriod{10};

PeerService::PeerService(asio::io_context &Context,
                         const GatewaySettings &Settings,
                         platform::StoreMirror &Mirror,
                         metrics::MetricsRegistry &Metrics,
                         PeerServiceHooks Hooks)
    : m_Context(Context),
      m_Metrics(Metrics), m_Self{core::IncarnationId(core::randomBits()),
                                 Settings.m_PeerAddress},
      m_Codec(Settings.m_PeerKey),
      m_Socket(Context, Settings.m_PeerAddress, m_Codec),
      m_Fetcher(Context, Settings.m_PeerAddress, m_Codec, Mirror, Metrics,
                Settings.m_LinkBytesPerSecond),
      m_Exchange(m_Self, Settings, Mirror, exchangeHooks(std::move(Hooks)),
                 core::steadyNow(), core::randomBits()) {}

PeerService::~PeerService() = default;

PeerExchangeHooks PeerService::exchangeHooks(PeerServiceHooks Hooks) {
  PeerExchangeHooks Out;
  Out.m_Send = [this](const std::vector<config::Endpoint> &To,
                      const peer::PeerBody &Body) { send(To, Body); };
  Out.m_Defer = [this](std::function<void()> Call) {
    asio::post(m_Context, std::move(Call));
  };
  Out.m_FillReport = std::move(Hooks.m_FillReport);
  Out.m_Changed = std::move(Hooks.m_Changed);
  Out.m_LargestPoolSize = std::move(Hooks.m_LargestPoolSize);
  Out.m_Repartitioned = std::move(Hooks.m_Repartitioned);
  Out.m_MessageReceived = std::move(Hooks.m_MessageReceived);
  return Out;
}

void PeerService::start(core::TimerService &Timers) {
  m_Socket.start(
      {[this](const peer::PeerMessage &Message) { receive(Message); },
       [this](peer::DropReason Reason) { drop(Reason); }});
  Timers.subscribe(PeerExchange::TickPeriod,
                   [this](core::TimePoint Now) { tick(Now); });
  m_Exchange.start();
}

void PeerService::receive(const peer::PeerMessage &Message) {
  auto Dropped = m_Exchange.handle(Message, core::steadyNow(),
                                   core::wallSeconds().count());
  if (Dropped)
    drop(*Dropped);
}

void PeerService::drop(peer::DropReason Reason) {
  m_Metrics.count(peer::droppedCounterName(Reason));
}

void PeerService::tick(core::TimePoint Now) {
  m_Exchange.tick(Now);
  fetchIfBehind(Now);
  logTraffic(Now);
}

void PeerService::fetchIfBehind(core::TimePoint Now) {
  std::vector<FetchCandidate> PeersAhead;
  if (m_Exchange.isBehind())
    PeersAhead = m_Exchange.peersAhead(Now);
  // Only a follower can expect the same from the store.
  bool MayWaitForStore = !PeersAhead.empty() && mustFollowStore();
  m_Fetcher.fetchIfDue(PeersAhead, MayWaitForStore, Now);
}

void PeerService::send(const std::vector<config::Endpoint> &To,
                       const peer::PeerBody &Body) {
  peer::PeerMessage Message;
  Message.m_From = m_Self;
  Message.m_Sequence = ++m_Sequence;
  Message.m_WallSeconds = core::wallSeconds().count();
  Message.m_Body = Body;
  std::string Datagram;
  try {
    Datagram = m_Codec.encode(Message);
  } catch (const core::Error &Failure) {
    // Its sender must split it. Other messages must go on.
    core::LogLine("peer-message-unsent", core::LogLevel::Error)
        .add("purpose", peer::purposeOf(Body))
        .add("reason", Failure.what());
    return;
  }
  countSent(Body, To.size(), Datagram.size());
  for (const config::Endpoint &Address : To)
    m_Socket.send(Datagram, Address);
}

void PeerService::countSent(const peer::PeerBody &Body, std::size_t Receivers,
                            std::size_t Bytes) {
  std::string Purpose = peer::purposeOf(Body);
  Traffic &Sent = m_Sent[Purpose];
  Sent.m_Datagrams += Receivers;
  Sent.m_Bytes += Receivers * Bytes;
  m_Metrics.count("yardrill_peer_sent_bytes_" + Purpose + "_total",
                  Receivers * Bytes);
}

void PeerService::logTraffic(core::TimePoint Now) {
  if (Now - m_TrafficLoggedAt < TrafficLogPeriod)
    return;
  m_TrafficLoggedAt = Now;
  core::LogLine Line("peer-traffic");
  for (const auto &[Purpose, Sent] : m_Sent)
    Line.add((Purpose + "_datagrams").c_str(), Sent.m_Datagrams)
        .add((Purpose + "_bytes").c_str(), Sent.m_Bytes);
  m_Sent.clear();
}

void PeerService::send(const config::Endpoint &To, const peer::PeerBody &Body) {
  send(std::vector<config::Endpoint>{To}, Body);
}

bool PeerService::isDiscoveryDone() const {
  return m_Exchange.isDiscoveryDone(core::steadyNow());
}

bool PeerService::isRecordWriter() const {
  return m_Exchange.isRecordWriter(core::steadyNow());
}

} // namespace yardrill::gateway
