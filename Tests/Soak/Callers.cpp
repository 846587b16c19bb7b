#include "Callers.h"

#include "Sleep.h"

#include "LibCore/Error.h"

#include <boost/asio/spawn.hpp>
#include <cmath>

namespace yardrill::soak {

namespace asio = boost::asio;

/// Timeout of every route and deadline of every request.
static constexpr std::chrono::milliseconds TimeLimit{2000};
/// Exceeds TimeLimit, to distinguish late responses from lost ones.
static constexpr std::chrono::milliseconds ClientTimeout{3500};
static constexpr std::chrono::milliseconds ConnectTime{500};
static constexpr std::chrono::milliseconds BalancePeriod{500};
static constexpr std::chrono::milliseconds ProbePeriod{300};
static constexpr std::uint64_t MaxPauseMs = 150;
static constexpr int MissesUntilRemoval = 2;
static constexpr std::uint64_t MaxRequestsPerConnection = 40;
/// The same while connections are skewed.
static constexpr std::uint64_t MaxRequestsWhileSkewed = 3;
/// Percentage of the new connections that are skewed.
static constexpr std::uint64_t SkewedPercentage = 85;
static constexpr std::size_t ReadinessResponseLimit = 65536;
/// Time for which a bad request is repeated with the same content.
static constexpr std::chrono::seconds BadRequestRepeatTime{12};
static constexpr std::uint64_t MaxBadRequestPauseMs = 600;
static constexpr int MaxRepeats = 2;
/// Time below which a caller does not try again.
static constexpr std::chrono::milliseconds MinRepeatTime{100};
/// Percentage of the resumable streams that their callers leave and resume.
static constexpr std::uint64_t LeavingPercentage = 15;
/// Bound of the wait of a caller that leaves before the head of its response.
static constexpr std::uint64_t MaxHeadWaitMs = 40;
/// Percentage of the requests that run once whose callers wait less long than
/// ClientTimeout, and the time for which these wait.
static constexpr std::uint64_t ImpatientPercentage = 30;
static constexpr std::uint64_t MinPatienceMs = 200;
static constexpr std::uint64_t PatienceSpreadMs = 600;

Callers::Callers(asio::io_context &Context, InvariantChecker &Checker,
                 Deployment &System, std::mt19937_64 &Random)
    : m_Context(Context), m_Checker(Checker), m_System(System),
      m_Random(Random), m_Misses(System.gateways(), MissesUntilRemoval) {}

template <class Body> void Callers::spawn(Body Function) {
  ++m_ActiveCoroutines;
  asio::spawn(
      m_Context,
      [this, Function](asio::yield_context Yield) {
        Function(Yield);
        --m_ActiveCoroutines;
      },
      asio::detached);
}

void Callers::start(std::size_t Count) {
  for (std::size_t I = 0; I < m_System.gateways(); ++I) {
    spawn([this, I](asio::yield_context Yield) { runBalancer(I, Yield); });
    spawn([this, I](asio::yield_context Yield) { runProber(I, Yield); });
  }
  for (std::size_t I = 0; I < Count; ++I)
    spawn([this](asio::yield_context Yield) { runCaller(Yield); });
}

Callers::ConnectionHandle Callers::connect(std::size_t Gateway, bool IsProxied,
                                           asio::yield_context Yield) {
  return http::ClientConnection::connect(m_Context,
                                         IsProxied
                                             ? m_System.proxiedAddress(Gateway)
                                             : m_System.callerAddress(Gateway),
                                         ConnectTime, Yield);
}

bool Callers::drawProxied(std::size_t Gateway) {
  // The proxy would accept the connection and then reset it.
  return randomBelow(2) == 0 && m_System.isRunning(Gateway);
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

SentRequest Callers::makeSentRequest(std::size_t Gateway, RequestKind Kind,
                                     bool IsLimited) {
  SentRequest Out;
  Out.m_Id = Out.m_Identity = "a" + std::to_string(m_NextId++);
  Out.m_Kind = Kind;
  Out.m_Gateway = Gateway;
  Out.m_Account = IsLimited ? "limited" : m_Account;
  Out.m_Tokens = 100;
  Out.m_TimeLimit = TimeLimit;
  Out.m_SentAt = Clock::now();
  return Out;
}

static http::RequestMessage toMessage(const SentRequest &Request,
                                      const std::string &Path,
                                      std::size_t SkippedEvents) {
  const std::string &Identity = Request.m_Identity;
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target =
      Path + (Request.m_Content.empty() ? "x?" + Identity : Request.m_Content);
  Out.m_Headers = {
      {"Host", "h"},
      {"Attempt-Id", Request.m_Id},
      {"Api-Key", Request.m_Account + "-key"},
      {"Tenant", "forged"},
      {"Deadline-Ms", std::to_string(Request.m_TimeLimit.count())}};
  if (SkippedEvents > 0) {
    Out.m_Headers.set("Last-Event-Id", std::to_string(SkippedEvents));
    Out.m_Headers.set("Resumes", Identity);
  }
  Out.m_Body =
      requestBodyOf(Request.m_Content.empty() ? Identity : Request.m_Content);
  return Out;
}

static bool isStream(RequestKind Kind) {
  return Kind == RequestKind::Stream || Kind == RequestKind::ResumableStream;
}

/// Returns the body that a target sends, without the first events of a stream.
static std::string expectedBody(const SentRequest &Request,
                                std::size_t SkippedEvents) {
  const std::string &Identity = Request.m_Identity;
  if (!isStream(Request.m_Kind))
    return responseBodyOf(Identity);
  std::string Out;
  for (std::size_t I = SkippedEvents + 1; I <= eventCountOf(Identity); ++I)
    Out += eventOf(Identity, I);
  return Out;
}

static std::size_t completeEvents(const std::string &Received) {
  std::size_t Out = 0;
  for (std::size_t At = Received.find("\n\n"); At != std::string::npos;
       At = Received.find("\n\n", At + 2))
    ++Out;
  return Out;
}

std::chrono::milliseconds Callers::drawHeadTimeout(RequestKind Kind) {
  bool RunsOnce =
      Kind == RequestKind::NonIdempotent || Kind == RequestKind::Stream;
  if (!RunsOnce || randomBelow(100) >= ImpatientPercentage)
    return ClientTimeout;
  return std::chrono::milliseconds(MinPatienceMs +
                                   randomBelow(PatienceSpreadMs));
}

std::optional<std::size_t> Callers::drawLeaving(RequestKind Kind) {
  if (Kind != RequestKind::ResumableStream ||
      randomBelow(100) >= LeavingPercentage)
    return std::nullopt;
  return randomBelow(4);
}

void Callers::readBody(http::ClientConnection &Connection,
                       const SentRequest &Request, std::size_t SkippedEvents,
                       std::optional<std::size_t> LeaveAfter,
                       std::string &Received, asio::yield_context Yield) {
  std::string Expected = expectedBody(Request, SkippedEvents);
  while (true) {
    std::string Data = Connection.readBodyData(ClientTimeout, Yield);
    Received += Data;
    if (Expected.compare(0, Received.size(), Received) != 0) {
      m_Checker.wrongResponse(Request.m_Id,
                              "body differs from the expected one");
      throw core::Error(core::ErrorKind::Protocol, "unexpected response body");
    }
    if (Data.empty())
      break;
    if (LeaveAfter && completeEvents(Received) >= *LeaveAfter) {
      m_Checker.callerLeft(Request.m_Id);
      Connection.close();
      throw core::Error(core::ErrorKind::OutcomeUnknown, "the caller left");
    }
  }
  if (Received.size() != Expected.size())
    m_Checker.wrongResponse(Request.m_Id, "body ended early without an error");
}

Callers::Attempt Callers::exchange(http::ClientConnection &Connection,
                                   const SentRequest &Request,
                                   const std::string &Path,
                                   std::size_t SkippedEvents,
                                   asio::yield_context Yield) {
  m_Checker.requestSent(Request);
  Attempt Out;
  bool HasHead = false;
  std::string Received;
  std::optional<std::size_t> LeaveAfter = drawLeaving(Request.m_Kind);
  bool LeavesBeforeHead = LeaveAfter == std::size_t(0);
  auto HeadTimeout =
      LeavesBeforeHead
          ? std::chrono::milliseconds(1 + randomBelow(MaxHeadWaitMs))
          : drawHeadTimeout(Request.m_Kind);
  try {
    Connection.sendRequest(toMessage(Request, Path, SkippedEvents),
                           ClientTimeout, Yield);
    http::ResponseHead Head = Connection.readHead(HeadTimeout, Yield);
    HasHead = true;
    bool IsSuccess = Head.m_Status == 200;
    const std::string *Id = Head.m_Headers.find("Attempt-Id");
    if (Id && *Id != Request.m_Id)
      m_Checker.wrongResponse(Request.m_Id, "is the response to " + *Id);
    if (IsSuccess && !Head.m_Headers.find("Replica-Seal"))
      m_Checker.wrongResponse(Request.m_Id, "is not signed");
    if (const std::string *Wait = Head.m_Headers.find("Retry-After"))
      Out.m_RetryAfter =
          std::chrono::milliseconds(std::lround(std::stod(*Wait) * 1000));
    if (IsSuccess)
      readBody(Connection, Request, SkippedEvents, LeaveAfter, Received, Yield);
    else
      while (!Connection.readBodyData(ClientTimeout, Yield).empty()) {
        // The body of a failure is not checked.
      }
    m_Checker.responseReceived(Request.m_Id, Head.m_Status);
    Out.m_Status = Head.m_Status;
  } catch (const core::Error &Failure) {
    std::string Reason = Failure.what();
    auto Has = [&Reason](const char *Text) {
      return Reason.find(Text) != std::string::npos;
    };
    bool IsReset = Has("reset by peer") || Has("Broken pipe");
    if (HeadTimeout < ClientTimeout && !HasHead && Has("timeout"))
      m_Checker.callerLeft(Request.m_Id);
    bool IsLeftUnread =
        !HasHead && Has("timeout") && !Request.m_IsProxied &&
        m_System.isFrozenSince(Request.m_Gateway, Request.m_SentAt);
    if (IsLeftUnread)
      m_Checker.noteLeftUnread(Request.m_Id);
    m_Checker.responseLost(Request.m_Id, Reason);
    Out.m_LooksUnread =
        !HasHead && (IsReset || Has("end of stream")) &&
        !m_Checker.hasLinkFailed(Request) &&
        !m_System.wasKilledSince(Request.m_Gateway, Request.m_SentAt);
    if (Out.m_LooksUnread)
      m_Checker.noteUnreadEnd(Request.m_Id, IsReset);
    Out.m_LooksUnread = Out.m_LooksUnread || IsLeftUnread;
  }
  Out.m_Events = SkippedEvents + completeEvents(Received);
  return Out;
}

void Callers::repeat(const SentRequest &First, const std::string &Path,
                     Attempt Seen, asio::yield_context Yield) {
  TimePoint EndsAt = First.m_SentAt + TimeLimit;
  for (int Left = MaxRepeats; Left > 0 && !m_IsStopped; --Left) {
    bool IsPromise =
        Seen.m_Status && (*Seen.m_Status == 429 || *Seen.m_Status == 503);
    bool IsServed = Seen.m_Status && *Seen.m_Status == 200;
    if (IsServed || (!First.isRetryable() && !IsPromise && !Seen.m_LooksUnread))
      return;
    auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
        EndsAt - Clock::now());
    tests::sleepFor(m_Context, std::min(Seen.m_RetryAfter, TimeLeft / 3),
                    Yield);
    SentRequest Next = First;
    Next.m_Id = "a" + std::to_string(m_NextId++);
    Next.m_Gateway = chooseGateway();
    Next.m_IsProxied = drawProxied(Next.m_Gateway);
    Next.m_SentAt = Clock::now();
    Next.m_TimeLimit = std::chrono::duration_cast<std::chrono::milliseconds>(
        EndsAt - Next.m_SentAt);
    if (Next.m_TimeLimit < MinRepeatTime)
      return;
    try {
      auto Connection = connect(Next.m_Gateway, Next.m_IsProxied, Yield);
      Seen = exchange(*Connection, Next, Path, Seen.m_Events, Yield);
    } catch (const core::Error &) {
      // The gateway is down or starting; another one may be chosen next.
    }
  }
}

void Callers::useConnection(std::size_t Gateway, asio::yield_context Yield) {
  ConnectionHandle Connection;
  bool IsProxied = drawProxied(Gateway);
  try {
    Connection = connect(Gateway, IsProxied, Yield);
  } catch (const core::Error &) {
    return tests::sleepFor(m_Context, std::chrono::milliseconds(50), Yield);
  }
  static const struct {
    RequestKind m_Kind;
    const char *m_Path;
  } Routes[] = {{RequestKind::NonIdempotent, "/once/"},
                {RequestKind::Idempotent, "/again/"},
                {RequestKind::Stream, "/stream/"},
                {RequestKind::ResumableStream, "/resume/"}};
  std::uint64_t MaxRequests =
      m_SkewedTo ? MaxRequestsWhileSkewed : MaxRequestsPerConnection;
  for (std::uint64_t Left = 1 + randomBelow(MaxRequests); Left > 0; --Left) {
    const auto &Route = Routes[randomBelow(std::size(Routes))];
    SentRequest Request =
        makeSentRequest(Gateway, Route.m_Kind, randomBelow(4) == 0);
    Request.m_IsProxied = IsProxied;
    Attempt Seen = exchange(*Connection, Request, Route.m_Path, 0, Yield);
    repeat(Request, Route.m_Path, Seen, Yield);
    if (!Seen.m_Status || !Connection->isReusable() || m_IsStopped)
      return;
    // Pauses vary, so that connections also idle between requests.
    tests::sleepFor(m_Context,
                    std::chrono::milliseconds(randomBelow(MaxPauseMs)), Yield);
    if (!Connection->isReusable())
      return;
  }
}

void Callers::startBadRequestCallers(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    spawn([this, I](asio::yield_context Yield) { sendBadRequests(I, Yield); });
}

void Callers::sendBadRequests(std::size_t Number, asio::yield_context Yield) {
  TimePoint Start = Clock::now();
  while (!m_IsStopped && !m_AreBadRequestsStopped) {
    auto Series = (Clock::now() - Start) / BadRequestRepeatTime;
    std::size_t Gateway = chooseGateway();
    try {
      auto Connection = connect(Gateway, false, Yield);
      SentRequest Request =
          makeSentRequest(Gateway, RequestKind::Idempotent, false);
      Request.m_Content = BadContentPrefix + std::to_string(Number) + "-" +
                          std::to_string(Series);
      exchange(*Connection, Request, "/again/", 0, Yield);
    } catch (const core::Error &) {
      // The gateway is down or starting.
    }
    tests::sleepFor(
        m_Context, std::chrono::milliseconds(randomBelow(MaxBadRequestPauseMs)),
        Yield);
  }
}

std::size_t Callers::chooseGateway() {
  if (m_SkewedTo && m_Misses[*m_SkewedTo] < MissesUntilRemoval &&
      randomBelow(100) < SkewedPercentage)
    return *m_SkewedTo;
  std::vector<std::size_t> Available;
  for (std::size_t I = 0; I < m_Misses.size(); ++I)
    if (m_Misses[I] < MissesUntilRemoval)
      Available.push_back(I);
  return Available.empty() ? randomBelow(m_Misses.size())
                           : Available[randomBelow(Available.size())];
}

void Callers::runCaller(asio::yield_context Yield) {
  while (!m_IsStopped)
    useConnection(chooseGateway(), Yield);
}

//===----------------------------------------------------------------------===//
// Balancer and probes
//===----------------------------------------------------------------------===//

void Callers::runBalancer(std::size_t Gateway, asio::yield_context Yield) {
  http::RequestMessage ReadinessRequest;
  ReadinessRequest.m_Method = "GET";
  ReadinessRequest.m_Target = "/readyz";
  ReadinessRequest.m_Headers.set("Host", "h");
  for (; !m_IsStopped; tests::sleepFor(m_Context, BalancePeriod, Yield)) {
    unsigned Status = 0;
    try {
      auto Connection = http::ClientConnection::connect(
          m_Context, m_System.readinessAddress(Gateway), ConnectTime, Yield);
      Connection->sendRequest(ReadinessRequest, ConnectTime, Yield);
      Status =
          Connection->readResponse(ConnectTime, ReadinessResponseLimit, Yield)
              .m_Head.m_Status;
    } catch (const core::Error &) {
      // A missing response counts as a failed check.
    }
    m_Misses[Gateway] = Status == 200 ? 0 : m_Misses[Gateway] + 1;
  }
}

void Callers::checkProbe(std::size_t Gateway, std::size_t RestartCount,
                         const AcceptedVersion &Probed, TimePoint SentAt,
                         unsigned Status) {
  std::string Subject = "gateway " + std::to_string(Gateway) + ", version " +
                        std::to_string(Probed.m_Number);
  std::uint64_t &NewestActive = m_NewestActiveVersion[{Gateway, RestartCount}];
  const AcceptedVersion &Newest = m_System.versions().back();
  bool IsNewest = Newest.m_Number == Probed.m_Number &&
                  m_System.newestSentVersion() == Probed.m_Number;
  if (Status == 200)
    NewestActive = std::max(NewestActive, Probed.m_Number);
  // 503 is valid while the gateway has no configuration.
  if (Status != 404 || !IsNewest)
    return;
  if (NewestActive >= Probed.m_Number)
    return m_Checker.addViolation("configuration", Subject + " was reverted");
  if (SentAt > Probed.m_AcceptedAt + bounds::ConfigurationApplyTime &&
      m_Checker.isUndisturbedSince(Gateway, Probed.m_AcceptedAt))
    m_Checker.addViolation("configuration",
                           Subject + " is not in effect in time");
}

void Callers::runProber(std::size_t Gateway, asio::yield_context Yield) {
  for (; !m_IsStopped; tests::sleepFor(m_Context, ProbePeriod, Yield)) {
    if (m_System.versions().empty())
      continue;
    AcceptedVersion Probed = m_System.versions().back();
    std::size_t RestartCount = m_System.restartCount(Gateway);
    SentRequest Request =
        makeSentRequest(Gateway, RequestKind::Idempotent, false);
    Request.m_IsProbe = true;
    try {
      auto Connection = connect(Gateway, false, Yield);
      auto Status =
          exchange(*Connection, Request,
                   "/probe-" + std::to_string(Probed.m_Number) + "/", 0, Yield)
              .m_Status;
      if (Status && RestartCount == m_System.restartCount(Gateway))
        checkProbe(Gateway, RestartCount, Probed, Request.m_SentAt, *Status);
    } catch (const core::Error &) {
      // The gateway is down or starting.
    }
  }
}

} // namespace yardrill::soak
