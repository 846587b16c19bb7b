#include "LibRouting/RendezvousHash.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace yardrill::routing {

/// Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
static std::uint64_t mixed(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111eb;
  return Value ^ (Value >> 31);
}

RendezvousHash::RendezvousHash(const std::vector<config::Endpoint> &Members) {
  for (const config::Endpoint &Each : Members)
    m_Members.emplace_back(core::stableHash(Each.toString()), Each);
}

std::vector<config::Endpoint> RendezvousHash::select(
    std::uint64_t Key, std::size_t Count,
    const std::function<bool(const config::Endpoint &)> &MayUse) const {
  std::vector<std::pair<std::uint64_t, std::size_t>> Ranks;
  Ranks.reserve(m_Members.size());
  for (std::size_t I = 0; I < m_Members.size(); ++I)
    Ranks.emplace_back(mixed(Key ^ m_Members[I].first), I);
  std::make_heap(Ranks.begin(), Ranks.end());
  std::vector<config::Endpoint> Out;
  while (!Ranks.empty() && Out.size() < Count) {
    const config::Endpoint &Highest = m_Members[Ranks.front().second].second;
    if (MayUse(Highest))
      Out.push_back(Highest);
    std::pop_heap(Ranks.begin(), Ranks.end());
    Ranks.pop_back();
  }
  return Out;
}

} // namespace yardrill::routing
