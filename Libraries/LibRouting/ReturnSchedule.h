//===-- ReturnSchedule.h - When refused callers should return -------------===//
//
// Callers honour a Retry-After and return once, to another instance. The
// gateway states it with a refusal for want of a slot.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_RETURNSCHEDULE_H
#define YARDRILL_LIBROUTING_RETURNSCHEDULE_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// A stream that was refused for want of a slot.
struct RefusedStream {
  core::TimePoint m_FirstByteDue{}; ///< Until when a first byte is in time.
  core::TimePoint m_EndsAt{};       ///< The caller's deadline.
  /// Time for which such a stream holds a slot; zero: unknown.
  core::Duration m_SlotTime{};
};

/// Decides when the caller of a refused stream should return.
///
/// Answers a shortage, in which each slot that a late stream gets is one that
/// another stream could have begun in time with. A caller that can still be
/// served within its objective therefore returns at once, since a slot of
/// another instance may be free. For one that can't, the latest time is best:
/// it takes a slot from others while the shortage lasts, and is likelier to be
/// served after it. Callers honour up to a third of the time that they have
/// left; a return is no later than that, nor than it can be completed.
class ReturnSchedule {
public:
  /// Returns the time after which the caller should return.
  /// \param Random uniformly distributed, 0 to 1; spreads callers that were
  /// refused together.
  static core::Duration delay(const RefusedStream &Refused, double Random,
                              core::TimePoint Now);
};

} // namespace yardrill::routing

#endif
