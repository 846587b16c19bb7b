#include "LibGateway/GatewayRequest.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cmath>
#include <cstdio>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;
using core::ErrorKind;

/// A target stops at the deadline it was given and says so; its own word is
/// waited for this long beyond.
static constexpr std::chrono::milliseconds AnswerSlack{200};
/// Least time left for which another target is tried.
static constexpr std::chrono::milliseconds LeastUsefulTime{20};
/// Callers give a stream up, also before its first event, after a gap of the
/// longest of these (the platform's word on its clients).
static constexpr std::chrono::seconds LeastPatience{2};
static constexpr int PatienceOverObjective = 4;
static constexpr int PatienceOverPause = 8;
/// When to come back after a refusal: spread, so that those who were refused
/// together do not return together.
static constexpr double FirstRetryAfterSeconds = 0.15;
static constexpr double RetryAfterSpreadSeconds = 0.35;
/// Answers up to this size are read whole before they are passed on, so that
/// a broken one can still be replaced.
static constexpr std::uint64_t MostBytesReadWhole = 262144;
/// A kept connection is used until this long before its target closes it.
static constexpr std::chrono::milliseconds KeepAliveMargin{500};
static constexpr std::chrono::seconds DefaultKeepAlive{4};
/// Bounds tries at targets that can't be connected to.
static constexpr unsigned MostTries = 4;
/// Charged against a prompt of unknown size.
static constexpr std::uint32_t UnknownPromptTokens = 0;
static const char EventStreamType[] = "text/event-stream";

GatewayRequest::GatewayRequest(Gateway &Owner, http::Exchange &Caller)
    : m_Owner(Owner), m_Caller(Caller), m_Id(Owner.m_NextRequest++),
      m_Table(Owner.m_Table), m_ArrivedAt(core::steadyNow()),
      m_Wake(Owner.m_Context) {
  m_Owner.m_Open.emplace(m_Id, this);
}

GatewayRequest::~GatewayRequest() {
  m_Owner.m_Dispatcher.withdraw(m_Id);
  m_Owner.m_Open.erase(m_Id);
  m_Caller.setHangUpHook(nullptr);
}

void GatewayRequest::sendTo(const routing::Target &Where) {
  m_Target = Where;
  m_Wake.cancel();
}

void GatewayRequest::refuse() {
  m_IsRefused = true;
  m_Wake.cancel();
}

void GatewayRequest::callerHungUp() {
  m_IsCallerGone = true;
  if (m_Connection)
    m_Connection->close();
  m_Wake.cancel();
}

core::Duration GatewayRequest::timeLeft() const {
  return m_EndsAt - core::steadyNow();
}

core::Duration GatewayRequest::retryAfter() const {
  std::uniform_real_distribution<double> Spread(0, RetryAfterSpreadSeconds);
  double Seconds = FirstRetryAfterSeconds + Spread(m_Owner.m_Random);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(Seconds));
}

//===----------------------------------------------------------------------===//
// Before a target
//===----------------------------------------------------------------------===//

unsigned GatewayRequest::admit() {
  m_Said = m_Owner.m_Wire.describe(m_Caller.request());
  if (!m_Table) {
    m_Reason = "no-configuration";
    return 503;
  }
  if (m_Owner.isTooLate(m_ArrivedAt)) {
    m_Reason = "stopping";
    return 503;
  }
  if (m_Said.m_Id.empty()) {
    m_Reason = "no-id";
    return 400;
  }
  m_Route = m_Table->findRoute(m_Said.m_Host, m_Said.m_Path);
  if (!m_Route) {
    m_Reason = "no-route";
    return 404;
  }
  if (m_Said.m_Key)
    m_Account = m_Table->findAccountByKey(*m_Said.m_Key);
  if (!m_Account && !m_Route->m_IsPublic && m_Table->hasAccounts()) {
    m_Reason = "unknown-key";
    return 401;
  }
  m_Tier = m_Account && m_Account->m_Tier.value() != 0 ? m_Account->m_Tier
                                                       : m_Route->m_Tier;
  core::Duration Limit = m_Route->m_Timeout;
  if (m_Said.m_Deadline)
    Limit = std::min(Limit, *m_Said.m_Deadline);
  m_EndsAt = m_ArrivedAt + Limit;
  m_Pool = m_Route->choosePool(m_Owner.m_Random());
  return checkQuota();
}

unsigned GatewayRequest::checkQuota() {
  if (!m_Account)
    return 0;
  std::uint32_t Charge = m_Said.m_HasSize
                             ? m_Said.m_PromptTokens + m_Said.m_OutputTokens
                             : m_Account->m_PlainTokens;
  if (!m_Owner.m_Quotas.tryTake(m_Account->m_Name, Charge, m_ArrivedAt)) {
    m_Reason = "over-quota";
    return 429;
  }
  m_Charge = Charge;
  return 0;
}

