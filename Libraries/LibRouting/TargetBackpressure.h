//===-- TargetBackpressure.h - Backpressure stated in a response ----------===//
#ifndef YARDRILL_LIBROUTING_TARGETBACKPRESSURE_H
#define YARDRILL_LIBROUTING_TARGETBACKPRESSURE_H

#include "LibCore/Time.h"

#include <optional>

namespace yardrill::routing {

/// Rate limit, back-off and leaving state from the headers of one response.
struct TargetBackpressure {
  /// Requests a second that the target accepts from all instances together.
  std::optional<double> m_RequestsPerSecond;
  /// The stated limit could not be parsed; the previous one stays in force.
  bool m_IsLimitUnreadable = false;
  /// The response states no limit, but does not clear the previous one: the
  /// request did not run or the response is unsigned, so it may not come from
  /// the target itself.
  bool m_IsLimitUnspecified = false;
  /// Time during which the target accepts nothing from this instance.
  std::optional<core::Duration> m_Backoff;
  /// Rejections a second, of requests of all instances together, above which
  /// the target fails. Only meaningful in a response of the target itself.
  std::optional<double> m_MaxRejectionsPerSecond;
  bool m_IsLeaving = false; ///< The target exits soon; binds all instances.

  bool isEmpty() const {
    return !m_RequestsPerSecond && !m_IsLimitUnreadable && !m_Backoff &&
           !m_IsLeaving;
  }
};

} // namespace yardrill::routing

#endif
