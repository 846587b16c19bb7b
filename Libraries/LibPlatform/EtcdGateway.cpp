#include "LibPlatform/EtcdGateway.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/json.hpp>
#include <charconv>

namespace yardrill::platform {

namespace asio = boost::asio;
namespace json = boost::json;
using core::Error;
using core::ErrorKind;

/// The service holds values up to a megabyte (brief); base64 adds a third.
static const std::size_t MostAnswerBytes = 64UL * 1024 * 1024;
static const std::size_t MostIdleConnections = 4;
/// A watch says nothing while nothing changes; TCP tells when it is cut.
static const std::chrono::hours WatchSilence(1);

EtcdGateway::EtcdGateway(asio::io_context &Context,
                         EtcdGatewaySettings Settings)
    : m_Context(Context), m_Settings(std::move(Settings)),
      m_Budget(m_Settings.m_CallsPerSecond, m_Settings.m_CallBurst) {}

EtcdGateway::~EtcdGateway() = default;

/// etcd: the end of the range of all keys that start with \p Prefix.
static std::string rangeEnd(std::string Prefix) {
  while (!Prefix.empty()) {
    auto Last = static_cast<unsigned char>(Prefix.back());
    if (Last < 0xff) {
      Prefix.back() = static_cast<char>(Last + 1);
      return Prefix;
    }
    Prefix.pop_back();
  }
  return std::string(1, '\0');
}

static std::int64_t toInteger(const json::value &Value) {
  if (const auto *Text = Value.if_string()) {
    std::int64_t Number = 0;
    std::from_chars(Text->data(), Text->data() + Text->size(), Number);
    return Number;
  }
  return Value.is_int64() ? Value.get_int64() : 0;
}

/// A field that the gateway leaves out when it is zero.
static std::int64_t integerField(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value ? toInteger(*Value) : 0;
}

static std::string textField(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->get_string()) : "";
}

static Entry toEntry(const json::object &Object) {
  Entry Out;
  Out.m_Key = core::fromBase64(textField(Object, "key"));
  Out.m_Value = core::fromBase64(textField(Object, "value"));
  Out.m_Modified = Revision(integerField(Object, "mod_revision"));
  return Out;
}

static std::vector<Entry> entriesOf(const json::object &Range) {
  std::vector<Entry> Entries;
  if (const json::value *List = Range.if_contains("kvs"))
    for (const json::value &Item : List->as_array())
      Entries.push_back(toEntry(Item.as_object()));
  return Entries;
}

std::unique_ptr<http::ClientConnection>
EtcdGateway::connect(asio::yield_context Yield) {
  while (!m_Idle.empty()) {
    auto Connection = std::move(m_Idle.back());
    m_Idle.pop_back();
    if (Connection->isReusable())
      return Connection;
  }
  const auto &Address =
      m_Settings.m_Addresses[m_NextAddress % m_Settings.m_Addresses.size()];
  try {
    return http::ClientConnection::connect(m_Context, Address,
                                           m_Settings.m_CallTimeout, Yield);
  } catch (const Error &) {
    ++m_NextAddress;
    throw;
  }
}

static http::RequestMessage toRequest(const char *Path,
                                      const json::value &Body) {
  http::RequestMessage Out;
  Out.m_Method = "POST";
  Out.m_Target = Path;
  Out.m_Headers.set("Host", "platform");
  Out.m_Headers.set("Content-Type", "application/json");
  Out.m_Body = json::serialize(Body);
  return Out;
}