core::Duration GatewayRequest::callersPatience() const {
  return std::max({core::Duration(LeastPatience),
                   m_Route->m_Objective * PatienceOverObjective,
                   m_Route->m_LongestPause * PatienceOverPause});
}

bool GatewayRequest::waitForTarget(asio::yield_context Yield) {
  m_Target.reset();
  m_IsRefused = false;
  const routing::Pool *Pool = m_Table->findPool(m_Pool);
  routing::PlacementRequest Wanted;
  Wanted.m_Request = m_Id;
  Wanted.m_Pool = m_Pool;
  Wanted.m_Rank = {m_Tier, m_Route->m_Tier};
  Wanted.m_IsModel = Pool && Pool->m_IsModel;
  Wanted.m_PromptTokens =
      m_Said.m_HasSize ? m_Said.m_PromptTokens : UnknownPromptTokens;
  Wanted.m_Tried = m_Tried;
  if (Wanted.m_IsModel) {
    // The estimate is right at the median; without one, half of the most.
    double Tokens = m_Said.m_ExpectedTokens != 0
                        ? static_cast<double>(m_Said.m_ExpectedTokens)
                        : static_cast<double>(m_Said.m_OutputTokens) / 2;
    Wanted.m_ExpectedEvents = Tokens / Pool->m_TokensPerEvent;
  }
  Wanted.m_ArrivedAt = m_ArrivedAt;
  Wanted.m_EndsAt = m_EndsAt;
  Wanted.m_LateAt = m_EndsAt;
  if (m_Route->m_Objective > core::Duration::zero())
    Wanted.m_LateAt = m_ArrivedAt + m_Route->m_Objective;
  Wanted.m_BeginsBy = m_EndsAt;
  if (m_Route->m_Kind == routing::RouteKind::Stream)
    Wanted.m_BeginsBy = std::min(m_EndsAt, m_ArrivedAt + callersPatience());
  m_PendingPrompt = Wanted.m_PromptTokens;
  m_Owner.m_Dispatcher.place(Wanted, core::steadyNow());
  while (!m_Target && !m_IsRefused && !m_IsCallerGone &&
         timeLeft() > core::Duration::zero()) {
    boost::system::error_code Ignored;
    m_Wake.expires_after(timeLeft());
    m_Wake.async_wait(Yield[Ignored]);
  }
  m_Owner.m_Dispatcher.withdraw(m_Id);
  return m_Target.has_value();
}

void GatewayRequest::run(asio::yield_context Yield) {
  m_Caller.setHangUpHook([this] { callerHungUp(); });
  unsigned Status = admit();
  if (Status != 0) {
    core::Duration Wait = core::Duration::zero();
    if (Status == 429)
      Wait = m_Owner.m_Quotas.untilAvailable(m_Account->m_Name);
    if (Status == 503)
      Wait = retryAfter();
    return answer(Status, m_Reason, Wait, Yield);
  }
  m_Owner.retriesOf(m_Pool).noteRequest(m_ArrivedAt);
  Outcome Last = Outcome::NotSent;
  while (true) {
    if (!waitForTarget(Yield)) {
      if (m_IsCallerGone)
        Last = Outcome::CallerGone;
      break;
    }
    ++m_Tries;
    core::TimePoint StartedAt = core::steadyNow();
    Last = tryTarget(Yield);
    noteTry(Last, StartedAt);
    if (Last == Outcome::Complete || Last == Outcome::CallerGone ||
        !mayTryAgain(Last))
      break;
  }
  if (Last == Outcome::Complete || Last == Outcome::CallerGone) {
    m_Reason = Last == Outcome::Complete ? "complete" : "caller-gone";
    return logEnd("request-finished");
  }
  finishFailed(Last, Yield);
}

//===----------------------------------------------------------------------===//
// At a target
//===----------------------------------------------------------------------===//

void GatewayRequest::logSent() const {
  const routing::KnownTarget *Known = m_Owner.m_Targets.find(m_Target->m_Name);
  core::LogLine Line("request-sent");
  Line.add("request", m_Said.m_Id)
      .add("route", m_Route->m_Name)
      .add("account_tier", m_Tier)
      .add("route_tier", m_Route->m_Tier)
      .add("target", m_Target->m_Name)
      .add("try", m_Tries)
      .add("waited_us", core::steadyNow() - m_ArrivedAt)
      .add("configuration", m_Table->version())
      .add("store_revision", m_Owner.m_Mirror.revision());
  if (Known)
    Line.add("running_own", Known->m_Own.m_Running)
        .add("running_others", Known->m_Others.m_Running)
        .add("places", Known->m_Target.m_Places)
        .add("slowness", Known->m_Slowness)
        .add("failure_share", Known->m_FailureShare);
}

