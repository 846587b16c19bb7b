//===-- MirrorServer.h - Tells other instances what the store said
//---------===//
//
// Two questions, by HTTP: what changed since a revision, and what a large value
// is now. Answers, and questions for values, are sealed with the peers' key.
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

class MirrorServer {
public:
  /// Followed by the revision that the asking instance has. Answered 503 when
  /// the answer is large and others are being sent theirs.
  static constexpr char ChangesPath[] = "/store/";
  /// With a ValueQuery as its body. Answered 404 when the value is not here,
  /// and 503 when others are being sent it: all instances ask within tenths of
  /// a second, and each that has it can pass it on.
  static constexpr char ValuePath[] = "/value";

  /// Listens for TCP on \p Address.
  /// \param LinkBytesPerSecond of this instance's link.
  /// \throws core::Error of kind AddressInUse.
  MirrorServer(boost::asio::io_context &Context,
               const config::Endpoint &Address, const peer::PeerCodec &Codec,
               platform::StoreMirror &Mirror, metrics::MetricsRegistry &Metrics,
               double LinkBytesPerSecond);

private:
  http::ResponseMessage respondTo(const http::RequestMessage &Request);
  http::ResponseMessage changesResponse(const std::string &Since);
  /// The answer to whoever needs everything; made once for each revision. All
  /// instances of a fleet that starts ask for it within a second.
  const std::string &snapshotBody();
  http::ResponseMessage valueResponse(const std::string &Body);
  http::ResponseMessage signedResponse(std::string_view Payload) const;
  /// Whether the link bears \p Bytes more now; counts a refusal.
  bool tryUpload(std::size_t Bytes);
  /// Counts what a peer is sent. \throws core::Error when the peer is gone.
  void send(http::Exchange &Call, http::ResponseMessage Response,
            boost::asio::yield_context Yield);
  void setOpenTransfers(std::size_t Value);

  const peer::PeerCodec &m_Codec;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  ValueHistory m_History;
  UploadBudget m_Uploads;
  std::string m_SnapshotBody; ///< See snapshotBody(); empty: none yet.
  platform::Revision m_SnapshotRevision; ///< Of the mirror, when it was made.
  platform::Revision
      m_SnapshotCompleteRevision;  ///< The mirror's completeRevision() then.
  std::size_t m_OpenTransfers = 0; ///< Answers under way.
  std::unique_ptr<http::Server> m_Server;
};

} // namespace yardrill::gateway

#endif
