#include "ModelEngine.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;

static const std::size_t PrefixBytes = 1024;
static const std::size_t BytesPerToken = 4;
static const std::size_t MaxLoadSamples = 10000;
static const std::string CompletionsPath = "/v1/completions/";

struct ModelEngine::Job {
  explicit Job(asio::io_context &Context)
      : m_SlotSignal(Context), m_ReaderSignal(Context) {}

  asio::steady_timer m_SlotSignal;
  asio::steady_timer m_ReaderSignal;
  std::string m_Id;
  std::string m_Prompt;
  std::size_t m_RequestedTokens = 0;
  std::size_t m_ProducedTokens = 0;
  std::int64_t m_Priority = 0;
  std::size_t m_Readers = 0;
  bool m_IsStream = false;
  bool m_HasSlot = false;
  bool m_IsCancelled = false;
  bool m_IsAborted = false;

  bool isDone() const {
    return m_IsCancelled || m_IsAborted ||
           m_ProducedTokens == m_RequestedTokens;
  }
  void cancel() {
    m_IsCancelled = true;
    m_SlotSignal.cancel();
    m_ReaderSignal.cancel();
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

static void waitForWakeUp(asio::steady_timer &Wake, asio::yield_context Yield) {
  boost::system::error_code Ignored;
  Wake.expires_at(asio::steady_timer::time_point::max());
  Wake.async_wait(Yield[Ignored]);
}

void ModelEngine::handle(http::Exchange &Call, asio::yield_context Yield) {
  const std::string &Target = Call.request().m_Target;
  if (Target == "/load")
    return sendJson(Call, delayedLoad(), Yield);
  if (Target.compare(0, 20, "/cache_events?after=") == 0)
    return sendJson(Call, delayedCacheEvents(std::stoul(Target.substr(20))),
                    Yield);
  if (Target.compare(0, CompletionsPath.size(), CompletionsPath) == 0)
    return resumeOrCancel(Call, Target.substr(CompletionsPath.size()), Yield);
  std::shared_ptr<Job> Which = startJob(Call.request());
  if (Which->m_IsStream)
    sendStream(Call, Which, 0, Yield);
  else
    sendCompleteResponse(Call, Which, Yield);
}

std::shared_ptr<ModelEngine::Job>
ModelEngine::startJob(const http::RequestMessage &Request) {
  json::value Parsed = json::parse(Request.m_Body);
  const json::object &Body = Parsed.as_object();
  auto Which = std::make_shared<Job>(m_Context);
  Which->m_Prompt = promptOf(Body);
  std::int64_t Tokens = 16;
  readIfPresent(Body, "max_tokens", Tokens);
  readIfPresent(Body, "priority", Which->m_Priority);
  readIfPresent(Body, "stream", Which->m_IsStream);
  Which->m_RequestedTokens = static_cast<std::size_t>(Tokens);
  if (const std::string *Id = Request.m_Headers.find("Yardrill-Request-Id")) {
    Which->m_Id = *Id;
    m_Jobs[*Id] = Which;
  }
  ++m_Started;
  asio::spawn(
      m_Context,
      [this, Which](asio::yield_context Yield) { runJob(Which, Yield); },
      asio::detached);
  return Which;
}

void ModelEngine::runJob(const std::shared_ptr<Job> &Which,
                         asio::yield_context Yield) {
  acquireSlot(Which, Yield);
  if (!Which->m_IsCancelled)
    prefill(*Which, Yield);
  while (!Which->isDone()) {
    double Seconds = m_SlowdownFactor / m_Settings.m_DecodeRate;
    sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
          Yield);
    auto Limit = static_cast<std::size_t>(m_BreakAfterTokens);
    Which->m_IsAborted =
        m_BreakAfterTokens >= 0 && Which->m_ProducedTokens >= Limit;
    if (!Which->m_IsAborted && !Which->m_IsCancelled)
      ++Which->m_ProducedTokens;
    Which->m_ReaderSignal.cancel();
  }
  if (Which->m_HasSlot)
    releaseSlot();
  bool IsWhole = Which->m_ProducedTokens == Which->m_RequestedTokens;
  ++(IsWhole ? m_Finished : m_Cancelled);
  recordLoad();
}

void ModelEngine::acquireSlot(const std::shared_ptr<Job> &Which,
                              asio::yield_context Yield) {
  if (m_BusySlots < m_Settings.m_Slots) {
    ++m_BusySlots;
    Which->m_HasSlot = true;
    return recordLoad();
  }
  auto Place = m_Waiting.emplace(Which->m_Priority, Which);
  recordLoad();
  while (!Which->m_HasSlot && !Which->m_IsCancelled)
    waitForWakeUp(Which->m_SlotSignal, Yield);
  if (!Which->m_HasSlot)
    m_Waiting.erase(Place);
}

void ModelEngine::releaseSlot() {
  if (m_Waiting.empty()) {
    --m_BusySlots;
    return;
  }
  std::shared_ptr<Job> Next = m_Waiting.begin()->second;
  m_Waiting.erase(m_Waiting.begin());
  Next->m_HasSlot = true;
  Next->m_SlotSignal.cancel();
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
      static_cast<double>(Tokens) / m_Settings.m_PrefillRate * m_SlowdownFactor;
  sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
        Yield);
}

