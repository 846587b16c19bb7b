#include "LibGateway/StoreFetcher.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/StoreTransfer.h"
#include "LibGateway/ValuePatch.h"
#include "LibHTTP/ClientConnection.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <cassert>
#include <iterator>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;
using core::ErrorKind;

/// How far behind the store's own word may be before a peer is asked.
static constexpr std::chrono::milliseconds BehindPatience{250};
/// For each step: to connect, to send, and from one piece to the next.
static constexpr std::chrono::milliseconds FetchTimeout{1000};
/// Before another peer is asked after one that refused; drawn, so that those
/// who ask together do not do so again. The longest is the backlog at which
/// peers refuse.
static constexpr std::chrono::milliseconds LeastRefusedPause{20};
static constexpr std::chrono::milliseconds MostRefusedPause{100};
/// A configuration is at most a megabyte, a target's entry under a kilobyte.
static constexpr std::size_t MostTransferBytes = 16UL * 1024 * 1024;

StoreFetcher::StoreFetcher(asio::io_context &Context,
                           const config::Endpoint &Address,
                           const peer::PeerCodec &Codec,
                           platform::StoreMirror &Mirror,
                           metrics::MetricsRegistry &Metrics,
                           double LinkBytesPerSecond)
    : m_Context(Context), m_Codec(Codec), m_Mirror(Mirror), m_Metrics(Metrics),
      m_Server(Context, Address, Codec, Mirror, Metrics, LinkBytesPerSecond),
      m_Random(core::randomBits()) {}

template <class Condition>
static std::vector<StoreHolder> those(const std::vector<StoreHolder> &Of,
                                      const Condition &Fulfil) {
  std::vector<StoreHolder> Out;
  std::copy_if(Of.begin(), Of.end(), std::back_inserter(Out), Fulfil);
  return Out;
}

static std::vector<StoreHolder>
withNewestValues(const std::vector<StoreHolder> &Of) {
  platform::Revision Newest;
  for (const StoreHolder &Each : Of)
    Newest = std::max(Newest, Each.m_Whole);
  return those(
      Of, [Newest](const StoreHolder &Each) { return Each.m_Whole == Newest; });
}

//===----------------------------------------------------------------------===//
// When to ask whom
//===----------------------------------------------------------------------===//

void StoreFetcher::consider(const Holders &Ahead, bool IsPatient,
                            core::TimePoint Now) {
  considerChanges(Ahead, IsPatient, Now);
  considerValues(Ahead, IsPatient, Now);
}

void StoreFetcher::considerChanges(const Holders &Ahead, bool IsPatient,
                                   core::TimePoint Now) {
  platform::Revision Newest;
  for (const StoreHolder &Each : Ahead)
    Newest = std::max(Newest, Each.m_Revision);
  if (!(m_Mirror.revision() < Newest)) {
    m_Changes.m_BehindSince = core::TimePoint();
    return;
  }
  if (!mustAsk(m_Changes, IsPatient, Now))
    return;
  Holders Newer = those(Ahead, [Newest](const StoreHolder &Each) {
    return Each.m_Revision == Newest;
  });
  config::Endpoint From = choose(Newer).m_Address;
  ask(m_Changes, From,
      [this, From](asio::yield_context Yield) { fetchChanges(From, Yield); });
}

void StoreFetcher::considerValues(const Holders &Ahead, bool IsPatient,
                                  core::TimePoint Now) {
  if (m_Mirror.wanted().empty()) {
    m_Values.m_BehindSince = core::TimePoint();
    return;
  }
  const auto &[Key, Wanted] = *m_Mirror.wanted().begin();
  // Any that is further on helps, while values change faster than they arrive;
  // the newest are asked first.
  Holders Have = those(Ahead, [At = Wanted.m_First](const StoreHolder &Each) {
    return !(Each.m_Whole < At);
  });
  if (!m_WasRefused)
    Have = withNewestValues(Have);
  if (!mustAsk(m_Values, IsPatient, Now) || Have.empty())
    return;
  config::Endpoint From = choose(Have).m_Address;
  ask(m_Values, From, [this, From, Key = Key](asio::yield_context Yield) {
    fetchValue(From, Key, Yield);
  });
}

const StoreHolder &StoreFetcher::choose(const Holders &From) {
  assert(!From.empty());
  std::vector<const StoreHolder *> Choice;
  for (const StoreHolder &Each : From)
    if (Each.m_IsInSameHall && !m_WasRefused)
      Choice.push_back(&Each);
  if (Choice.empty())
    for (const StoreHolder &Each : From)
      Choice.push_back(&Each);
  std::uniform_int_distribution<std::size_t> Draw(0, Choice.size() - 1);
  return *Choice[Draw(m_Random)];
}

bool StoreFetcher::mustAsk(Lane &Which, bool IsPatient,
                           core::TimePoint Now) const {
  if (Which.m_BehindSince == core::TimePoint())
    Which.m_BehindSince = Now;
  if (Which.m_IsAsking || Now < Which.m_PausesUntil)
    return false;
  // One that knows nothing yet does not wait either.
  bool MayWait = IsPatient && m_Mirror.revision() != platform::Revision();
  return !MayWait || Now - Which.m_BehindSince >= BehindPatience;
}

