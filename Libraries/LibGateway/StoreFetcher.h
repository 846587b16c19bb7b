//===-- StoreFetcher.h - What the store said, from one instance to another ===//
#ifndef YARDRILL_LIBGATEWAY_STOREFETCHER_H
#define YARDRILL_LIBGATEWAY_STOREFETCHER_H

#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"
#include "LibHTTP/Server.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace yardrill::gateway {

/// Serves the mirror to other instances, and asks one of them when this one is
/// behind: it is turned away by the store, does not follow it, or has just
/// started.
class StoreFetcher {
public:
  /// Listens for TCP on \p Address.
  /// \throws core::Error of kind AddressInUse.
  StoreFetcher(boost::asio::io_context &Context,
               const config::Endpoint &Address, const peer::PeerCodec &Codec,
               platform::StoreMirror &Mirror,
               metrics::MetricsRegistry &Metrics);

  /// \param From who knows the \p Newest revision of all that are heard.
  /// \param IsPatient the store itself will probably say the same soon.
  void consider(const config::Endpoint &From, platform::Revision Newest,
                bool IsPatient, core::TimePoint Now);

private:
  void answer(http::Exchange &Call, boost::asio::yield_context Yield);
  /// Counts what a peer is sent. \throws core::Error when the peer is gone.
  void sendCounted(http::Exchange &Call, http::ResponseMessage Answer,
                   boost::asio::yield_context Yield);
  void fetch(const config::Endpoint &From, boost::asio::yield_context Yield);
  void fetchOnce(const config::Endpoint &From,
                 boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  const peer::PeerCodec &m_Codec;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  std::size_t m_Serving = 0; ///< Answers to peers under way.
  std::unique_ptr<http::Server> m_Server;
  core::TimePoint m_BehindSince{}; ///< Zero: is not behind.
  bool m_IsFetching = false;
};

} // namespace yardrill::gateway

#endif
