#include "LibGateway/StoreServer.h"

#include "LibCore/Error.h"

#include <charconv>
#include <optional>

namespace yardrill::gateway {

namespace asio = boost::asio;

StoreServer::StoreServer(asio::io_context &Context,
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
            send(Call, answer(Call.request()), Yield);
          },
          http::bareAnswer)) {
  m_Mirror.setReplacedHook(
      [this](platform::Entry Old) { m_History.replaced(std::move(Old)); });
}

http::ResponseMessage StoreServer::answer(const http::RequestMessage &Request) {
  static const std::string Prefix = ChangesPath;
  const std::string &Target = Request.m_Target;
  if (Target == ValuePath)
    return answerValue(Request.m_Body);
  if (Target.compare(0, Prefix.size(), Prefix) == 0)
    return answerChanges(Target.substr(Prefix.size()));
  return http::bareAnswer(404);
}

static std::optional<platform::Revision> toRevision(const std::string &Text) {
  std::int64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  return platform::Revision(Value);
}

http::ResponseMessage StoreServer::answerChanges(const std::string &Since) {
  auto After = toRevision(Since);
  if (!After)
    return http::bareAnswer(404);
  StoreTransfer News = StoreTransfer::since(m_Mirror, *After);
  http::ResponseMessage Out = http::bareAnswer(200);
  Out.m_Body = News.m_IsWhole ? wholeAnswer() : m_Codec.seal(News.encode());
  if (Out.m_Body.size() > LargeValueBytes && !tryUpload(Out.m_Body.size()))
    return http::bareAnswer(503);
  return Out;
}

const std::string &StoreServer::wholeAnswer() {
  bool IsNewest = m_WholeAt == m_Mirror.revision() &&
                  m_WholeUpTo == m_Mirror.wholeRevision();
  if (!m_Whole.empty() && IsNewest)
    return m_Whole;
  m_Whole = m_Codec.seal(StoreTransfer::whole(m_Mirror).encode());
  m_WholeAt = m_Mirror.revision();
  m_WholeUpTo = m_Mirror.wholeRevision();
  return m_Whole;
}

bool StoreServer::tryUpload(std::size_t Bytes) {
  if (m_Uploads.tryTake(Bytes, core::steadyNow()))
    return true;
  m_Metrics.count("yardrill_peer_uploads_refused_total");
  return false;
}

http::ResponseMessage StoreServer::answerValue(const std::string &Body) {
  auto Payload = m_Codec.unseal(Body);
  if (std::holds_alternative<peer::DropReason>(Payload))
    return http::bareAnswer(403);
  ValueQuery Query;
  try {
    Query = ValueQuery::decode(std::get<std::string_view>(Payload));
  } catch (const core::Error &) {
    return http::bareAnswer(400);
  }
  const platform::Entry *Known = m_Mirror.find(Query.m_Key);
  if (!Known || !(Query.m_Held < Known->m_Modified))
    return http::bareAnswer(404);
  PatchHandle Found = m_History.patch(*Known, Query.m_Held);
  if (!tryUpload(Found.m_Patch->size()))
    return http::bareAnswer(503);
  return sealed(
      ValueTransfer{Known->m_Modified, Found.m_Base, *Found.m_Patch}.encode());
}

http::ResponseMessage StoreServer::sealed(std::string_view Payload) const {
  http::ResponseMessage Out = http::bareAnswer(200);
  Out.m_Body = m_Codec.seal(Payload);
  return Out;
}

void StoreServer::setOpen(std::size_t Value) {
  m_Open = Value;
  m_Metrics.setGauge("yardrill_peer_transfers_open",
                     static_cast<double>(Value));
}

void StoreServer::send(http::Exchange &Call, http::ResponseMessage Answer,
                       asio::yield_context Yield) {
  m_Metrics.count("yardrill_peer_transfer_bytes_sent_total",
                  Answer.m_Body.size());
  setOpen(m_Open + 1);
  try {
    Call.sendWhole(std::move(Answer), Yield);
  } catch (...) {
    setOpen(m_Open - 1);
    throw;
  }
  setOpen(m_Open - 1);
}

} // namespace yardrill::gateway
