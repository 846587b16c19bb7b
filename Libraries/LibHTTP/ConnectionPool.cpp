#include "LibHTTP/ConnectionPool.h"

#include <algorithm>

namespace yardrill::http {

using boost::asio::ip::tcp;

std::unique_ptr<ClientConnection>
ConnectionPool::acquire(const tcp::endpoint &Address, bool MustBeNew,
                        boost::asio::yield_context Yield) {
  auto &IdleConnections = m_Idle[Address];
  while (!MustBeNew && !IdleConnections.empty()) {
    IdleConnection Newest = std::move(IdleConnections.back());
    IdleConnections.pop_back();
    if (core::steadyNow() < Newest.m_ExpiresAt &&
        Newest.m_Connection->isReusable())
      return std::move(Newest.m_Connection);
  }
  ++m_Opened;
  auto Opened = ClientConnection::connect(m_Context, Address,
                                          m_Limits.m_ConnectTimeout, Yield);
  if (m_Limits.m_SilenceTimeout)
    Opened->setSilenceTimeout(*m_Limits.m_SilenceTimeout);
  return Opened;
}

void ConnectionPool::release(const tcp::endpoint &Address,
                             std::unique_ptr<ClientConnection> Connection,
                             core::Duration MaxIdleTime) {
  auto &IdleConnections = m_Idle[Address];
  if (IdleConnections.size() < m_Limits.m_MaxIdlePerAddress &&
      Connection->isReusable())
    IdleConnections.push_back(
        {std::move(Connection), core::steadyNow() + MaxIdleTime});
}

bool ConnectionPool::hasIdle(const tcp::endpoint &Address) const {
  auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return false;
  core::TimePoint Now = core::steadyNow();
  return std::any_of(
      Found->second.begin(), Found->second.end(),
      [Now](const IdleConnection &Each) { return Now < Each.m_ExpiresAt; });
}

void ConnectionPool::closeIdle(const tcp::endpoint &Address) {
  m_Idle.erase(Address);
}

void ConnectionPool::closeExpired() {
  core::TimePoint Now = core::steadyNow();
  auto IsExpired = [Now](const IdleConnection &Each) {
    return Each.m_ExpiresAt <= Now;
  };
  for (auto Position = m_Idle.begin(); Position != m_Idle.end();) {
    auto &IdleConnections = Position->second;
    IdleConnections.erase(std::remove_if(IdleConnections.begin(),
                                         IdleConnections.end(), IsExpired),
                          IdleConnections.end());
    Position =
        IdleConnections.empty() ? m_Idle.erase(Position) : std::next(Position);
  }
}

} // namespace yardrill::http
