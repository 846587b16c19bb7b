//===-- Server.h - HTTP/1.1 server with streams and cancellation ----------===//
//
// Boost.Beast underneath; the reason is in docs/design/0001-whole-path.md.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_SERVER_H
#define YARDRILL_LIBHTTP_SERVER_H

#include "LibCore/Time.h"
#include "LibHTTP/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>

namespace yardrill::http {

struct ServerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 8388608;
  std::size_t m_OpenConnections = 4096;
  core::Duration m_ReadTimeout = std::chrono::seconds(10);
  core::Duration m_WriteTimeout = std::chrono::seconds(30);
  core::Duration m_IdleTimeout = std::chrono::seconds(60);
};

/// One request and its answer, on the server's thread. Every send throws
/// core::Error (OutcomeUnknown) when the caller is gone or too slow.
class Exchange {
public:
  virtual ~Exchange() = default;

  virtual RequestMessage &request() = 0;
  virtual void sendResponse(ResponseMessage Response,
                            boost::asio::yield_context Yield) = 0;
  /// Sends the head at once; the body follows in pieces.
  virtual void startStream(const ResponseHead &Head,
                           boost::asio::yield_context Yield) = 0;
  virtual void sendBodyData(std::string_view Data,
                            boost::asio::yield_context Yield) = 0;
  virtual void finishStream(boost::asio::yield_context Yield) = 0;
  /// Closes the connection, so that an answer in progress is seen as broken.
  virtual void abort() = 0;
  /// \p Hook runs once if the caller closes before the answer is complete.
  virtual void setDisconnectCallback(std::function<void()> Callback) = 0;
  virtual bool isStreamStarted() const = 0;
};

/// Accepts connections and runs a handler for each request, one coroutine a
/// connection.
class Server {
public:
  using Handler = std::function<void(Exchange &, boost::asio::yield_context)>;
  /// Makes the answer to a request that could not be read; the status is one
  /// of 400, 408, 413, 431, 501 and 505.
  using ErrorResponseFactory = std::function<ResponseMessage(unsigned Status)>;

  virtual ~Server() = default;

  /// \throws core::Error of kind AddressInUse.
  static std::unique_ptr<Server>
  create(boost::asio::io_context &Context,
         const boost::asio::ip::tcp::endpoint &Address,
         const ServerLimits &Limits, Handler Handle,
         ErrorResponseFactory MakeErrorResponse);

  virtual std::uint16_t port() const = 0;
  virtual std::size_t openConnections() const = 0;
  /// Requests of which some bytes have come and whose answers are not complete.
  virtual std::size_t openRequests() const = 0;
  /// In force from the next request of each connection.
  virtual void setLimits(const ServerLimits &Limits) = 0;
  /// Goes on accepting, but closes each connection after its next answer, which
  /// says so.
  virtual void disableKeepAlive() = 0;
  /// Accepts nothing new and closes each connection after its answer.
  virtual void stopAccepting() = 0;
};

} // namespace yardrill::http

#endif
