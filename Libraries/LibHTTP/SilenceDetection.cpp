#include "LibHTTP/SilenceDetection.h"

#include <boost/asio.hpp>
#include <netinet/tcp.h>

namespace yardrill::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

void enableKeepAliveProbes(tcp::socket &Socket) {
  using IdleTime =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using Interval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  error_code Ignored;
  Socket.set_option(asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(IdleTime(1), Ignored);
  Socket.set_option(Interval(1), Ignored);
  Socket.set_option(Count(2), Ignored);
}

void setSilenceTimeout(tcp::socket &Socket, core::Duration Timeout) {
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  auto Milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(Timeout).count();
  error_code Ignored;
  Socket.set_option(UserTimeout(static_cast<int>(Milliseconds)), Ignored);
}

} // namespace yardrill::http
