//===-- Server.h - HTTP/1.1 server with streaming and cancellation --------===//
//
// Implemented with Boost.Beast, for reasons given in
// docs/design/0001-whole-path.md.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_SERVER_H
#define YARDRILL_LIBHTTP_SERVER_H

#include "LibCore/Time.h"
#include "LibHTTP/ByteBudget.h"
#include "LibHTTP/IntakeLimiter.h"
#include "LibHTTP/Message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <limits>
#include <memory>
#include <optional>

namespace yardrill::http {

/// Limits that protect a server from its callers.
struct ServerLimits {
  std::size_t m_HeaderBytes = 16384; ///< Maximum for one request.
  std::size_t m_BodyBytes = 8388608; ///< Maximum for one request.
  /// Further connections wait in the kernel's listen queue.
  std::size_t m_OpenConnections = 4096;
  /// Time to read a request, from its first bytes on.
  core::Duration m_ReadTimeout = std::chrono::seconds(10);
  core::Duration m_WriteTimeout = std::chrono::seconds(30); ///< For one write.
  /// Time that a connection may wait for its next request.
  core::Duration m_IdleTimeout = std::chrono::seconds(60);
  /// Maximum for the bodies of all requests that are read or handled at a time.
  /// A request that exceeds it is refused with 503 before its body is read, or
  /// once a body without a stated length has grown too large. Set when the
  /// server is created.
  std::size_t m_AllBodyBytes = std::numeric_limits<std::size_t>::max();
  /// Bandwidth of the process's link. With it, connections are refused while
  /// the IntakeLimiter allows none; without it, never. Set when the server is
  /// created.
  std::optional<double> m_LinkBytesPerSecond;
  /// Time after which a connection fails whose caller acknowledges nothing, not
  /// even probes; by default the kernel's, many minutes.
  std::optional<core::Duration> m_SilenceTimeout;
};

/// One request and its response, passed to a Server's handler and used on the
/// server's thread. Functions that send throw core::Error of kind
/// OutcomeUnknown when the caller has disconnected or reads too slowly.
class Exchange {
public:
  virtual ~Exchange() = default;

  virtual RequestMessage &request() = 0;
  /// Returns how long the last bytes of the request had waited in the kernel
  /// when they were read, in milliseconds' resolution; zero if it is unknown.
  virtual core::Duration unreadTime() const = 0;
  virtual void sendResponse(ResponseMessage Response,
                            boost::asio::yield_context Yield) = 0;
  /// Sends the head of a response whose body follows with sendBodyData().
  virtual void startStream(const ResponseHead &Head,
                           boost::asio::yield_context Yield) = 0;
  virtual void sendBodyData(std::string_view Data,
                            boost::asio::yield_context Yield) = 0;
  virtual void finishStream(boost::asio::yield_context Yield) = 0;
  /// Ends the connection without the end of the response, so that the caller
  /// sees that it is incomplete. What was sent before still arrives.
  virtual void abort() = 0;
  /// Sets a function that is called once if the caller disconnects before the
  /// response is complete.
  virtual void setDisconnectCallback(std::function<void()> Callback) = 0;
  /// Returns whether the caller is still connected, by a look at the connection
  /// itself: the event loop may not have noticed its end yet. A request may be
  /// sent on only right after that, since a caller that leaves an unread
  /// request sends it again.
  virtual bool isCallerConnected() = 0;
  virtual bool isStreamStarted() const = 0;
  /// Returns whether any byte of the response was handed to the kernel. A
  /// caller that saw none may take its request for unread, and send it again.
  virtual bool hasSentBytes() const = 0;
};

/// HTTP/1.1 server that runs a handler for each request, with one coroutine per
/// connection on the thread of its io_context.
class Server {
public:
  using Handler = std::function<void(Exchange &, boost::asio::yield_context)>;
  /// Makes the response to a request that was not read; the status is one of
  /// 400, 408, 413, 431, 501, 503 and 505.
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
  /// Returns the budget of ServerLimits::m_AllBodyBytes.
  virtual ByteBudget &bodyBudget() = 0;
  /// Returns what measures and limits the intake. The server records the
  /// requests that it reads, on a new connection from its start, and the
  /// responses; what requests cause to be sent elsewhere is recorded by the
  /// handler.
  virtual IntakeLimiter &intake() = 0;
  /// Returns the time since the start in which connections were refused.
  virtual core::Duration refusingTime() const = 0;
  /// Returns the number of requests of which at least one byte has arrived and
  /// whose responses are not complete.
  virtual std::size_t openRequests() const = 0;
  /// Sets limits that apply from the next request of each connection.
  virtual void setLimits(const ServerLimits &Limits) = 0;
  /// Closes each connection after its next response, which has the header
  /// `Connection: close`. New connections are still accepted.
  virtual void disableKeepAlive() = 0;
  /// Stops accepting connections, and closes each when it is idle. A request
  /// that has been read by then is handled and answered; openConnections() is 0
  /// once all are closed.
  virtual void stopAccepting() = 0;
};

} // namespace yardrill::http

#endif
