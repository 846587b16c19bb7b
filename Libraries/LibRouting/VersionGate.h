//===-- VersionGate.h - Which versions of a pool's targets take requests --===//
#ifndef YARDRILL_LIBROUTING_VERSIONGATE_H
#define YARDRILL_LIBROUTING_VERSIONGATE_H

#include "LibCore/Time.h"
#include "LibRouting/Target.h"

#include <cstddef>
#include <cstdint>

namespace yardrill::routing {

/// Asked for each placement in a pool whose traffic is moved from one version
/// to another. Answers hold for the moment only.
class VersionGate {
public:
  virtual ~VersionGate() = default;

  /// Whether requests that try nothing go to such a target.
  virtual bool mayServe(const Target &What, core::TimePoint Now) const = 0;
  /// Whether a request on \p Route is to try the version under trial.
  virtual bool isCanaryDue(std::uint32_t Route, core::TimePoint Now) const = 0;
  virtual bool isCanary(const Target &What) const = 0;
  /// Targets under trial are tried in turns, a share of them at a time, so that
  /// each is loaded as it will be in the end. \returns which turn it is.
  virtual std::size_t canaryTurn(core::TimePoint Now) const = 0;
  /// That part of them, 0 to 1.
  virtual double canaryShare() const = 0;
};

} // namespace yardrill::routing

#endif
