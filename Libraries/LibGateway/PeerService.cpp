//===-- PeerService.cpp - Communication with other instances --------------===//
#include "LibGateway/PeerService.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

PeerService::PeerService(asio::io_context &Context,
                         const GatewaySettings &Settings,
                         platform::StoreMirror &Mirror,
                         metrics::MetricsRegistry &Metrics,
                         PeerExchangeHooks Hooks)
    : m_Context(Context),
      m_Metrics(Metrics), m_Self{core::IncarnationId(core::randomBits()),
                                 Settings.m_PeerAddress},
      m_Codec(Settings.m_PeerKey),
      m_Socket(Context, Settings.m_PeerAddress, m_Codec),
      m_Fetcher(Context, Settings.m_PeerAddress, m_Codec, Mirror, Metrics,
                Settings.m_LinkBytesPerSecond),
      m_Exchange(m_Self, Settings, Mirror, withTransport(std::move(Hooks)),
                 core::steadyNow(), core::randomBits()) {}

PeerService::~PeerService() = default;

PeerExchangeHooks PeerService::withTransport(PeerExchangeHooks Hooks) {
  Hooks.m_Send = [this](const std::vector<config::Endpoint> &To,
                        const peer::PeerBody &Body) { send(To, Body); };
  Hooks.m_Defer = [this](std::function<void()> Call) {
    asio::post(m_Context, std::move(Call));
  };
  return Hooks;
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
}

void PeerService::fetchIfBehind(core::TimePoint Now) {
  std::vector<FetchCandidate> PeersAhead;
  if (m_Exchange.isBehind())
    PeersAhead = m_Exchange.peersAhead();
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
    // As good as lost, which receivers have to tolerate anyway.
    core::LogLine("peer-message-not-sent", core::LogLevel::Error)
        .add("reason", Failure.what());
    return;
  }
  for (const config::Endpoint &Address : To)
    m_Socket.send(Datagram, Address);
}

void PeerService::send(const config::Endpoint &To, const peer::PeerBody &Body) {
  send(std::vector<config::Endpoint>{To}, Body);
}

std::string PeerService::signTicket(peer::ForwardTicket Ticket) const {
  Ticket.m_From = m_Self;
  Ticket.m_WallSeconds = core::wallSeconds().count();
  return Ticket.encode(m_Codec);
}

std::optional<peer::ForwardTicket>
PeerService::readTicket(const http::RequestMessage &Request) const {
  const std::string *Text = Request.m_Headers.find(peer::ForwardTicketHeader);
  if (!Text)
    return std::nullopt;
  return peer::ForwardTicket::decode(*Text, m_Codec, m_Self.m_Peer,
                                     core::wallSeconds().count());
}

bool PeerService::isDiscoveryDone() const {
  return m_Exchange.isDiscoveryDone(core::steadyNow());
}

bool PeerService::isRecordWriter() const {
  return m_Exchange.isRecordWriter(core::steadyNow());
}

} // namespace yardrill::gateway
