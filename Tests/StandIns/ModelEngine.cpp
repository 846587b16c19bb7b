#include "ModelEngine.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;

static const std::size_t PrefixBytes = 1024;
static const std::size_t BytesPerToken = 4;
static const std::size_t RememberedLoads = 10000;
static const std::string CompletionsPath = "/v1/completions/";

struct ModelEngine::Job {
  explicit Job(asio::io_context &Context)
      : m_PlaceWake(Context), m_ReaderWake(Context) {}

  asio::steady_timer m_PlaceWake;
  asio::steady_timer m_ReaderWake;
  std::string m_Id;
  std::string m_Prompt;
  std::size_t m_Tokens = 0;
  std::size_t m_Produced = 0;
  std::int64_t m_Priority = 0;
  std::size_t m_Readers = 0;
  bool m_IsStream = false;
  bool m_HasPlace = false;
  bool m_IsCancelled = false;
  bool m_IsBroken = false;

  bool isOver() const {
    return m_IsCancelled || m_IsBroken || m_Produced == m_Tokens;
  }
  void cancel() {
    m_IsCancelled = true;
    m_PlaceWake.cancel();
    m_ReaderWake.cancel();
  }
};

std::string ModelEngine::tokenOf(const std::string &Prompt, std::size_t Index) {
  return core::sha256Hex(Prompt + std::to_string(Index)).substr(0, 8) + " ";
}

static std::string promptOf(const json::object &Body) {
  if (const json::value *Prompt = Body.if_contains("prompt"))
    return std::string(Prompt->as_string());
  return json::serialize(Body.at("messages"));
}

static void waitUntilCancelled(asio::steady_timer &Wake,
                               asio::yield_context Yield) {
  boost::system::error_code Ignored;
  Wake.expires_at(asio::steady_timer::time_point::max());
  Wake.async_wait(Yield[Ignored]);
}

void ModelEngine::handle(http::Exchange &Call, asio::yield_context Yield) {
  const std::string &Target = Call.request().m_Target;
  if (Target == "/load")
    return sendJson(Call, lateLoad(), Yield);
  if (Target.compare(0, 20, "/cache_events?after=") == 0)
    return sendJson(Call, lateCacheEvents(std::stoul(Target.substr(20))),
                    Yield);
  if (Target.compare(0, CompletionsPath.size(), CompletionsPath) == 0)
    return resumeOrCancel(Call, Target.substr(CompletionsPath.size()), Yield);
  std::shared_ptr<Job> Which = startJob(Call.request());
  if (Which->m_IsStream)
    stream(Call, Which, 0, Yield);
  else
    answerWhole(Call, Which, Yield);
}

std::shared_ptr<ModelEngine::Job>
ModelEngine::startJob(const http::RequestMessage &Request) {
  json::value Parsed = json::parse(Request.m_Body);
  const json::object &Body = Parsed.as_object();
  auto Which = std::make_shared<Job>(m_Context);
  Which->m_Prompt = promptOf(Body);
  std::int64_t Tokens = 16;
  take(Body, "max_tokens", Tokens);
  take(Body, "priority", Which->m_Priority);
  take(Body, "stream", Which->m_IsStream);
  Which->m_Tokens = static_cast<std::size_t>(Tokens);
  if (const std::string *Id = Request.m_Headers.find("Yardrill-Request-Id")) {
    Which->m_Id = *Id;
    m_Jobs[*Id] = Which;
  }
  ++m_Started;
  asio::spawn(
      m_Context,
      [this, Which](asio::yield_context Yield) { produce(Which, Yield); },
      asio::detached);
  return Which;
}

void ModelEngine::produce(const std::shared_ptr<Job> &Which,
                          asio::yield_context Yield) {
  waitForPlace(Which, Yield);
  if (!Which->m_IsCancelled)
    prefill(*Which, Yield);
  while (!Which->isOver()) {
    double Seconds = m_Slowness / m_Settings.m_DecodeRate;
    sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
          Yield);
    auto Limit = static_cast<std::size_t>(m_BreakAfterTokens);
    Which->m_IsBroken = m_BreakAfterTokens >= 0 && Which->m_Produced >= Limit;
    if (!Which->m_IsBroken && !Which->m_IsCancelled)
      ++Which->m_Produced;
    Which->m_ReaderWake.cancel();
  }
  if (Which->m_HasPlace)
    leavePlace();
  bool IsWhole = Which->m_Produced == Which->m_Tokens;
  ++(IsWhole ? m_Finished : m_Cancelled);
  noteLoad();
}