GatewayRequest::Outcome GatewayRequest::tryTarget(asio::yield_context Yield) {
  logSent();
  if (timeLeft() <= core::Duration::zero()) {
    m_Reason = "time-over";
    return Outcome::NotSent;
  }
  auto Address = m_Target->m_Address.toTcp();
  std::unique_ptr<http::ClientConnection> Connection;
  try {
    Connection = m_Owner.m_Connections.open(Address, false, Yield);
  } catch (const Error &Failure) {
    m_Reason = "connect-failed";
    core::LogLine("connect-failed", core::LogLevel::Warning)
        .add("request", m_Said.m_Id)
        .add("target", m_Target->m_Name)
        .add("reason", Failure.what());
    return Outcome::NotSent;
  }
  if (m_IsCallerGone)
    return Outcome::CallerGone;
  m_Connection = Connection.get();
  Outcome Result = Outcome::Failed;
  try {
    Result = exchange(*Connection, Yield);
  } catch (const Error &Failure) {
    m_Reason =
        timeLeft() <= core::Duration::zero() ? "time-over" : "target-broke";
    core::LogLine("target-broke", core::LogLevel::Warning)
        .add("request", m_Said.m_Id)
        .add("target", m_Target->m_Name)
        .add("reason", Failure.what());
  }
  m_Connection = nullptr;
  if (Result == Outcome::Complete || Result == Outcome::NotRun)
    m_Owner.m_Connections.giveBack(Address, std::move(Connection), m_KeepFor);
  if (m_IsCallerGone && Result != Outcome::Complete)
    return Outcome::CallerGone;
  return Result;
}

http::ResponseHead
GatewayRequest::readOwnHead(http::ClientConnection &Connection,
                            asio::yield_context Yield) {
  while (true) {
    core::Duration Limit = timeLeft() + AnswerSlack;
    http::ResponseHead Head = Connection.readHead(Limit, Yield);
    if (m_Owner.m_Wire.describe(Head).m_Id == m_Said.m_Id)
      return Head;
    core::LogLine("surplus-answer", core::LogLevel::Warning)
        .add("request", m_Said.m_Id)
        .add("target", m_Target->m_Name)
        .add("status", Head.m_Status);
    while (!Connection.readPiece(Limit, Yield).empty()) {
      // Belongs to no request.
    }
  }
}

static bool isEventStream(const http::ResponseHead &Head) {
  const std::string *Type = Head.m_Headers.find("Content-Type");
  return Type &&
         Type->compare(0, sizeof EventStreamType - 1, EventStreamType) == 0;
}

GatewayRequest::Outcome
GatewayRequest::exchange(http::ClientConnection &Connection,
                         asio::yield_context Yield) {
  Connection.allowBodyUntilClose();
  ForwardDescription What;
  What.m_Target = m_Target->m_Name;
  What.m_TimeLeft = timeLeft();
  if (m_Account)
    What.m_Account = m_Account->m_Name;
  What.m_LastEvent = m_Said.m_LastEvent;
  if (!m_Events.lastId().empty())
    What.m_LastEvent = m_Events.lastId();
  m_Owner.m_Wire.prepare(m_Caller.request(), What);
  Connection.sendRequest(m_Caller.request(), timeLeft(), Yield);
  http::ResponseHead Head = readOwnHead(Connection, Yield);
  AnswerDescription Says = m_Owner.m_Wire.describe(Head);
  Outcome Result = Outcome::Failed;
  bool IsSuccess = Head.m_Status >= 200 && Head.m_Status < 300;
  if (Says.m_IsNotRun) {
    m_Reason = "target-refused";
    while (!Connection.readPiece(timeLeft() + AnswerSlack, Yield).empty()) {
      // Its reason is for us alone.
    }
    Result = Outcome::NotRun;
  } else if (IsSuccess && (!Says.m_IsSigned || Says.m_IsEncoded)) {
    m_Reason = "unsigned-answer";
    return Outcome::Failed;
  } else if (IsSuccess && isEventStream(Head)) {
    Result = relayEvents(Connection, Head, Yield);
  } else if (m_IsStarted) {
    // A stream that goes on elsewhere can only go on as a stream.
    m_Reason = "resume-refused";
    return Outcome::Failed;
  } else if (Head.m_ContentLength &&
             *Head.m_ContentLength <= MostBytesReadWhole) {
    Result = relayWhole(Connection, Head, Yield);
  } else {
    Result = relayPieces(Connection, Head, Yield);
  }
  m_KeepFor = Says.m_KeepAlive.value_or(DefaultKeepAlive) - KeepAliveMargin;
  return Result;
}

