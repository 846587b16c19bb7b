//===-- ServerConnection.h - One accepted connection ----------------------===//
//
// Internal to LibHTTP.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_SERVERCONNECTION_H
#define YARDRILL_LIBHTTP_SERVERCONNECTION_H

#include "LibCore/Timer.h"
#include "LibHTTP/Server.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>

namespace yardrill::http {

/// One accepted connection; owns the socket for as long as its coroutine runs.
class ServerConnection final
    : public Exchange,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(boost::asio::ip::tcp::socket Socket,
                   const ServerLimits &Limits, const Server::Handler &Handle,
                   const Server::Rejection &Reject, const bool &IsClosing)
      : m_Stream(std::move(Socket)), m_ReadTimer(m_Stream.get_executor()),
        m_Limits(Limits), m_Handle(Handle), m_Reject(Reject),
        m_IsClosing(IsClosing) {}

  void run(boost::asio::yield_context Yield);
  bool isIdle() const { return m_IsIdle; }
  void close();

  RequestMessage &request() override { return m_Request; }
  void sendWhole(ResponseMessage Response,
                 boost::asio::yield_context Yield) override;
  void startStream(const ResponseHead &Head,
                   boost::asio::yield_context Yield) override;
  void sendPiece(std::string_view Piece,
                 boost::asio::yield_context Yield) override;
  void finishStream(boost::asio::yield_context Yield) override;
  void abort() override;
  void setHangUpHook(std::function<void()> Hook) override;
  bool isStreamStarted() const override { return m_IsStreamStarted; }

private:
  /// \returns 0 when a request was read, else the status that refuses it;
  /// NoAnswer when there is nobody to answer.
  unsigned readRequest(boost::asio::yield_context Yield);
  unsigned statusOf(boost::system::error_code Failure, bool IsHeaderRead) const;
  void refuse(unsigned Status, boost::asio::yield_context Yield);
  void linger(boost::asio::yield_context Yield);
  void watchForHangUp();
  void waitForHangUp(const std::weak_ptr<std::function<void()>> &Weak);
  void checkWritten(boost::system::error_code Failure);
  bool mustClose() const { return !m_KeepAlive || m_IsClosing; }

  static const unsigned NoAnswer = 1;

  /// Ends a read that takes too long. The stream's own timer would close the
  /// socket, and then the caller could not be told.
  void startReadTimer();
  void stopReadTimer();

  boost::beast::tcp_stream m_Stream;
  core::Timer m_ReadTimer;
  bool m_HasTimedOut = false;
  const ServerLimits &m_Limits;
  const Server::Handler &m_Handle;
  const Server::Rejection &m_Reject;
  const bool &m_IsClosing;
  boost::beast::flat_buffer m_Buffer;
  RequestMessage m_Request;
  bool m_KeepAlive = true;
  bool m_IsIdle = true;
  bool m_IsAborted = false;
  bool m_IsAnswered = false;
  bool m_IsStreamStarted = false;
  bool m_IsChunked = false;
  bool m_HasNoBody = false;
  /// Shared with a pending wait, which may outlive this exchange.
  std::shared_ptr<std::function<void()>> m_HangUpHook;
};

} // namespace yardrill::http

#endif