void ModelEngine::waitForPlace(const std::shared_ptr<Job> &Which,
                               asio::yield_context Yield) {
  if (m_Busy < m_Settings.m_Slots) {
    ++m_Busy;
    Which->m_HasPlace = true;
    return noteLoad();
  }
  auto Place = m_Waiting.emplace(Which->m_Priority, Which);
  noteLoad();
  while (!Which->m_HasPlace && !Which->m_IsCancelled)
    waitUntilCancelled(Which->m_PlaceWake, Yield);
  if (!Which->m_HasPlace)
    m_Waiting.erase(Place);
}

void ModelEngine::leavePlace() {
  if (m_Waiting.empty()) {
    --m_Busy;
    return;
  }
  std::shared_ptr<Job> Next = m_Waiting.begin()->second;
  m_Waiting.erase(m_Waiting.begin());
  Next->m_HasPlace = true;
  Next->m_PlaceWake.cancel();
}

bool ModelEngine::touchPrefix(const std::string &Prompt) {
  std::string Prefix = Prompt.substr(0, PrefixBytes);
  auto Found = std::find(m_Cache.begin(), m_Cache.end(), Prefix);
  bool IsCached = Found != m_Cache.end();
  if (IsCached)
    m_Cache.erase(Found);
  else
    m_CacheEvents.push_back({Clock::now(), "stored", core::sha256Hex(Prefix)});
  m_Cache.push_front(Prefix);
  if (m_Cache.size() > m_Settings.m_CachedPrefixes) {
    m_CacheEvents.push_back(
        {Clock::now(), "evicted", core::sha256Hex(m_Cache.back())});
    m_Cache.pop_back();
  }
  return IsCached;
}

void ModelEngine::prefill(Job &Which, asio::yield_context Yield) {
  std::size_t Bytes = Which.m_Prompt.size();
  if (touchPrefix(Which.m_Prompt))
    Bytes -= std::min(Bytes, PrefixBytes);
  std::size_t Tokens = Bytes / BytesPerToken;
  m_PrefillTokens += Tokens;
  double Seconds =
      static_cast<double>(Tokens) / m_Settings.m_PrefillRate * m_Slowness;
  sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
        Yield);
}

//===----------------------------------------------------------------------===//
// Readers of a job
//===----------------------------------------------------------------------===//

void ModelEngine::readerLeft(const std::shared_ptr<Job> &Which) {
  if (Which->isOver())
    return;
  if (m_LingerMilliseconds == 0)
    return Which->cancel();
  asio::spawn(
      m_Context,
      [this, Which](asio::yield_context Yield) {
        sleep(std::chrono::milliseconds(m_LingerMilliseconds), Yield);
        if (Which->m_Readers == 0 && !Which->isOver())
          Which->cancel();
      },
      asio::detached);
}

void ModelEngine::stream(http::Exchange &Call,
                         const std::shared_ptr<Job> &Which, std::size_t Next,
                         asio::yield_context Yield) {
  bool IsGone = false;
  Call.setDisconnectCallback([&IsGone, Which] {
    IsGone = true;
    Which->m_ReaderWake.cancel();
  });
  ++Which->m_Readers;
  try {
    http::ResponseHead Head;
    Head.m_Status = 200;
    Head.m_Headers.set("Content-Type", "text/event-stream");
    Call.startStream(Head, Yield);
    while (!IsGone) {
      while (Next < Which->m_Produced) {
        json::object Choice{{"index", 0},
                            {"text", tokenOf(Which->m_Prompt, Next)}};
        json::object Event{{"choices", json::array{Choice}}};
        ++Next;
        Call.sendBodyData("id: " + std::to_string(Next) +
                              "\ndata: " + json::serialize(Event) + "\n\n",
                          Yield);
      }
      if (Which->isOver())
        break;
      waitUntilCancelled(Which->m_ReaderWake, Yield);
    }
    if (!IsGone && Next == Which->m_Tokens) {
      Call.sendBodyData("data: [DONE]\n\n", Yield);
      Call.finishStream(Yield);
    }
  } catch (const std::exception &) {
    IsGone = true;
  }
  Call.setDisconnectCallback(nullptr);
  --Which->m_Readers;
  if (IsGone || Next != Which->m_Tokens)
    Call.abort();
  if (Which->m_Readers == 0)
    readerLeft(Which);
}

