#include "Platform.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

static const std::chrono::milliseconds LeaseCheckPeriod(50);

static std::string textOf(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value ? core::fromBase64(std::string(Value->as_string())) : "";
}

static std::int64_t integerOf(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value)
    return 0;
  if (Value->is_string())
    return std::stoll(std::string(Value->as_string()));
  return Value->to_number<std::int64_t>();
}

void Platform::start() {
  asio::spawn(
      m_Context,
      [this](asio::yield_context Yield) {
        while (true) {
          sleep(LeaseCheckPeriod, Yield);
          auto All = m_Leases;
          for (const auto &[Id, Which] : All)
            if (Which.m_Until <= Clock::now())
              endLease(Id);
        }
      },
      asio::detached);
}

bool Platform::isOverRate() {
  if (m_CallsPerSecond == 0)
    return false;
  auto Now = Clock::now();
  while (!m_RecentCalls.empty() &&
         m_RecentCalls.front() < Now - std::chrono::seconds(1))
    m_RecentCalls.pop_front();
  if (m_RecentCalls.size() >= static_cast<std::size_t>(m_CallsPerSecond))
    return true;
  m_RecentCalls.push_back(Now);
  return false;
}

void Platform::handle(http::Exchange &Call, asio::yield_context Yield) {
  ++m_Calls;
  if (m_SlowMilliseconds > 0)
    sleep(std::chrono::milliseconds(m_SlowMilliseconds), Yield);
  if (m_IsDown)
    return Call.abort();
  if (isOverRate())
    return sendJson(Call, json::object{{"error", "rate limit"}}, Yield, 429);
  std::string Path = Call.request().m_Target;
  json::value Parsed = json::parse(Call.request().m_Body);
  if (Path == "/v3/watch")
    return watch(Call, Parsed.as_object(), Yield);
  bool IsWrite = Path == "/v3/kv/txn";
  bool IsLost = IsWrite && m_LoseAnswers > 0;
  if (IsLost) {
    --m_LoseAnswers;
    if (m_LateMilliseconds > 0) {
      Call.abort();
      sleep(std::chrono::milliseconds(m_LateMilliseconds), Yield);
      answer(Path, Parsed.as_object());
      return;
    }
  }
  json::object Answer = answer(Path, Parsed.as_object());
  if (IsLost)
    return Call.abort();
  sendJson(Call, Answer, Yield);
}

json::object Platform::answer(const std::string &Path,
                              const json::object &Body) {
  if (Path == "/v3/kv/range")
    return range(Body);
  if (Path == "/v3/kv/txn")
    return transact(Body);
  if (Path == "/v3/lease/grant")
    return grant(Body);
  if (Path == "/v3/lease/keepalive")
    return keepAlive(Body);
  if (Path == "/v3/lease/revoke")
    return revoke(Body);
  return {{"error", "no such path"}};
}

json::object Platform::header() const {
  return {{"revision", std::to_string(m_Revision)}};
}

json::object Platform::toJson(const std::string &Key, const Item &What) const {
  return {{"key", core::toBase64(Key)},
          {"value", core::toBase64(What.m_Value)},
          {"mod_revision", std::to_string(What.m_Modified)}};
}

json::object Platform::range(const json::object &Body) const {
  std::string First = textOf(Body, "key");
  std::string End = textOf(Body, "range_end");
  json::array Found;
  for (auto Place = m_Items.lower_bound(First); Place != m_Items.end();
       ++Place) {
    bool IsInside = End.empty() ? Place->first == First : Place->first < End;
    if (!IsInside)
      break;
    Found.push_back(toJson(Place->first, Place->second));
  }
  return {{"header", header()}, {"kvs", Found}};
}

json::object Platform::transact(const json::object &Body) {
  const json::object &Compare = Body.at("compare").as_array().at(0).as_object();
  auto Found = m_Items.find(textOf(Compare, "key"));
  std::int64_t Modified = Found == m_Items.end() ? 0 : Found->second.m_Modified;
  if (Modified != integerOf(Compare, "mod_revision")) {
    const json::object &Read = Body.at("failure").as_array().at(0).as_object();
    json::object Response{
        {"response_range", range(Read.at("requestRange").as_object())}};
    return {{"header", header()}, {"responses", json::array{Response}}};
  }
  ++m_Writes;
  for (const json::value &Step : Body.at("success").as_array()) {
    const json::object &Put = Step.as_object().at("requestPut").as_object();
    std::int64_t Id = integerOf(Put, "lease");
    if (Id != 0 && m_Leases.count(Id) == 0)
      return {{"error", "requested lease not found"}};
  }
  ++m_Revision;
  for (const json::value &Step : Body.at("success").as_array()) {
    const json::object &Put = Step.as_object().at("requestPut").as_object();
    put(textOf(Put, "key"),
        Item{textOf(Put, "value"), m_Revision, integerOf(Put, "lease")});
  }
  return {{"header", header()}, {"succeeded", true}};
}

