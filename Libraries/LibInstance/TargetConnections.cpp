#include "LibInstance/TargetConnections.h"

#include <boost/asio/ip/address.hpp>

namespace yardrill::instance {

std::unique_ptr<http::ClientConnection>
TargetConnections::open(const config::Endpoint &Address, bool IsFresh,
                        boost::asio::yield_context Yield) {
  auto &Idle = m_Idle[Address];
  while (!IsFresh && !Idle.empty()) {
    auto Connection = std::move(Idle.back());
    Idle.pop_back();
    if (Connection->isReusable())
      return Connection;
  }
  boost::asio::ip::tcp::endpoint Where(
      boost::asio::ip::make_address(Address.m_Address), Address.m_Port);
  return http::ClientConnection::connect(m_Context, Where, m_Timeout, Yield);
}

void TargetConnections::giveBack(
    const config::Endpoint &Address,
    std::unique_ptr<http::ClientConnection> Connection) {
  auto &Idle = m_Idle[Address];
  if (Idle.size() < m_MostIdle && Connection->isReusable())
    Idle.push_back(std::move(Connection));
}

} // namespace yardrill::instance
