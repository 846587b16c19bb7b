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
#include <vector>

namespace yardrill::gateway {

/// A peer that may be asked, as its last report described it.
struct StoreHolder {
  config::Endpoint m_Address;
  platform::Revision m_Revision; ///< Of its mirror.
};

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

  /// Asks one of those that are further on, if it is time to.
  /// \param Ahead peers whose mirrors are newer than this instance's.
  /// \param IsPatient the store itself will probably say the same soon.
  void consider(const std::vector<StoreHolder> &Ahead, bool IsPatient,
                core::TimePoint Now);

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
