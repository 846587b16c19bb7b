//===-- ConnectionPool.h - Pool of reusable client connections ------------===//
#ifndef YARDRILL_LIBHTTP_CONNECTIONPOOL_H
#define YARDRILL_LIBHTTP_CONNECTIONPOOL_H

#include "LibCore/Time.h"
#include "LibHTTP/ClientConnection.h"
#include "LibHTTP/ServerProcess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace yardrill::http {

struct ConnectionPoolLimits {
  core::Duration m_ConnectTimeout = std::chrono::seconds(1);
  std::size_t m_MaxIdlePerServer = 64; ///< Further ones are closed.
  /// See ClientConnection::setSilenceTimeout(); none: about three seconds, if
  /// at all.
  std::optional<core::Duration> m_SilenceTimeout;
};

/// Opens client connections and keeps idle ones for reuse, by server. Not
/// synchronized: used on the thread of its io_context.
class ConnectionPool {
public:
  ConnectionPool(boost::asio::io_context &Context,
                 const ConnectionPoolLimits &Limits)
      : m_Context(Context), m_Limits(Limits) {}

  /// Returns the most recently used idle connection, or opens one.
  /// \param MustBeNew whether to open one in any case. The server may close an
  /// idle connection while a request is sent on it; whether the request
  /// arrived is then unknown.
  /// \throws core::Error of kind Refused or Unavailable; no byte was sent.
  std::unique_ptr<ClientConnection> acquire(const ServerProcess &Server,
                                            bool MustBeNew,
                                            boost::asio::yield_context Yield);
  /// The same for a request whose response is matched by its key: no response
  /// with that key can arrive on the connection but the response to the next
  /// request.
  std::unique_ptr<ClientConnection>
  acquireFor(const ServerProcess &Server, const ExpectedResponse &Response,
             boost::asio::yield_context Yield);
  /// Keeps a connection for reuse if its response was read completely.
  /// \param MaxIdleTime idle time after which it is not reused, as the server
  /// may be closing it.
  void release(const ServerProcess &Server,
               std::unique_ptr<ClientConnection> Connection,
               core::Duration MaxIdleTime = std::chrono::hours(1));
  /// Whether acquireFor() has an idle connection, which the server may have
  /// closed in the meantime.
  bool hasIdleFor(const ServerProcess &Server, ResponseKey Key) const;
  /// Closes connections that were idle for longer than their MaxIdleTime.
  void closeExpired();

  /// Returns the number of connections opened so far, failed attempts included.
  std::uint64_t opened() const { return m_Opened; }

private:
  struct IdleConnection {
    std::unique_ptr<ClientConnection> m_Connection;
    core::TimePoint m_ExpiresAt;
  };

  /// Takes the most recently used idle connection that may be used; null if
  /// there is none.
  std::unique_ptr<ClientConnection> takeIdle(const ServerProcess &Server,
                                             std::optional<ResponseKey> Key);
  std::unique_ptr<ClientConnection> open(const ServerProcess &Server,
                                         boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  ConnectionPoolLimits m_Limits;
  std::uint64_t m_Opened = 0;
  std::map<ServerProcess, std::vector<IdleConnection>> m_Idle;
};

} // namespace yardrill::http

#endif
