#include "Callers.h"

#include "Sleep.h"

#include "LibCore/Error.h"

#include <boost/asio/spawn.hpp>

namespace yardrill::soak {

namespace asio = boost::asio;

/// Time limit of every route and deadline of every request.
static constexpr std::chrono::milliseconds TimeLimit{2000};
/// A caller waits longer, to see whether an answer comes at all.
static constexpr std::chrono::milliseconds Patience{3500};
static constexpr std::chrono::milliseconds ConnectTime{500};
static constexpr std::chrono::milliseconds BalancePeriod{500};
static constexpr std::chrono::milliseconds ProbePeriod{300};
static constexpr std::uint64_t MostPauseMs = 150;
static constexpr int MissesUntilOut = 2;
static constexpr std::uint64_t RequestsOfConnection = 40;
static constexpr std::size_t AnswerBytes = 65536;
/// For so long a bad caller repeats one request.
static constexpr std::chrono::seconds BadSeries{12};
static constexpr std::uint64_t MostBadPauseMs = 600;

Callers::Callers(asio::io_context &Context, Ledger &Book, Deployment &Under,
                 std::mt19937_64 &Random)
    : m_Context(Context), m_Book(Book), m_Under(Under), m_Random(Random),
      m_Misses(Under.gateways(), MissesUntilOut) {}

template <class Body> void Callers::spawn(Body What) {
  ++m_Busy;
  asio::spawn(
      m_Context,
      [this, What](asio::yield_context Yield) {
        What(Yield);
        --m_Busy;
      },
      asio::detached);
}

void Callers::start(std::size_t Count) {
  for (std::size_t I = 0; I < m_Under.gateways(); ++I) {
    spawn([this, I](asio::yield_context Yield) { balance(I, Yield); });
    spawn([this, I](asio::yield_context Yield) { probe(I, Yield); });
  }
  for (std::size_t I = 0; I < Count; ++I)
    spawn([this](asio::yield_context Yield) { call(Yield); });
}

//===----------------------------------------------------------------------===//
// Requests
//===----------------------------------------------------------------------===//

Attempt Callers::makeAttempt(std::size_t Gateway, RequestKind Kind,
                             bool IsLimited) {
  Attempt Out;
  Out.m_Id = "a" + std::to_string(m_NextId++);
  Out.m_Kind = Kind;
  Out.m_Gateway = Gateway;
  Out.m_Account = IsLimited ? "limited" : "open";
  Out.m_Tokens = 100;
  Out.m_TimeLimit = TimeLimit;
  Out.m_SentAt = Clock::now();
  return Out;
}

static http::RequestMessage toMessage(const Attempt &What,
                                      const std::string &Path) {
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target =
      Path + (What.m_Content.empty() ? "x?" + What.m_Id : What.m_Content);
  Out.m_Headers = {{"Host", "h"},
                   {"Attempt-Id", What.m_Id},
                   {"Api-Key", What.m_Account + "-key"},
                   {"Tenant", "forged"},
                   {"Deadline-Ms", std::to_string(TimeLimit.count())}};
  Out.m_Body = bodyOf(What.m_Content.empty() ? What.m_Id : What.m_Content);
  return Out;
}

static std::string allEventsOf(const std::string &Id) {
  std::string Out;
  for (std::size_t I = 1; I <= eventCountOf(Id); ++I)
    Out += eventOf(Id, I);
  return Out;
}

std::string Callers::readBody(http::ClientConnection &Connection,
                              const Attempt &What, bool IsStream,
                              asio::yield_context Yield) {
  std::string All = IsStream ? allEventsOf(What.m_Id) : answerTo(What.m_Id);
  std::string Out;
  while (true) {
    std::string Piece = Connection.readBodyData(Patience, Yield);
    Out += Piece;
    if (All.compare(0, Out.size(), Out) != 0) {
      m_Book.wrongAnswer(What.m_Id, "other bytes than its own");
      throw core::Error(core::ErrorKind::Protocol, "wrong answer");
    }
    if (!Piece.empty())
      continue;
    if (Out.size() != All.size())
      m_Book.wrongAnswer(What.m_Id, "ended early, but looks whole");
    return Out;
  }
}

std::optional<unsigned> Callers::exchange(http::ClientConnection &Connection,
                                          const Attempt &What,
                                          const std::string &Path,
                                          asio::yield_context Yield) {
  m_Book.sent(What);
  try {
    Connection.sendRequest(toMessage(What, Path), Patience, Yield);
    http::ResponseHead Head = Connection.readHead(Patience, Yield);
    bool IsSuccess = Head.m_Status == 200;
    const std::string *Id = Head.m_Headers.find("Attempt-Id");
    if (Id && *Id != What.m_Id)
      m_Book.wrongAnswer(What.m_Id, "is an answer to " + *Id);
    if (IsSuccess && !Head.m_Headers.find("Replica-Seal"))
      m_Book.wrongAnswer(What.m_Id, "is not signed");
    if (IsSuccess)
      readBody(Connection, What,
               What.m_Kind == RequestKind::Stream ||
                   What.m_Kind == RequestKind::ResumableStream,
               Yield);
    else
      while (!Connection.readBodyData(Patience, Yield).empty()) {
        // Of a failure only the status counts.
      }
    m_Book.answered(What.m_Id, Head.m_Status);
    return Head.m_Status;
  } catch (const core::Error &Failure) {
    m_Book.unanswered(What.m_Id, Failure.what());
    return std::nullopt;
  }
}

void Callers::useConnection(std::size_t Gateway, asio::yield_context Yield) {
  ConnectionHandle Connection;
  try {
    Connection = http::ClientConnection::connect(
        m_Context, m_Under.callerAddress(Gateway), ConnectTime, Yield);
  } catch (const core::Error &) {
    return tests::sleepFor(m_Context, std::chrono::milliseconds(50), Yield);
  }
  static const struct {
    RequestKind m_Kind;
    const char *m_Path;
  } Kinds[] = {{RequestKind::NonIdempotent, "/once/"},
               {RequestKind::Idempotent, "/again/"},
               {RequestKind::Stream, "/stream/"},
               {RequestKind::ResumableStream, "/resume/"}};
  for (std::uint64_t Left = 1 + draw(RequestsOfConnection); Left > 0; --Left) {
    const auto &Kind = Kinds[draw(std::size(Kinds))];
    Attempt What = makeAttempt(Gateway, Kind.m_Kind, draw(4) == 0);
    auto Status = exchange(*Connection, What, Kind.m_Path, Yield);
    if (!Status || !Connection->isReusable() || m_IsStopped)
      return;
    // Streams of a pause between requests, also longer than a connection rests.
    tests::sleepFor(m_Context, std::chrono::milliseconds(draw(MostPauseMs)),
                    Yield);
    if (!Connection->isReusable())
      return;
  }
}

void Callers::startBadCallers(std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I)
    spawn([this, I](asio::yield_context Yield) { callBadly(I, Yield); });
}

