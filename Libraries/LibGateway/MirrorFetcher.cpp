//===-- MirrorFetcher.cpp - Fetches store state from peers ----------------===//
#include "LibGateway/MirrorFetcher.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/MirrorUpdate.h"
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

/// Time for which a follower waits for the store before it asks a peer.
static constexpr std::chrono::milliseconds StoreGracePeriod{250};
/// Timeout of each step: connecting, sending, and receiving the next part.
static constexpr std::chrono::milliseconds FetchTimeout{1000};
/// Backoff after a refusal; random, so that instances which asked at the same
/// time do not do so again. The maximum is the backlog at which a peer's
/// UploadBudget refuses.
static constexpr std::chrono::milliseconds MinRefusalBackoff{20};
static constexpr std::chrono::milliseconds MaxRefusalBackoff{100};
/// Largest response and value accepted. A configuration has at most 1 MB, the
/// entry of a target less than 1 kB.
static constexpr std::size_t MaxTransferBytes = 16UL * 1024 * 1024;

MirrorFetcher::MirrorFetcher(asio::io_context &Context,
                             const config::Endpoint &Address,
                             const peer::PeerCodec &Codec,
                             platform::StoreMirror &Mirror,
                             metrics::MetricsRegistry &Metrics,
                             double LinkBytesPerSecond)
    : m_Context(Context), m_Codec(Codec), m_Mirror(Mirror), m_Metrics(Metrics),
      m_Server(Context, Address, Codec, Mirror, Metrics, LinkBytesPerSecond),
      m_Random(core::randomBits()) {}

template <class Condition>
static std::vector<FetchCandidate>
filtered(const std::vector<FetchCandidate> &All, const Condition &Predicate) {
  std::vector<FetchCandidate> Out;
  std::copy_if(All.begin(), All.end(), std::back_inserter(Out), Predicate);
  return Out;
}

static std::vector<FetchCandidate>
withNewestValues(const std::vector<FetchCandidate> &All) {
  platform::Revision Newest;
  for (const FetchCandidate &Each : All)
    Newest = std::max(Newest, Each.m_CompleteRevision);
  return filtered(All, [Newest](const FetchCandidate &Each) {
    return Each.m_CompleteRevision == Newest;
  });
}

//===----------------------------------------------------------------------===//
// Choice of the time and the peer
//===----------------------------------------------------------------------===//

void MirrorFetcher::fetchIfDue(const Candidates &PeersAhead,
                               bool MayWaitForStore, core::TimePoint Now) {
  fetchChangesIfDue(PeersAhead, MayWaitForStore, Now);
  fetchValueIfDue(PeersAhead, MayWaitForStore, Now);
}

void MirrorFetcher::fetchChangesIfDue(const Candidates &PeersAhead,
                                      bool MayWaitForStore,
                                      core::TimePoint Now) {
  platform::Revision Newest;
  for (const FetchCandidate &Each : PeersAhead)
    Newest = std::max(Newest, Each.m_Revision);
  if (!(m_Mirror.revision() < Newest)) {
    m_Changes.m_BehindSince = core::TimePoint();
    return;
  }
  if (!isFetchDue(m_Changes, MayWaitForStore, Now))
    return;
  Candidates Newer = filtered(PeersAhead, [Newest](const FetchCandidate &Each) {
    return Each.m_Revision == Newest;
  });
  config::Endpoint From = chooseSource(Newer).m_Address;
  startFetch(m_Changes, From, [this, From](asio::yield_context Yield) {
    fetchChanges(From, Yield);
  });
}

void MirrorFetcher::fetchValueIfDue(const Candidates &PeersAhead,
                                    bool MayWaitForStore, core::TimePoint Now) {
  if (m_Mirror.pendingValues().empty()) {
    m_Values.m_BehindSince = core::TimePoint();
    return;
  }
  const auto &[Key, Pending] = *m_Mirror.pendingValues().begin();
  // Any newer value is progress while values change faster than they arrive;
  // peers with the newest ones are preferred.
  Candidates Sources = filtered(
      PeersAhead, [At = Pending.m_OldestRevision](const FetchCandidate &Each) {
        return !(Each.m_CompleteRevision < At);
      });
  if (!m_WasRefused)
    Sources = withNewestValues(Sources);
  if (!isFetchDue(m_Values, MayWaitForStore, Now) || Sources.empty())
    return;
  config::Endpoint From = chooseSource(Sources).m_Address;
  startFetch(m_Values, From,
             [this, From, Key = Key](asio::yield_context Yield) {
               fetchValue(From, Key, Yield);
             });
}

const FetchCandidate &MirrorFetcher::chooseSource(const Candidates &From) {
  assert(!From.empty());
  std::vector<const FetchCandidate *> Choices;
  for (const FetchCandidate &Each : From)
    if (Each.m_IsInSameHall && !m_WasRefused)
      Choices.push_back(&Each);
  if (Choices.empty())
    for (const FetchCandidate &Each : From)
      Choices.push_back(&Each);
  std::uniform_int_distribution<std::size_t> Draw(0, Choices.size() - 1);
  return *Choices[Draw(m_Random)];
}

bool MirrorFetcher::isFetchDue(FetchState &State, bool MayWaitForStore,
                               core::TimePoint Now) const {
  if (State.m_BehindSince == core::TimePoint())
    State.m_BehindSince = Now;
  if (State.m_IsFetching || Now < State.m_RetryAt)
    return false;
  // An instance without any state does not wait.
  bool MayWait = MayWaitForStore && m_Mirror.revision() != platform::Revision();
  return !MayWait || Now - State.m_BehindSince >= StoreGracePeriod;
}