json::value EtcdGateway::exchange(const char *Path, const json::value &Body,
                                  asio::yield_context Yield) {
  auto Connection = connect(Yield);
  Connection->sendRequest(toRequest(Path, Body), m_Settings.m_CallTimeout,
                          Yield);
  auto Answer =
      Connection->readWhole(m_Settings.m_CallTimeout, MostAnswerBytes, Yield);
  // The service refuses by status before it does anything: 429 is its rate
  // limit, 503 an outage it knows of.
  if (Answer.m_Head.m_Status == 429 || Answer.m_Head.m_Status == 503)
    throw Error(ErrorKind::Unavailable, "platform refused the call");
  if (Answer.m_Head.m_Status != 200)
    throw Error(ErrorKind::OutcomeUnknown,
                "platform answered " + std::to_string(Answer.m_Head.m_Status));
  json::value Parsed;
  try {
    Parsed = json::parse(Answer.m_Body);
    (void)Parsed.as_object();
  } catch (const std::exception &Failure) {
    throw Error(ErrorKind::OutcomeUnknown, Failure.what());
  }
  if (m_Idle.size() < MostIdleConnections)
    m_Idle.push_back(std::move(Connection));
  return Parsed;
}

void EtcdGateway::noteRevision(const json::value &Answer) {
  const json::value *Header = Answer.get_object().if_contains("header");
  if (!Header || !Header->is_object())
    return;
  Revision Seen(integerField(Header->get_object(), "revision"));
  if (m_LastRevision < Seen)
    m_LastRevision = Seen;
}

json::value EtcdGateway::call(const char *Path, const json::value &Body,
                              CallClass Class, asio::yield_context Yield) {
  if (m_Waiting >= m_Settings.m_WaitingCalls ||
      !m_Budget.take(Class, core::steadyNow())) {
    ++m_Counters.m_BudgetRefusals;
    throw Error(ErrorKind::BudgetSpent, "platform call budget");
  }
  ++m_Waiting;
  ++m_Counters.m_Calls;
  try {
    json::value Answer = exchange(Path, Body, Yield);
    noteRevision(Answer);
    --m_Waiting;
    return Answer;
  } catch (const Error &) {
    --m_Waiting;
    ++m_Counters.m_Failures;
    throw;
  }
}

std::vector<Entry> EtcdGateway::readRange(const json::value &Body,
                                          CallClass Class,
                                          asio::yield_context Yield) {
  return entriesOf(call("/v3/kv/range", Body, Class, Yield).as_object());
}

std::vector<Entry> EtcdGateway::readPrefix(const std::string &Prefix,
                                           CallClass Class,
                                           asio::yield_context Yield) {
  return readRange({{"key", core::toBase64(Prefix)},
                    {"range_end", core::toBase64(rangeEnd(Prefix))}},
                   Class, Yield);
}

std::optional<Entry> EtcdGateway::read(const std::string &Key, CallClass Class,
                                       asio::yield_context Yield) {
  auto Entries = readRange({{"key", core::toBase64(Key)}}, Class, Yield);
  if (Entries.empty())
    return std::nullopt;
  return Entries.front();
}

static json::value toOperation(const Put &What) {
  json::object Body{{"key", core::toBase64(What.m_Key)},
                    {"value", core::toBase64(What.m_Value)}};
  if (What.m_Lease)
    Body["lease"] = std::to_string(What.m_Lease->value());
  return json::object{{"requestPut", Body}};
}

SwapResult EtcdGateway::compareAndSwap(const CompareAndSwap &Swap,
                                       CallClass Class,
                                       asio::yield_context Yield) {
  std::string Key = core::toBase64(Swap.m_Key);
  json::object Compare{
      {"key", Key},
      {"target", "MOD"},
      {"result", "EQUAL"},
      {"mod_revision", std::to_string(Swap.m_Expected.value())}};
  json::array Puts;
  for (const Put &P : Swap.m_Puts)
    Puts.push_back(toOperation(P));
  json::object Range{{"requestRange", json::object{{"key", Key}}}};
  json::value Answer = call("/v3/kv/txn",
                            {{"compare", json::array{Compare}},
                             {"success", Puts},
                             {"failure", json::array{Range}}},
                            Class, Yield);
  SwapResult Out;
  const json::object &Object = Answer.as_object();
  const json::value *Succeeded = Object.if_contains("succeeded");
  Out.m_IsSwapped = Succeeded && Succeeded->is_bool() && Succeeded->get_bool();
  Out.m_Revision = m_LastRevision;
  if (Out.m_IsSwapped) {
    if (const json::value *Header = Object.if_contains("header"))
      Out.m_Revision = Revision(integerField(Header->as_object(), "revision"));
    return Out;
  }
  const json::value *Responses = Object.if_contains("responses");
  if (!Responses || Responses->as_array().empty())
    return Out;
  const json::value *Found =
      Responses->as_array()[0].as_object().if_contains("response_range");
  if (!Found)
    return Out;
  auto Entries = entriesOf(Found->as_object());
  if (!Entries.empty())
    Out.m_Current = Entries.front();
  return Out;
}