//===----------------------------------------------------------------------===//
// Questions
//===----------------------------------------------------------------------===//

void StoreFetcher::ask(Lane &Which, const config::Endpoint &From,
                       std::function<void(asio::yield_context)> Question) {
  Which.m_IsAsking = true;
  auto Run = [&Which, From,
              Question = std::move(Question)](asio::yield_context Yield) {
    try {
      Question(Yield);
    } catch (const Error &Failure) {
      core::LogLine("peer-fetch-failed", core::LogLevel::Warning)
          .add("peer", From.toString())
          .add("reason", Failure.what());
    }
    Which.m_IsAsking = false;
    Which.m_BehindSince = core::steadyNow();
  };
  asio::spawn(m_Context, std::move(Run), asio::detached);
}

void StoreFetcher::fetchChanges(const config::Endpoint &From,
                                asio::yield_context Yield) {
  core::TimePoint Begin = core::steadyNow();
  http::RequestMessage Request;
  Request.m_Method = "GET";
  Request.m_Target =
      StoreServer::ChangesPath + std::to_string(m_Mirror.revision().value());
  auto Answer = exchange(From, std::move(Request), Yield);
  if (!Answer)
    return pauseRefused(m_Changes);
  auto Transfer = StoreTransfer::decode(*Answer);
  Transfer.applyTo(m_Mirror);
  core::LogLine("store-heard-from-peer")
      .add("peer", From.toString())
      .add("revision", m_Mirror.revision())
      .add("entries", Transfer.m_Entries.size())
      .add("is_whole", Transfer.m_IsWhole)
      .add("values_wanted", m_Mirror.wanted().size())
      .add("bytes", Answer->size())
      .add("took_us", core::steadyNow() - Begin);
}

void StoreFetcher::fetchValue(const config::Endpoint &From,
                              const std::string &Key,
                              asio::yield_context Yield) {
  core::TimePoint Begin = core::steadyNow();
  ValueQuery Query{Key, {}};
  if (const platform::Entry *Known = m_Mirror.find(Key))
    Query.m_Held = Known->m_Modified;
  http::RequestMessage Request;
  Request.m_Method = "POST";
  Request.m_Target = StoreServer::ValuePath;
  Request.m_Body = m_Codec.seal(Query.encode());
  auto Answer = exchange(From, std::move(Request), Yield);
  m_WasRefused = !Answer;
  if (!Answer)
    return pauseRefused(m_Values);
  auto Transfer = ValueTransfer::decode(*Answer);
  core::Duration Took = core::steadyNow() - Begin;
  m_Mirror.supply({Key, patched(Key, Transfer), Transfer.m_Modified});
  core::LogLine("store-value-from-peer")
      .add("peer", From.toString())
      .add("key", Key)
      .add("revision", Transfer.m_Modified)
      .add("base", Transfer.m_Base)
      .add("bytes", Answer->size())
      .add("took_us", Took);
}

std::string StoreFetcher::patched(const std::string &Key,
                                  const ValueTransfer &Transfer) const {
  std::string_view Base;
  if (Transfer.m_Base != platform::Revision()) {
    const platform::Entry *Known = m_Mirror.find(Key);
    // The store itself may have said something newer meanwhile.
    if (!Known || Known->m_Modified != Transfer.m_Base)
      throw Error(ErrorKind::Conflict, "the patch is for another value");
    Base = Known->m_Value;
  }
  return applyPatch(Base, Transfer.m_Patch, MostTransferBytes);
}

void StoreFetcher::pauseRefused(Lane &Which) {
  m_Metrics.count("yardrill_peer_fetches_refused_total");
  std::uniform_int_distribution<std::int64_t> Pause(
      core::Duration(LeastRefusedPause).count(),
      core::Duration(MostRefusedPause).count());
  Which.m_PausesUntil = core::steadyNow() + core::Duration(Pause(m_Random));
}

std::optional<std::string> StoreFetcher::exchange(const config::Endpoint &From,
                                                  http::RequestMessage Request,
                                                  asio::yield_context Yield) {
  auto Connection = http::ClientConnection::connect(m_Context, From.toTcp(),
                                                    FetchTimeout, Yield);
  Request.m_Headers.set("Host", From.toString());
  Connection->sendRequest(Request, FetchTimeout, Yield);
  auto Answer = Connection->readWhole(FetchTimeout, MostTransferBytes, Yield);
  m_Metrics.count("yardrill_peer_transfer_bytes_received_total",
                  Answer.m_Body.size());
  // It is busy with others, or has not what its report will soon deny.
  if (Answer.m_Head.m_Status == 503 || Answer.m_Head.m_Status == 404)
    return std::nullopt;
  if (Answer.m_Head.m_Status != 200)
    throw Error(ErrorKind::Unavailable,
                "the peer answered " + std::to_string(Answer.m_Head.m_Status));
  auto Payload = m_Codec.unseal(Answer.m_Body);
  if (const auto *Reason = std::get_if<peer::DropReason>(&Payload))
    throw Error(ErrorKind::Protocol, peer::toString(*Reason));
  return std::string(std::get<std::string_view>(Payload));
}

} // namespace yardrill::gateway
