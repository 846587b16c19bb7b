#include "SoakTarget.h"

#include "Sleep.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "Process.h"

#include <boost/json.hpp>

namespace yardrill::soak {

namespace asio = boost::asio;

static constexpr std::size_t Slots = 4;
/// Number of requests beyond Slots that a target accepts before it refuses.
static constexpr std::size_t QueueLimit = 24;
static constexpr std::chrono::milliseconds WorkTime{12};
static constexpr std::chrono::milliseconds EventPause{15};
/// Longer than the timeout of any caller.
static constexpr std::chrono::seconds HangTime{6};
static constexpr std::chrono::milliseconds MinBackoffTime{300};
static constexpr int BackoffSpreadMs = 3000;

/// Share of the responses that are sent a second time, in the place of the next
/// one.
static constexpr double SecondCopyShare = 0.5;
/// Start of the response header that repeats the request's id.
static constexpr std::string_view IdHeader = "\r\nAttempt-Id: ";
static constexpr std::string_view LengthHeader = "\r\nContent-Length: ";
static constexpr std::string_view StatusLineStart = "HTTP/1.1 ";

const char BadContentPrefix[] = "ends-its-target-";

static std::uint64_t hashOf(const std::string &Id) {
  return core::stableHash(Id);
}

std::string responseBodyOf(const std::string &Id) {
  std::string Out = "answer to " + Id + ":";
  Out.append(hashOf(Id) % 4000, 'x');
  return Out;
}

std::size_t eventCountOf(const std::string &Id) { return 3 + hashOf(Id) % 12; }

std::string eventOf(const std::string &Id, std::size_t Number) {
  std::string Count = std::to_string(Number);
  return "id: " + Count + "\ndata: " + Id + "/" + Count + "\n\n";
}

std::string requestBodyOf(const std::string &Id) { return "body of " + Id; }

SoakTarget::SoakTarget(asio::io_context &Context, InvariantChecker &Checker,
                       std::mt19937_64 &Random, std::string Name,
                       std::string Pool, std::string Version)
    : m_Context(Context), m_Checker(Checker), m_Random(Random),
      m_Name(std::move(Name)), m_Pool(std::move(Pool)),
      m_Version(std::move(Version)) {
  auto Port = static_cast<std::uint16_t>(tests::freePort());
  m_Server = http::Server::create(
      Context, {asio::ip::make_address("127.0.0.1"), Port},
      http::ServerLimits(),
      [this](http::Exchange &Call, asio::yield_context Yield) {
        handle(Call, Yield);
      },
      [this](unsigned Status) {
        m_Checker.addViolation("unasked",
                               "malformed request at target " + m_Name);
        http::ResponseMessage Out;
        Out.m_Head.m_Status = Status;
        return Out;
      });
  m_Proxy =
      std::make_unique<tests::LoopbackProxy>(Context, tests::freePort(), Port);
  m_Proxy->setDeliveryHook([this](std::string_view Bytes, TimePoint SentAt) {
    recordDelivery(Bytes, SentAt);
  });
  m_Proxy->setRepeatHook([this](std::string_view Bytes) {
    return isCompleteResponse(Bytes) && isFaultDrawn(SecondCopyShare);
  });
}

bool SoakTarget::isCompleteResponse(std::string_view Bytes) {
  static constexpr std::string_view HeadEnd = "\r\n\r\n";
  std::size_t End = Bytes.find(HeadEnd);
  std::size_t Length = Bytes.find(LengthHeader);
  return Bytes.compare(0, StatusLineStart.size(), StatusLineStart) == 0 &&
         End != std::string_view::npos && Length < End &&
         Bytes.size() ==
             End + HeadEnd.size() +
                 std::strtoul(Bytes.data() + Length + LengthHeader.size(),
                              nullptr, 10);
}

std::string SoakTarget::announcement() const {
  boost::json::object Out{
      {"service", m_Pool},
      {"address", "127.0.0.1:" + std::to_string(m_Proxy->port())},
      {"zone", "hall"},
      {"version", m_Version},
      {"slots", Slots},
      {"coldLeftMs", 0},
      {"seq", 1},
      {"born", m_StartTime},
      {"state", m_LeavingSince ? "draining" : "ready"}};
  return boost::json::serialize(Out);
}

void SoakTarget::setDisturbed(bool IsDisturbed) {
  if (IsDisturbed != m_IsDisturbed)
    m_Checker.noteLinkDisturbance(this, IsDisturbed);
  m_IsDisturbed = IsDisturbed;
  for (const std::string &Id : m_Running)
    m_Checker.noteTargetDisturbance(Id);
}

bool SoakTarget::isSound() const {
  return !m_IsDisturbed && !m_IsExiting && !m_IsLeavingInResponses &&
         !m_LeavingSince && !m_Limit && m_ResponseFaults.isNone();
}

void SoakTarget::restart(std::string Name) {
  setLimit(std::nullopt);
  m_IsLeavingInResponses = false;
  m_Name = std::move(Name);
  ++m_StartTime;
  m_LeavingSince.reset();
  m_ResponseFaults = ResponseFaults();
  m_IsExiting = false;
}

std::string SoakTarget::badContentOf(const http::RequestMessage &Request) {
  std::size_t Position = Request.m_Target.find(BadContentPrefix);
  return Position == std::string::npos ? "" : Request.m_Target.substr(Position);
}

void SoakTarget::exitProcess(const std::string &Content) {
  // Canary targets have no exit hook and never exit.
  if (m_IsExiting || m_IsRetired || !m_ExitHook)
    return;
  m_IsExiting = true;
  m_Checker.targetExited(Content);
  m_ExitHook();
}

void SoakTarget::retire() {
  m_IsRetired = true;
  setDisturbed(true);
  m_Proxy->setMode(tests::ProxyMode::Reset);
  m_Proxy->resetAll();
  // Gateways learn that it is gone.
  m_Checker.noteLinkDisturbance(this, false);
}

bool SoakTarget::isFaultDrawn(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
}

static std::string headerOf(const http::RequestMessage &Request,
                            const char *Name) {
  const std::string *Value = Request.m_Headers.find(Name);
  return Value ? *Value : "";
}

/// Returns the identity that a caller's attempts share.
static std::string identityOf(const http::RequestMessage &Request,
                              const std::string &Id) {
  std::size_t Query = Request.m_Target.find('?');
  return Query == std::string::npos ? Id : Request.m_Target.substr(Query + 1);
}

static http::ResponseMessage refusal(unsigned Status, const std::string &Id) {
  http::ResponseMessage Out;
  Out.m_Head.m_Status = Status;
  Out.m_Head.m_Headers = {{"Attempt-Id", Id}, {"Not-Executed", "1"}};
  return Out;
}

void SoakTarget::setLimit(std::optional<double> PerSecond) {
  if (m_Limit == PerSecond)
    return;
  m_Limit = PerSecond;
  m_Checker.rateLimitChanged(incarnation(), PerSecond);
}

void SoakTarget::stateBackpressure(
    http::ResponseHead &Head, const std::string &Id,
    std::optional<std::chrono::milliseconds> Backoff) {
  ResponseBackpressure Backpressure;
  Backpressure.m_RequestsPerSecond = m_Limit;
  Backpressure.m_IsLeaving = m_IsLeavingInResponses;
  Backpressure.m_Backoff = Backoff;
  if (m_Limit)
    Head.m_Headers.add("Server-Limit", std::to_string(*m_Limit));
  if (m_IsLeavingInResponses)
    Head.m_Headers.add("Server-Leaving", "1");
  if (Backoff)
    Head.m_Headers.add("Retry-After",
                       std::to_string(core::toSeconds(*Backoff)));
  m_Undelivered[Id] = {incarnation(), Backpressure};
}

void SoakTarget::recordDelivery(std::string_view Bytes, TimePoint SentAt) {
  // Sent at once, a head crosses the loopback interface in one piece.
  std::size_t Begin = Bytes.find(IdHeader);
  if (Begin == std::string_view::npos)
    return;
  Begin += IdHeader.size();
  std::string Id(Bytes.substr(Begin, Bytes.find('\r', Begin) - Begin));
  auto Found = m_Undelivered.find(Id);
  if (Found == m_Undelivered.end())
    return;
  m_Checker.backpressureStated(Id, Found->second.m_Incarnation,
                               Found->second.m_Backpressure, SentAt);
  m_Undelivered.erase(Found);
}

void SoakTarget::handle(http::Exchange &Call, asio::yield_context Yield) {
  const http::RequestMessage &Request = Call.request();
  std::string Id = headerOf(Request, "Attempt-Id");
  // The response to an earlier attempt was lost.
  m_Undelivered.erase(Id);
  m_Checker.requestArrived(Id, m_Name, m_LeavingSince);
  m_Checker.arrivedAtVersion(Id, m_Pool, m_Version);
  m_Checker.arrivedAtIncarnation(Id, incarnation());
  m_Checker.arrivedOverLink(Id, this);
  if (m_IsDisturbed)
    m_Checker.noteTargetDisturbance(Id);
  if (headerOf(Request, "Expect-Replica") != m_Name)
    return Call.sendResponse(refusal(421, Id), Yield);
  if (m_Running.size() >= Slots + QueueLimit ||
      isFaultDrawn(m_ResponseFaults.m_RefuseShare)) {
    m_Checker.noteTargetDisturbance(Id);
    http::ResponseMessage Out = refusal(503, Id);
    stateBackpressure(Out.m_Head, Id, std::nullopt);
    return Call.sendResponse(std::move(Out), Yield);
  }
  if (isFaultDrawn(m_ResponseFaults.m_BackoffShare)) {
    m_Checker.noteTargetDisturbance(Id);
    http::ResponseMessage Out = refusal(503, Id);
    stateBackpressure(Out.m_Head, Id,
                      MinBackoffTime + std::chrono::milliseconds(
                                           std::uniform_int_distribution<int>(
                                               0, BackoffSpreadMs)(m_Random)));
    return Call.sendResponse(std::move(Out), Yield);
  }
  std::string BadContent = badContentOf(Request);
  if (Request.m_Body !=
      requestBodyOf(BadContent.empty() ? identityOf(Request, Id) : BadContent))
    m_Checker.addViolation("unasked", Id + " arrived with a wrong body");
  if (headerOf(Request, "Tenant").empty())
    m_Checker.addViolation("unasked", Id + " arrived without its account");
  auto RunningEntry = m_Running.insert(Id);
  if (m_Pool == "engine") {
    m_Checker.streamBegan(Id, this);
    m_Checker.streamAtVersion(Id, m_Version,
                              !headerOf(Request, "Last-Event-Id").empty());
    Call.setDisconnectCallback([this, Id] { m_Checker.streamEnded(Id, this); });
  }
  try {
    if (!BadContent.empty())
      m_Checker.noteTargetDisturbance(Id);
    serve(Call, Id, Yield);
  } catch (const core::Error &) {
    // The caller disconnected; the request counts as executed.
  }
  m_Running.erase(RunningEntry);
  if (m_Pool == "engine")
    m_Checker.streamEnded(Id, this);
}

void SoakTarget::serve(http::Exchange &Call, const std::string &Id,
                       asio::yield_context Yield) {
  m_Checker.requestExecuted(Id);
  bool MustAbort = isFaultDrawn(m_ResponseFaults.m_AbortShare);
  bool MustFail = isFaultDrawn(m_ResponseFaults.m_FailShare);
  bool MustHang = isFaultDrawn(m_ResponseFaults.m_HangShare);
  if (MustAbort || MustFail || MustHang) {
    m_Checker.noteTargetDisturbance(Id);
    m_Checker.badResponseSent(m_Pool, m_Version);
  }
  tests::sleepFor(m_Context,
                  MustHang ? std::chrono::milliseconds(HangTime) : WorkTime,
                  Yield);
  std::string BadContent = badContentOf(Call.request());
  if (!BadContent.empty()) {
    exitProcess(BadContent);
    return Call.abort();
  }
  http::ResponseMessage Out;
  Out.m_Head.m_Status = MustFail ? 500 : 200;
  Out.m_Head.m_Headers = {{"Attempt-Id", Id}, {"Replica-Seal", "s-" + m_Name}};
  stateBackpressure(Out.m_Head, Id, std::nullopt);
  std::string Identity = identityOf(Call.request(), Id);
  Out.m_Body = responseBodyOf(Identity);
  if (MustFail)
    return Call.sendResponse(std::move(Out), Yield);
  if (m_Pool == "engine")
    return stream(Call, Id, Identity, MustAbort, Yield);
  if (!MustAbort)
    return Call.sendResponse(std::move(Out), Yield);
  Out.m_Head.m_ContentLength = Out.m_Body.size();
  Call.startStream(Out.m_Head, Yield);
  Call.sendBodyData(Out.m_Body.substr(0, Out.m_Body.size() / 2), Yield);
  Call.abort();
}

void SoakTarget::stream(http::Exchange &Call, const std::string &Id,
                        const std::string &Identity, bool MustAbort,
                        asio::yield_context Yield) {
  std::string After = headerOf(Call.request(), "Last-Event-Id");
  std::size_t Next = After.empty() ? 1 : std::stoul(After) + 1;
  http::ResponseHead Head;
  Head.m_Status = 200;
  Head.m_Headers = {{"Attempt-Id", Id},
                    {"Replica-Seal", "s-" + m_Name},
                    {"Content-Type", "text/event-stream"}};
  stateBackpressure(Head, Id, std::nullopt);
  Call.startStream(Head, Yield);
  for (; Next <= eventCountOf(Identity); ++Next) {
    std::string Event = eventOf(Identity, Next);
    if (MustAbort && Next > 1) {
      // Covers an abort within an event.
      Call.sendBodyData(Event.substr(0, Event.size() / 2), Yield);
      return Call.abort();
    }
    Call.sendBodyData(Event, Yield);
    tests::sleepFor(m_Context, EventPause, Yield);
  }
  Call.finishStream(Yield);
}

} // namespace yardrill::soak