//===----------------------------------------------------------------------===//
// Requests to peers
//===----------------------------------------------------------------------===//

void MirrorFetcher::startFetch(
    FetchState &State, const config::Endpoint &From,
    std::function<void(asio::yield_context)> Operation) {
  State.m_IsFetching = true;
  auto Task = [&State, From,
               Operation = std::move(Operation)](asio::yield_context Yield) {
    try {
      Operation(Yield);
    } catch (const Error &Failure) {
      core::LogLine("peer-fetch-failed", core::LogLevel::Warning)
          .add("peer", From.toString())
          .add("reason", Failure.what());
    }
    State.m_IsFetching = false;
    State.m_BehindSince = core::steadyNow();
  };
  asio::spawn(m_Context, std::move(Task), asio::detached);
}

void MirrorFetcher::fetchChanges(const config::Endpoint &From,
                                 asio::yield_context Yield) {
  core::TimePoint Begin = core::steadyNow();
  http::RequestMessage Request;
  Request.m_Method = "GET";
  Request.m_Target =
      MirrorServer::ChangesPath + std::to_string(m_Mirror.revision().value());
  auto Response = exchange(From, std::move(Request), Yield);
  if (!Response)
    return backOff(m_Changes);
  auto Update = MirrorUpdate::decode(*Response);
  Update.applyTo(m_Mirror);
  core::LogLine("store-heard-from-peer")
      .add("peer", From.toString())
      .add("revision", m_Mirror.revision())
      .add("entries", Update.m_Entries.size())
      .add("is_whole", Update.m_IsSnapshot)
      .add("values_wanted", m_Mirror.pendingValues().size())
      .add("bytes", Response->size())
      .add("took_us", core::steadyNow() - Begin);
}

void MirrorFetcher::fetchValue(const config::Endpoint &From,
                               const std::string &Key,
                               asio::yield_context Yield) {
  core::TimePoint Begin = core::steadyNow();
  ValueQuery Query{Key, {}};
  if (const platform::Entry *Known = m_Mirror.find(Key))
    Query.m_HeldRevision = Known->m_ModRevision;
  http::RequestMessage Request;
  Request.m_Method = "POST";
  Request.m_Target = MirrorServer::ValuePath;
  Request.m_Body = m_Codec.encodeSigned(Query.encode());
  auto Response = exchange(From, std::move(Request), Yield);
  m_WasRefused = !Response;
  if (!Response)
    return backOff(m_Values);
  auto Transfer = ValueTransfer::decode(*Response);
  core::Duration Took = core::steadyNow() - Begin;
  m_Mirror.supplyValue(
      {Key, applyTransfer(Key, Transfer), Transfer.m_ModRevision});
  core::LogLine("store-value-from-peer")
      .add("peer", From.toString())
      .add("key", Key)
      .add("revision", Transfer.m_ModRevision)
      .add("base", Transfer.m_Base)
      .add("bytes", Response->size())
      .add("took_us", Took);
}

std::string MirrorFetcher::applyTransfer(const std::string &Key,
                                         const ValueTransfer &Transfer) const {
  std::string_view Base;
  if (Transfer.m_Base != platform::Revision()) {
    const platform::Entry *Known = m_Mirror.find(Key);
    // The store may have supplied a newer value in the meantime.
    if (!Known || Known->m_ModRevision != Transfer.m_Base)
      throw Error(ErrorKind::Conflict,
                  "the base of the patch is not in the mirror any more");
    Base = Known->m_Value;
  }
  return applyPatch(Base, Transfer.m_Patch, MaxTransferBytes);
}

void MirrorFetcher::backOff(FetchState &State) {
  m_Metrics.count("yardrill_peer_fetches_refused_total");
  std::uniform_int_distribution<std::int64_t> Pause(
      core::Duration(MinRefusalBackoff).count(),
      core::Duration(MaxRefusalBackoff).count());
  State.m_RetryAt = core::steadyNow() + core::Duration(Pause(m_Random));
}

std::optional<std::string> MirrorFetcher::exchange(const config::Endpoint &From,
                                                   http::RequestMessage Request,
                                                   asio::yield_context Yield) {
  auto Connection = http::ClientConnection::connect(m_Context, From.toTcp(),
                                                    FetchTimeout, Yield);
  Request.m_Headers.set("Host", From.toString());
  Connection->sendRequest(Request, FetchTimeout, Yield);
  auto Response =
      Connection->readResponse(FetchTimeout, MaxTransferBytes, Yield);
  m_Metrics.count("yardrill_peer_transfer_bytes_received_total",
                  Response.m_Body.size());
  // The peer is busy, or lacks what its last report suggested.
  if (Response.m_Head.m_Status == 503 || Response.m_Head.m_Status == 404)
    return std::nullopt;
  if (Response.m_Head.m_Status != 200)
    throw Error(ErrorKind::Unavailable,
                "expected HTTP status 200 from the peer, got " +
                    std::to_string(Response.m_Head.m_Status));
  auto Payload = m_Codec.decodeSigned(Response.m_Body);
  if (const auto *Reason = std::get_if<peer::DropReason>(&Payload))
    throw Error(ErrorKind::Protocol, peer::toString(*Reason));
  return std::string(std::get<std::string_view>(Payload));
}

} // namespace yardrill::gateway
