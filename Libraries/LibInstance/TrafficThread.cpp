#include "LibInstance/TrafficThread.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibInstance/OpenRequest.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <cstdio>
#include <future>

namespace yardrill::instance {

namespace asio = boost::asio;

static const char TicketsPath[] = "/v1/tickets";
static const char PeerConfigurationPath[] = "/peer/configuration";
static const std::int64_t MaxTicketsPerRequest = 1000;

static Problem parseErrorProblem(unsigned Status) {
  Problem Out;
  Out.m_Status = Status;
  switch (Status) {
  case 408:
    Out.m_Type = "too-slow";
    Out.m_Title = "The request was not received in time";
    break;
  case 413:
    Out.m_Type = "body-too-large";
    Out.m_Title = "The body is too large";
    break;
  case 431:
    Out.m_Type = "header-too-large";
    Out.m_Title = "The header is too large";
    break;
  case 501:
    Out.m_Type = "transfer-coding";
    Out.m_Title = "Only the chunked transfer coding is supported";
    break;
  case 505:
    Out.m_Type = "http-version";
    Out.m_Title = "Only HTTP/1.1 is supported";
    break;
  default:
    Out.m_Type = "bad-request";
    Out.m_Title = "The request is not valid HTTP";
    break;
  }
  return Out;
}

static http::ServerLimits toServerLimits(const config::CallerLimits &Limits) {
  return {Limits.m_HeaderBytes, Limits.m_BodyBytes,    Limits.m_OpenConnections,
          Limits.m_ReadTimeout, Limits.m_WriteTimeout, Limits.m_IdleTimeout};
}

TrafficThread::TrafficThread(const config::InstanceSettings &Settings,
                             const decision::InstanceRef &Self,
                             ActiveConfiguration &Configuration,
                             metrics::MetricsRegistry &Metrics,
                             TrafficHooks Hooks)
    : m_Thread("traffic"), m_Settings(Settings), m_Self(Self),
      m_Configuration(Configuration), m_Metrics(Metrics),
      m_Hooks(std::move(Hooks)),
      m_Actions(Settings.m_QueueCapacity, m_Thread.makeWaker([this] {
        m_Actions.drain([this](decision::Action CoreAction) {
          handleAction(std::move(CoreAction));
        });
      })),
      m_Tickets(Settings.m_Peers.m_Key, Self,
                Settings.m_Identities.m_Retention),
      m_Signature(Settings.m_Peers.m_Key),
      m_Responses(Settings.m_Identities.m_MaxStoreBytes,
                  Settings.m_Identities.m_MaxStoredResponseBytes),
      m_Targets(m_Thread.context(), {Settings.m_Targets.m_ConnectTimeout,
                                     Settings.m_Targets.m_MaxIdleConnections}) {
  auto Reject = [this](unsigned Status) {
    m_Metrics.count("yardrill_unreadable_requests_total");
    return toResponse(parseErrorProblem(Status), "");
  };
  http::ServerLimits Limits = toServerLimits(Settings.m_Callers);
  m_CallerServer = http::Server::create(
      m_Thread.context(), Settings.m_CallerAddress.toTcp(), Limits,
      [this](http::Exchange &Caller, asio::yield_context Yield) {
        handleCallerRequest(Caller, Yield);
      },
      Reject);
  m_PeerServer = http::Server::create(
      m_Thread.context(), Settings.m_PeerAddress.toTcp(), Limits,
      [this](http::Exchange &Peer, asio::yield_context Yield) {
        handlePeerRequest(Peer, Yield);
      },
      Reject);
}

TrafficThread::~TrafficThread() { stop(); }

void TrafficThread::push(const decision::Action &CoreAction) {
  m_Actions.push(CoreAction);
}

void TrafficThread::stopAccepting() {
  asio::post(m_Thread.context(), [this] { m_CallerServer->stopAccepting(); });
}

void TrafficThread::breakOffRequests() {
  asio::post(m_Thread.context(), [this] {
    for (const auto &[Id, Open] : m_OpenRequests)
      Open->breakOff();
  });
}

TrafficThread::Load TrafficThread::load() {
  auto Promise = std::make_shared<std::promise<Load>>();
  auto Result = Promise->get_future();
  asio::post(m_Thread.context(), [this, Promise] {
    Load Now;
    Now.m_Connections = m_CallerServer->openConnections();
    Now.m_Requests =
        m_CallerServer->openRequests() + m_PeerServer->openRequests();
    Promise->set_value(Now);
  });
  return Result.get();
}

std::string TrafficThread::printableId(core::RequestId Id) const {
  char Text[48];
  std::snprintf(Text, sizeof Text, "%016llx-%llu",
                static_cast<unsigned long long>(m_Self.m_Incarnation.value()),
                static_cast<unsigned long long>(Id.value()));
  return Text;
}

namespace {

/// Visitor that returns the request of an action, or no id for actions of other
/// threads.
struct RequestIdOf {
  core::RequestId operator()(const decision::Dispatch &CoreAction) const {
    return CoreAction.m_Request;
  }
  core::RequestId operator()(const decision::Refuse &CoreAction) const {
    return CoreAction.m_Request;
  }
  core::RequestId operator()(const decision::Drop &CoreAction) const {
    return CoreAction.m_Request;
  }
  core::RequestId operator()(const decision::Cancel &CoreAction) const {
    return CoreAction.m_Request;
  }
  core::RequestId operator()(const decision::Forward &CoreAction) const {
    return CoreAction.m_Request;
  }
  core::RequestId
  operator()(const decision::SendStoredResponse &CoreAction) const {
    return CoreAction.m_Request;
  }
  template <class Other> core::RequestId operator()(const Other &) const {
    return core::RequestId();
  }
};

} // namespace

void TrafficThread::handleAction(decision::Action CoreAction) {
  if (const auto *ToDiscard =
          std::get_if<decision::DiscardStoredResponse>(&CoreAction))
    return m_Responses.discard(ToDiscard->m_Original);
  core::RequestId Id = std::visit(RequestIdOf(), CoreAction);
  auto Found = m_OpenRequests.find(Id);
  if (Found != m_OpenRequests.end())
    Found->second->handleAction(std::move(CoreAction));
}

void TrafficThread::handleCallerRequest(http::Exchange &Caller,
                                        asio::yield_context Yield) {
  for (const char *Name : {AccountHeader, TimeHeader, SignatureHeader})
    Caller.request().m_Headers.remove(Name);
  config::ConfigurationHandle Current = m_Configuration.current();
  if (!Current) {
    Problem NotReady = toProblem(decision::RefusalKind::NotReady, 1);
    return Caller.sendResponse(toResponse(NotReady, ""), Yield);
  }
  RequestReader Reader(*Current, m_Tickets);
  auto Account = Reader.authenticate(Caller.request());
  if (const auto *Rejection = std::get_if<Problem>(&Account))
    return Caller.sendResponse(toResponse(*Rejection, ""), Yield);
  const auto *AuthenticatedAccount =
      std::get<const config::ClientAccount *>(Account);
  if (Caller.request().m_Target == TicketsPath)
    return issueTickets(Caller, *AuthenticatedAccount, Yield);
  serveRequest(Caller, *AuthenticatedAccount, Current, false, Yield);
}

void TrafficThread::serveRequest(
    http::Exchange &Caller, const config::ClientAccount &Account,
    const config::ConfigurationHandle &Configuration, bool IsForwarded,
    asio::yield_context Yield) {
  RequestReader Reader(*Configuration, m_Tickets);
  auto ReadResult = Reader.read(Caller.request(), Account);
  core::RequestId Id(m_NextRequest++);
  if (const auto *Rejection = std::get_if<Problem>(&ReadResult))
    return Caller.sendResponse(toResponse(*Rejection, printableId(Id)), Yield);
  auto &Request = std::get<ParsedRequest>(ReadResult);
  Request.m_Arrival.m_Request = Id;
  Request.m_Arrival.m_IsForwarded = IsForwarded;
  OpenRequest Open(*this, Caller, std::move(Request));
  Open.run(Yield);
}

void TrafficThread::issueTickets(http::Exchange &Caller,
                                 const config::ClientAccount &Account,
                                 asio::yield_context Yield) {
  std::int64_t Count = 1;
  boost::json::error_code Failure;
  const std::string &Body = Caller.request().m_Body;
  if (!Body.empty()) {
    boost::json::value Parsed = boost::json::parse(Body, Failure);
    const auto *Object = Parsed.if_object();
    const auto *RequestedCount =
        Object ? Object->if_contains("count") : nullptr;
    Count = RequestedCount && RequestedCount->is_int64()
                ? RequestedCount->get_int64()
                : 0;
  }
  if (Caller.request().m_Method != "POST" || Count < 1 ||
      Count > MaxTicketsPerRequest) {
    Problem Rejection;
    Rejection.m_Status = 400;
    Rejection.m_Type = "bad-ticket-request";
    Rejection.m_Title = "POST {\"count\": N} with N from 1 to 1000";
    return Caller.sendResponse(toResponse(Rejection, ""), Yield);
  }
  boost::json::array Tickets;
  core::TimePoint Now = core::steadyNow();
  for (std::int64_t I = 0; I < Count; ++I)
    Tickets.emplace_back(m_Tickets.issue(Account.m_Name, Now));
  auto Lifetime =
      std::chrono::duration_cast<std::chrono::seconds>(m_Tickets.lifetime());
  http::ResponseMessage Response;
  Response.m_Head.m_Status = 200;
  Response.m_Head.m_Headers.set("Content-Type", "application/json");
  Response.m_Body =
      boost::json::serialize(boost::json::object{
          {"tickets", Tickets}, {"expires_in_seconds", Lifetime.count()}}) +
      "\n";
  Caller.sendResponse(std::move(Response), Yield);
}

//===----------------------------------------------------------------------===//
// Requests of peers
//===----------------------------------------------------------------------===//

void TrafficThread::handlePeerRequest(http::Exchange &Peer,
                                      asio::yield_context Yield) {
  if (!m_Signature.isValid(Peer.request(), core::wallSeconds().count())) {
    m_Metrics.count("yardrill_peer_requests_rejected_total");
    Problem Rejection;
    Rejection.m_Status = 403;
    Rejection.m_Type = "not-a-peer";
    Rejection.m_Title = "The signature is not valid";
    return Peer.sendResponse(toResponse(Rejection, ""), Yield);
  }
  if (Peer.request().m_Target == PeerConfigurationPath)
    return sendConfiguration(Peer, Yield);
  config::ConfigurationHandle Current = m_Configuration.current();
  const std::string *Name = Peer.request().m_Headers.find(AccountHeader);
  const config::ClientAccount *Account = nullptr;
  if (Current && Name)
    Account = Current->findAccount(core::AccountName(*Name));
  if (!Account) {
    Problem NotReady = toProblem(decision::RefusalKind::NotReady, 1);
    return Peer.sendResponse(toResponse(NotReady, ""), Yield);
  }
  serveRequest(Peer, *Account, Current, true, Yield);
}

void TrafficThread::sendConfiguration(http::Exchange &Peer,
                                      asio::yield_context Yield) {
  http::ResponseMessage Response;
  Response.m_Head.m_Status = 200;
  Response.m_Head.m_Headers.set("Content-Type", "application/json");
  Response.m_Body = m_Configuration.envelope().toJson();
  Peer.sendResponse(std::move(Response), Yield);
}

} // namespace yardrill::instance
