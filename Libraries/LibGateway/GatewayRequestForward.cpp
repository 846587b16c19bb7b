//===-- GatewayRequestForward.cpp - Requests passed on to a peer ----------===//
#include "LibGateway/GatewayRequest.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;
using routing::PathState;

/// Peers that a request is offered to, one after the other.
static constexpr std::size_t MaxPeersTried = 3;
/// Time for which an idle connection to a peer is kept.
static constexpr std::chrono::seconds PeerConnectionIdleTime{10};

bool GatewayRequest::shouldForward() const {
  const routing::PoolPaths &Paths = m_Owner.m_Paths.paths();
  if (Paths.areAllOpen() || m_Ticket || m_IsForwardExhausted ||
      m_Owner.isPastSendPeriod(core::steadyNow()))
    return false;
  PathState State = Paths.stateOf(m_Pool);
  if (State == PathState::Open ||
      (State == PathState::NoNewConnections && !m_WasNotSent))
    return false;
  return m_Owner.m_ForwardingPeers.hasPeer(m_Pool, m_Regions,
                                           core::steadyNow());
}

void GatewayRequest::handleLostPath(const core::PoolName &Pool) {
  if (m_Pool == Pool && shouldForward())
    refuseIfWaiting();
}

AttemptOutcome GatewayRequest::forward(asio::yield_context Yield) {
  m_Target.reset();
  std::set<config::Endpoint> Tried;
  while (Tried.size() < MaxPeersTried && timeLeft() > MinRetryTime) {
    auto Peer = m_Owner.m_ForwardingPeers.choose(m_Pool, m_Regions, Tried,
                                                 core::steadyNow());
    if (!Peer)
      break;
    Tried.insert(*Peer);
    m_Timing.noteAttempt(core::steadyNow());
    m_Owner.m_ForwardingPeers.recordStart(*Peer);
    AttemptOutcome Outcome = forwardTo(*Peer, Yield);
    m_Owner.m_ForwardingPeers.recordEnd(*Peer);
    if (Outcome != AttemptOutcome::NotSent)
      return Outcome;
    m_Owner.m_ForwardingPeers.recordFailure(*Peer, core::steadyNow());
  }
  return AttemptOutcome::NotSent;
}

AttemptOutcome GatewayRequest::forwardTo(const config::Endpoint &Peer,
                                         asio::yield_context Yield) {
  core::LogLine("request-forwarded")
      .add("request", m_Description.m_Id)
      .add("pool", m_Pool)
      .add("peer", Peer.toString())
      .add("try", m_Timing.attempts())
      .add("waited_us", core::steadyNow() - m_Timing.arrivedAt())
      .add("unread_us", m_UnreadTime);
  m_Owner.m_Metrics.count("yardrill_forwarded_requests_total");
  auto Address = Peer.toTcp();
  std::unique_ptr<http::ClientConnection> Connection;
  try {
    Connection = m_Owner.m_PeerConnections.acquire(Address, false, Yield);
  } catch (const Error &Failure) {
    logForwardFailure(Peer, Failure.what());
    return AttemptOutcome::NotSent;
  }
  if (hasCallerLeft()) {
    m_Owner.m_PeerConnections.release(Address, std::move(Connection),
                                      PeerConnectionIdleTime);
    return AttemptOutcome::CallerGone;
  }
  m_Connection = Connection.get();
  AttemptOutcome Result = AttemptOutcome::Failed;
  try {
    Result = exchangeWithPeer(*Connection, Peer, Yield);
  } catch (const Error &Failure) {
    m_Reason = m_IsBrokenOff ? "stopping" : "peer-broke";
    logForwardFailure(Peer, Failure.what());
  }
  m_Connection = nullptr;
  core::LogLine("forward-ended")
      .add("request", m_Description.m_Id)
      .add("peer", Peer.toString())
      .add("outcome", toString(Result))
      .add("sent_on_connection", Connection->requestsSent());
  if (Connection->isResponseComplete())
    m_Owner.m_PeerConnections.release(Address, std::move(Connection),
                                      PeerConnectionIdleTime);
  if (m_IsCallerGone && Result != AttemptOutcome::Complete)
    return AttemptOutcome::CallerGone;
  // The peer may have sent it to a target.
  if (Result == AttemptOutcome::Failed)
    ++m_PossibleExecutions;
  return Result;
}

