#include "LibInstance/OpenRequest.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/ip/address.hpp>

namespace yardrill::instance {

namespace asio = boost::asio;
using core::Error;
using decision::RefusalKind;
using decision::ResponseOutcome;

OpenRequest::OpenRequest(TrafficThread &Traffic, http::Exchange &Caller,
                         ParsedRequest Request)
    : m_Traffic(Traffic), m_Caller(Caller), m_Request(std::move(Request)),
      m_Id(m_Request.m_Arrival.m_Request),
      m_PrintableId(Traffic.printableId(m_Id)),
      m_Labels{m_Request.m_Arrival.m_Account, m_Request.m_Arrival.m_Tier,
               m_Request.m_Arrival.m_Pool},
      m_WakeTimer(Traffic.m_Thread.context()), m_ArrivedAt(core::steadyNow()) {
  m_Traffic.m_OpenRequests.emplace(m_Id, this);
  m_Request.m_TargetRequest.m_Headers.set("Yardrill-Request-Id", m_PrintableId);
}

OpenRequest::~OpenRequest() {
  m_Traffic.m_OpenRequests.erase(m_Id);
  m_Caller.setDisconnectCallback(nullptr);
}

void OpenRequest::handleAction(decision::Action CoreAction) {
  if (m_IsBrokenOff)
    return;
  if (std::holds_alternative<decision::Cancel>(CoreAction)) {
    m_IsEvicted = true;
    logLine("request-evicted");
    if (m_Target)
      m_Target->close();
    return;
  }
  m_Actions.push_back(std::move(CoreAction));
  m_WakeTimer.cancel();
}

void OpenRequest::breakOff() {
  m_IsBrokenOff = true;
  if (m_Target)
    return m_Target->close();
  decision::Refuse Refusal;
  Refusal.m_Request = m_Id;
  Refusal.m_Kind = RefusalKind::Stopping;
  Refusal.m_RetryAfterSeconds = 1;
  m_Actions = {Refusal};
  m_WakeTimer.cancel();
}

void OpenRequest::run(asio::yield_context Yield) {
  m_Caller.setDisconnectCallback([this] { handleCallerDisconnect(); });
  if (!m_Traffic.m_Hooks.m_TryPush(m_Request.m_Arrival)) {
    sendProblem(toProblem(RefusalKind::QueueFull, 1), Yield);
    return finish("refused");
  }
  bool IsDone = false;
  while (!IsDone) {
    while (m_Actions.empty()) {
      boost::system::error_code Ignored;
      m_WakeTimer.expires_at(core::Timer::time_point::max());
      m_WakeTimer.async_wait(Yield[Ignored]);
    }
    decision::Action Next = std::move(m_Actions.front());
    m_Actions.pop_front();
    IsDone = perform(Next, Yield);
  }
}

bool OpenRequest::perform(const decision::Action &CoreAction,
                          asio::yield_context Yield) {
  if (const auto *ToDispatch = std::get_if<decision::Dispatch>(&CoreAction))
    return dispatch(*ToDispatch, Yield);
  if (const auto *Refusal = std::get_if<decision::Refuse>(&CoreAction))
    return refuse(*Refusal, Yield);
  if (const auto *ToForward = std::get_if<decision::Forward>(&CoreAction))
    forward(*ToForward, Yield);
  if (const auto *ToResend =
          std::get_if<decision::SendStoredResponse>(&CoreAction))
    sendStoredResponse(ToResend->m_Original, Yield);
  if (std::holds_alternative<decision::Drop>(CoreAction))
    finish("caller-left");
  return true;
}

void OpenRequest::handleCallerDisconnect() {
  m_IsCallerDisconnected = true;
  // A response that is being stored is read to its end: the caller may repeat
  // the request.
  if (m_Target && !m_IsStoringResponse)
    m_Target->close();
  if (!m_Target && !m_IsForwarded)
    m_Traffic.m_Hooks.m_Push(decision::CallerDisconnected{m_Id});
}

bool OpenRequest::maySend() {
  m_IsCallerDisconnected =
      m_IsCallerDisconnected || !m_Caller.isCallerConnected();
  return !m_IsCallerDisconnected || m_IsStoringResponse;
}

//===----------------------------------------------------------------------===//
// Dispatch to a target
//===----------------------------------------------------------------------===//

bool OpenRequest::dispatch(const decision::Dispatch &CoreAction,
                           asio::yield_context Yield) {
  m_IsStoringResponse = CoreAction.m_StoreResponse;
  m_TargetName = CoreAction.m_Target;
  m_Traffic.m_Metrics.observe(metrics::RequestLatency::QueueWait, m_Labels,
                              core::steadyNow() - m_ArrivedAt);
  logLine("request-dispatched");
  ResponseOutcome Outcome = ResponseOutcome::CallerDisconnected;
  if (m_IsEvicted) {
    // Cancelled before a byte was sent. Like every eviction it is reported as
    // outcome unknown, which is never wrong.
    Outcome = ResponseOutcome::Evicted;
  } else if (maySend()) {
    std::unique_ptr<http::ClientConnection> Target;
    try {
      Target = m_Traffic.m_Targets.acquire(CoreAction.m_Address.toTcp(),
                                           m_IsStoringResponse, Yield);
    } catch (const Error &Failure) {
      core::LogLine("connect-failed", core::LogLevel::Warning)
          .add("request", m_PrintableId)
          .add("target", CoreAction.m_Target)
          .add("reason", Failure.detail());
      logLine("target-finished");
      m_Traffic.m_Hooks.m_Push(decision::ConnectFailed{m_Id});
      if (m_IsCallerDisconnected)
        m_Traffic.m_Hooks.m_Push(decision::CallerDisconnected{m_Id});
      return false;
    }
    if (m_IsBrokenOff)
      return false;
    m_Target = Target.get();
    // The request may have been evicted, or its caller may have disconnected,
    // while the connection was opened.
    if (m_IsEvicted)
      Outcome = ResponseOutcome::Evicted;
    else if (maySend())
      Outcome = runAtTarget(*Target, Yield);
    m_Target = nullptr;
    if (Outcome == ResponseOutcome::Complete)
      m_Traffic.m_Targets.release(CoreAction.m_Address.toTcp(),
                                  std::move(Target));
  }
  bool IsStored = false;
  if (Outcome == ResponseOutcome::Complete && m_IsStoringResponse &&
      !m_IsTooLargeToStore)
    IsStored = m_Traffic.m_Responses.store(m_Id, std::move(m_ResponseToStore));
  // Logged before the decision thread is notified, so that in the logs of all
  // instances a shed that this completion permits comes later.
  logLine("target-finished");
  m_Traffic.m_Hooks.m_Push(
      decision::ResponseEnded{m_Id, Outcome, IsStored, m_OutputTokens});
  switch (Outcome) {
  case ResponseOutcome::Complete:
    finish(m_IsCallerDisconnected ? "caller-left" : "complete");
    break;
  case ResponseOutcome::Broken:
    failRequest(RefusalKind::TargetDisconnected, Yield);
    break;
  case ResponseOutcome::Evicted:
    failRequest(RefusalKind::Evicted, Yield);
    break;
  case ResponseOutcome::CallerDisconnected:
    finish("caller-left");
    break;
  }
  return true;
}

ResponseOutcome OpenRequest::runAtTarget(http::ClientConnection &Target,
                                         asio::yield_context Yield) {
  try {
    Target.sendRequest(m_Request.m_TargetRequest,
                       m_Traffic.m_Settings.m_Targets.m_SilenceTimeout, Yield);
    relay(Target, Yield);
    return ResponseOutcome::Complete;
  } catch (const Error &Failure) {
    if (m_IsEvicted)
      return ResponseOutcome::Evicted;
    if (m_IsCallerDisconnected && !m_IsStoringResponse)
      return ResponseOutcome::CallerDisconnected;
    core::LogLine("target-broke", core::LogLevel::Warning)
        .add("request", m_PrintableId)
        .add("target", m_TargetName)
        .add("reason", Failure.detail());
    return ResponseOutcome::Broken;
  }
}

void OpenRequest::sendToCaller(const std::function<void()> &Send) {
  if (m_IsCallerDisconnected)
    return;
  try {
    Send();
  } catch (const Error &) {
    m_IsCallerDisconnected = true;
  }
  if (m_IsCallerDisconnected && !m_IsStoringResponse)
    throw Error(core::ErrorKind::OutcomeUnknown, "the caller disconnected");
}

void OpenRequest::relay(http::ClientConnection &From,
                        asio::yield_context Yield) {
  core::Duration SilenceTimeout =
      m_Traffic.m_Settings.m_Targets.m_SilenceTimeout;
  http::ResponseHead Head = From.readHead(SilenceTimeout, Yield);
  m_Status = Head.m_Status;
  Head.m_Headers.removeHopByHop();
  Head.m_Headers.set("Yardrill-Request-Id", m_PrintableId);
  m_ResponseToStore.m_Head = Head;
  m_ResponseToStore.m_Head.m_ContentLength.reset();
  sendToCaller([&] { m_Caller.startStream(Head, Yield); });
  while (true) {
    std::string Data = From.readBodyData(SilenceTimeout, Yield);
    if (Data.empty())
      break;
    recordBodyData(Data);
    sendToCaller([&] { m_Caller.sendBodyData(Data, Yield); });
  }
  sendToCaller([&] { m_Caller.finishStream(Yield); });
}

/// Counts the ends of server-sent events, which are empty lines (WHATWG HTML,
/// section 9.2.5). Engines send one event per token. An end that is split
/// between two reads is not counted.
static std::uint32_t countServerSentEvents(const std::string &Data) {
  std::uint32_t Count = 0;
  for (std::size_t At = Data.find("\n\n"); At != std::string::npos;
       At = Data.find("\n\n", At + 2))
    ++Count;
  return Count;
}

void OpenRequest::recordBodyData(const std::string &Data) {
  core::TimePoint Now = core::steadyNow();
  bool IsFirst = m_LastBodyDataAt == core::TimePoint();
  m_Traffic.m_Metrics.observe(IsFirst ? metrics::RequestLatency::FirstToken
                                      : metrics::RequestLatency::BetweenTokens,
                              m_Labels,
                              Now - (IsFirst ? m_ArrivedAt : m_LastBodyDataAt));
  // The decision core has forgotten a forwarded request: its owner decides.
  if (IsFirst && !m_IsForwarded)
    m_Traffic.m_Hooks.m_Push(decision::ResponseStarted{m_Id});
  m_LastBodyDataAt = Now;
  m_OutputTokens += countServerSentEvents(Data);
  if (!m_IsStoringResponse || m_IsTooLargeToStore)
    return;
  m_ResponseToStore.m_Body += Data;
  if (m_ResponseToStore.m_Body.size() >
      m_Traffic.m_Responses.maxResponseBytes()) {
    m_IsTooLargeToStore = true;
    m_ResponseToStore.m_Body.clear();
  }
}

//===----------------------------------------------------------------------===//
// Refusals, repeats and forwarding
//===----------------------------------------------------------------------===//

void OpenRequest::failRequest(RefusalKind Kind, asio::yield_context Yield) {
  if (m_Caller.isStreamStarted())
    // A partial response must not look complete.
    m_Caller.abort();
  else
    sendProblem(
        toProblem(Kind, decision::describe(Kind).m_IsRetryUseful ? 1 : 0),
        Yield);
  finish(decision::describe(Kind).m_Type);
}

bool OpenRequest::refuse(const decision::Refuse &CoreAction,
                         asio::yield_context Yield) {
  // Checked at the time of sending: the process may have been suspended since
  // the decision.
  std::int64_t Now = core::steadyNow().time_since_epoch().count();
  bool HasTimeLimit = CoreAction.m_ValidUntil != 0;
  bool IsSent = !HasTimeLimit || Now < CoreAction.m_ValidUntil;
  if (HasTimeLimit)
    m_Traffic.m_Hooks.m_Push(decision::RefusalSettled{m_Id, IsSent});
  if (!IsSent)
    return false;
  logLine("request-refused", decision::describe(CoreAction.m_Kind).m_Type);
  sendProblem(toProblem(CoreAction.m_Kind, CoreAction.m_RetryAfterSeconds),
              Yield);
  finish(decision::describe(CoreAction.m_Kind).m_Type);
  return true;
}

void OpenRequest::sendStoredResponse(core::RequestId Original,
                                     asio::yield_context Yield) {
  StoredResponse Stored = m_Traffic.m_Responses.find(Original);
  if (!Stored) {
    sendProblem(toProblem(RefusalKind::ResponseNotStored, 0), Yield);
    return finish("answer-not-kept");
  }
  http::ResponseMessage Response = *Stored;
  m_Status = Response.m_Head.m_Status;
  sendToCaller([&] { m_Caller.sendResponse(std::move(Response), Yield); });
  finish("complete-again");
}

void OpenRequest::forward(const decision::Forward &CoreAction,
                          asio::yield_context Yield) {
  m_IsForwarded = true;
  http::RequestMessage Request = m_Caller.request();
  Request.m_Headers.removeHopByHop();
  Request.m_Headers.remove("Authorization");
  Request.m_Headers.set(AccountHeader, m_Request.m_Arrival.m_Account.value());
  m_Traffic.m_Signature.sign(Request, core::wallSeconds().count());
  try {
    auto Owner = m_Traffic.m_Targets.acquire(CoreAction.m_Owner.m_Peer.toTcp(),
                                             true, Yield);
    if (m_IsBrokenOff)
      return failRequest(RefusalKind::Stopping, Yield);
    if (!maySend())
      return finish("caller-left");
    m_Target = Owner.get();
    Owner->sendRequest(Request, m_Traffic.m_Settings.m_Targets.m_SilenceTimeout,
                       Yield);
    relay(*Owner, Yield);
    m_Target = nullptr;
    finish("forwarded");
  } catch (const Error &Failure) {
    m_Target = nullptr;
    core::LogLine("forward-failed", core::LogLevel::Warning)
        .add("request", m_PrintableId)
        .add("home", CoreAction.m_Owner.m_Peer.toString())
        .add("reason", Failure.detail());
    failRequest(RefusalKind::OwnerLost, Yield);
  }
}

void OpenRequest::logLine(const char *Event, const char *Kind) const {
  core::LogLine Line(Event);
  Line.add("request", m_PrintableId)
      .add("tier", m_Labels.m_Tier)
      .add("pool", m_Labels.m_Pool);
  if (Kind)
    Line.add("kind", Kind);
  else
    Line.add("target", m_TargetName);
}

void OpenRequest::sendProblem(const Problem &Details,
                              asio::yield_context Yield) {
  m_Status = Details.m_Status;
  if (m_IsCallerDisconnected)
    return;
  try {
    m_Caller.sendResponse(toResponse(Details, m_PrintableId), Yield);
  } catch (const Error &) {
    m_IsCallerDisconnected = true;
  }
}

void OpenRequest::finish(const std::string &Outcome) {
  core::Duration Total = core::steadyNow() - m_ArrivedAt;
  m_Traffic.m_Metrics.observe(metrics::RequestLatency::Total, m_Labels, Total);
  m_Traffic.m_Metrics.countOutcome(m_Labels, Outcome);
  core::LogLine Line("request-finished");
  Line.add("request", m_PrintableId)
      .add("client_account", m_Labels.m_Account)
      .add("tier", m_Labels.m_Tier)
      .add("pool", m_Labels.m_Pool)
      .add("outcome", Outcome)
      .add("status", m_Status)
      .add("total_us", Total);
  if (!m_TargetName.value().empty())
    Line.add("target", m_TargetName);
}

} // namespace yardrill::instance
