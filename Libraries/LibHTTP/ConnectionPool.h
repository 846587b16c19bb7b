//===-- ConnectionPool.h - Client connections, kept for reuse -------------===//
#ifndef YARDRILL_LIBHTTP_CONNECTIONPOOL_H
#define YARDRILL_LIBHTTP_CONNECTIONPOOL_H

#include "LibCore/Time.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace yardrill::http {

struct ConnectionPoolLimits {
  core::Duration m_ConnectTimeout = std::chrono::seconds(1);
  std::size_t m_MaxIdlePerAddress = 64; ///< Kept for each address.
};

/// Hands out connections; used on one thread only.
class ConnectionPool {
public:
  ConnectionPool(boost::asio::io_context &Context,
                 const ConnectionPoolLimits &Limits)
      : m_Context(Context), m_Limits(Limits) {}

  /// \param MustBeNew never reuse one: a reused connection may break under the
  /// first byte, and then nobody knows whether the request arrived.
  /// \throws core::Error of kind Refused or Unavailable; no byte was sent.
  std::unique_ptr<ClientConnection>
  acquire(const boost::asio::ip::tcp::endpoint &Address, bool MustBeNew,
          boost::asio::yield_context Yield);
  /// Takes a connection back whose answer was read whole.
  /// \param MaxIdleTime when it rested longer, the other side may be closing
  /// it.
  void release(const boost::asio::ip::tcp::endpoint &Address,
               std::unique_ptr<ClientConnection> Connection,
               core::Duration MaxIdleTime = std::chrono::hours(1));
  /// Closes the kept ones of an address: who answers there has changed. A
  /// request sent on one would end without anybody knowing whether it arrived.
  void closeIdle(const boost::asio::ip::tcp::endpoint &Address);
  /// Closes connections that rested for too long.
  void closeExpired();

  std::uint64_t opened() const { return m_Opened; }

private:
  struct IdleConnection {
    std::unique_ptr<ClientConnection> m_Connection;
    core::TimePoint m_ExpiresAt;
  };

  boost::asio::io_context &m_Context;
  ConnectionPoolLimits m_Limits;
  std::uint64_t m_Opened = 0;
  std::map<boost::asio::ip::tcp::endpoint, std::vector<IdleConnection>> m_Idle;
};

} // namespace yardrill::http

#endif
