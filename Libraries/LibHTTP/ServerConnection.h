//===-- ServerConnection.h - Connection accepted by a Server --------------===//
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
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

namespace yardrill::http {

/// Connection that a Server accepted. Reads requests, passes them to the
/// server's handler and is their Exchange, one request after the other. The
/// arguments of the constructor are the server's.
class ServerConnection final
    : public Exchange,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(boost::asio::ip::tcp::socket Socket,
                   const ServerLimits &Limits, ByteBudget &BodyBudget,
                   IntakeLimiter &Intake, const Server::Handler &Handle,
                   const Server::ErrorResponseFactory &MakeErrorResponse,
                   const bool &IsKeepAliveDisabled,
                   std::function<bool()> ShouldEndKeepAlive)
      : m_Stream(std::move(Socket)), m_ReadTimer(m_Stream.get_executor()),
        m_WatchTimer(m_Stream.get_executor()), m_Limits(Limits),
        m_HeldBody(BodyBudget), m_Intake(Intake), m_Reading(Intake.transfers()),
        m_Handle(Handle), m_MakeErrorResponse(MakeErrorResponse),
        m_IsKeepAliveDisabled(IsKeepAliveDisabled),
        m_ShouldEndKeepAlive(std::move(ShouldEndKeepAlive)) {
    m_Reading.begin(core::steadyNow());
  }

  /// Serves requests until the connection closes.
  void run(boost::asio::yield_context Yield);
  /// Returns whether the connection waits for the first byte of a request.
  bool isIdle() const { return m_IsIdle; }
  /// Makes run() return once no request has arrived that is not answered.
  void closeWhenIdle();

  RequestMessage &request() override { return m_Request; }
  core::Duration unreadTime() const override { return m_UnreadTime; }
  void sendResponse(ResponseMessage Response,
                    boost::asio::yield_context Yield) override;
  void startStream(const ResponseHead &Head,
                   boost::asio::yield_context Yield) override;
  void sendBodyData(std::string_view Data,
                    boost::asio::yield_context Yield) override;
  void finishStream(boost::asio::yield_context Yield) override;
  void abort() override;
  void setDisconnectCallback(std::function<void()> Callback) override;
  bool isCallerConnected() override;
  bool isStreamStarted() const override { return m_IsStreamStarted; }
  bool hasSentBytes() const override { return m_HasSentBytes; }

private:
  /// Serves one request. \returns whether another one may follow.
  bool serveRequest(boost::asio::yield_context Yield);
  /// Waits for the first bytes of a request. \returns false if the connection
  /// ends instead, with no byte of a request read.
  bool awaitRequest(boost::asio::yield_context Yield);
  /// Whether bytes wait in the kernel.
  bool hasUnreadBytes();
  /// Calls the server's handler; a request whose handler fails before a
  /// response has begun is answered with 500.
  void handleRequest(boost::asio::yield_context Yield);
  /// Returns 0 when a request was read, the status of the error response when
  /// it was not, or NoResponse when the caller has disconnected or has sent
  /// nothing within the idle timeout.
  unsigned readRequest(boost::asio::yield_context Yield);
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;
  /// Reads the body as far as the budget of all bodies allows. \returns whether
  /// it did.
  bool readBody(RequestParser &Parser, boost::system::error_code &Failure,
                boost::asio::yield_context Yield);
  unsigned statusForReadError(boost::system::error_code Failure,
                              bool IsHeaderRead) const;
  void sendErrorResponse(unsigned Status, boost::asio::yield_context Yield);
  /// Announces the end of the connection and discards what the caller still
  /// sends, for up to LingerTime and up to the body limit.
  void linger(boost::asio::yield_context Yield);
  void watchForDisconnect();
  void waitForDisconnect(const std::weak_ptr<std::function<void()>> &Weak);
  /// The same while bytes behind the request wait in the kernel.
  void pollForDisconnect(const std::weak_ptr<std::function<void()>> &Weak);
  /// Returns how many of further bytes of the current message count for the
  /// link.
  std::size_t countBytes(std::size_t Bytes);
  void recordResponse(std::size_t Bytes);
  /// To be called after each write of a response.
  void finishWrite(boost::system::error_code Failure, std::size_t Bytes);
  /// Sets what the head of a response says of the connection.
  template <class Message> void setKeepAlive(Message &Out) {
    m_IsKept = m_KeepAlive && !m_IsKeepAliveDisabled && !m_ShouldEndKeepAlive();
    Out.keep_alive(m_IsKept);
  }

  static const unsigned NoResponse = 1;

  /// Cancels a read that exceeds \p Timeout. The stream's own timer would close
  /// the socket, also if the read has just succeeded.
  void startReadTimer(core::Duration Timeout);
  void stopReadTimer();

  boost::beast::tcp_stream m_Stream;
  core::Timer m_ReadTimer;
  core::Timer m_WatchTimer; ///< Of pollForDisconnect().
  bool m_HasTimedOut = false;
  const ServerLimits &m_Limits;
  ByteBudget::Reservation m_HeldBody; ///< For the body of m_Request.
  IntakeLimiter &m_Intake;
  TransferMeter::Transfer m_Reading;
  std::size_t m_CountedBytes = 0; ///< Of the current request or response.
  const Server::Handler &m_Handle;
  const Server::ErrorResponseFactory &m_MakeErrorResponse;
  const bool &m_IsKeepAliveDisabled;
  std::function<bool()> m_ShouldEndKeepAlive;
  boost::beast::flat_buffer m_Buffer;
  RequestMessage m_Request;
  core::Duration m_UnreadTime{}; ///< Of m_Request.
  bool m_KeepAlive = true; ///< Whether the caller may send another request.
  bool m_IsKept = true;    ///< Whether the current response says so.
  bool m_IsIdle = true;
  bool m_IsClosingWhenIdle = false;
  bool m_IsAborted = false;
  bool m_IsResponseComplete = false;
  bool m_IsStreamStarted = false;
  bool m_HasSentBytes = false; ///< Of the current response.
  bool m_IsChunked = false;
  bool m_HasNoBody = false;
  /// Null between requests. Waits hold it weakly, as they may outlive the
  /// request.
  std::shared_ptr<std::function<void()>> m_DisconnectCallback;
};

} // namespace yardrill::http

#endif
