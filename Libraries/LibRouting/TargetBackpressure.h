//===-- TargetBackpressure.h - What a target says of itself in an answer
//---------===//
#ifndef YARDRILL_LIBROUTING_TARGETBACKPRESSURE_H
#define YARDRILL_LIBROUTING_TARGETBACKPRESSURE_H

#include "LibCore/Time.h"

#include <optional>

namespace yardrill::routing {

/// On which terms a target takes requests, as one of its answers states them.
struct TargetBackpressure {
  /// Requests a second that it takes from all instances together.
  std::optional<double> m_RequestsPerSecond;
  /// The limit could not be read: what it named before still holds.
  bool m_IsLimitUnreadable = false;
  /// Nor does an answer lift a limit that is not of a run, or whose signature
  /// is missing: it may come from elsewhere than the target's work.
  bool m_IsLimitUnspecified = false;
  /// How long it wants nothing from the instance that it answered.
  std::optional<core::Duration> m_Backoff;
  bool m_IsLeaving = false; ///< It ends soon; for all instances.

  bool isEmpty() const {
    return !m_RequestsPerSecond && !m_IsLimitUnreadable && !m_Backoff &&
           !m_IsLeaving;
  }
};

} // namespace yardrill::routing

#endif