GatewayRequest::Outcome
GatewayRequest::relayWhole(http::ClientConnection &Connection,
                           const http::ResponseHead &Head,
                           asio::yield_context Yield) {
  http::ResponseMessage Answer;
  Answer.m_Head = Head;
  while (true) {
    std::string Piece = Connection.readPiece(timeLeft() + AnswerSlack, Yield);
    if (Piece.empty())
      break;
    Answer.m_Body += Piece;
  }
  Answer.m_Head.m_Headers.removeHopByHop();
  m_Status = Head.m_Status;
  if (Head.m_Status >= 500 && m_Route->mayRunAgain()) {
    m_Reason = "target-failed";
    m_FailureAnswer = std::move(Answer);
    return Outcome::Failed;
  }
  try {
    m_Caller.sendWhole(std::move(Answer), Yield);
  } catch (const Error &) {
    m_IsCallerGone = true;
    return Outcome::CallerGone;
  }
  return Outcome::Complete;
}

void GatewayRequest::startAnswer(const http::ResponseHead &Head,
                                 asio::yield_context Yield) {
  if (m_IsStarted)
    return;
  http::ResponseHead Own = Head;
  Own.m_Headers.removeHopByHop();
  m_Status = Head.m_Status;
  m_IsStarted = true;
  m_Caller.startStream(Own, Yield);
}

GatewayRequest::Outcome
GatewayRequest::relayPieces(http::ClientConnection &Connection,
                            const http::ResponseHead &Head,
                            asio::yield_context Yield) {
  while (true) {
    std::string Piece = Connection.readPiece(timeLeft() + AnswerSlack, Yield);
    try {
      startAnswer(Head, Yield);
      if (Piece.empty()) {
        m_Caller.finishStream(Yield);
        return Outcome::Complete;
      }
      m_Caller.sendPiece(Piece, Yield);
    } catch (const Error &) {
      m_IsCallerGone = true;
      return Outcome::CallerGone;
    }
  }
}

GatewayRequest::Outcome
GatewayRequest::relayEvents(http::ClientConnection &Connection,
                            const http::ResponseHead &Head,
                            asio::yield_context Yield) {
  m_Events.dropPartial();
  http::ResponseHead Streamed = Head;
  // Whole events only, perhaps of several targets: their sum is not known.
  Streamed.m_ContentLength.reset();
  while (true) {
    std::string Piece = Connection.readPiece(timeLeft() + AnswerSlack, Yield);
    if (Piece.empty() && m_Events.hasPartial()) {
      m_Reason = "stream-cut";
      return Outcome::Failed;
    }
    EventSplitter::Events Whole = m_Events.push(Piece);
    if (Whole.m_Count > 0)
      noteEvents(Whole.m_Count);
    else if (!Piece.empty())
      continue;
    try {
      startAnswer(Streamed, Yield);
      if (Piece.empty()) {
        m_Caller.finishStream(Yield);
        return Outcome::Complete;
      }
      m_Caller.sendPiece(Whole.m_Bytes, Yield);
    } catch (const Error &) {
      m_IsCallerGone = true;
      return Outcome::CallerGone;
    }
  }
}

void GatewayRequest::noteEvents(std::size_t Count) {
  core::TimePoint Now = core::steadyNow();
  metrics::RequestLabels Labels{
      m_Account ? m_Account->m_Name : core::AccountName(), m_Tier, m_Pool};
  if (m_PendingPrompt > 0) {
    m_Owner.m_Targets.began(m_Target->m_Name, m_PendingPrompt);
    m_PendingPrompt = 0;
  }
  if (m_LastEventAt == core::TimePoint()) {
    m_Owner.m_Metrics.observe(metrics::RequestTime::FirstToken, Labels,
                              Now - m_ArrivedAt);
  } else {
    core::Duration Pause = (Now - m_LastEventAt) / static_cast<long>(Count);
    m_Owner.m_Metrics.observe(metrics::RequestTime::BetweenTokens, Labels,
                              Pause);
    m_Owner.m_Targets.notePace(m_Target->m_Name, Pause);
  }
  m_LastEventAt = Now;
}

//===----------------------------------------------------------------------===//
// After a target
//===----------------------------------------------------------------------===//

