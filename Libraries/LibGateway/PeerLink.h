//===-- PeerLink.h - What instances tell each other -----------------------===//
//
// Load reports go by UDP, each replacing the last. What the store said goes by
// TCP, and only to an instance that is behind.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PEERLINK_H
#define YARDRILL_LIBGATEWAY_PEERLINK_H

#include "LibCore/TimerService.h"
#include "LibGateway/GatewaySettings.h"
#include "LibHTTP/Server.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPeer/PeerDirectory.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace yardrill::gateway {

struct PeerLinkHooks {
  /// Fills in this instance's work and use of quotas.
  std::function<void(peer::LoadReport &)> m_Describe;
  /// Called after a report came or a peer was lost.
  std::function<void()> m_Changed;
};

class PeerLink {
public:
  /// Binds the peer address. \throws core::Error of kind AddressInUse.
  PeerLink(boost::asio::io_context &Context, const GatewaySettings &Settings,
           platform::StoreMirror &Mirror, metrics::MetricsRegistry &Metrics,
           PeerLinkHooks Hooks);
  ~PeerLink();

  void start(core::TimerService &Timers);
  /// Sends reports now and takes no more part afterwards.
  void setStopping();

  /// The newest report of each live peer.
  const std::map<core::IncarnationId, peer::LoadReport> &reports() const {
    return m_Reports;
  }
  /// Peers that are neither heard from nor known to have stopped. Their share
  /// of a quota may be in use.
  std::size_t missing() const { return m_Missing.size(); }

private:
  void receive(boost::asio::yield_context Yield);
  void take(const peer::PeerMessage &Message);
  void drop(peer::DropReason Reason);
  void beat(core::TimePoint Now);
  /// \param IsFull also when nothing changed, and with hints of other peers.
  void sendReport(const std::set<config::Endpoint> &To, bool IsFull);
  std::set<config::Endpoint> livePeers() const;
  void expire(core::TimePoint Now);
  core::Duration reportPeriod() const;

  /// Serves what the store said to an instance that is behind.
  void answerFetch(http::Exchange &Call, boost::asio::yield_context Yield);
  void fetchIfBehind(core::TimePoint Now);
  void fetch(const config::Endpoint &From, boost::asio::yield_context Yield);
  void fetchOnce(const config::Endpoint &From,
                 boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  const GatewaySettings &m_Settings;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  PeerLinkHooks m_Hooks;
  decision::Home m_Self;
  peer::PeerCodec m_Codec;
  peer::PeerDirectory m_Directory;
  boost::asio::ip::udp::socket m_Socket;
  std::unique_ptr<http::Server> m_FetchServer;
  std::map<core::IncarnationId, peer::LoadReport> m_Reports;
  std::set<config::Endpoint> m_Hinted; ///< Perhaps peers; not heard from yet.
  /// Silent peers that did not say that they stop, and since when.
  std::map<config::Endpoint, core::TimePoint> m_Missing;
  peer::LoadReport m_Reported; ///< As last sent.
  std::uint64_t m_Sequence = 0;
  core::TimePoint m_ReportedAt{};
  core::TimePoint m_SoughtAt{};
  core::TimePoint m_BehindSince{};
  bool m_IsFetching = false;
  bool m_IsStopping = false;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
