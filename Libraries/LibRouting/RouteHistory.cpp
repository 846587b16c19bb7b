#include "LibRouting/RouteHistory.h"

namespace yardrill::routing {

void RouteHistory::update(const RoutingTable &Next, core::TimePoint Now) {
  Routes Previous;
  Previous.swap(m_Routes);
  for (const auto &[Host, Routes] : Next.routesByHost())
    for (const Route &Each : Routes) {
      if (Each.m_Kind != RouteKind::Stream || !Each.m_IsResumable)
        continue;
      Known Current{Each.m_Host, Each.m_Prefix, {}, std::nullopt};
      if (Each.m_Pools.size() == 1)
        Current.m_OnlyPool = Each.m_Pools.front().m_Pool;
      auto Before = Previous.find(Each.m_Hash);
      bool IsSame = Before != Previous.end() &&
                    Before->second.m_OnlyPool == Current.m_OnlyPool;
      if (IsSame)
        Current.m_ChangedAt = Before->second.m_ChangedAt;
      else if (m_HasConfiguration)
        Current.m_ChangedAt = Now;
      m_Routes.emplace(Each.m_Hash, std::move(Current));
    }
  m_HasConfiguration = true;
  for (const auto &[Hash, Each] : Previous)
    if (m_Routes.count(Hash) == 0)
      handOver(Each, Now);
}

void RouteHistory::handOver(const Known &Gone, core::TimePoint Now) {
  for (auto &[Hash, Each] : m_Routes)
    if (Each.m_Host == Gone.m_Host &&
        Gone.m_Prefix.compare(0, Each.m_Prefix.size(), Each.m_Prefix) == 0)
      Each.m_ChangedAt = Now;
}

bool RouteHistory::hasLedTo(std::uint32_t Route, const core::PoolName &Pool,
                            core::Duration Time, core::TimePoint Now) const {
  auto Found = m_Routes.find(Route);
  return Found != m_Routes.end() && Found->second.m_OnlyPool == Pool &&
         (!Found->second.m_ChangedAt ||
          Now - *Found->second.m_ChangedAt >= Time);
}

} // namespace yardrill::routing
