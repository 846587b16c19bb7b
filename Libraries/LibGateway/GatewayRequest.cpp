#include "LibGateway/GatewayRequest.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <algorithm>
#include <cstdio>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

/// Callers abandon a stream after a gap of the longest of these, also before
/// its first event (source: the platform's description of its clients).
static constexpr std::chrono::seconds MinCallerTimeout{2};
static constexpr int CallerTimeoutPerObjective = 4;
static constexpr int CallerTimeoutPerEventGap = 8;
/// Retry-After of a refusal, with a random spread so that callers that were
/// refused together do not return together.
static constexpr double FirstRetryAfterSeconds = 0.15;
static constexpr double RetryAfterSpreadSeconds = 0.35;
/// Additional spread, relative to the time until a target takes requests again.
static constexpr double DelaySpreadRatio = 0.25;
/// Bound of the wait for a throttled target that a Retry-After names, since
/// another target may become available sooner.
static constexpr double MaxDelaySeconds = 5;
/// Retry-After of a quarantined request: time by which an update that clears
/// its content has arrived.
static constexpr std::chrono::seconds QuarantinedRetryAfter{2};
/// Period in which a waiting request checks for the first configuration.
static constexpr std::chrono::milliseconds ConfigurationPollPeriod{5};
/// Parts of a prompt by which a request is quarantined, from the first one on.
static constexpr std::size_t MaxSharedParts = 64;
/// Number of attempts after which a request that was not sent is not retried.
static constexpr unsigned MaxAttempts = 4;

GatewayRequest::GatewayRequest(Gateway &Owner, http::Exchange &Caller,
                               std::optional<ForwardedRequest> Forwarded)
    : m_Owner(Owner), m_Caller(Caller),
      m_Relay(Caller, {[this] { return beginRead(); },
                       [this](std::size_t Count) { noteEvents(Count); },
                       [this] { releaseSlot(); }}),
      m_Id(Owner.m_NextRequest++),
      m_Ticket(Forwarded ? std::optional(Forwarded->m_Ticket) : std::nullopt),
      m_ForwardAttempt(Forwarded ? Forwarded->m_Attempt : ""),
      m_ForwardedBody(Owner.m_CallerServer->bodyBudget()),
      m_Sending(Owner.m_CallerServer->intake().transfers()),
      m_WakeTimer(Owner.m_Context) {
  m_Table = Owner.m_Table;
  // The caller's time runs while its request waits in the kernel.
  m_UnreadTime = Caller.unreadTime();
  m_Timing = ResponseTiming(m_Timing.arrivedAt() - m_UnreadTime);
  m_Description = Owner.m_Wire.describe(Caller.request());
  if (m_Ticket) {
    m_Timing = ResponseTiming(m_Timing.arrivedAt() -
                              std::chrono::microseconds(m_Ticket->m_ElapsedUs));
    m_PossibleExecutions = m_Ticket->m_PossibleExecutions;
  }
  m_Owner.m_OpenRequests.emplace(m_Id, this);
}

GatewayRequest::~GatewayRequest() {
  if (m_IsOwnerDestroyed)
    return;
  noteIfUnanswered(m_IsCallerGone ? "caller-gone" : m_Reason);
  m_Owner.m_Dispatcher.withdraw(m_Id);
  m_Owner.m_Dispatcher.recordEnd(m_Id, core::steadyNow());
  m_Owner.m_OpenRequests.erase(m_Id);
  m_Caller.setDisconnectCallback(nullptr);
}

void GatewayRequest::notifyOwnerDestroyed() {
  noteIfUnanswered("stopped");
  m_IsOwnerDestroyed = true;
}

void GatewayRequest::assignTarget(const routing::Target &Chosen) {
  m_Target = Chosen;
  m_Owner.m_Load.noteSent();
  m_PredictedWait = m_Owner.m_Dispatcher.predictedWait(m_Id);
  m_WakeTimer.cancel();
}

void GatewayRequest::refuse() {
  m_DemandAtRefusal =
      m_Owner.m_Dispatcher.scarceGroupDemand(m_Pool, m_Id, core::steadyNow());
  m_IsRefused = true;
  m_PredictedWait = m_Owner.m_Dispatcher.predictedWait(m_Id);
  m_WakeTimer.cancel();
}

