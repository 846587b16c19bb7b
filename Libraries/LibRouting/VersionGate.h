//===-- VersionGate.h - Restricts requests to target versions -------------===//
#ifndef YARDRILL_LIBROUTING_VERSIONGATE_H
#define YARDRILL_LIBROUTING_VERSIONGATE_H

#include "LibCore/Time.h"
#include "LibRouting/Target.h"

#include <cstddef>
#include <cstdint>

namespace yardrill::routing {

/// Controls which versions of a pool's targets receive requests during a
/// rollout. The Dispatcher queries it for each request; results are valid only
/// at the given time.
class VersionGate {
public:
  virtual ~VersionGate() = default;

  /// Whether a target may receive requests that are not samples.
  virtual bool mayServe(const Target &What, core::TimePoint Now) const = 0;
  /// Whether the next request on \p Route should be a sample.
  virtual bool isCanaryDue(std::uint32_t Route, core::TimePoint Now) const = 0;
  /// Whether the target runs the canary version.
  virtual bool isCanary(const Target &What) const = 0;
  /// Returns the index of the current turn. Samples go to one share of the
  /// canary targets per turn, so that each carries its eventual load.
  virtual std::size_t canaryTurn(core::TimePoint Now) const = 0;
  /// Returns the share of the canary targets that get samples in a turn, 0 to
  /// 1.
  virtual double canaryShare() const = 0;
};

} // namespace yardrill::routing

#endif
