#include "LibRouting/RoutingTable.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace yardrill::routing {

AllowedRegions intersection(const AllowedRegions &A, const AllowedRegions &B) {
  if (!A || !B)
    return A ? A : B;
  std::set<core::RegionName> Out;
  std::set_intersection(A->begin(), A->end(), B->begin(), B->end(),
                        std::inserter(Out, Out.end()));
  return Out;
}

const core::PoolName &Route::choosePool(std::uint64_t Point) const {
  assert(!m_Pools.empty());
  std::uint64_t Total = 0;
  for (const WeightedPool &Each : m_Pools)
    Total += Each.m_Weight;
  if (Total == 0)
    return m_Pools.front().m_Pool;
  std::uint64_t Left = Point % Total;
  for (const WeightedPool &Each : m_Pools) {
    if (Left < Each.m_Weight)
      return Each.m_Pool;
    Left -= Each.m_Weight;
  }
  return m_Pools.back().m_Pool;
}

static bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

const Route *RoutingTable::findRoute(const std::string &Host,
                                     const std::string &Path) const {
  auto Found = m_RoutesByHost.find(Host);
  if (Found == m_RoutesByHost.end())
    return nullptr;
  // Longest prefixes come first.
  for (const Route &Each : Found->second)
    if (startsWith(Path, Each.m_Prefix))
      return &Each;
  return nullptr;
}

const Account *RoutingTable::findAccountByKey(const std::string &Key) const {
  auto Found = m_AccountByKey.find(Key);
  return Found == m_AccountByKey.end() ? nullptr : &m_Accounts[Found->second];
}

const Pool *RoutingTable::findPool(const core::PoolName &Name) const {
  auto Found = m_Pools.find(Name);
  return Found == m_Pools.end() ? nullptr : &Found->second;
}

RoutingTable::Builder &
RoutingTable::Builder::version(core::ConfigurationVersion Version) {
  m_Table.m_Version = Version;
  return *this;
}

RoutingTable::Builder &RoutingTable::Builder::route(Route NewRoute) {
  std::string Host = NewRoute.m_Host;
  NewRoute.m_Hash = core::fnv1a32(Host + NewRoute.m_Prefix);
  m_Table.m_RoutesByHost[Host].push_back(std::move(NewRoute));
  return *this;
}

RoutingTable::Builder &RoutingTable::Builder::pool(Pool NewPool) {
  core::PoolName Name = NewPool.m_Name;
  m_Table.m_Pools[Name] = std::move(NewPool);
  return *this;
}

RoutingTable::Builder &RoutingTable::Builder::account(Account NewAccount) {
  for (const std::string &Key : NewAccount.m_Keys)
    m_Table.m_AccountByKey[Key] = m_Table.m_Accounts.size();
  m_Table.m_Accounts.push_back(std::move(NewAccount));
  return *this;
}

RoutingTable::Builder &
RoutingTable::Builder::limits(const CallerLimits &Limits) {
  m_Table.m_Limits = Limits;
  return *this;
}

std::shared_ptr<const RoutingTable> RoutingTable::Builder::build() {
  for (auto &[Host, Routes] : m_Table.m_RoutesByHost)
    std::stable_sort(Routes.begin(), Routes.end(),
                     [](const Route &A, const Route &B) {
                       return A.m_Prefix.size() > B.m_Prefix.size();
                     });
  return std::make_shared<const RoutingTable>(std::move(m_Table));
}

} // namespace yardrill::routing