void GatewayRequest::logForwardFailure(const config::Endpoint &Peer,
                                       const char *Reason) const {
  core::LogLine("forward-failed", core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("peer", Peer.toString())
      .add("reason", Reason);
}

AttemptOutcome
GatewayRequest::exchangeWithPeer(http::ClientConnection &Connection,
                                 const config::Endpoint &Peer,
                                 asio::yield_context Yield) {
  http::RequestMessage &Request = m_Caller.request();
  RequestDescription Original = m_Description;
  Original.m_LastEvent = lastEvent();
  // An earlier attempt at a target may have replaced these headers.
  m_Owner.m_Wire.restore(Request, Original);
  peer::ForwardTicket Ticket;
  Ticket.m_To = Peer;
  Ticket.m_RequestId = m_Description.m_Id;
  Ticket.m_Content = m_Content.toString();
  Ticket.m_ElapsedUs = std::chrono::duration_cast<std::chrono::microseconds>(
                           core::steadyNow() - m_Timing.arrivedAt())
                           .count();
  Ticket.m_Version = m_Table->version();
  Ticket.m_PossibleExecutions = m_PossibleExecutions;
  if (auto Version = requiredVersion()) {
    Ticket.m_StreamPool = m_StreamOrigin->m_Pool;
    Ticket.m_StreamVersion = Version->value();
  }
  Request.m_Headers.set(peer::ForwardTicketHeader,
                        m_Owner.m_Peers->signTicket(std::move(Ticket)));
  std::string Attempt = std::to_string(m_Owner.m_ForwardIds.next());
  Request.m_Headers.set(peer::ForwardAttemptHeader, Attempt);
  m_IsHandedOn = true;
  Connection.sendRequest(Request, timeLeft(), Yield);
  Request.m_Headers.remove(peer::ForwardTicketHeader);
  Request.m_Headers.remove(peer::ForwardAttemptHeader);
  http::ResponseHead Head = readMatchingHead(
      Connection,
      [&Attempt](const http::ResponseHead &Each) {
        const std::string *Stated =
            Each.m_Headers.find(peer::ForwardAttemptHeader);
        return Stated && *Stated == Attempt;
      },
      Peer.toString(), Yield);
  Head.m_Headers.remove(peer::ForwardAttemptHeader);
  const std::string *OwnOutcome =
      Head.m_Headers.find(peer::ForwardOutcomeHeader);
  if (!OwnOutcome) {
    if (!readStreamOrigin(Head)) {
      m_Reason = "resume-refused";
      return AttemptOutcome::Failed;
    }
    return relayResponse(Connection, Head, m_Owner.m_Wire.describe(Head), false,
                         Yield);
  }
  bool IsNotTaken = *OwnOutcome == peer::OutcomeNotTaken;
  Head.m_Headers.remove(peer::ForwardOutcomeHeader);
  http::ResponseMessage Response =
      m_Relay.readResponse(Connection, Head, Yield);
  if (IsNotTaken)
    return AttemptOutcome::NotSent;
  m_Reason = "peer-refused";
  // Its response can't follow the beginning of another one.
  if (m_Relay.isStarted())
    return AttemptOutcome::Failed;
  m_IsPeerRefusal = true;
  return m_Relay.sendResponse(std::move(Response), Yield);
}

//===----------------------------------------------------------------------===//
// Requests that a peer has forwarded
//===----------------------------------------------------------------------===//

const char *GatewayRequest::reasonNotToTake() {
  if (m_Ticket->m_RequestId != m_Description.m_Id)
    return "another-request";
  if (m_Owner.m_StoppingSince != core::TimePoint())
    return "stopping";
  // What a newer configuration admits may be forbidden by an older one, and the
  // other way round.
  if (!m_Table || m_Table->version() < m_Ticket->m_Version)
    return "configuration-behind";
  if (!m_ForwardedBody.tryExtend(m_Caller.request().m_Body.size()))
    return "no-memory";
  return nullptr;
}

const char *GatewayRequest::reasonNotToSend() const {
  if (m_Content.toString() != m_Ticket->m_Content)
    return "another-content";
  if (m_Owner.m_Paths.paths().stateOf(m_Pool) != PathState::Open)
    return "path-lost";
  return nullptr;
}

void GatewayRequest::describeForPeer(http::ResponseHead &Head) const {
  if (!m_Ticket)
    return;
  // Only this instance may say that the response is its own.
  Head.m_Headers.remove(peer::ForwardOutcomeHeader);
  Head.m_Headers.set(peer::ForwardAttemptHeader, m_ForwardAttempt);
  stateStreamOrigin(Head);
}

void GatewayRequest::declineForwarded(const char *Reason,
                                      asio::yield_context Yield) {
  m_ForwardOutcome = peer::OutcomeNotTaken;
  respond(503, Reason, core::Duration::zero(), Yield);
}

} // namespace yardrill::gateway
