//===-- TargetTerms.h - What a target says of itself in an answer ---------===//
#ifndef YARDRILL_LIBROUTING_TARGETTERMS_H
#define YARDRILL_LIBROUTING_TARGETTERMS_H

#include "LibCore/Time.h"

#include <optional>

namespace yardrill::routing {

/// On which terms a target takes requests, as one of its answers states them.
struct TargetTerms {
  /// Requests a second that it takes from all instances together.
  std::optional<double> m_RequestsPerSecond;
  /// The limit could not be read: what it named before still holds.
  bool m_IsLimitUnreadable = false;
  /// Nor does an answer lift a limit that is not of a run, or whose signature
  /// is missing: it may come from elsewhere than the target's work.
  bool m_IsLimitUnsaid = false;
  /// How long it wants nothing from the instance that it answered.
  std::optional<core::Duration> m_Rest;
  bool m_IsLeaving = false; ///< It ends soon; for all instances.

  bool isEmpty() const {
    return !m_RequestsPerSecond && !m_IsLimitUnreadable && !m_Rest &&
           !m_IsLeaving;
  }
};

} // namespace yardrill::routing

#endif
