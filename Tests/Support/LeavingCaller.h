//===-- LeavingCaller.h - Caller that closes before its response ----------===//
#ifndef YARDRILL_TESTS_SUPPORT_LEAVINGCALLER_H
#define YARDRILL_TESTS_SUPPORT_LEAVINGCALLER_H

#include "LibHTTP/Message.h"

#include <boost/asio.hpp>
#include <string>

namespace yardrill::tests {

/// How a caller ends its connection.
enum class Leaving { Close, Reset, HalfClose };

/// Caller with an open connection that need not wait for its responses.
class LeavingCaller {
public:
  explicit LeavingCaller(int Port) {
    m_Socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(Port)});
  }

  /// \param Behind bytes that follow the request.
  void send(const http::RequestMessage &Request,
            const std::string &Behind = "") {
    std::string Bytes =
        Request.m_Method + " " + Request.m_Target + " HTTP/1.1\r\n";
    for (const http::Header &Each : Request.m_Headers)
      Bytes += Each.m_Name + ": " + Each.m_Value + "\r\n";
    Bytes +=
        "Content-Length: " + std::to_string(Request.m_Body.size()) + "\r\n\r\n";
    boost::asio::write(m_Socket,
                       boost::asio::buffer(Bytes + Request.m_Body + Behind));
  }
  void leave(Leaving How) {
    if (How == Leaving::HalfClose)
      return m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    if (How == Leaving::Reset)
      m_Socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_Socket.close();
  }
  bool hasResponse() { return m_Socket.available() > 0; }
  void discardResponse() {
    std::string Discarded;
    boost::system::error_code Ignored;
    m_Socket.non_blocking(true);
    boost::asio::read(m_Socket, boost::asio::dynamic_buffer(Discarded),
                      Ignored);
    m_Socket.non_blocking(false);
  }

private:
  boost::asio::io_context m_Context;
  boost::asio::ip::tcp::socket m_Socket{m_Context};
};

} // namespace yardrill::tests

#endif
