//===-- MirrorServer.cpp - Serves the store mirror to peers ---------------===//
#include "LibGateway/MirrorServer.h"

#include "LibCore/Error.h"
#include "LibPeer/ForwardTicket.h"

#include <charconv>
#include <optional>

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Returns the response to a request that was not read.
static http::ResponseMessage unreadResponse(unsigned Status) {
  http::ResponseMessage Out = http::emptyResponse(Status);
  Out.m_Head.m_Headers.set(peer::ForwardOutcomeHeader, peer::OutcomeNotTaken);
  return Out;
}

MirrorServer::MirrorServer(asio::io_context &Context,
                           const config::Endpoint &Address,
                           const peer::PeerCodec &Codec,
                           platform::StoreMirror &Mirror,
                           metrics::MetricsRegistry &Metrics,
                           double LinkBytesPerSecond)
    : m_Codec(Codec), m_Mirror(Mirror), m_Metrics(Metrics),
      m_Uploads(LinkBytesPerSecond),
      m_Server(http::Server::create(
          Context, Address.toTcp(), http::ServerLimits(),
          [this](http::Exchange &Call, asio::yield_context Yield) {
            bool IsForwarded = Call.request().m_Headers.find(
                                   peer::ForwardTicketHeader) != nullptr;
            if (IsForwarded && m_HandleForwarded)
              return m_HandleForwarded(Call, Yield);
            send(Call, respondTo(Call.request()), Yield);
          },
          unreadResponse)) {
  m_Mirror.setReplacedCallback(
      [this](platform::Entry Old) { m_History.addReplaced(std::move(Old)); });
}

http::ResponseMessage
MirrorServer::respondTo(const http::RequestMessage &Request) {
  static const std::string Prefix = ChangesPath;
  const std::string &Target = Request.m_Target;
  if (Target == ValuePath)
    return valueResponse(Request.m_Body);
  if (Target.compare(0, Prefix.size(), Prefix) == 0)
    return changesResponse(Target.substr(Prefix.size()));
  return http::emptyResponse(404);
}

static std::optional<platform::Revision> toRevision(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  return platform::Revision(Value);
}

http::ResponseMessage MirrorServer::changesResponse(const std::string &Since) {
  auto After = toRevision(Since);
  if (!After)
    return http::emptyResponse(404);
  MirrorUpdate Update = MirrorUpdate::since(m_Mirror, *After);
  http::ResponseMessage Out = http::emptyResponse(200);
  Out.m_Body = Update.m_IsSnapshot ? snapshotBody()
                                   : m_Codec.encodeSigned(Update.encode());
  if (Out.m_Body.size() > MaxInlineValueBytes && !tryUpload(Out.m_Body.size()))
    return http::emptyResponse(503);
  return Out;
}

const std::string &MirrorServer::snapshotBody() {
  bool IsNewest = m_SnapshotRevision == m_Mirror.revision() &&
                  m_SnapshotCompleteRevision == m_Mirror.completeRevision();
  if (!m_SnapshotBody.empty() && IsNewest)
    return m_SnapshotBody;
  m_SnapshotBody =
      m_Codec.encodeSigned(MirrorUpdate::snapshot(m_Mirror).encode());
  m_SnapshotRevision = m_Mirror.revision();
  m_SnapshotCompleteRevision = m_Mirror.completeRevision();
  return m_SnapshotBody;
}

bool MirrorServer::tryUpload(std::size_t Bytes) {
  if (m_Uploads.tryTake(Bytes, core::steadyNow()))
    return true;
  m_Metrics.count("yardrill_peer_uploads_refused_total");
  return false;
}

http::ResponseMessage MirrorServer::valueResponse(const std::string &Body) {
  auto Payload = m_Codec.decodeSigned(Body);
  if (std::holds_alternative<peer::DropReason>(Payload))
    return http::emptyResponse(403);
  ValueQuery Query;
  try {
    Query = ValueQuery::decode(std::get<std::string_view>(Payload));
  } catch (const core::Error &) {
    return http::emptyResponse(400);
  }
  const platform::Entry *Known = m_Mirror.find(Query.m_Key);
  if (!Known || !(Query.m_HeldRevision < Known->m_ModRevision))
    return http::emptyResponse(404);
  CachedPatch Found = m_History.patch(*Known, Query.m_HeldRevision);
  if (!tryUpload(Found.m_Patch->size()))
    return http::emptyResponse(503);
  return signedResponse(
      ValueTransfer{Known->m_ModRevision, Found.m_Base, *Found.m_Patch}
          .encode());
}

http::ResponseMessage
MirrorServer::signedResponse(std::string_view Payload) const {
  http::ResponseMessage Out = http::emptyResponse(200);
  Out.m_Body = m_Codec.encodeSigned(Payload);
  return Out;
}

void MirrorServer::setOpenTransfers(std::size_t Value) {
  m_OpenTransfers = Value;
  m_Metrics.setGauge("yardrill_peer_transfers_open",
                     static_cast<double>(Value));
}

void MirrorServer::send(http::Exchange &Call, http::ResponseMessage Response,
                        asio::yield_context Yield) {
  m_Metrics.count("yardrill_peer_transfer_bytes_sent_total",
                  Response.m_Body.size());
  setOpenTransfers(m_OpenTransfers + 1);
  try {
    Call.sendResponse(std::move(Response), Yield);
  } catch (...) {
    setOpenTransfers(m_OpenTransfers - 1);
    throw;
  }
  setOpenTransfers(m_OpenTransfers - 1);
}

} // namespace yardrill::gateway
