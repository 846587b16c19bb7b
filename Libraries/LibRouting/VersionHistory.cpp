#include "LibRouting/VersionHistory.h"

#include <cassert>

namespace yardrill::routing {

void VersionHistory::add(const core::PoolName &Pool,
                         const core::TargetVersion &Version) {
  Presence &Added = m_Pools[Pool][Version];
  ++Added.m_Targets;
  Added.m_AbsentSince.reset();
}

void VersionHistory::remove(const core::PoolName &Pool,
                            const core::TargetVersion &Version) {
  Presence &Removed = m_Pools[Pool][Version];
  assert(Removed.m_Targets > 0);
  --Removed.m_Targets;
}

void VersionHistory::removeOld(core::Duration Retention, core::TimePoint Now) {
  for (auto &[Pool, Versions] : m_Pools)
    for (auto Each = Versions.begin(); Each != Versions.end();) {
      Presence &Known = Each->second;
      if (Known.m_Targets == 0 && !Known.m_AbsentSince)
        Known.m_AbsentSince = Now;
      bool IsOld =
          Known.m_AbsentSince && Now - *Known.m_AbsentSince > Retention;
      Each = IsOld ? Versions.erase(Each) : std::next(Each);
    }
}

std::optional<core::TargetVersion>
VersionHistory::onlyVersion(const core::PoolName &Pool) const {
  auto Found = m_Pools.find(Pool);
  if (Found == m_Pools.end() || Found->second.size() != 1)
    return std::nullopt;
  return Found->second.begin()->first;
}

} // namespace yardrill::routing
