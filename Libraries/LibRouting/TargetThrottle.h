//===-- TargetThrottle.h - Backpressure state of one target ---------------===//
//
// Unlike cooldowns, which are derived from failures, backpressure that a target
// states is binding. TargetDirectory::tryStartRequest() enforces it for every
// request.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETTHROTTLE_H
#define YARDRILL_LIBROUTING_TARGETTHROTTLE_H

#include "LibRouting/SharedRateLimit.h"
#include "LibRouting/TargetBackpressure.h"

#include <optional>

namespace yardrill::routing {

/// When and how fast a target accepts requests of this instance.
struct Availability {
  core::TimePoint m_At{};            ///< Earliest time of the next request.
  std::optional<double> m_PerSecond; ///< Not set: limited only by its slots.
};

/// Holds back requests to one incarnation of a target, according to the
/// backpressure that it stated to this or another instance.
class TargetThrottle {
public:
  /// Applies the backpressure of a response to this instance. \returns whether
  /// it has to be reported to other instances.
  bool update(const TargetBackpressure &Backpressure, core::TimePoint Now);

  /// Marks the incarnation as leaving, permanently. \returns whether it was not
  /// yet marked.
  bool setLeaving();
  bool isLeaving() const { return m_IsLeaving; }
  bool isBackedOff(core::TimePoint Now) const { return Now < m_BackoffUntil; }

  /// Returns when the next request may be sent; none if this instance may not
  /// send any.
  std::optional<Availability> availability() const;
  bool acceptsRequests(core::TimePoint Now) const {
    auto Next = availability();
    return Next && Next->m_At <= Now;
  }
  /// Counts a request that is sent now against the limit.
  void recordSent(core::TimePoint Now) { m_Limit.recordSent(Now); }

  SharedRateLimit &limit() { return m_Limit; }
  const SharedRateLimit &limit() const { return m_Limit; }

private:
  SharedRateLimit m_Limit;
  core::TimePoint m_BackoffUntil{}; ///< Applies to this instance only.
  bool m_IsLeaving = false;
};

} // namespace yardrill::routing

#endif