void GatewayRequest::refuseIfWaiting() {
  if (m_Owner.m_Dispatcher.withdraw(m_Id))
    refuse();
}

void GatewayRequest::handleCallerDisconnect() {
  m_IsCallerGone = true;
  if (m_Connection)
    m_Connection->close();
  m_WakeTimer.cancel();
}

bool GatewayRequest::hasCallerLeft() {
  m_IsCallerGone = m_IsCallerGone || !m_Caller.isCallerConnected();
  return m_IsCallerGone;
}

void GatewayRequest::breakOff() {
  m_IsBrokenOff = true;
  if (m_Connection)
    m_Connection->close();
  m_WakeTimer.cancel();
}

core::Duration GatewayRequest::timeLeft() const {
  return m_EndsAt - core::steadyNow();
}

bool GatewayRequest::hasObjective() const {
  return m_Route && m_Route->m_Kind == routing::RouteKind::Stream &&
         m_Route->m_FirstByteObjective > core::Duration::zero();
}

core::Duration GatewayRequest::retryAfter() {
  core::TimePoint Now = core::steadyNow();
  auto AvailableAt = m_Owner.availableAt(m_Pool, Now);
  if (m_IsRefused && !AvailableAt && hasObjective()) {
    double Random =
        std::uniform_real_distribution<double>(0, 1)(m_Owner.m_Random);
    routing::PlacementRequest Refused;
    Refused.m_Pool = m_Pool;
    Refused.m_Priority = priority();
    Refused.m_FirstByteDue =
        m_Timing.arrivedAt() + m_Route->m_FirstByteObjective;
    Refused.m_EndsAt = m_EndsAt;
    if (auto Delay = m_Owner.m_Dispatcher.returnDelay(Refused, Random, Now))
      return *Delay;
  }
  double Delay = 0;
  if (AvailableAt)
    Delay = std::min(core::toSeconds(*AvailableAt - Now), MaxDelaySeconds);
  std::uniform_real_distribution<double> Spread(
      0, RetryAfterSpreadSeconds + Delay * DelaySpreadRatio);
  return core::fromSeconds(FirstRetryAfterSeconds + Delay +
                           Spread(m_Owner.m_Random));
}

//===----------------------------------------------------------------------===//
// Admission and placement
//===----------------------------------------------------------------------===//

unsigned GatewayRequest::admit() {
  if (m_Owner.isPastAcceptPeriod(m_Timing.arrivedAt())) {
    m_Reason = "stopping";
    return 503;
  }
  RequestAdmission Admission(m_Table.get(), m_Timing.arrivedAt());
  AdmissionResult Admitted = Admission.admit(m_Description, m_Owner.m_Random());
  m_Reason = Admitted.m_Reason;
  m_Route = Admitted.m_Route;
  m_Account = Admitted.m_Account;
  m_Pool = Admitted.m_Pool;
  m_Tier = Admitted.m_Tier;
  m_Regions = Admitted.m_Regions;
  m_EndsAt = Admitted.m_EndsAt;
  if (Admitted.m_Status != 0)
    return Admitted.m_Status;
  identifyContents();
  m_IsTrial = m_Owner.m_Quarantine.isQuarantined(m_Contents) &&
              m_Owner.m_Quarantine.tryBeginTrial(m_Contents, core::steadyNow());
  // 503 is correct, since no target received the request. A later attempt may
  // be served, once the content is cleared.
  if (isQuarantined())
    return 503;
  m_Charge = Admitted.m_Charge;
  return 0;
}

void GatewayRequest::identifyContents() {
  const http::RequestMessage &Request = m_Caller.request();
  quarantine::Content Parts;
  if (m_Account)
    Parts.m_Account = m_Account->m_Name.value();
  Parts.m_Host = m_Description.m_Host;
  Parts.m_Method = Request.m_Method;
  Parts.m_Target = Request.m_Target;
  Parts.m_Body = Request.m_Body;
  m_Content = quarantine::ContentDigest::of(Parts);
  m_Contents = {m_Content};
  std::size_t Shared =
      std::min(m_Description.m_SharedParts.size(), MaxSharedParts);
  if (Shared == 0)
    return;
  routing::PoolHash Pool = routing::hashOf(m_Pool);
  for (std::size_t I = 0; I < Shared; ++I)
    m_Contents.push_back(quarantine::ContentDigest::ofPart(
        Pool, m_Description.m_SharedParts[I]));
}

