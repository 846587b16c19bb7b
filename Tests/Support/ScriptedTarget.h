//===-- ScriptedTarget.h - Target that sends scripted bytes ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SCRIPTEDTARGET_H
#define YARDRILL_TESTS_SUPPORT_SCRIPTEDTARGET_H

#include "LoopbackListener.h"

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace yardrill::tests {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

using Request = beast::http::request<beast::http::string_body>;

/// Responds to each request with the bytes that its script returns. An empty
/// string resets the connection, "wait" sends nothing until the other side
/// closes, and a trailing '!' is not sent but closes the connection; a trailing
/// '~' closes it as the next request arrives, which stays unread. May send each
/// response a second time, in the place of the next one on its connection.
class ScriptedTarget {
public:
  using Script = std::function<std::string(const Request &)>;

  ScriptedTarget(asio::io_context &Context, Script Respond)
      : m_Respond(std::move(Respond)),
        m_Listener(Context,
                   [this](tcp::socket &Socket, asio::yield_context Yield) {
                     ++m_Accepted;
                     serve(Socket, Yield);
                   }) {}

  int port() const { return m_Listener.port(); }
  std::vector<Request> requests() const {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    return m_Requests;
  }
  std::atomic<int> m_ClosedWhileWaiting{0};
  std::atomic<int> m_Accepted{0}; ///< Accepted connections.
  /// Time before each response, in milliseconds.
  std::atomic<int> m_DelayMs{0};
  std::atomic<bool> m_SendsSecondCopies{false};

private:
  void serve(tcp::socket &Socket, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    std::string SecondCopy;
    while (!Failure) {
      Request Received;
      beast::http::async_read(Socket, Buffer, Received, Yield[Failure]);
      if (Failure)
        return;
      {
        std::lock_guard<std::mutex> Lock(m_Mutex);
        m_Requests.push_back(Received);
      }
      asio::async_write(Socket, asio::buffer(SecondCopy), Yield[Failure]);
      if (m_DelayMs != 0) {
        asio::steady_timer Delay(Socket.get_executor(),
                                 std::chrono::milliseconds(m_DelayMs));
        Delay.async_wait(Yield[Failure]);
      }
      std::string Bytes = m_Respond(Received);
      if (Bytes.empty()) {
        Socket.set_option(asio::socket_base::linger(true, 0));
        return Socket.close();
      }
      if (Bytes == "wait") {
        char Byte = 0;
        Socket.async_read_some(asio::buffer(&Byte, 1), Yield[Failure]);
        ++m_ClosedWhileWaiting;
        return;
      }
      bool MustCloseLater = Bytes.back() == '~';
      bool MustClose = MustCloseLater || Bytes.back() == '!';
      if (MustClose)
        Bytes.pop_back();
      asio::async_write(Socket, asio::buffer(Bytes), Yield[Failure]);
      SecondCopy = m_SendsSecondCopies ? Bytes : "";
      if (MustCloseLater)
        Socket.async_wait(tcp::socket::wait_read, Yield[Failure]);
      if (MustClose)
        return;
    }
  }

  Script m_Respond;
  mutable std::mutex m_Mutex;
  std::vector<Request> m_Requests;
  LoopbackListener m_Listener;
};

inline std::string attemptIdOf(const Request &Received) {
  return std::string(Received["Attempt-Id"]);
}

inline std::string
completeResponse(const Request &Received, const std::string &Body,
                 const std::string &Status = "200 OK",
                 const std::string &ExtraHeaders = "Replica-Seal: s\r\n") {
  return "HTTP/1.1 " + Status + "\r\nAttempt-Id: " + attemptIdOf(Received) +
         "\r\n" + ExtraHeaders +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

inline std::string chunk(const std::string &Text) {
  char Size[16];
  std::snprintf(Size, sizeof Size, "%zx\r\n", Text.size());
  return Size + Text + "\r\n";
}

inline std::string streamHead(const Request &Received) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptIdOf(Received) +
         "\r\nReplica-Seal: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string notExecuted(const Request &Received) {
  return completeResponse(Received, "", "503 Service Unavailable",
                          "Not-Executed: 1\r\n");
}

} // namespace yardrill::tests

#endif
