//===-- TargetConnections.h - Connections to targets, kept for reuse ------===//
#ifndef YARDRILL_LIBINSTANCE_TARGETCONNECTIONS_H
#define YARDRILL_LIBINSTANCE_TARGETCONNECTIONS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <map>
#include <memory>
#include <vector>

namespace yardrill::instance {

/// Hands out connections; used on the traffic thread only.
class TargetConnections {
public:
  TargetConnections(boost::asio::io_context &Context, core::Duration Timeout,
                    std::size_t MostIdle)
      : m_Context(Context), m_Timeout(Timeout), m_MostIdle(MostIdle) {}

  /// \param IsFresh never reuse one: a reused connection may break under the
  /// first byte, and then nobody knows whether the request arrived.
  /// \throws core::Error of kind Unavailable; no byte was sent.
  std::unique_ptr<http::ClientConnection>
  open(const config::Endpoint &Address, bool IsFresh,
       boost::asio::yield_context Yield);
  /// Takes a connection back whose answer was read whole.
  void giveBack(const config::Endpoint &Address,
                std::unique_ptr<http::ClientConnection> Connection);

private:
  boost::asio::io_context &m_Context;
  core::Duration m_Timeout;
  std::size_t m_MostIdle;
  std::map<config::Endpoint,
           std::vector<std::unique_ptr<http::ClientConnection>>>
      m_Idle;
};

} // namespace yardrill::instance

#endif