void ModelEngine::answerWhole(http::Exchange &Call,
                              const std::shared_ptr<Job> &Which,
                              asio::yield_context Yield) {
  Call.setDisconnectCallback([Which] { Which->cancel(); });
  while (!Which->isOver())
    waitUntilCancelled(Which->m_ReaderWake, Yield);
  Call.setDisconnectCallback(nullptr);
  if (Which->m_Produced != Which->m_Tokens)
    return Call.abort();
  std::string Text;
  for (std::size_t I = 0; I < Which->m_Tokens; ++I)
    Text += tokenOf(Which->m_Prompt, I);
  json::object Choice{{"index", 0}, {"text", Text}};
  sendJson(Call, json::object{{"choices", json::array{Choice}}}, Yield);
}

void ModelEngine::resumeOrCancel(http::Exchange &Call, const std::string &Id,
                                 asio::yield_context Yield) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return sendJson(Call, json::object{{"error", "no such request"}}, Yield,
                    404);
  std::shared_ptr<Job> Which = Found->second;
  if (Call.request().m_Method == "DELETE") {
    Which->cancel();
    return sendJson(Call, json::object{{"cancelled", Id}}, Yield);
  }
  const std::string *Last = Call.request().m_Headers.find("Last-Event-ID");
  ++m_Resumed;
  stream(Call, Which, Last ? std::stoul(*Last) : 0, Yield);
}

//===----------------------------------------------------------------------===//
// Late news
//===----------------------------------------------------------------------===//

void ModelEngine::noteLoad() {
  m_Loads.push_back({Clock::now(), m_Busy, m_Waiting.size()});
  if (m_Loads.size() > RememberedLoads)
    m_Loads.pop_front();
}

json::object ModelEngine::lateLoad() const {
  auto Until = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  LoadSample Last;
  for (const LoadSample &Each : m_Loads)
    if (Each.m_At <= Until)
      Last = Each;
  return {{"running", Last.m_Running}, {"waiting", Last.m_Waiting}};
}

json::object ModelEngine::lateCacheEvents(std::size_t After) const {
  auto Until = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  json::array Events;
  for (std::size_t I = After; I < m_CacheEvents.size(); ++I) {
    const CacheEvent &Each = m_CacheEvents[I];
    std::size_t Number = I + 1;
    bool IsLeftOut =
        m_GapEvery > 0 && Number % static_cast<std::size_t>(m_GapEvery) == 0;
    if (Each.m_At <= Until && !IsLeftOut)
      Events.push_back(json::object{{"number", Number},
                                    {"kind", Each.m_Kind},
                                    {"prefix", Each.m_Prefix}});
  }
  return {{"events", Events}};
}

void ModelEngine::control(const json::object &Settings) {
  take(Settings, "slowness", m_Slowness);
  take(Settings, "break_after_tokens", m_BreakAfterTokens);
  take(Settings, "linger_ms", m_LingerMilliseconds);
  take(Settings, "lag_ms", m_LagMilliseconds);
  take(Settings, "gap_every", m_GapEvery);
}

json::object ModelEngine::counters() const {
  return {{"started", m_Started},
          {"finished", m_Finished},
          {"cancelled", m_Cancelled},
          {"resumed", m_Resumed},
          {"busy", m_Busy},
          {"waiting", m_Waiting.size()},
          {"prefill_tokens", m_PrefillTokens}};
}

} // namespace yardrill::standins
