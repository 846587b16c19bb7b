//===-- EndlessTarget.h - Server that sends bytes without end -------------===//
#ifndef YARDRILL_TESTS_SUPPORT_ENDLESSTARGET_H
#define YARDRILL_TESTS_SUPPORT_ENDLESSTARGET_H

#include "ScriptedTarget.h"

#include <chrono>

namespace yardrill::tests {

/// Answers each request with some bytes and then with others, again and again,
/// until the other side closes the connection.
class EndlessTarget {
public:
  struct Bytes {
    std::string m_First;
    std::string m_Repeated;
  };
  using Script = std::function<Bytes(const Request &)>;

  EndlessTarget(asio::io_context &Context, Script Respond)
      : m_Respond(std::move(Respond)),
        m_Listener(Context,
                   [this](tcp::socket &Connection, asio::yield_context Yield) {
                     serve(Connection, Yield);
                   }) {}

  int port() const { return m_Listener.port(); }
  std::atomic<std::size_t> m_SentBytes{0};
  std::atomic<int> m_Requests{0};
  std::atomic<int> m_Closed{0}; ///< Requests whose connection has closed.
  /// Time between two writes.
  std::atomic<int> m_PauseMs{1};

private:
  void serve(tcp::socket &Connection, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    Request Received;
    beast::http::async_read(Connection, Buffer, Received, Yield[Failure]);
    if (Failure)
      return;
    ++m_Requests;
    Bytes Response = m_Respond(Received);
    asio::async_write(Connection, asio::buffer(Response.m_First),
                      Yield[Failure]);
    asio::steady_timer Pause(Connection.get_executor());
    while (!Failure) {
      m_SentBytes += asio::async_write(
          Connection, asio::buffer(Response.m_Repeated), Yield[Failure]);
      Pause.expires_after(std::chrono::milliseconds(m_PauseMs));
      boost::system::error_code Ignored;
      Pause.async_wait(Yield[Ignored]);
    }
    ++m_Closed;
  }

  Script m_Respond;
  LoopbackListener m_Listener;
};

} // namespace yardrill::tests

#endif
