#include "ModelEngine.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;

/// Length of the part of a prompt that the cache compares.
static const std::size_t PrefixBytes = 1024;
static const std::size_t BytesPerToken = 4;
static const std::size_t MaxLoadSamples = 10000;
static const std::string CompletionsPath = "/v1/completions/";

struct ModelEngine::Job {
  explicit Job(asio::io_context &Context)
      : m_SlotSignal(Context), m_ReaderSignal(Context) {}

  // Timers that never expire; cancelling one wakes the coroutines that wait.
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

static void waitForWakeUp(asio::steady_timer &Signal,
                          asio::yield_context Yield) {
  boost::system::error_code Ignored;
  Signal.expires_at(asio::steady_timer::time_point::max());
  Signal.async_wait(Yield[Ignored]);
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
  std::shared_ptr<Job> Current = startJob(Call.request());
  if (Current->m_IsStream)
    sendStream(Call, Current, 0, Yield);
  else
    sendCompleteResponse(Call, Current, Yield);
}

std::shared_ptr<ModelEngine::Job>
ModelEngine::startJob(const http::RequestMessage &Request) {
  json::value Parsed = json::parse(Request.m_Body);
  const json::object &Body = Parsed.as_object();
  auto Current = std::make_shared<Job>(m_Context);
  Current->m_Prompt = promptOf(Body);
  std::int64_t Tokens = 16;
  readIfPresent(Body, "max_tokens", Tokens);
  readIfPresent(Body, "priority", Current->m_Priority);
  readIfPresent(Body, "stream", Current->m_IsStream);
  Current->m_RequestedTokens = static_cast<std::size_t>(Tokens);
  if (const std::string *Id = Request.m_Headers.find("Yardrill-Request-Id")) {
    Current->m_Id = *Id;
    m_Jobs[*Id] = Current;
  }
  ++m_Started;
  asio::spawn(
      m_Context,
      [this, Current](asio::yield_context Yield) { runJob(Current, Yield); },
      asio::detached);
  return Current;
}

void ModelEngine::runJob(const std::shared_ptr<Job> &Current,
                         asio::yield_context Yield) {
  acquireSlot(Current, Yield);
  if (!Current->m_IsCancelled)
    prefill(*Current, Yield);
  while (!Current->isDone()) {
    double Seconds = m_SlowdownFactor / m_Settings.m_DecodeRate;
    sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
          Yield);
    auto Limit = static_cast<std::size_t>(m_BreakAfterTokens);
    Current->m_IsAborted =
        m_BreakAfterTokens >= 0 && Current->m_ProducedTokens >= Limit;
    if (!Current->m_IsAborted && !Current->m_IsCancelled)
      ++Current->m_ProducedTokens;
    Current->m_ReaderSignal.cancel();
  }
  if (Current->m_HasSlot)
    releaseSlot();
  bool IsComplete = Current->m_ProducedTokens == Current->m_RequestedTokens;
  ++(IsComplete ? m_Finished : m_Cancelled);
  recordLoad();
}

