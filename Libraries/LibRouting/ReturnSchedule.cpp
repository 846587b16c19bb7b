#include "LibRouting/ReturnSchedule.h"

#include <algorithm>

namespace yardrill::routing {

/// Shortest Retry-After. Callers that return sooner meet the same queue.
static constexpr std::chrono::milliseconds MinDelay{150};
/// Spread of returns that are to be in time.
static constexpr std::chrono::milliseconds InTimeSpread{100};
/// Time that a stream needs to begin, at least, with the caller's way back.
static constexpr std::chrono::milliseconds MinTimeToBegin{200};
/// Part of the remaining time up to which callers honour a Retry-After.
static constexpr int HonouredParts = 3;
/// Spread of late returns, by their delay.
static constexpr double LateSpread = 0.2;

static core::Duration scaled(core::Duration Time, double Factor) {
  return std::chrono::duration_cast<core::Duration>(Time * Factor);
}

core::Duration ReturnSchedule::delay(const RefusedStream &Refused,
                                     double Random, core::TimePoint Now) {
  core::Duration TimeLeft = Refused.m_EndsAt - Now;
  core::Duration MaxDelay =
      std::min(TimeLeft / HonouredParts, TimeLeft - Refused.m_SlotTime);
  core::Duration Soon = MinDelay + scaled(InTimeSpread, Random);
  if (Now + Soon + MinTimeToBegin <= Refused.m_FirstByteDue)
    return std::max<core::Duration>(MinDelay, std::min(Soon, MaxDelay));
  return std::max<core::Duration>(MinDelay,
                                  scaled(MaxDelay, 1 - LateSpread * Random));
}

} // namespace yardrill::routing
