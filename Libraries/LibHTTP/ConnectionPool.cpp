#include "LibHTTP/ConnectionPool.h"

#include <algorithm>

namespace yardrill::http {

using boost::asio::ip::tcp;

std::unique_ptr<ClientConnection>
ConnectionPool::open(const tcp::endpoint &Address, bool IsFresh,
                     boost::asio::yield_context Yield) {
  auto &Kept = m_Idle[Address];
  while (!IsFresh && !Kept.empty()) {
    Idle Newest = std::move(Kept.back());
    Kept.pop_back();
    if (core::steadyNow() < Newest.m_UsableUntil &&
        Newest.m_Connection->isReusable())
      return std::move(Newest.m_Connection);
  }
  ++m_Opened;
  return ClientConnection::connect(m_Context, Address,
                                   m_Limits.m_ConnectTimeout, Yield);
}

void ConnectionPool::giveBack(const tcp::endpoint &Address,
                              std::unique_ptr<ClientConnection> Connection,
                              core::Duration UsableFor) {
  auto &Kept = m_Idle[Address];
  if (Kept.size() < m_Limits.m_MostIdle && Connection->isReusable())
    Kept.push_back({std::move(Connection), core::steadyNow() + UsableFor});
}

void ConnectionPool::forget(const tcp::endpoint &Address) {
  m_Idle.erase(Address);
}

void ConnectionPool::closeExpired() {
  core::TimePoint Now = core::steadyNow();
  auto IsOld = [Now](const Idle &Each) { return Each.m_UsableUntil <= Now; };
  for (auto Place = m_Idle.begin(); Place != m_Idle.end();) {
    auto &Kept = Place->second;
    Kept.erase(std::remove_if(Kept.begin(), Kept.end(), IsOld), Kept.end());
    Place = Kept.empty() ? m_Idle.erase(Place) : std::next(Place);
  }
}

} // namespace yardrill::http