void Callers::callBadly(std::size_t Number, asio::yield_context Yield) {
  TimePoint Start = Clock::now();
  while (!m_IsStopped && !m_AreBadStopped) {
    auto Series = (Clock::now() - Start) / BadSeries;
    std::size_t Gateway = chooseGateway();
    try {
      auto Connection = http::ClientConnection::connect(
          m_Context, m_Under.callerAddress(Gateway), ConnectTime, Yield);
      Attempt What = makeAttempt(Gateway, RequestKind::Idempotent, false);
      What.m_Content =
          BadPrefix + std::to_string(Number) + "-" + std::to_string(Series);
      exchange(*Connection, What, "/again/", Yield);
    } catch (const core::Error &) {
      // Down, or just starting.
    }
    tests::sleepFor(m_Context, std::chrono::milliseconds(draw(MostBadPauseMs)),
                    Yield);
  }
}

std::size_t Callers::chooseGateway() {
  std::vector<std::size_t> In;
  for (std::size_t I = 0; I < m_Misses.size(); ++I)
    if (m_Misses[I] < MissesUntilOut)
      In.push_back(I);
  return In.empty() ? draw(m_Misses.size()) : In[draw(In.size())];
}

void Callers::call(asio::yield_context Yield) {
  while (!m_IsStopped)
    useConnection(chooseGateway(), Yield);
}

//===----------------------------------------------------------------------===//
// Balancer and probes
//===----------------------------------------------------------------------===//

void Callers::balance(std::size_t Gateway, asio::yield_context Yield) {
  http::RequestMessage Ask;
  Ask.m_Method = "GET";
  Ask.m_Target = "/readyz";
  Ask.m_Headers.set("Host", "h");
  for (; !m_IsStopped; tests::sleepFor(m_Context, BalancePeriod, Yield)) {
    unsigned Status = 0;
    try {
      auto Connection = http::ClientConnection::connect(
          m_Context, m_Under.readinessAddress(Gateway), ConnectTime, Yield);
      Connection->sendRequest(Ask, ConnectTime, Yield);
      Status = Connection->readResponse(ConnectTime, AnswerBytes, Yield)
                   .m_Head.m_Status;
    } catch (const core::Error &) {
      // No answer is a miss.
    }
    m_Misses[Gateway] = Status == 200 ? 0 : m_Misses[Gateway] + 1;
  }
}

void Callers::judgeProbe(std::size_t Gateway, std::size_t Life,
                         const AcceptedVersion &Asked, TimePoint SentAt,
                         unsigned Status) {
  std::string Where = "gateway " + std::to_string(Gateway) + ", version " +
                      std::to_string(Asked.m_Number);
  std::uint64_t &Seen = m_Seen[{Gateway, Life}];
  const AcceptedVersion &Newest = m_Under.versions().back();
  bool IsNewest = Newest.m_Number == Asked.m_Number &&
                  m_Under.newestSentVersion() == Asked.m_Number;
  if (Status == 200)
    Seen = std::max(Seen, Asked.m_Number);
  // Without any configuration it answers 503, which is right.
  if (Status != 404 || !IsNewest)
    return;
  if (Seen >= Asked.m_Number)
    return m_Book.broken("configuration", Where + " went back");
  if (SentAt > Asked.m_AcceptedAt + bounds::ConfigurationInForce &&
      m_Book.isInTouchSince(Gateway, Asked.m_AcceptedAt))
    m_Book.broken("configuration", Where + " is not in force");
}

void Callers::probe(std::size_t Gateway, asio::yield_context Yield) {
  for (; !m_IsStopped; tests::sleepFor(m_Context, ProbePeriod, Yield)) {
    if (m_Under.versions().empty())
      continue;
    AcceptedVersion Asked = m_Under.versions().back();
    std::size_t Life = m_Under.lifeOf(Gateway);
    Attempt What = makeAttempt(Gateway, RequestKind::Idempotent, false);
    What.m_IsProbe = true;
    try {
      auto Connection = http::ClientConnection::connect(
          m_Context, m_Under.callerAddress(Gateway), ConnectTime, Yield);
      auto Status =
          exchange(*Connection, What,
                   "/probe-" + std::to_string(Asked.m_Number) + "/", Yield);
      if (Status && Life == m_Under.lifeOf(Gateway))
        judgeProbe(Gateway, Life, Asked, What.m_SentAt, *Status);
    } catch (const core::Error &) {
      // Down, or just starting.
    }
  }
}

} // namespace yardrill::soak