bool GatewayRequest::acquireQuota(asio::yield_context Yield) {
  if (!m_Account || m_HasQuota)
    return true;
  m_Acquisition = routing::QuotaAcquisition();
  m_Acquisition.m_Account = routing::hashOf(m_Account->m_Name);
  m_Acquisition.m_Tokens = m_Charge;
  bool IsGranted = m_Owner.m_Quotas.acquire(m_Acquisition, Yield);
  m_HasQuota = IsGranted;
  if (!IsGranted)
    logQuota("quota-refused");
  else if (m_Acquisition.m_Source == routing::QuotaSource::Isolated)
    logQuota("quota-alone");
  return IsGranted;
}

void GatewayRequest::giveBackQuota() {
  if (m_HasQuota)
    m_Owner.m_Quotas.giveBack(m_Acquisition);
  m_HasQuota = false;
}

core::Duration GatewayRequest::callerTimeout() const {
  return std::max({core::Duration(MinCallerTimeout),
                   m_Route->m_FirstByteObjective * CallerTimeoutPerObjective,
                   m_Route->m_MaxEventGap * CallerTimeoutPerEventGap});
}

bool GatewayRequest::waitForTarget(asio::yield_context Yield) {
  m_Target.reset();
  m_TargetEndedAt.reset();
  m_IsUnread = false;
  m_IsRefused = m_Owner.isPastSendPeriod(core::steadyNow());
  if (m_IsRefused)
    return false;
  const routing::Pool *Pool = m_Table->findPool(m_Pool);
  routing::PlacementRequest Placement;
  Placement.m_Request = m_Id;
  Placement.m_Pool = m_Pool;
  if (m_Account)
    Placement.m_Account = m_Account->m_Name;
  Placement.m_Route = routeHash();
  Placement.m_Priority = priority();
  Placement.m_IsInference = Pool && Pool->m_IsInference;
  Placement.m_PromptTokens = m_Description.m_PromptTokens;
  Placement.m_TriedTargets = m_TriedTargets;
  Placement.m_Regions = m_Regions;
  Placement.m_Version = requiredVersion();
  if (Placement.m_IsInference) {
    // The caller's estimate is a median. Without it, expect half of the bound.
    double Tokens = m_Description.m_ExpectedTokens != 0
                        ? static_cast<double>(m_Description.m_ExpectedTokens)
                        : static_cast<double>(m_Description.m_OutputTokens) / 2;
    Placement.m_ExpectedEvents = Tokens / Pool->m_TokensPerEvent;
  }
  Placement.m_ArrivedAt = m_Timing.arrivedAt();
  Placement.m_EndsAt = m_EndsAt;
  Placement.m_FirstByteDue = m_EndsAt;
  if (m_Route->m_FirstByteObjective > core::Duration::zero())
    Placement.m_FirstByteDue =
        m_Timing.arrivedAt() + m_Route->m_FirstByteObjective;
  Placement.m_FirstEventDeadline = m_EndsAt;
  if (m_Route->m_Kind == routing::RouteKind::Stream)
    Placement.m_FirstEventDeadline =
        std::min(m_EndsAt, m_Timing.arrivedAt() + callerTimeout());
  if (m_Relay.isStarted()) {
    // A stream that began must continue before its caller abandons it.
    Placement.m_FirstEventDeadline =
        std::min(m_EndsAt, core::steadyNow() + callerTimeout());
    Placement.m_FirstByteDue = Placement.m_FirstEventDeadline;
  }
  m_PendingPromptTokens = Placement.m_PromptTokens;
  m_Owner.place(Placement);
  while (!m_Target && !m_IsRefused && !m_IsCallerGone &&
         timeLeft() > core::Duration::zero()) {
    boost::system::error_code Ignored;
    m_WakeTimer.expires_after(timeLeft());
    m_WakeTimer.async_wait(Yield[Ignored]);
  }
  m_Owner.m_Dispatcher.withdraw(m_Id);
  return m_Target.has_value();
}