void ModelEngine::acquireSlot(const std::shared_ptr<Job> &Current,
                              asio::yield_context Yield) {
  if (m_BusySlots < m_Settings.m_Slots) {
    ++m_BusySlots;
    Current->m_HasSlot = true;
    return recordLoad();
  }
  auto Position = m_Waiting.emplace(Current->m_Priority, Current);
  recordLoad();
  while (!Current->m_HasSlot && !Current->m_IsCancelled)
    waitForWakeUp(Current->m_SlotSignal, Yield);
  if (!Current->m_HasSlot)
    m_Waiting.erase(Position);
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

void ModelEngine::prefill(Job &Current, asio::yield_context Yield) {
  std::size_t Bytes = Current.m_Prompt.size();
  if (touchPrefix(Current.m_Prompt))
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

void ModelEngine::handleReaderDisconnect(const std::shared_ptr<Job> &Current) {
  if (Current->isDone())
    return;
  if (m_LingerMilliseconds == 0)
    return Current->cancel();
  asio::spawn(
      m_Context,
      [this, Current](asio::yield_context Yield) {
        sleep(std::chrono::milliseconds(m_LingerMilliseconds), Yield);
        if (Current->m_Readers == 0 && !Current->isDone())
          Current->cancel();
      },
      asio::detached);
}

void ModelEngine::sendStream(http::Exchange &Call,
                             const std::shared_ptr<Job> &Current,
                             std::size_t Next, asio::yield_context Yield) {
  bool IsDisconnected = false;
  Call.setDisconnectCallback([&IsDisconnected, Current] {
    IsDisconnected = true;
    Current->m_ReaderSignal.cancel();
  });
  ++Current->m_Readers;
  try {
    http::ResponseHead Head;
    Head.m_Status = 200;
    Head.m_Headers.set("Content-Type", "text/event-stream");
    Call.startStream(Head, Yield);
    while (!IsDisconnected) {
      while (Next < Current->m_ProducedTokens) {
        json::object Choice{{"index", 0},
                            {"text", tokenOf(Current->m_Prompt, Next)}};
        json::object Event{{"choices", json::array{Choice}}};
        ++Next;
        Call.sendBodyData("id: " + std::to_string(Next) +
                              "\ndata: " + json::serialize(Event) + "\n\n",
                          Yield);
      }
      if (Current->isDone())
        break;
      waitForWakeUp(Current->m_ReaderSignal, Yield);
    }
    if (!IsDisconnected && Next == Current->m_RequestedTokens) {
      Call.sendBodyData("data: [DONE]\n\n", Yield);
      Call.finishStream(Yield);
    }
  } catch (const std::exception &) {
    IsDisconnected = true;
  }
  Call.setDisconnectCallback(nullptr);
  --Current->m_Readers;
  if (IsDisconnected || Next != Current->m_RequestedTokens)
    Call.abort();
  if (Current->m_Readers == 0)
    handleReaderDisconnect(Current);
}

void ModelEngine::sendCompleteResponse(http::Exchange &Call,
                                       const std::shared_ptr<Job> &Current,
                                       asio::yield_context Yield) {
  Call.setDisconnectCallback([Current] { Current->cancel(); });
  while (!Current->isDone())
    waitForWakeUp(Current->m_ReaderSignal, Yield);
  Call.setDisconnectCallback(nullptr);
  if (Current->m_ProducedTokens != Current->m_RequestedTokens)
    return Call.abort();
  std::string Text;
  for (std::size_t I = 0; I < Current->m_RequestedTokens; ++I)
    Text += tokenOf(Current->m_Prompt, I);
  json::object Choice{{"index", 0}, {"text", Text}};
  sendJson(Call, json::object{{"choices", json::array{Choice}}}, Yield);
}

void ModelEngine::resumeOrCancel(http::Exchange &Call, const std::string &Id,
                                 asio::yield_context Yield) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return sendJson(Call, json::object{{"error", "no such request"}}, Yield,
                    404);
  std::shared_ptr<Job> Current = Found->second;
  if (Call.request().m_Method == "DELETE") {
    Current->cancel();
    return sendJson(Call, json::object{{"cancelled", Id}}, Yield);
  }
  const std::string *Last = Call.request().m_Headers.find("Last-Event-ID");
  ++m_Resumed;
  sendStream(Call, Current, Last ? std::stoul(*Last) : 0, Yield);
}

//===----------------------------------------------------------------------===//
// Delayed load and cache events
//===----------------------------------------------------------------------===//

void ModelEngine::recordLoad() {
  m_LoadHistory.push_back({Clock::now(), m_BusySlots, m_Waiting.size()});
  if (m_LoadHistory.size() > MaxLoadSamples)
    m_LoadHistory.pop_front();
}

json::object ModelEngine::delayedLoad() const {
  auto Cutoff = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  LoadSample Last;
  for (const LoadSample &Each : m_LoadHistory)
    if (Each.m_At <= Cutoff)
      Last = Each;
  return {{"running", Last.m_Running}, {"waiting", Last.m_Waiting}};
}

json::object ModelEngine::delayedCacheEvents(std::size_t After) const {
  auto Cutoff = Clock::now() - std::chrono::milliseconds(m_LagMilliseconds);
  json::array Events;
  for (std::size_t I = After; I < m_CacheEvents.size(); ++I) {
    const CacheEvent &Each = m_CacheEvents[I];
    std::size_t Number = I + 1;
    bool IsOmitted =
        m_OmitEveryNthEvent > 0 &&
        Number % static_cast<std::size_t>(m_OmitEveryNthEvent) == 0;
    if (Each.m_At <= Cutoff && !IsOmitted)
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
