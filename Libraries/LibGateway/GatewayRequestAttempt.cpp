//===-- GatewayRequestAttempt.cpp - One attempt at one target -------------===//
#include "LibGateway/GatewayRequest.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

/// Connections are no longer reused this long before the target closes them as
/// idle.
static constexpr std::chrono::milliseconds KeepAliveMargin{500};
/// Assumed idle timeout of targets that state none.
static constexpr std::chrono::seconds DefaultKeepAlive{4};
/// Time for which a connection is kept whose target has not yet stated when it
/// closes idle connections.
static constexpr std::chrono::seconds UnusedConnectionIdleTime{1};
/// Expected time of a stream by its prompt and events, and the reference time
/// to which normalizedDuration() scales. Only their ratios affect comparisons.
static constexpr double ReferenceMs = 100;
static constexpr double PromptTokensPerMs = 50;
static constexpr double EventMs = 25;
static constexpr double FirstEventMs = 10;
/// Time for which a response that the caller does not read still counts as
/// using the target's slot. Targets cut such responses off, and that can't be
/// observed: the end of the connection follows the bytes that are not read.
static constexpr std::chrono::seconds MaxUnreadSlotTime{1};
/// A caller that leaves sooner is no evidence of a slow target.
static constexpr std::chrono::seconds MinMeaningfulWait{1};
/// Late responses to earlier requests that are skipped on one connection.
static constexpr int MaxSurplusResponses = 4;
/// Bound of a body that is discarded.
static constexpr std::size_t MaxSurplusBytes = 1048576;
/// Time for which the body of a refusal is read, so that its connection can be
/// reused.
static constexpr std::chrono::milliseconds MaxRefusalBodyTime{100};
static const char EventStreamType[] = "text/event-stream";

AttemptOutcome GatewayRequest::runAttempt(asio::yield_context Yield) {
  logDispatch(m_Owner.m_Targets.findByIncarnation(m_Target->incarnation()),
              m_Owner.m_Mirror.revision(), lastEvent().value_or(""));
  if (timeLeft() <= core::Duration::zero()) {
    m_Reason = "time-over";
    return AttemptOutcome::NotSent;
  }
  http::ServerProcess Server = Gateway::serverOf(*m_Target);
  http::ExpectedResponse Expected{responseKey(), m_EndsAt};
  bool IsNew = !m_Owner.m_Connections.hasIdleFor(Server, Expected.m_Key);
  m_WasNotSent = IsNew;
  if (IsNew && shouldForward()) {
    m_Reason = "no-path";
    return AttemptOutcome::NotSent;
  }
  std::unique_ptr<http::ClientConnection> Connection;
  core::TimePoint BegunAt = core::steadyNow();
  bool IsRefused = false;
  try {
    Connection = m_Owner.m_Connections.acquireFor(Server, Expected, Yield);
    if (IsNew)
      m_Owner.m_Paths.noteConnected(m_Pool, core::steadyNow());
  } catch (const Error &Failure) {
    m_Reason = "connect-failed";
    m_Owner.m_Paths.noteConnectFailure(*m_Target, BegunAt, core::steadyNow());
    IsRefused = Failure.kind() == core::ErrorKind::Refused;
    core::LogLine("connect-failed", core::LogLevel::Warning)
        .add("request", m_Description.m_Id)
        .add("target", m_Target->m_Name)
        .add("reason", Failure.what());
  }
  if (!Connection) {
    if (IsRefused)
      noteRefusedConnection(Yield);
    return AttemptOutcome::NotSent;
  }
  // Other instances may have reported target exits while it connected.
  bool IsWithheld = isQuarantined();
  if (IsWithheld || hasCallerLeft()) {
    m_Owner.m_Connections.release(Server, std::move(Connection),
                                  UnusedConnectionIdleTime);
    return IsWithheld ? AttemptOutcome::Withheld : AttemptOutcome::CallerGone;
  }
  m_Connection = Connection.get();
  AttemptOutcome Result = AttemptOutcome::Failed;
  bool IsBroken = false;
  try {
    Result = exchange(*Connection, Yield);
  } catch (const Error &Failure) {
    bool IsTimeOver = timeLeft() <= core::Duration::zero();
    IsBroken = !IsTimeOver && !m_IsUnread && !m_IsBrokenOff;
    m_Reason = IsTimeOver      ? "time-over"
               : m_IsBrokenOff ? "stopping"
                               : "target-broke";
    core::LogLine("target-broke", core::LogLevel::Warning)
        .add("request", m_Description.m_Id)
        .add("target", m_Target->m_Name)
        .add("content", m_Content)
        .add("parts", sharedParts())
        .add("reason", Failure.what());
  }
  m_Connection = nullptr;
  m_Sending.abandon();
  m_SilentSince.reset();
  noteIfStreamLeft(*Connection, IsBroken);
  if (Result == AttemptOutcome::Complete || Result == AttemptOutcome::NotRun)
    m_Owner.m_Connections.release(Server, std::move(Connection),
                                  m_KeepAliveTime);
  // The target stops working when its connection closes.
  Connection.reset();
  if (m_IsCallerGone && Result != AttemptOutcome::Complete)
    return AttemptOutcome::CallerGone;
  if (IsBroken)
    noteBrokenResponse(Yield);
  return Result;
}

