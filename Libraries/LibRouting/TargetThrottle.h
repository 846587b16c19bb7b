//===-- TargetThrottle.h - When a target takes a request -----------------===//
//
// What a target says of itself binds, unlike what is guessed of it from its
// failures: TargetDirectory::tryStartRequest(), which nothing that is sent goes
// round, asks here.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETTHROTTLE_H
#define YARDRILL_LIBROUTING_TARGETTHROTTLE_H

#include "LibRouting/SharedRateLimit.h"
#include "LibRouting/TargetBackpressure.h"

#include <optional>

namespace yardrill::routing {

/// From when a target takes requests of this instance, and how many.
struct Availability {
  core::TimePoint m_At{};
  std::optional<double> m_PerSecond; ///< Not set: as many as it has places.
};

/// What one run of a target has said of itself, to this instance or to others.
class TargetThrottle {
public:
  /// Takes in the terms of an answer to this instance. \returns whether other
  /// instances should hear of it.
  bool update(const TargetBackpressure &Backpressure, core::TimePoint Now);

  /// It said so to another instance. \returns whether that is new.
  bool setLeaving();
  bool isLeaving() const { return m_IsLeaving; }
  bool isBackedOff(core::TimePoint Now) const { return Now < m_BackoffUntil; }

  /// From when a request may be sent there; none: not by this instance.
  std::optional<Availability> availability() const;
  bool isOpen(core::TimePoint Now) const {
    auto Next = availability();
    return Next && Next->m_At <= Now;
  }
  /// Takes note of a request that is sent now.
  void recordSent(core::TimePoint Now) { m_Limit.recordSent(Now); }

  SharedRateLimit &limit() { return m_Limit; }
  const SharedRateLimit &limit() const { return m_Limit; }

private:
  SharedRateLimit m_Limit;
  core::TimePoint m_BackoffUntil{}; ///< Asked of this instance alone.
  bool m_IsLeaving = false;         ///< Never unsaid.
};

} // namespace yardrill::routing

#endif
