//===-- VersionHistory.h - Present and recent versions of targets ---------===//
#ifndef YARDRILL_LIBROUTING_VERSIONHISTORY_H
#define YARDRILL_LIBROUTING_VERSIONHISTORY_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace yardrill::routing {

/// Versions that the targets of each pool have, or had until recently. Owned by
/// TargetDirectory.
class VersionHistory {
public:
  /// Adds a target.
  void add(const core::PoolName &Pool, const core::TargetVersion &Version);
  /// Removes a target that was added before.
  void remove(const core::PoolName &Pool, const core::TargetVersion &Version);
  /// Forgets versions that have had no target for \p Retention. The time is
  /// counted from the first call after the removal of the last target.
  void removeOld(core::Duration Retention, core::TimePoint Now);
  /// Returns the version of all targets that the pool has had within the
  /// retention time; none if there were several versions, or no target.
  std::optional<core::TargetVersion>
  onlyVersion(const core::PoolName &Pool) const;

private:
  struct Presence {
    std::size_t m_Targets = 0;
    std::optional<core::TimePoint> m_AbsentSince;
  };

  std::map<core::PoolName, std::map<core::TargetVersion, Presence>> m_Pools;
};

} // namespace yardrill::routing

#endif
