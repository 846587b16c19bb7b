//===-- PeerSocket.h - UDP socket for messages between instances ----------===//
#ifndef YARDRILL_LIBPEER_PEERSOCKET_H
#define YARDRILL_LIBPEER_PEERSOCKET_H

#include "LibConfig/Endpoint.h"
#include "LibPeer/PeerCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace yardrill::peer {

/// Callbacks for each received datagram, valid or dropped.
struct PeerSocketHooks {
  std::function<void(const PeerMessage &)> m_Received;
  std::function<void(DropReason)> m_Dropped;
};

/// Sends datagrams, and receives and authenticates those of peers. Must be used
/// on one thread only.
class PeerSocket {
public:
  /// Binds \p Address. \throws core::Error of kind AddressInUse.
  PeerSocket(boost::asio::io_context &Context, const config::Endpoint &Address,
             const PeerCodec &Codec);

  /// Starts to receive; calls a hook for each datagram. An error that the hook
  /// throws is logged, and concerns that datagram only.
  void start(PeerSocketHooks Hooks);
  /// Sends \p Datagram. Failures are ignored: senders have to tolerate lost
  /// datagrams anyway.
  void send(const std::string &Datagram, const config::Endpoint &To);

private:
  void receive(boost::asio::yield_context Yield);
  void handle(std::string_view Datagram);

  boost::asio::io_context &m_Context;
  const PeerCodec &m_Codec;
  boost::asio::ip::udp::socket m_Socket;
  PeerSocketHooks m_Hooks;
};

} // namespace yardrill::peer

#endif
