#include "LibHTTP/ConnectionPool.h"

#include <algorithm>

namespace yardrill::http {

std::unique_ptr<ClientConnection>
ConnectionPool::takeIdle(const ServerProcess &Server,
                         std::optional<ResponseKey> Key) {
  auto Found = m_Idle.find(Server);
  if (Found == m_Idle.end())
    return nullptr;
  auto &IdleConnections = Found->second;
  for (std::size_t I = IdleConnections.size(); I-- > 0;) {
    if (Key && IdleConnections[I].m_Connection->mayCarry(*Key))
      continue;
    IdleConnection Newest = std::move(IdleConnections[I]);
    IdleConnections.erase(IdleConnections.begin() +
                          static_cast<std::ptrdiff_t>(I));
    if (core::steadyNow() < Newest.m_ExpiresAt &&
        Newest.m_Connection->isReusable())
      return std::move(Newest.m_Connection);
  }
  return nullptr;
}

std::unique_ptr<ClientConnection>
ConnectionPool::open(const ServerProcess &Server,
                     boost::asio::yield_context Yield) {
  ++m_Opened;
  auto Opened = ClientConnection::connect(m_Context, Server.m_Address,
                                          m_Limits.m_ConnectTimeout, Yield);
  if (m_Limits.m_SilenceTimeout)
    Opened->setSilenceTimeout(*m_Limits.m_SilenceTimeout);
  return Opened;
}

std::unique_ptr<ClientConnection>
ConnectionPool::acquire(const ServerProcess &Server, bool MustBeNew,
                        boost::asio::yield_context Yield) {
  auto Idle = MustBeNew ? nullptr : takeIdle(Server, std::nullopt);
  return Idle ? std::move(Idle) : open(Server, Yield);
}

std::unique_ptr<ClientConnection>
ConnectionPool::acquireFor(const ServerProcess &Server,
                           const ExpectedResponse &Response,
                           boost::asio::yield_context Yield) {
  auto Out = takeIdle(Server, Response.m_Key);
  if (!Out)
    Out = open(Server, Yield);
  Out->expect(Response);
  return Out;
}

void ConnectionPool::release(const ServerProcess &Server,
                             std::unique_ptr<ClientConnection> Connection,
                             core::Duration MaxIdleTime) {
  if (MaxIdleTime <= core::Duration::zero() || !Connection->isReusable())
    return;
  auto &IdleConnections = m_Idle[Server];
  if (IdleConnections.size() < m_Limits.m_MaxIdlePerServer)
    IdleConnections.push_back(
        {std::move(Connection), core::steadyNow() + MaxIdleTime});
}

bool ConnectionPool::hasIdleFor(const ServerProcess &Server,
                                ResponseKey Key) const {
  auto Found = m_Idle.find(Server);
  if (Found == m_Idle.end())
    return false;
  core::TimePoint Now = core::steadyNow();
  return std::any_of(Found->second.begin(), Found->second.end(),
                     [Now, Key](const IdleConnection &Each) {
                       return Now < Each.m_ExpiresAt &&
                              !Each.m_Connection->mayCarry(Key);
                     });
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