void GatewayRequest::noteIfStreamLeft(const http::ClientConnection &Connection,
                                      bool IsBroken) const {
  if (Connection.isResponseComplete() || !m_Route ||
      m_Route->m_Kind != routing::RouteKind::Stream)
    return;
  core::LogLine("stream-left", core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("target", m_Target->m_Name)
      .add("last_event", lastEvent().value_or(""))
      .add("reason", m_IsCallerGone ? "caller-gone" : m_Reason)
      .add("is_broken", IsBroken)
      .add("attempt_us", core::steadyNow() - m_Timing.attemptStartedAt());
  m_Owner.m_Metrics.count("yardrill_streams_left_total");
}

std::optional<std::string> GatewayRequest::lastEvent() const {
  return m_Relay.lastEventId().empty() ? m_Description.m_LastEvent
                                       : m_Relay.lastEventId();
}

bool GatewayRequest::isQuarantined() {
  if (m_IsTrial || !m_Owner.m_Quarantine.isQuarantined(m_Contents))
    return false;
  m_Reason = "quarantined";
  return true;
}

void GatewayRequest::noteBrokenResponse(asio::yield_context Yield) {
  // A leaving target exits anyway, whatever requests it runs.
  if (!m_Owner.m_Targets.isLeaving(m_Target->incarnation()))
    m_Owner.m_ExitDetector.noteBrokenResponse(*m_Target, m_Contents, Yield);
}

void GatewayRequest::noteRefusedConnection(asio::yield_context Yield) {
  routing::TargetIncarnation Incarnation = m_Target->incarnation();
  if (m_Owner.m_ExitDetector.hasBrokenResponses(Incarnation) &&
      m_Owner.isExitConfirmed(*m_Target, Yield))
    m_Owner.m_ExitDetector.noteTargetExit(Incarnation);
}

http::ResponseKey GatewayRequest::responseKey() const {
  return http::ResponseKey(core::stableHash(m_Description.m_Id));
}

ResponseDescription
GatewayRequest::describe(const http::ResponseHead &Head) const {
  ResponseDescription Out = m_Owner.m_Wire.describe(Head);
  // Only a target that was not asked may call the request misdirected.
  if (Out.m_IsMisdirected && Out.m_Sender == m_Target->m_Name) {
    Out.m_IsMisdirected = false;
    Out.m_IsNotRun = Out.m_HasNotRunMark;
    Out.m_IsUnprovenRefusal = !Out.m_HasNotRunMark;
  }
  return Out;
}

http::ResponseHead GatewayRequest::readMatchingHead(
    http::ClientConnection &Connection,
    const std::function<bool(const http::ResponseHead &)> &IsOwn,
    const std::string &Sender, asio::yield_context Yield) {
  for (int Surplus = 0; Surplus <= MaxSurplusResponses; ++Surplus) {
    http::ResponseHead Head =
        Connection.readHead(timeLeft() + ResponseGracePeriod, Yield);
    if (IsOwn(Head))
      return Head;
    core::LogLine("surplus-answer", core::LogLevel::Warning)
        .add("request", m_Description.m_Id)
        .add("target", Sender)
        .add("of_request", m_Owner.m_Wire.describe(Head).m_Id)
        .add("status", Head.m_Status)
        .add("sent_on_connection", Connection.requestsSent());
    m_Owner.m_Metrics.count("yardrill_surplus_responses_total");
    if (!Connection.discardBody(timeLeft() + ResponseGracePeriod,
                                MaxSurplusBytes, Yield))
      throw Error(core::ErrorKind::OutcomeUnknown,
                  "a response to an earlier request does not end");
  }
  throw Error(core::ErrorKind::OutcomeUnknown,
              "more than " + std::to_string(MaxSurplusResponses) +
                  " responses to other requests");
}

core::Duration GatewayRequest::beginRead() {
  // Bytes of a peer say nothing about the path to the targets.
  if (m_Target) {
    core::TimePoint Now = core::steadyNow();
    m_SilentSince = Now;
    m_Owner.m_Paths.noteHeard(m_Pool, Now);
  }
  return timeLeft() + ResponseGracePeriod;
}

void GatewayRequest::addIfSilent(std::map<core::PoolName, SilentRequests> &Out,
                                 core::TimePoint Now) const {
  if (!m_Target || !m_SilentSince || m_TargetEndedAt ||
      m_Relay.blockedSince() || Now - *m_SilentSince < PathMonitor::MinSilence)
    return;
  SilentRequests &Silent = Out[m_Pool];
  Silent.m_Targets.insert(m_Target->m_Name);
  Silent.m_Longest = std::max(Silent.m_Longest, Now - *m_SilentSince);
}

static bool isEventStream(const http::ResponseHead &Head) {
  const std::string *Type = Head.m_Headers.find("Content-Type");
  return Type &&
         Type->compare(0, sizeof EventStreamType - 1, EventStreamType) == 0;
}

AttemptOutcome GatewayRequest::exchange(http::ClientConnection &Connection,
                                        asio::yield_context Yield) {
  Connection.allowCloseDelimitedBody();
  ForwardDescription Forward;
  Forward.m_Target = m_Target->m_Name;
  Forward.m_TimeLeft = timeLeft();
  if (m_Account)
    Forward.m_Account = m_Account->m_Name;
  Forward.m_LastEvent = lastEvent();
  m_Owner.m_Wire.prepare(m_Caller.request(), Forward);
  m_HasResponseStarted = false;
  core::TimePoint SentAt = core::steadyNow();
  m_SilentSince = SentAt;
  m_Sending.begin(SentAt);
  m_IsHandedOn = true;
  m_Owner.m_CallerServer->intake().link().recordRequestSent(
      m_Caller.request().m_Body.size(), SentAt);
  Connection.sendRequest(m_Caller.request(), timeLeft(), Yield);
  m_Sending.complete(core::steadyNow());
  http::ResponseHead Head = readMatchingHead(
      Connection,
      [this](const http::ResponseHead &Each) {
        return m_Owner.m_Wire.describe(Each).m_Id == m_Description.m_Id;
      },
      m_Target->m_Name.value(), Yield);
  m_HasResponseStarted = true;
  m_IsEndKnown = Head.m_ContentLength.has_value() ||
                 Head.m_Headers.find("Transfer-Encoding") != nullptr;
  beginRead();
  ResponseDescription Info = describe(Head);
  m_Owner.m_Backpressure.noteStated(*m_Target, Info.m_Backpressure,
                                    core::steadyNow());
  AttemptOutcome Result = AttemptOutcome::NotRun;
  if (Info.m_IsNotRun) {
    m_Reason = Info.m_IsMisdirected ? "target-replaced" : "target-refused";
    logTargetRefusal(Head.m_Status, Info, Connection.requestsSent(),
                     core::steadyNow() - SentAt);
    if (Info.m_IsMisdirected) {
      m_Owner.m_Targets.recordReplacement(m_Target->incarnation());
      m_Owner.m_ExitDetector.noteTargetExit(m_Target->incarnation());
    }
    // The refusal is not relayed to the caller, and holds whatever follows it.
    Connection.discardBody(MaxRefusalBodyTime, MaxSurplusBytes, Yield);
  } else if (Info.m_IsUnprovenRefusal && !m_Route->isRetryable()) {
    // The caller would send it again, though it may have run.
    m_Reason = "unproven-refusal";
    logTargetRefusal(Head.m_Status, Info, Connection.requestsSent(),
                     core::steadyNow() - SentAt);
    return AttemptOutcome::Failed;
  } else {
    describeForPeer(Head);
    Result = relayResponse(Connection, Head, Info, true, Yield);
  }
  // The connection of a misdirected request leads to another target.
  m_KeepAliveTime =
      Info.m_IsMisdirected
          ? core::Duration::zero()
          : Info.m_KeepAlive.value_or(DefaultKeepAlive) - KeepAliveMargin;
  return Result;
}

AttemptOutcome GatewayRequest::relayResponse(http::ClientConnection &Connection,
                                             const http::ResponseHead &Head,
                                             const ResponseDescription &Info,
                                             bool MayRetry,
                                             asio::yield_context Yield) {
  bool IsSuccess = Head.m_Status >= 200 && Head.m_Status < 300;
  if (IsSuccess && (!Info.m_IsSigned || Info.m_IsEncoded)) {
    m_Reason = "unsigned-answer";
    return AttemptOutcome::Failed;
  }
  if (IsSuccess && isEventStream(Head)) {
    AttemptOutcome Result = m_Relay.relayEvents(Connection, Head, Yield);
    if (Result == AttemptOutcome::Failed)
      m_Reason = "stream-cut";
    return Result;
  }
  if (m_Relay.isStarted()) {
    // Only another stream can continue one that began.
    m_Reason = "resume-refused";
    return AttemptOutcome::Failed;
  }
  // A response that exceeds the budget is passed on as it arrives.
  http::ByteBudget::Reservation Held(m_Owner.m_CallerServer->bodyBudget());
  if (!Head.m_ContentLength ||
      *Head.m_ContentLength > ResponseRelay::MaxBufferedBytes ||
      !Held.tryExtend(*Head.m_ContentLength))
    return m_Relay.relayBytes(Connection, Head, Yield);
  http::ResponseMessage Response =
      m_Relay.readResponse(Connection, Head, Yield);
  return MayRetry ? relayBuffered(std::move(Response), Yield)
                  : m_Relay.sendResponse(std::move(Response), Yield);
}

AttemptOutcome GatewayRequest::relayBuffered(http::ResponseMessage Response,
                                             asio::yield_context Yield) {
  if (Response.m_Head.m_Status >= 500 && m_Route->isRetryable()) {
    m_Reason = "target-failed";
    m_FailureResponse = std::move(Response);
    return AttemptOutcome::Failed;
  }
  return m_Relay.sendResponse(std::move(Response), Yield);
}

void GatewayRequest::noteEvents(std::size_t Count) {
  core::TimePoint Now = core::steadyNow();
  metrics::RequestLabels Labels = labels();
  bool IsFirst = !m_Timing.hasFirstEvent();
  std::optional<core::Duration> TimePerEvent = m_Timing.noteEvents(Count, Now);
  if (m_Target && m_PendingPromptTokens > 0) {
    m_Owner.m_Targets.recordFirstEvent(m_Target->incarnation(),
                                       m_PendingPromptTokens);
    m_PendingPromptTokens = 0;
  }
  if (IsFirst && m_Target)
    m_Owner.m_Targets.recordFirstEventTime(m_Pool,
                                           Now - m_Timing.attemptStartedAt());
  if (IsFirst) {
    noteStreamBegin();
    m_Owner.m_Metrics.observe(metrics::RequestLatency::FirstToken, Labels,
                              m_Timing.timeToFirstEvent());
  }
  if (TimePerEvent) {
    m_Owner.m_Metrics.observe(metrics::RequestLatency::BetweenTokens, Labels,
                              *TimePerEvent);
    if (m_Target)
      m_Owner.m_Targets.recordServiceTime(m_Target->incarnation(),
                                          *TimePerEvent);
  }
}

//===----------------------------------------------------------------------===//
// Evaluation of an attempt
//===----------------------------------------------------------------------===//

void GatewayRequest::noteAttempt(AttemptOutcome Outcome) {
  bool HoldsSlot = endTargetWork();
  core::TimePoint Now = core::steadyNow();
  routing::TargetIncarnation Incarnation = m_Target->incarnation();
  reportRolloutOutcome(Outcome);
  m_TriedTargets.insert(Incarnation);
  bool HasNoEvents = !m_Timing.hasEventInAttempt();
  switch (Outcome) {
  case AttemptOutcome::Complete:
    m_Owner.m_Targets.recordSuccess(Incarnation);
    if (provesHarmless())
      m_Owner.m_Quarantine.noteSuccess(m_Contents);
    if (HasNoEvents && !m_IsUnread)
      m_Owner.m_Targets.recordServiceTime(
          Incarnation, *m_TargetEndedAt - m_Timing.attemptStartedAt());
    break;
  case AttemptOutcome::NotSent:
    m_Owner.m_Targets.recordFailure(Incarnation,
                                    routing::TargetFailure::Unreachable, Now);
    break;
  case AttemptOutcome::NotRun:
    m_Owner.m_Targets.recordFailure(Incarnation,
                                    routing::TargetFailure::Refused, Now);
    break;
  case AttemptOutcome::Failed:
    ++m_PossibleExecutions;
    // Targets cut off what stays unread.
    if (m_IsUnread)
      break;
    m_Owner.m_Targets.recordFailure(Incarnation,
                                    m_HasResponseStarted
                                        ? routing::TargetFailure::Failed
                                        : routing::TargetFailure::Unreachable,
                                    Now);
    break;
  case AttemptOutcome::Withheld:
  case AttemptOutcome::CallerGone:
    break;
  }
  if (HoldsSlot)
    m_Owner.handleFreedSlot(Incarnation);
}

bool GatewayRequest::provesHarmless() const {
  // A target may return an error before it runs the request.
  bool IsSuccess = m_Relay.status() >= 200 && m_Relay.status() < 300;
  return IsSuccess && m_IsEndKnown;
}

bool GatewayRequest::endTargetWork() {
  if (!m_Target || m_TargetEndedAt)
    return false;
  core::TimePoint Now = core::steadyNow();
  m_TargetEndedAt = Now;
  m_Owner.m_Targets.recordEnd(m_Target->incarnation(), m_PendingPromptTokens);
  m_PendingPromptTokens = 0;
  m_Owner.m_Dispatcher.recordEnd(m_Id, Now);
  return true;
}

void GatewayRequest::releaseSlot() {
  if (endTargetWork())
    m_Owner.handleFreedSlot(m_Target->incarnation());
}

void GatewayRequest::checkUnreadResponse(core::TimePoint Now) {
  std::optional<core::TimePoint> BlockedSince = m_Relay.blockedSince();
  // Of a forwarded request, the peer holds the slot.
  if (!m_Target || m_TargetEndedAt || !BlockedSince ||
      Now - *BlockedSince < MaxUnreadSlotTime)
    return;
  core::LogLine("response-unread", core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("target", m_Target->m_Name)
      .add("unread_us", Now - *BlockedSince);
  m_Owner.m_Metrics.count("yardrill_unread_responses_total");
  m_IsUnread = true;
  releaseSlot();
}

void GatewayRequest::reportRolloutOutcome(AttemptOutcome Outcome) {
  // Neither the duration nor the end of such a response is the target's doing.
  if (m_IsUnread)
    return;
  bool IsFailure = Outcome == AttemptOutcome::Failed;
  bool IsComplete = Outcome == AttemptOutcome::Complete;
  core::Duration Elapsed = *m_TargetEndedAt - m_Timing.attemptStartedAt();
  // Callers abandon slow responses, so one that leaves after a while counts as
  // a response of that duration.
  bool HasCallerLeft =
      Outcome == AttemptOutcome::CallerGone && Elapsed >= MinMeaningfulWait;
  if (!IsFailure && !IsComplete && !HasCallerLeft)
    return;
  if (IsComplete && m_Relay.status() >= 500)
    IsFailure = true;
  m_Owner.m_Rollouts.recordResponse(routeHash(), *m_Target,
                                    IsFailure
                                        ? rollout::ResponseQuality::Failed
                                        : rollout::ResponseQuality::Succeeded,
                                    normalizedDuration(Elapsed));
}

core::Duration
GatewayRequest::normalizedDuration(core::Duration Elapsed) const {
  if (!m_Timing.hasEventInAttempt())
    return Elapsed;
  double Expected = m_Description.m_PromptTokens / PromptTokensPerMs +
                    static_cast<double>(m_Timing.eventsInAttempt()) * EventMs +
                    FirstEventMs;
  return core::fromSeconds(core::toSeconds(Elapsed) * ReferenceMs / Expected);
}

} // namespace yardrill::gateway
