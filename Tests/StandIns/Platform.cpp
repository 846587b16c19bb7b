#include "Platform.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <boost/asio/detached.hpp>

namespace yardrill::standins {

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

/// Period at which the expiry of leases and the end of a phase without
/// responses are checked.
static const std::chrono::milliseconds PollPeriod(50);

/// Returns a parameter of the query, percent-decoded (RFC 3986, section 2.1),
/// or "".
static std::string parameter(const std::string &Target,
                             const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    std::size_t Next = Target.find('&', At + 1);
    std::string Pair = Target.substr(At + 1, Next - At - 1);
    At = Next;
    if (Pair.compare(0, Name.size() + 1, Name + "=") != 0)
      continue;
    std::string Out;
    for (std::size_t I = Name.size() + 1; I < Pair.size(); ++I) {
      if (Pair[I] != '%') {
        Out += Pair[I];
        continue;
      }
      Out += core::fromHex(Pair.substr(I + 1, 2));
      I += 2;
    }
    return Out;
  }
  return "";
}

static std::int64_t toInteger(const std::string &Text) {
  return Text.empty() ? 0 : std::stoll(Text);
}

static std::string textOf(const json::object &Object, const char *Name) {
  return std::string(Object.at(Name).as_string());
}

static std::int64_t integerOf(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value ? Value->to_number<std::int64_t>() : 0;
}

static bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

void Platform::startLeaseExpiry() {
  asio::spawn(
      m_Context,
      [this](asio::yield_context Yield) {
        while (true) {
          sleep(PollPeriod, Yield);
          auto Leases = m_Leases;
          for (const auto &[Id, HeldLease] : Leases)
            if (HeldLease.m_ExpiresAt <= Clock::now())
              revokeLease(Id);
        }
      },
      asio::detached);
}

bool Platform::isOverRateLimit() {
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
  if (m_ResponseDelayMilliseconds > 0)
    sleep(std::chrono::milliseconds(m_ResponseDelayMilliseconds), Yield);
  if (m_IsDown)
    return Call.abort();
  // Counts the call before it is held while the store is unresponsive. Later,
  // when its caller is gone, it must not use up the rate limit.
  bool IsOverLimit = isOverRateLimit();
  while (m_IsUnresponsive)
    sleep(PollPeriod, Yield);
  if (IsOverLimit)
    return respond(Call, {429, {{"error", "rate limit"}}}, Yield);
  const http::RequestMessage Request = Call.request();
  if (startsWith(Request.m_Target, "/kv-watch"))
    return watch(Call, Yield);
  bool IsResponseDropped =
      Request.m_Target == "/kv-txn" && m_ResponsesToDrop > 0;
  if (IsResponseDropped) {
    --m_ResponsesToDrop;
    if (m_LateWriteMilliseconds > 0) {
      Call.abort();
      sleep(std::chrono::milliseconds(m_LateWriteMilliseconds), Yield);
      execute(Request);
      return;
    }
  }
  Response Result = execute(Request);
  if (IsResponseDropped)
    return Call.abort();
  respond(Call, Result, Yield);
}

void Platform::respond(http::Exchange &Call, const Response &Result,
                       asio::yield_context Yield) const {
  http::ResponseMessage Out;
  Out.m_Head.m_Status = Result.m_Status;
  Out.m_Head.m_Headers.set("Content-Type", "application/json");
  Out.m_Head.m_Headers.set("Store-Era", std::to_string(m_Era));
  Out.m_Body = json::serialize(Result.m_Body) + "\n";
  Call.sendResponse(std::move(Out), Yield);
}

void Platform::restoreCopy() {
  m_Items = m_CopiedItems;
  m_Revision = m_CopiedRevision;
  m_Leases.clear();
  while (!m_Changes.empty() && m_Changes.back().m_Revision > m_Revision)
    m_Changes.pop_back();
  ++m_Era;
  for (auto &Watcher : m_Watchers)
    Watcher->cancel();
}

Platform::Response Platform::execute(const http::RequestMessage &Call) {
  const std::string &Target = Call.m_Target;
  if (startsWith(Target, "/kv-key?"))
    return readItem(parameter(Target, "privateKey"));
  if (startsWith(Target, "/kv-range?"))
    return readRange(parameter(Target, "pathPrefix"),
                     parameter(Target, "sinceRev"));
  static const std::string KeepAlivePath = "/kv-keep/";
  if (startsWith(Target, KeepAlivePath))
    return keepLeaseAlive(toInteger(Target.substr(KeepAlivePath.size())));
  static const std::string RevokePath = "/kv-lease-end/";
  if (startsWith(Target, RevokePath))
    return handleRevokeLease(toInteger(Target.substr(RevokePath.size())));
  json::value Body = json::parse(Call.m_Body);
  if (Target == "/kv-txn")
    return transact(Body.as_object());
  if (Target == "/kv-lease")
    return grantLease(Body.as_object());
  return {404, {{"error", "no such call"}}};
}