void GatewayRequest::waitForConfiguration(asio::yield_context Yield) {
  while (!m_Owner.m_Table && m_Owner.isJustStarted() && !m_IsCallerGone) {
    boost::system::error_code Ignored;
    m_WakeTimer.expires_after(ConfigurationPollPeriod);
    m_WakeTimer.async_wait(Yield[Ignored]);
  }
  m_Table = m_Owner.m_Table;
}

void GatewayRequest::run(asio::yield_context Yield) {
  m_Caller.setDisconnectCallback([this] { handleCallerDisconnect(); });
  if (hasCallerLeft())
    return finishAbandoned();
  if (!m_Ticket)
    waitForConfiguration(Yield);
  else if (const char *Reason = reasonNotToTake())
    return declineForwarded(Reason, Yield);
  if (unsigned Status = admit())
    return reject(Status, Yield);
  if (m_Ticket)
    if (const char *Reason = reasonNotToSend())
      return declineForwarded(Reason, Yield);
  if (const char *Reason = findStreamOrigin(Yield)) {
    m_Reason = Reason;
    return reject(503, Yield);
  }
  auto Outcome = runAttempts(Yield);
  if (!Outcome)
    return;
  if (*Outcome == AttemptOutcome::CallerGone)
    return finishAbandoned();
  if (*Outcome == AttemptOutcome::Complete) {
    noteStreamComplete();
    if (!m_IsPeerRefusal)
      m_Reason = "complete";
    return finish("request-finished");
  }
  finishFailed(*Outcome, Yield);
}

std::optional<AttemptOutcome>
GatewayRequest::runAttempts(asio::yield_context Yield) {
  AttemptOutcome Outcome = AttemptOutcome::NotSent;
  while (true) {
    if (shouldForward()) {
      // The peer that sends it to a target charges the account.
      giveBackQuota();
      Outcome = forward(Yield);
      m_IsForwardExhausted = Outcome == AttemptOutcome::NotSent;
      if (m_IsForwardExhausted)
        continue;
    } else {
      if (!acquireQuota(Yield)) {
        m_Reason = "over-quota";
        reject(429, Yield);
        return std::nullopt;
      }
      if (!m_IsCounted)
        m_Owner.m_Retries.budgetOf(m_Pool).recordRequest(m_Timing.arrivedAt());
      m_IsCounted = true;
      if (!waitForTarget(Yield)) {
        if (m_IsCallerGone)
          return AttemptOutcome::CallerGone;
        if (timeLeft() > MinRetryTime && shouldForward())
          continue;
        return Outcome;
      }
      // Other instances may have reported target exits while it waited.
      if (isQuarantined()) {
        releaseSlot();
        return Outcome;
      }
      m_Timing.noteAttempt(core::steadyNow());
      Outcome = runAttempt(Yield);
      noteAttempt(Outcome);
      m_WasNotSent = Outcome == AttemptOutcome::NotSent;
      if (m_WasNotSent && timeLeft() > MinRetryTime && shouldForward())
        continue;
    }
    if (Outcome == AttemptOutcome::Complete ||
        Outcome == AttemptOutcome::CallerGone || !shouldRetry(Outcome))
      return Outcome;
  }
}

void GatewayRequest::reject(unsigned Status, asio::yield_context Yield) {
  // Other statuses promise that it has not run.
  if (m_PossibleExecutions > 0)
    return finishFailed(AttemptOutcome::Failed, Yield);
  core::Duration Wait = core::Duration::zero();
  if (Status == 429)
    Wait = m_Acquisition.m_RetryAfter.value_or(retryAfter());
  if (Status == 503)
    Wait = isQuarantined() ? QuarantinedRetryAfter : retryAfter();
  respond(Status, m_Reason, Wait, Yield);
}

//===----------------------------------------------------------------------===//
// Retries and completion
//===----------------------------------------------------------------------===//