void Platform::put(const std::string &Key, std::optional<Item> What) {
  if (What)
    m_Items[Key] = *What;
  else
    m_Items.erase(Key);
  m_Changes.push_back({m_Revision, Key, What});
  for (auto &Watcher : m_Watchers)
    Watcher->cancel();
}

json::object Platform::grant(const json::object &Body) {
  std::int64_t Id = m_NextLease++;
  std::int64_t Seconds = integerOf(Body, "TTL");
  m_Leases[Id] = {Seconds, Clock::now() + std::chrono::seconds(Seconds)};
  return {{"header", header()},
          {"ID", std::to_string(Id)},
          {"TTL", std::to_string(Seconds)}};
}

json::object Platform::keepAlive(const json::object &Body) {
  auto Found = m_Leases.find(integerOf(Body, "ID"));
  json::object Result{{"header", header()}};
  if (Found != m_Leases.end()) {
    Lease &Which = Found->second;
    Which.m_Until = Clock::now() + std::chrono::seconds(Which.m_Seconds);
    Result["TTL"] = std::to_string(Which.m_Seconds);
  }
  return {{"result", Result}};
}

json::object Platform::revoke(const json::object &Body) {
  endLease(integerOf(Body, "ID"));
  return {{"header", header()}};
}

void Platform::endLease(std::int64_t Id) {
  m_Leases.erase(Id);
  std::vector<std::string> Ended;
  for (const auto &[Key, What] : m_Items)
    if (What.m_Lease == Id)
      Ended.push_back(Key);
  for (const std::string &Key : Ended) {
    ++m_Revision;
    put(Key, std::nullopt);
  }
}

void Platform::watch(http::Exchange &Call, const json::object &Body,
                     asio::yield_context Yield) {
  const json::object &Create = Body.at("create_request").as_object();
  std::string First = textOf(Create, "key");
  std::string End = textOf(Create, "range_end");
  std::int64_t Next = integerOf(Create, "start_revision");
  auto Wake = std::make_shared<asio::steady_timer>(m_Context);
  auto Place = m_Watchers.insert(m_Watchers.end(), Wake);
  bool IsGone = false;
  Call.setHangUpHook([&IsGone, Wake] {
    IsGone = true;
    Wake->cancel();
  });
  ++m_OpenWatches;
  try {
    http::ResponseHead Head;
    Head.m_Status = 200;
    Call.startStream(Head, Yield);
    while (!IsGone && !m_IsDown) {
      json::array Events;
      for (const Change &What : m_Changes) {
        if (What.m_Revision < Next || What.m_Key < First || What.m_Key >= End)
          continue;
        json::object Event{
            {"kv", toJson(What.m_Key, What.m_Item.value_or(Item()))}};
        if (!What.m_Item)
          Event["type"] = "DELETE";
        Events.push_back(Event);
      }
      Next = m_Revision + 1;
      if (!Events.empty()) {
        json::object Result{{"header", header()}, {"events", Events}};
        Call.sendPiece(json::serialize(json::object{{"result", Result}}) + "\n",
                       Yield);
        continue;
      }
      boost::system::error_code Ignored;
      Wake->expires_at(asio::steady_timer::time_point::max());
      Wake->async_wait(Yield[Ignored]);
    }
  } catch (const std::exception &) {
    IsGone = true;
  }
  --m_OpenWatches;
  m_Watchers.erase(Place);
  Call.abort();
}

void Platform::schedulePut(const json::object &Wanted) {
  std::string Key(Wanted.at("key").as_string());
  std::optional<Item> What;
  if (const json::value *Value = Wanted.if_contains("value"))
    What = Item{Value->is_string() ? std::string(Value->as_string())
                                   : json::serialize(*Value)};
  std::int64_t Lag = integerOf(Wanted, "lag_ms");
  auto Later = [this, Key, What, Lag](asio::yield_context Yield) {
    if (Lag > 0)
      sleep(std::chrono::milliseconds(Lag), Yield);
    ++m_Revision;
    std::optional<Item> Now = What;
    if (Now)
      Now->m_Modified = m_Revision;
    put(Key, Now);
  };
  asio::spawn(m_Context, Later, asio::detached);
}

void Platform::control(const json::object &Settings) {
  take(Settings, "down", m_IsDown);
  take(Settings, "slow_ms", m_SlowMilliseconds);
  take(Settings, "lose_answers", m_LoseAnswers);
  take(Settings, "late_ms", m_LateMilliseconds);
  take(Settings, "calls_per_second", m_CallsPerSecond);
  if (const json::value *Put = Settings.if_contains("put"))
    schedulePut(Put->as_object());
  // An outage ends the watches too.
  if (m_IsDown)
    for (auto &Watcher : m_Watchers)
      Watcher->cancel();
}

json::object Platform::counters() const {
  json::object Keys;
  for (const auto &[Key, What] : m_Items)
    Keys[Key] = What.m_Value;
  return {{"calls", m_Calls},
          {"writes", m_Writes},
          {"open_watches", m_OpenWatches},
          {"revision", m_Revision},
          {"keys", Keys}};
}

} // namespace yardrill::standins
