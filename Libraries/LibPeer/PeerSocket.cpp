//===-- PeerSocket.cpp - UDP socket for messages between instances --------===//
#include "LibPeer/PeerSocket.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <vector>

namespace yardrill::peer {

namespace asio = boost::asio;
using asio::ip::udp;

PeerSocket::PeerSocket(asio::io_context &Context,
                       const config::Endpoint &Address, const PeerCodec &Codec)
    : m_Context(Context), m_Codec(Codec), m_Socket(Context) {
  boost::system::error_code Failure;
  udp::endpoint Own = Address.toUdp();
  m_Socket.open(Own.protocol(), Failure);
  if (!Failure)
    m_Socket.bind(Own, Failure);
  if (Failure)
    throw core::Error(core::ErrorKind::AddressInUse,
                      Address.toString() + " (UDP): " + Failure.message());
}

void PeerSocket::start(PeerSocketHooks Hooks) {
  m_Hooks = std::move(Hooks);
  asio::spawn(
      m_Context, [this](asio::yield_context Yield) { receive(Yield); },
      asio::detached);
}

void PeerSocket::send(const std::string &Datagram, const config::Endpoint &To) {
  boost::system::error_code Ignored;
  m_Socket.send_to(asio::buffer(Datagram), To.toUdp(), 0, Ignored);
}

void PeerSocket::receive(asio::yield_context Yield) {
  // The extra byte makes oversized datagrams detectable.
  std::vector<char> Buffer(MaxDatagramBytes + 1);
  while (true) {
    udp::endpoint From;
    boost::system::error_code Failure;
    std::size_t Size =
        m_Socket.async_receive_from(asio::buffer(Buffer), From, Yield[Failure]);
    // ICMP errors of datagrams sent earlier are reported here.
    if (Failure)
      continue;
    handle({Buffer.data(), Size});
  }
}

void PeerSocket::handle(std::string_view Datagram) {
  auto Decoded = m_Codec.decode(Datagram);
  if (const auto *Reason = std::get_if<DropReason>(&Decoded))
    return m_Hooks.m_Dropped(*Reason);
  const auto &Message = std::get<PeerMessage>(Decoded);
  try {
    m_Hooks.m_Received(Message);
  } catch (const core::Error &Failure) {
    core::LogLine("peer-message-failed", core::LogLevel::Error)
        .add("from", Message.m_From.m_Peer.toString())
        .add("reason", Failure.what());
  }
}

} // namespace yardrill::peer
