#include "LibGateway/StoreFetcher.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibGateway/StoreTransfer.h"
#include "LibHTTP/ClientConnection.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <charconv>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

/// How far behind the store's own word may be before a peer is asked.
static constexpr std::chrono::milliseconds BehindPatience{250};
static constexpr std::chrono::milliseconds FetchTimeout{1000};
/// A configuration is at most a megabyte, a target's entry under a kilobyte.
static constexpr std::size_t MostTransferBytes = 16UL * 1024 * 1024;
/// Followed by the revision that the asking instance has.
static const char FetchPath[] = "/store/";

static http::ResponseMessage bare(unsigned Status) {
  http::ResponseMessage Out;
  Out.m_Head.m_Status = Status;
  return Out;
}

StoreFetcher::StoreFetcher(asio::io_context &Context,
                           const config::Endpoint &Address,
                           const peer::PeerCodec &Codec,
                           platform::StoreMirror &Mirror,
                           metrics::MetricsRegistry &Metrics)
    : m_Context(Context), m_Codec(Codec), m_Mirror(Mirror), m_Metrics(Metrics),
      m_Server(http::Server::create(
          Context, Address.toTcp(), http::ServerLimits(),
          [this](http::Exchange &Call, asio::yield_context Yield) {
            answer(Call, Yield);
          },
          bare)) {}

void StoreFetcher::answer(http::Exchange &Call, asio::yield_context Yield) {
  const std::string &Target = Call.request().m_Target;
  const std::string Prefix = FetchPath;
  std::int64_t After = 0;
  http::ResponseMessage Answer;
  bool IsRead = false;
  if (Target.compare(0, Prefix.size(), Prefix) == 0) {
    const char *End = Target.data() + Target.size();
    auto [Last, Code] =
        std::from_chars(Target.data() + Prefix.size(), End, After);
    IsRead = Code == std::errc() && Last == End;
  }
  if (!IsRead) {
    Answer.m_Head.m_Status = 404;
    return Call.sendWhole(std::move(Answer), Yield);
  }
  Answer.m_Head.m_Status = 200;
  Answer.m_Body = m_Codec.seal(
      StoreTransfer::from(m_Mirror, platform::Revision(After)).encode());
  sendCounted(Call, std::move(Answer), Yield);
}

void StoreFetcher::sendCounted(http::Exchange &Call,
                               http::ResponseMessage Answer,
                               asio::yield_context Yield) {
  auto SetServing = [this](std::size_t Value) {
    m_Serving = Value;
    m_Metrics.setGauge("yardrill_peer_transfers_open",
                       static_cast<double>(Value));
  };
  m_Metrics.count("yardrill_peer_transfer_bytes_sent_total",
                  Answer.m_Body.size());
  SetServing(m_Serving + 1);
  try {
    Call.sendWhole(std::move(Answer), Yield);
  } catch (...) {
    SetServing(m_Serving - 1);
    throw;
  }
  SetServing(m_Serving - 1);
}

void StoreFetcher::consider(const std::vector<StoreHolder> &Ahead,
                            bool IsPatient, core::TimePoint Now) {
  if (Ahead.empty()) {
    m_BehindSince = core::TimePoint();
    return;
  }
  if (m_BehindSince == core::TimePoint())
    m_BehindSince = Now;
  // One that knows nothing yet does not wait either.
  bool MayWait = IsPatient && m_Mirror.revision() != platform::Revision();
  if (m_IsFetching || (MayWait && Now - m_BehindSince < BehindPatience))
    return;
  m_IsFetching = true;
  auto IsOlder = [](const StoreHolder &A, const StoreHolder &B) {
    return A.m_Revision < B.m_Revision;
  };
  config::Endpoint From =
      std::max_element(Ahead.begin(), Ahead.end(), IsOlder)->m_Address;
  asio::spawn(
      m_Context,
      [this, From](asio::yield_context Yield) { fetch(From, Yield); },
      asio::detached);
}

void StoreFetcher::fetch(const config::Endpoint &From,
                         asio::yield_context Yield) {
  try {
    fetchOnce(From, Yield);
  } catch (const Error &Failure) {
    core::LogLine("peer-fetch-failed", core::LogLevel::Warning)
        .add("peer", From.toString())
        .add("reason", Failure.what());
  }
  m_IsFetching = false;
  m_BehindSince = core::steadyNow();
}

void StoreFetcher::fetchOnce(const config::Endpoint &From,
                             asio::yield_context Yield) {
  core::TimePoint Begin = core::steadyNow();
  auto Connection = http::ClientConnection::connect(m_Context, From.toTcp(),
                                                    FetchTimeout, Yield);
  http::RequestMessage Request;
  Request.m_Method = "GET";
  Request.m_Target = FetchPath + std::to_string(m_Mirror.revision().value());
  Request.m_Headers.set("Host", From.toString());
  Connection->sendRequest(Request, FetchTimeout, Yield);
  auto Answer = Connection->readWhole(FetchTimeout, MostTransferBytes, Yield);
  auto Payload = m_Codec.unseal(Answer.m_Body);
  if (const auto *Reason = std::get_if<peer::DropReason>(&Payload))
    throw Error(core::ErrorKind::Protocol, peer::toString(*Reason));
  auto Transfer = StoreTransfer::decode(std::get<std::string_view>(Payload));
  core::Duration Took = core::steadyNow() - Begin;
  m_Metrics.count("yardrill_peer_transfer_bytes_received_total",
                  Answer.m_Body.size());
  Transfer.applyTo(m_Mirror);
  core::LogLine("store-heard-from-peer")
      .add("peer", From.toString())
      .add("revision", m_Mirror.revision())
      .add("entries", Transfer.m_Entries.size())
      .add("is_whole", Transfer.m_IsWhole)
      .add("bytes", Answer.m_Body.size())
      .add("took_us", Took);
}

} // namespace yardrill::gateway