void GatewayRequest::noteTry(Outcome Last, core::TimePoint StartedAt) {
  core::TimePoint Now = core::steadyNow();
  const core::TargetName &Name = m_Target->m_Name;
  m_Owner.m_Targets.ended(Name, m_PendingPrompt);
  m_Tried.insert(Name);
  bool IsShort = m_LastEventAt == core::TimePoint();
  switch (Last) {
  case Outcome::Complete:
    m_Owner.m_Targets.succeeded(Name);
    if (IsShort)
      m_Owner.m_Targets.notePace(Name, Now - StartedAt);
    break;
  case Outcome::NotSent:
  case Outcome::NotRun:
    m_Owner.m_Targets.failed(Name, Now);
    break;
  case Outcome::Failed:
    ++m_Runs;
    m_Owner.m_Targets.failed(Name, Now);
    break;
  case Outcome::CallerGone:
    break;
  }
  m_Owner.m_Dispatcher.dispatchWaiting(Now);
}

bool GatewayRequest::mayTryAgain(Outcome Last) {
  if (m_IsCallerGone || timeLeft() < LeastUsefulTime)
    return false;
  if (Last == Outcome::Failed &&
      (!m_Route->mayRunAgain() || m_Runs >= m_Route->m_MostTargets))
    return false;
  // A stream without an id to go on from can't be taken up elsewhere.
  if (m_IsStarted && m_Events.lastId().empty())
    return false;
  // Where no byte arrived nothing counts against the budget.
  if (Last == Outcome::NotSent)
    return m_Tries < MostTries;
  if (m_Owner.retriesOf(m_Pool).tryTake(core::steadyNow()))
    return true;
  core::LogLine("retry-budget-spent")
      .add("request", m_Said.m_Id)
      .add("pool", m_Pool);
  return false;
}

void GatewayRequest::finishFailed(Outcome Last, asio::yield_context Yield) {
  if (m_IsStarted) {
    // Never let half an answer look whole.
    m_Caller.abort();
    return logEnd("request-broken-off");
  }
  bool IsOver = timeLeft() <= core::Duration::zero();
  if (m_FailureAnswer && Last == Outcome::Failed) {
    m_Reason = "target-failed";
    m_Status = m_FailureAnswer->m_Head.m_Status;
    try {
      m_Caller.sendWhole(std::move(*m_FailureAnswer), Yield);
    } catch (const Error &) {
      m_IsCallerGone = true;
    }
    return logEnd("request-finished");
  }
  if (m_Runs > 0)
    return answer(IsOver ? 504 : 502, m_Reason, core::Duration::zero(), Yield);
  if (m_Account)
    m_Owner.m_Quotas.giveBack(m_Account->m_Name, m_Charge);
  if (m_IsRefused)
    m_Reason = "no-target";
  answer(503, IsOver ? "time-over" : m_Reason, retryAfter(), Yield);
}

void GatewayRequest::answer(unsigned Status, const char *Reason,
                            core::Duration RetryAfter,
                            asio::yield_context Yield) {
  m_Status = Status;
  m_Reason = Reason;
  http::ResponseMessage Answer;
  Answer.m_Head.m_Status = Status;
  m_Owner.m_Wire.prepare(Answer.m_Head, m_Said);
  if (RetryAfter > core::Duration::zero()) {
    char Text[32];
    std::snprintf(Text, sizeof Text, "%.3f", core::toSeconds(RetryAfter));
    Answer.m_Head.m_Headers.set("Retry-After", Text);
  }
  try {
    if (!m_IsCallerGone)
      m_Caller.sendWhole(std::move(Answer), Yield);
  } catch (const Error &) {
    m_IsCallerGone = true;
  }
  logEnd("request-refused");
}

void GatewayRequest::logEnd(const char *Event) const {
  core::LogLine Line(Event);
  core::Duration Total = core::steadyNow() - m_ArrivedAt;
  Line.add("request", m_Said.m_Id)
      .add("route", m_Route ? m_Route->m_Name : "")
      .add("tier", m_Tier)
      .add("pool", m_Pool)
      .add("status", m_Status)
      .add("reason", m_Reason)
      .add("tries", m_Tries)
      .add("total_us", Total);
  if (m_Table)
    Line.add("configuration", m_Table->version());
  if (m_Target)
    Line.add("target", m_Target->m_Name);
  metrics::RequestLabels Labels{
      m_Account ? m_Account->m_Name : core::AccountName(), m_Tier, m_Pool};
  m_Owner.m_Metrics.observe(metrics::RequestTime::Total, Labels, Total);
  m_Owner.m_Metrics.countOutcome(Labels, m_Reason);
}

} // namespace yardrill::gateway
