//===-- PeerSocket.h - The UDP socket that instances talk through ---------===//
#ifndef YARDRILL_LIBPEER_PEERSOCKET_H
#define YARDRILL_LIBPEER_PEERSOCKET_H

#include "LibConfig/Endpoint.h"
#include "LibPeer/PeerCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace yardrill::peer {

struct PeerSocketHooks {
  std::function<void(const PeerMessage &)> m_Received;
  std::function<void(DropReason)> m_Dropped;
};

/// Sends and receives authenticated messages; used on one thread only.
class PeerSocket {
public:
  /// Binds \p Address. \throws core::Error of kind AddressInUse.
  PeerSocket(boost::asio::io_context &Context, const config::Endpoint &Address,
             const PeerCodec &Codec);

  /// Calls the hooks for each datagram from now on.
  void start(PeerSocketHooks Hooks);
  /// A datagram that can't be sent now is as good as lost: all are repeated.
  void send(const std::string &Datagram, const config::Endpoint &To);

private:
  void receive(boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  const PeerCodec &m_Codec;
  boost::asio::ip::udp::socket m_Socket;
  PeerSocketHooks m_Hooks;
};

} // namespace yardrill::peer

#endif
