//===-- MirrorServer.h - Serves the store mirror to other instances -------===//
//
// Two kinds of HTTP requests: changes since a revision, and the current value
// of a key with a large value. Responses of status 200, and requests for
// values, are signed with the key that all instances share. Callers' requests
// that a peer forwards arrive at the same address, with a peer::ForwardTicket.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_MIRRORSERVER_H
#define YARDRILL_LIBGATEWAY_MIRRORSERVER_H

#include "LibConfig/Endpoint.h"
#include "LibGateway/MirrorUpdate.h"
#include "LibGateway/UploadBudget.h"
#include "LibGateway/ValueHistory.h"
#include "LibHTTP/Server.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <memory>

namespace yardrill::gateway {

/// HTTP server of the mirror; owned by MirrorFetcher.
class MirrorServer {
public:
  /// Path of changes, followed by the client's revision. The status is 503 if
  /// the response is large and the upload budget is exhausted.
  static constexpr char ChangesPath[] = "/store/";
  /// Path of values, with a signed ValueQuery as the body. The status is 403 if
  /// its signature is invalid, 400 if it cannot be decoded, 404 if no newer
  /// value is here, and 503 if the upload budget is exhausted: all instances
  /// ask within tenths of a second, and each that has the value can serve it.
  static constexpr char ValuePath[] = "/value";

  /// Listens for TCP on \p Address.
  /// \param LinkBytesPerSecond bandwidth of this instance's network link.
  /// \throws core::Error of kind AddressInUse.
  MirrorServer(boost::asio::io_context &Context,
               const config::Endpoint &Address, const peer::PeerCodec &Codec,
               platform::StoreMirror &Mirror, metrics::MetricsRegistry &Metrics,
               double LinkBytesPerSecond);
  /// Sets the handler of callers' requests that peers forward.
  void setForwardedHandler(http::Server::Handler Handle) {
    m_HandleForwarded = std::move(Handle);
  }
  /// Sets the limits of requests.
  void setLimits(const http::ServerLimits &Limits) {
    m_Server->setLimits(Limits);
  }

private:
  http::ResponseMessage respondTo(const http::RequestMessage &Request);
  http::ResponseMessage changesResponse(const std::string &Since);
  /// Returns a signed snapshot of the mirror. Cached per revision, since all
  /// instances of a starting fleet request it within a second.
  const std::string &snapshotBody();
  http::ResponseMessage valueResponse(const std::string &Body);
  /// Returns a response with status 200 and the signed \p Payload.
  http::ResponseMessage signedResponse(std::string_view Payload) const;
  /// Takes \p Bytes from the upload budget. \returns whether it sufficed; if
  /// not, counts a refusal.
  bool tryUpload(std::size_t Bytes);
  /// Sends a response and updates the metrics.
  /// \throws core::Error if the connection is lost.
  void send(http::Exchange &Call, http::ResponseMessage Response,
            boost::asio::yield_context Yield);
  void setOpenTransfers(std::size_t Value);

  const peer::PeerCodec &m_Codec;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  ValueHistory m_History;
  UploadBudget m_Uploads;
  std::string m_SnapshotBody; ///< Cache of snapshotBody(); empty: none
  /// The mirror's revision() and completeRevision() when it was made.
  platform::Revision m_SnapshotRevision;
  platform::Revision m_SnapshotCompleteRevision;
  std::size_t m_OpenTransfers = 0; ///< Responses being sent
  http::Server::Handler m_HandleForwarded;
  std::unique_ptr<http::Server> m_Server;
};

} // namespace yardrill::gateway

#endif