//===----------------------------------------------------------------------===//
// Readers of a job
//===----------------------------------------------------------------------===//

void ModelEngine::handleReaderDisconnect(const std::shared_ptr<Job> &Which) {
  if (Which->isDone())
    return;
  if (m_LingerMilliseconds == 0)
    return Which->cancel();
  asio::spawn(
      m_Context,
      [this, Which](asio::yield_context Yield) {
        sleep(std::chrono::milliseconds(m_LingerMilliseconds), Yield);
        if (Which->m_Readers == 0 && !Which->isDone())
          Which->cancel();
      },
      asio::detached);
}

void ModelEngine::sendStream(http::Exchange &Call,
                             const std::shared_ptr<Job> &Which,
                             std::size_t Next, asio::yield_context Yield) {
  bool IsGone = false;
  Call.setDisconnectCallback([&IsGone, Which] {
    IsGone = true;
    Which->m_ReaderSignal.cancel();
  });
  ++Which->m_Readers;
  try {
    http::ResponseHead Head;
    Head.m_Status = 200;
    Head.m_Headers.set("Content-Type", "text/event-stream");
    Call.startStream(Head, Yield);
    while (!IsGone) {
      while (Next < Which->m_ProducedTokens) {
        json::object Choice{{"index", 0},
                            {"text", tokenOf(Which->m_Prompt, Next)}};
        json::object Event{{"choices", json::array{Choice}}};
        ++Next;
        Call.sendBodyData("id: " + std::to_string(Next) +
                              "\ndata: " + json::serialize(Event) + "\n\n",
                          Yield);
      }
      if (Which->isDone())
        break;
      waitForWakeUp(Which->m_ReaderSignal, Yield);
    }
    if (!IsGone && Next == Which->m_RequestedTokens) {
      Call.sendBodyData("data: [DONE]\n\n", Yield);
      Call.finishStream(Yield);
    }
  } catch (const std::exception &) {
    IsGone = true;
  }
  Call.setDisconnectCallback(nullptr);
  --Which->m_Readers;
  if (IsGone || Next != Which->m_RequestedTokens)
    Call.abort();
  if (Which->m_Readers == 0)
    handleReaderDisconnect(Which);
}

void ModelEngine::sendCompleteResponse(http::Exchange &Call,
                                       const std::shared_ptr<Job> &Which,
                                       asio::yield_context Yield) {
  Call.setDisconnectCallback([Which] { Which->cancel(); });
  while (!Which->isDone())
    waitForWakeUp(Which->m_ReaderSignal, Yield);
  Call.setDisconnectCallback(nullptr);
  if (Which->m_ProducedTokens != Which->m_RequestedTokens)
    return Call.abort();
  std::string Text;
  for (std::size_t I = 0; I < Which->m_RequestedTokens; ++I)
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
  sendStream(Call, Which, Last ? std::stoul(*Last) : 0, Yield);
}

//===----------------------------------------------------------------------===//
// Late news
//===----------------------------------------------------------------------===//

void ModelEngine::recordLoad() {
  m_LoadHistory.push_back({Clock::now(), m_BusySlots, m_Waiting.size()});
  if (m_LoadHistory.size() > MaxLoadSamples)
    m_LoadHistory.pop_front();
}

json::object ModelEngine::delayedLoad() const {
  auto Until = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  LoadSample Last;
  for (const LoadSample &Each : m_LoadHistory)
    if (Each.m_At <= Until)
      Last = Each;
  return {{"running", Last.m_Running}, {"waiting", Last.m_Waiting}};
}

json::object ModelEngine::delayedCacheEvents(std::size_t After) const {
  auto Until = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  json::array Events;
  for (std::size_t I = After; I < m_CacheEvents.size(); ++I) {
    const CacheEvent &Each = m_CacheEvents[I];
    std::size_t Number = I + 1;
    bool IsOmitted =
        m_OmitEveryNthEvent > 0 &&
        Number % static_cast<std::size_t>(m_OmitEveryNthEvent) == 0;
    if (Each.m_At <= Until && !IsOmitted)
      Events.push_back(json::object{{"number", Number},
                                    {"kind", Each.m_Kind},
                                    {"prefix", Each.m_Prefix}});
  }
  return {{"events", Events}};
}

void ModelEngine::applySettings(const json::object &Settings) {
  readIfPresent(Settings, "slowness", m_SlowdownFactor);
  readIfPresent(Settings, "break_after_tokens", m_BreakAfterTokens);
  readIfPresent(Settings, "linger_ms", m_LingerMilliseconds);
  readIfPresent(Settings, "lag_ms", m_LagMilliseconds);
  readIfPresent(Settings, "gap_every", m_OmitEveryNthEvent);
}

json::object ModelEngine::counters() const {
  return {{"started", m_Started},
          {"finished", m_Finished},
          {"cancelled", m_Cancelled},
          {"resumed", m_Resumed},
          {"busy", m_BusySlots},
          {"waiting", m_Waiting.size()},
          {"prefill_tokens", m_PrefillTokens}};
}

} // namespace yardrill::standins