bool GatewayRequest::shouldRetry(AttemptOutcome Outcome) {
  if (m_IsCallerGone || m_IsBrokenOff || timeLeft() < MinRetryTime ||
      isQuarantined())
    return false;
  if (Outcome == AttemptOutcome::Failed &&
      (!m_Route->isRetryable() ||
       m_PossibleExecutions >= m_Route->m_MaxAttempts))
    return false;
  // Retried at once, a suspect content could make one more target exit. An
  // innocent one is served when its caller sends it again.
  if (Outcome == AttemptOutcome::Failed &&
      m_Owner.m_Quarantine.isSuspect(m_Contents))
    return false;
  // A stream without an event id cannot be resumed at another target, nor can
  // one whose version is unknown.
  if (m_Relay.isStarted() && (m_Relay.lastEventId().empty() || !m_StreamOrigin))
    return false;
  // An attempt that sent no byte costs no retry budget.
  if (Outcome == AttemptOutcome::NotSent)
    return m_Timing.attempts() < MaxAttempts;
  if (m_Owner.tryReserveRetry(m_Pool))
    return true;
  core::LogLine("retry-budget-spent")
      .add("request", m_Description.m_Id)
      .add("pool", m_Pool);
  return false;
}

void GatewayRequest::finishFailed(AttemptOutcome Outcome,
                                  asio::yield_context Yield) {
  if (m_Relay.isStarted()) {
    // Resets the connection, so that the caller sees that the response is
    // incomplete.
    m_Caller.abort();
    return finish("request-broken-off");
  }
  bool HasTimedOut = timeLeft() <= core::Duration::zero();
  if (m_FailureResponse && Outcome == AttemptOutcome::Failed) {
    m_Reason = "target-failed";
    m_Relay.sendResponse(std::move(*m_FailureResponse), Yield);
    return finish("request-finished");
  }
  if (m_PossibleExecutions > 0)
    return respond(HasTimedOut ? 504 : 502, m_Reason, core::Duration::zero(),
                   Yield);
  giveBackQuota();
  core::Duration Wait = retryAfter();
  if (m_IsRefused)
    m_Reason = m_Owner.availableAt(m_Pool, core::steadyNow()) ? "targets-closed"
                                                              : "no-target";
  if (m_IsRefused && m_Owner.isPastSendPeriod(core::steadyNow()))
    m_Reason = "stopping";
  // It can't go on within its caller's time.
  if (m_IsRefused && !HasTimedOut && isStreamVersionGone()) {
    m_Reason = "stream-version-gone";
    Wait = timeLeft();
  }
  respond(503, HasTimedOut ? "time-over" : m_Reason, Wait, Yield);
}

void GatewayRequest::respond(unsigned Status, const char *Reason,
                             core::Duration RetryAfter,
                             asio::yield_context Yield) {
  m_Status = Status;
  m_Reason = Reason;
  m_RetryAfter = RetryAfter;
  // Of requests that another instance might serve.
  if (Status == 429 || Status >= 500)
    m_Owner.m_Load.noteRefusal(Reason);
  http::ResponseMessage Response;
  Response.m_Head.m_Status = Status;
  m_Owner.m_Wire.prepare(Response.m_Head, m_Description);
  if (m_Ticket) {
    Response.m_Head.m_Headers.set(peer::ForwardOutcomeHeader, m_ForwardOutcome);
    Response.m_Head.m_Headers.set(peer::ForwardAttemptHeader, m_ForwardAttempt);
  }
  if (RetryAfter > core::Duration::zero()) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f", core::toSeconds(RetryAfter));
    Response.m_Head.m_Headers.set("Retry-After", Text);
  }
  try {
    if (!m_IsCallerGone)
      m_Caller.sendResponse(std::move(Response), Yield);
  } catch (const Error &) {
    m_IsCallerGone = true;
  }
  finish("request-refused");
}

void GatewayRequest::finishAbandoned() {
  m_Reason = "caller-gone";
  if (!m_IsHandedOn)
    m_Owner.m_Metrics.count("yardrill_abandoned_requests_total");
  finish("request-finished");
}

void GatewayRequest::noteIfUnanswered(const char *Reason) const {
  if (!m_IsHandedOn || m_Caller.hasSentBytes())
    return;
  core::LogLine("request-unanswered", core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("route", m_Route ? m_Route->m_Name : "")
      .add("is_forwarded", m_Ticket.has_value())
      .add("target", m_Target ? m_Target->m_Name : core::TargetName())
      .add("reason", Reason)
      .add("total_us", core::steadyNow() - m_Timing.arrivedAt());
  m_Owner.m_Metrics.count("yardrill_unanswered_requests_total");
}

void GatewayRequest::finish(const char *Event) const {
  logCompletion(Event, m_Relay.status());
  countCompletion(m_Owner.m_Metrics);
}

} // namespace yardrill::gateway