json::object Platform::toJson(const std::string &Key, const Item &Entry) const {
  return {{"privateKey", Key},
          {"value", core::toBase64(Entry.m_Value)},
          {"rev", Entry.m_ModRevision},
          {"createRevision", Entry.m_ModRevision},
          {"lease", Entry.m_Lease}};
}

Platform::Response Platform::readItem(const std::string &Key) const {
  auto Found = m_Items.find(Key);
  if (Found == m_Items.end())
    return {404, {{"storeRevision", m_Revision}}};
  json::object Body = toJson(Key, Found->second);
  Body["storeRevision"] = m_Revision;
  return {200, Body};
}

Platform::Response Platform::readRange(const std::string &Prefix,
                                       const std::string &After) const {
  json::array Found;
  bool HasMore = false;
  for (auto Position = m_Items.lower_bound(Prefix); Position != m_Items.end();
       ++Position) {
    if (!startsWith(Position->first, Prefix))
      break;
    if (!After.empty() && Position->first <= After)
      continue;
    HasMore = Found.size() >= static_cast<std::size_t>(m_MaxPageItems);
    if (HasMore)
      break;
    Found.push_back(toJson(Position->first, Position->second));
  }
  return {200,
          {{"items", Found},
           {"morePages", HasMore},
           {"storeRevision", m_Revision}}};
}

Platform::Response Platform::transact(const json::object &Body) {
  json::array Current;
  bool IsMet = true;
  for (const json::value &Each : Body.at("expectedRev").as_array()) {
    const json::object &Condition = Each.as_object();
    std::string Key = textOf(Condition, "privateKey");
    auto Found = m_Items.find(Key);
    std::int64_t CurrentRevision =
        Found == m_Items.end() ? 0 : Found->second.m_ModRevision;
    IsMet = IsMet && CurrentRevision == integerOf(Condition, "rev");
    if (Found != m_Items.end())
      Current.push_back(toJson(Key, Found->second));
  }
  if (!IsMet)
    return {412, {{"items", Current}, {"storeRevision", m_Revision}}};
  ++m_Writes;
  const json::array &Puts = Body.at("setKeys").as_array();
  for (const json::value &Each : Puts) {
    std::int64_t Id = integerOf(Each.as_object(), "lease");
    if (Id != 0 && m_Leases.count(Id) == 0)
      return {404, {{"error", "no such lease"}}};
  }
  ++m_Revision;
  for (const json::value &Each : Puts) {
    const json::object &Put = Each.as_object();
    applyChange(textOf(Put, "privateKey"),
                Item{core::fromBase64(textOf(Put, "value")), m_Revision,
                     integerOf(Put, "lease")});
  }
  for (const json::value &Key : Body.at("remove").as_array())
    applyChange(std::string(Key.as_string()), std::nullopt);
  return {200, {{"rev", m_Revision}}};
}

void Platform::applyChange(const std::string &Key, std::optional<Item> Entry) {
  if (Entry)
    m_Items[Key] = *Entry;
  else
    m_Items.erase(Key);
  m_Changes.push_back({m_Revision, Key, Entry});
  for (auto &Watcher : m_Watchers)
    Watcher->cancel();
}

Platform::Response Platform::grantLease(const json::object &Body) {
  std::int64_t Id = m_NextLease++;
  std::chrono::milliseconds TimeToLive(integerOf(Body, "ttlMs"));
  m_Leases[Id] = {TimeToLive, Clock::now() + TimeToLive};
  return {200, {{"lease", Id}, {"ttlMs", TimeToLive.count()}}};
}

Platform::Response Platform::keepLeaseAlive(std::int64_t Id) {
  auto Found = m_Leases.find(Id);
  if (Found == m_Leases.end())
    return {404, {}};
  Lease &HeldLease = Found->second;
  HeldLease.m_ExpiresAt = Clock::now() + HeldLease.m_TimeToLive;
  return {200, {{"ttlMs", HeldLease.m_TimeToLive.count()}}};
}

Platform::Response Platform::handleRevokeLease(std::int64_t Id) {
  revokeLease(Id);
  return {200, {}};
}

void Platform::revokeLease(std::int64_t Id) {
  m_Leases.erase(Id);
  std::vector<std::string> HeldKeys;
  for (const auto &[Key, Entry] : m_Items)
    if (Entry.m_Lease == Id)
      HeldKeys.push_back(Key);
  for (const std::string &Key : HeldKeys) {
    ++m_Revision;
    applyChange(Key, std::nullopt);
  }
}

