#include "LibHTTP/SocketState.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace yardrill::http {

bool isPeerConnected(boost::asio::ip::tcp::socket &Socket) {
  pollfd State{Socket.native_handle(), POLLRDHUP, 0};
  return ::poll(&State, 1, 0) <= 0;
}

core::Duration timeSinceLastBytes(boost::asio::ip::tcp::socket &Socket) {
  tcp_info Info{};
  socklen_t Size = sizeof Info;
  if (::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info,
                   &Size) != 0)
    return core::Duration::zero();
  return std::chrono::milliseconds(Info.tcpi_last_data_recv);
}

} // namespace yardrill::http