LeaseId EtcdGateway::grantLease(std::chrono::seconds TimeToLive,
                                CallClass Class, asio::yield_context Yield) {
  json::value Answer =
      call("/v3/lease/grant", {{"TTL", std::to_string(TimeToLive.count())}},
           Class, Yield);
  return LeaseId(integerField(Answer.as_object(), "ID"));
}

bool EtcdGateway::keepAlive(LeaseId Lease, asio::yield_context Yield) {
  json::value Answer =
      call("/v3/lease/keepalive", {{"ID", std::to_string(Lease.value())}},
           CallClass::Control, Yield);
  const json::value *Result = Answer.as_object().if_contains("result");
  return Result && Result->is_object() &&
         integerField(Result->get_object(), "TTL") > 0;
}

void EtcdGateway::revoke(LeaseId Lease, asio::yield_context Yield) {
  call("/v3/lease/revoke", {{"ID", std::to_string(Lease.value())}},
       CallClass::Control, Yield);
}

static std::vector<Entry> changesOf(const json::object &Result) {
  std::vector<Entry> Changes;
  const json::value *Events = Result.if_contains("events");
  if (!Events)
    return Changes;
  for (const json::value &Item : Events->as_array()) {
    const json::object &Event = Item.as_object();
    Entry Change = toEntry(Event.at("kv").as_object());
    Change.m_IsDeleted = textField(Event, "type") == "DELETE";
    Changes.push_back(Change);
  }
  return Changes;
}

void EtcdGateway::watch(
    const std::string &Prefix, Revision After,
    const std::function<void(const std::vector<Entry> &)> &Notify,
    asio::yield_context Yield) {
  if (!m_Budget.take(CallClass::Control, core::steadyNow()))
    throw Error(ErrorKind::BudgetSpent, "platform call budget");
  ++m_Counters.m_Calls;
  auto Connection = connect(Yield);
  json::object Create{{"key", core::toBase64(Prefix)},
                      {"range_end", core::toBase64(rangeEnd(Prefix))},
                      {"start_revision", std::to_string(After.value() + 1)}};
  Connection->sendRequest(
      toRequest("/v3/watch", json::object{{"create_request", Create}}),
      m_Settings.m_CallTimeout, Yield);
  if (Connection->readHead(m_Settings.m_CallTimeout, Yield).m_Status != 200)
    throw Error(ErrorKind::Unavailable, "platform refused the watch");
  std::string Text;
  while (true) {
    std::string Piece = Connection->readPiece(WatchSilence, Yield);
    if (Piece.empty())
      throw Error(ErrorKind::Unavailable, "platform ended the watch");
    Text += Piece;
    if (Text.size() > MostAnswerBytes)
      throw Error(ErrorKind::LimitExceeded, "a watch event is too large");
    std::size_t End = 0;
    while ((End = Text.find('\n')) != std::string::npos) {
      std::string Line = Text.substr(0, End);
      Text.erase(0, End + 1);
      try {
        json::value Parsed = json::parse(Line);
        Notify(changesOf(Parsed.as_object().at("result").as_object()));
      } catch (const boost::system::system_error &Failure) {
        throw Error(ErrorKind::Protocol, Failure.what());
      } catch (const std::logic_error &Failure) {
        throw Error(ErrorKind::Protocol, Failure.what());
      }
    }
  }
}

} // namespace yardrill::platform
