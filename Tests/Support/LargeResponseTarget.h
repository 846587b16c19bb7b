//===-- LargeResponseTarget.h - Target whose responses may stay unread ----===//
#ifndef YARDRILL_TESTS_SUPPORT_LARGERESPONSETARGET_H
#define YARDRILL_TESTS_SUPPORT_LARGERESPONSETARGET_H

#include "ScriptedTarget.h"

#include <chrono>

namespace yardrill::tests {

/// Sends a large body, a stream of many events, or a body that a gateway
/// buffers, if the request's path contains "large", "events" or "buffered", and
/// otherwise a short response. Resets a connection of whose response nothing
/// was read for a time.
class LargeResponseTarget {
public:
  static constexpr std::size_t LargeBytes = 256UL * 1024 * 1024;
  static constexpr std::size_t BufferedBytes = 200000;

  explicit LargeResponseTarget(asio::io_context &Context)
      : m_Listener(Context,
                   [this](tcp::socket &Socket, asio::yield_context Yield) {
                     Stream Connection(std::move(Socket));
                     serve(Connection, Yield);
                   }) {}

  int port() const { return m_Listener.port(); }
  /// Time after which an unread response is cut off, in milliseconds.
  std::atomic<int> m_UnreadLimitMs{3600000};
  std::atomic<std::size_t> m_SentBytes{0}; ///< Of all large responses.
  std::atomic<int> m_CutOff{0};            ///< Number of cut-off responses.
  std::atomic<int> m_ShortResponses{0};    ///< Responses sent otherwise.

private:
  using Stream = beast::basic_stream<tcp>;

  void serve(Stream &Connection, asio::yield_context Yield) {
    beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    while (!Failure) {
      Request Received;
      Connection.expires_never();
      beast::http::async_read(Connection, Buffer, Received, Yield[Failure]);
      if (Failure)
        return;
      std::string Path(Received.target());
      if (Path.find("large") != std::string::npos)
        sendLarge(Connection,
                  "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptIdOf(Received) +
                      "\r\nReplica-Seal: s\r\nContent-Length: " +
                      std::to_string(LargeBytes) + "\r\n\r\n",
                  std::string(65536, 'x'), Failure, Yield);
      else if (Path.find("events") != std::string::npos)
        sendLarge(Connection, streamHead(Received),
                  chunk("data: " + std::string(65000, 'x') + "\n\n"), Failure,
                  Yield);
      else
        sendShort(Connection, Received, Failure, Yield);
    }
  }
  void sendShort(Stream &Connection, const Request &Received,
                 boost::system::error_code &Failure,
                 asio::yield_context Yield) {
    bool IsBuffered =
        std::string(Received.target()).find("buffered") != std::string::npos;
    std::string Body = IsBuffered ? std::string(BufferedBytes, 'x') : "short";
    asio::async_write(Connection,
                      asio::buffer(completeResponse(Received, Body)),
                      Yield[Failure]);
    ++m_ShortResponses;
  }
  /// Sends \p Piece until the response has LargeBytes. Without an end, a stream
  /// is never complete.
  void sendLarge(Stream &Connection, const std::string &Head,
                 const std::string &Piece, boost::system::error_code &Failure,
                 asio::yield_context Yield) {
    asio::async_write(Connection, asio::buffer(Head), Yield[Failure]);
    for (std::size_t Sent = 0; Sent < LargeBytes && !Failure;
         Sent += Piece.size()) {
      Connection.expires_after(std::chrono::milliseconds(m_UnreadLimitMs));
      asio::async_write(Connection, asio::buffer(Piece), Yield[Failure]);
      if (!Failure)
        m_SentBytes += Piece.size();
    }
    if (Failure != beast::error::timeout)
      return;
    ++m_CutOff;
    boost::system::error_code Ignored;
    Connection.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
    Connection.socket().close(Ignored);
  }

  LoopbackListener m_Listener;
};

} // namespace yardrill::tests

#endif