json::array Platform::changesAfter(const std::string &Prefix,
                                   std::int64_t After) const {
  json::array Out;
  for (const Change &Entry : m_Changes) {
    if (Entry.m_Revision <= After || !startsWith(Entry.m_Key, Prefix))
      continue;
    if (Entry.m_Item)
      Out.push_back(toJson(Entry.m_Key, *Entry.m_Item));
    else
      Out.push_back(json::object{{"privateKey", Entry.m_Key},
                                 {"rev", Entry.m_Revision},
                                 {"removed", true}});
  }
  return Out;
}

void Platform::watch(http::Exchange &Call, asio::yield_context Yield) {
  const std::string Target = Call.request().m_Target;
  std::string Prefix = parameter(Target, "pathPrefix");
  std::int64_t After = toInteger(parameter(Target, "sinceRev"));
  if (After < m_CompactedRevision || After > m_Revision)
    return respond(Call, {410, {{"error", "history is gone"}}}, Yield);
  auto Deadline = Clock::now() + std::chrono::milliseconds(
                                     toInteger(parameter(Target, "waitMs")));
  auto Signal = std::make_shared<asio::steady_timer>(m_Context);
  auto Position = m_Watchers.insert(m_Watchers.end(), Signal);
  std::int64_t Era = m_Era;
  bool IsDisconnected = false;
  Call.setDisconnectCallback([&IsDisconnected, Signal] {
    IsDisconnected = true;
    Signal->cancel();
  });
  ++m_OpenWatches;
  json::array Changes = changesAfter(Prefix, After);
  while (!IsDisconnected && !m_IsDown && Era == m_Era && Changes.empty() &&
         Clock::now() < Deadline) {
    boost::system::error_code Ignored;
    Signal->expires_at(Deadline);
    Signal->async_wait(Yield[Ignored]);
    Changes = changesAfter(Prefix, After);
  }
  --m_OpenWatches;
  m_Watchers.erase(Position);
  if (IsDisconnected || m_IsDown || Era != m_Era)
    return Call.abort();
  respond(Call, {200, {{"events", Changes}, {"storeRevision", m_Revision}}},
          Yield);
}

void Platform::schedulePut(const json::object &PutSettings) {
  std::string Key(PutSettings.at("key").as_string());
  std::optional<Item> Entry;
  if (const json::value *Value = PutSettings.if_contains("value"))
    Entry = Item{Value->is_string() ? std::string(Value->as_string())
                                    : json::serialize(*Value)};
  std::int64_t Lag = integerOf(PutSettings, "lag_ms");
  auto ApplyLater = [this, Key, Entry, Lag](asio::yield_context Yield) {
    if (Lag > 0)
      sleep(std::chrono::milliseconds(Lag), Yield);
    ++m_Revision;
    std::optional<Item> NewItem = Entry;
    if (NewItem)
      NewItem->m_ModRevision = m_Revision;
    applyChange(Key, NewItem);
  };
  asio::spawn(m_Context, ApplyLater, asio::detached);
}

void Platform::applySettings(const json::object &Settings) {
  readIfPresent(Settings, "down", m_IsDown);
  readIfPresent(Settings, "silent", m_IsUnresponsive);
  readIfPresent(Settings, "page_items", m_MaxPageItems);
  readIfPresent(Settings, "slow_ms", m_ResponseDelayMilliseconds);
  readIfPresent(Settings, "lose_answers", m_ResponsesToDrop);
  readIfPresent(Settings, "late_ms", m_LateWriteMilliseconds);
  readIfPresent(Settings, "calls_per_second", m_CallsPerSecond);
  if (const json::value *Put = Settings.if_contains("put"))
    schedulePut(Put->as_object());
  if (Settings.if_contains("keep_copy")) {
    m_CopiedItems = m_Items;
    m_CopiedRevision = m_Revision;
  }
  if (Settings.if_contains("restore_copy"))
    restoreCopy();
  if (Settings.if_contains("forget_history")) {
    m_CompactedRevision = m_Revision;
    m_Changes.clear();
  }
  // Wakes the watches so that they notice the outage and abort.
  if (m_IsDown)
    for (auto &Watcher : m_Watchers)
      Watcher->cancel();
}

json::object Platform::counters() const {
  json::object Keys;
  for (const auto &[Key, Entry] : m_Items)
    Keys[Key] = Entry.m_Value;
  return {{"calls", m_Calls},
          {"writes", m_Writes},
          {"open_watches", m_OpenWatches},
          {"revision", m_Revision},
          {"keys", Keys}};
}

} // namespace yardrill::standins
