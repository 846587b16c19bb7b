#include "ModelEngine.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;

static const std::size_t PrefixBytes = 1024;
static const std::size_t BytesPerToken = 4;

struct ModelEngine::Job {
  explicit Job(asio::io_context &Context) : m_Wake(Context) {}

  asio::steady_timer m_Wake;
  std::string m_Prompt;
  std::size_t m_Tokens = 0;
  std::int64_t m_Priority = 0;
  bool m_IsStream = false;
  bool m_HasPlace = false;
  bool m_IsCancelled = false;
};

std::string ModelEngine::tokenOf(const std::string &Prompt, std::size_t Index) {
  return core::sha256Hex(Prompt + std::to_string(Index)).substr(0, 8) + " ";
}

static std::string promptOf(const json::object &Body) {
  if (const json::value *Prompt = Body.if_contains("prompt"))
    return std::string(Prompt->as_string());
  return json::serialize(Body.at("messages"));
}

void ModelEngine::handle(http::Exchange &Call, asio::yield_context Yield) {
  json::value Parsed = json::parse(Call.request().m_Body);
  const json::object &Body = Parsed.as_object();
  Job Which(m_Context);
  Which.m_Prompt = promptOf(Body);
  std::int64_t Tokens = 16;
  take(Body, "max_tokens", Tokens);
  take(Body, "priority", Which.m_Priority);
  take(Body, "stream", Which.m_IsStream);
  Which.m_Tokens = static_cast<std::size_t>(Tokens);
  Call.setHangUpHook([&Which] {
    Which.m_IsCancelled = true;
    Which.m_Wake.cancel();
  });
  ++m_Started;
  waitForPlace(Which, Yield);
  if (!Which.m_IsCancelled)
    prefill(Which, Yield);
  try {
    if (!Which.m_IsCancelled)
      answer(Call, Which, Yield);
  } catch (const std::exception &) {
    Which.m_IsCancelled = true;
  }
  Call.setHangUpHook(nullptr);
  if (Which.m_HasPlace)
    leavePlace();
  ++(Which.m_IsCancelled ? m_Cancelled : m_Finished);
  if (Which.m_IsCancelled)
    Call.abort();
}

void ModelEngine::waitForPlace(Job &Which, asio::yield_context Yield) {
  if (m_Busy < m_Settings.m_Places) {
    ++m_Busy;
    Which.m_HasPlace = true;
    return;
  }
  auto Place = m_Waiting.emplace(Which.m_Priority, &Which);
  while (!Which.m_HasPlace && !Which.m_IsCancelled) {
    boost::system::error_code Ignored;
    Which.m_Wake.expires_at(asio::steady_timer::time_point::max());
    Which.m_Wake.async_wait(Yield[Ignored]);
  }
  if (!Which.m_HasPlace)
    m_Waiting.erase(Place);
}

void ModelEngine::leavePlace() {
  if (m_Waiting.empty()) {
    --m_Busy;
    return;
  }
  Job *Next = m_Waiting.begin()->second;
  m_Waiting.erase(m_Waiting.begin());
  Next->m_HasPlace = true;
  Next->m_Wake.cancel();
}

bool ModelEngine::touchPrefix(const std::string &Prompt) {
  std::string Prefix = Prompt.substr(0, PrefixBytes);
  auto Found = std::find(m_Cache.begin(), m_Cache.end(), Prefix);
  bool IsCached = Found != m_Cache.end();
  if (IsCached)
    m_Cache.erase(Found);
  m_Cache.push_front(Prefix);
  if (m_Cache.size() > m_Settings.m_CachedPrefixes)
    m_Cache.pop_back();
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

void ModelEngine::answer(http::Exchange &Call, Job &Which,
                         asio::yield_context Yield) {
  http::ResponseHead Head;
  Head.m_Status = 200;
  Head.m_Headers.set("Content-Type", "text/event-stream");
  if (Which.m_IsStream)
    Call.startStream(Head, Yield);
  std::string Text;
  for (std::size_t I = 0; I < Which.m_Tokens && !Which.m_IsCancelled; ++I) {
    double Seconds = m_Slowness / m_Settings.m_DecodeRate;
    sleep(std::chrono::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
          Yield);
    if (m_BreakAfterTokens >= 0 &&
        I >= static_cast<std::size_t>(m_BreakAfterTokens)) {
      Which.m_IsCancelled = true;
      return;
    }
    std::string Token = tokenOf(Which.m_Prompt, I);
    Text += Token;
    json::object Choice{{"index", 0}, {"text", Token}};
    json::object Event{{"choices", json::array{Choice}}};
    if (Which.m_IsStream)
      Call.sendPiece("data: " + json::serialize(Event) + "\n\n", Yield);
  }
  if (Which.m_IsCancelled)
    return;
  if (Which.m_IsStream) {
    Call.sendPiece("data: [DONE]\n\n", Yield);
    return Call.finishStream(Yield);
  }
  json::object Choice{{"index", 0}, {"text", Text}};
  sendJson(Call, json::object{{"choices", json::array{Choice}}}, Yield);
}

void ModelEngine::control(const json::object &Settings) {
  take(Settings, "slowness", m_Slowness);
  take(Settings, "break_after_tokens", m_BreakAfterTokens);
}

json::object ModelEngine::counters() const {
  return {{"started", m_Started},     {"finished", m_Finished},
          {"cancelled", m_Cancelled}, {"prefill_tokens", m_PrefillTokens},
          {"busy", m_Busy},           {"waiting", m_Waiting.size()}};
}

} // namespace yardrill::standins
