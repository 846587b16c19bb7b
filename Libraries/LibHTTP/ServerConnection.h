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
                   const Server::ErrorResponseFactory &MakeErrorResponse,
                   const bool &IsKeepAliveDisabled)
      : m_Stream(std::move(Socket)), m_ReadTimer(m_Stream.get_executor()),
        m_Limits(Limits), m_Handle(Handle),
        m_MakeErrorResponse(MakeErrorResponse),
        m_IsKeepAliveDisabled(IsKeepAliveDisabled) {}

  void run(boost::asio::yield_context Yield);
  bool isIdle() const { return m_IsIdle; }
  void close();

  RequestMessage &request() override { return m_Request; }
  void sendResponse(ResponseMessage Response,
                    boost::asio::yield_context Yield) override;
  void startStream(const ResponseHead &Head,
                   boost::asio::yield_context Yield) override;
  void sendBodyData(std::string_view Data,
                    boost::asio::yield_context Yield) override;
  void finishStream(boost::asio::yield_context Yield) override;
  void abort() override;
  void setDisconnectCallback(std::function<void()> Callback) override;
  bool isStreamStarted() const override { return m_IsStreamStarted; }

private:
  /// \returns 0 when a request was read, else the status that refuses it;
  /// NoResponse when there is nobody to answer.
  unsigned readRequest(boost::asio::yield_context Yield);
  unsigned statusForReadError(boost::system::error_code Failure,
                              bool IsHeaderRead) const;
  void sendErrorResponse(unsigned Status, boost::asio::yield_context Yield);
  void linger(boost::asio::yield_context Yield);
  void watchForDisconnect();
  void waitForDisconnect(const std::weak_ptr<std::function<void()>> &Weak);
  void throwIfWriteFailed(boost::system::error_code Failure);
  bool mustCloseAfterResponse() const {
    return !m_KeepAlive || m_IsKeepAliveDisabled;
  }

  static const unsigned NoResponse = 1;

  /// Ends a read that takes too long. The stream's own timer would close the
  /// socket, and then the caller could not be told.
  void startReadTimer();
  void stopReadTimer();

  boost::beast::tcp_stream m_Stream;
  core::Timer m_ReadTimer;
  bool m_HasTimedOut = false;
  const ServerLimits &m_Limits;
  const Server::Handler &m_Handle;
  const Server::ErrorResponseFactory &m_MakeErrorResponse;
  const bool &m_IsKeepAliveDisabled;
  boost::beast::flat_buffer m_Buffer;
  RequestMessage m_Request;
  bool m_KeepAlive = true;
  bool m_IsIdle = true;
  bool m_IsAborted = false;
  bool m_IsResponseComplete = false;
  bool m_IsStreamStarted = false;
  bool m_IsChunked = false;
  bool m_HasNoBody = false;
  /// Shared with a pending wait, which may outlive this exchange.
  std::shared_ptr<std::function<void()>> m_DisconnectCallback;
};

} // namespace yardrill::http

#endif
