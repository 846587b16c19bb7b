#include "LibGateway/ResponseTiming.h"

#include <algorithm>

namespace yardrill::gateway {

const char *toString(Lateness Cause) {
  switch (Cause) {
  case Lateness::None:
    return "no";
  case Lateness::Waited:
    return "waited";
  case Lateness::Again:
    return "again";
  case Lateness::Target:
    return "target";
  case Lateness::Pause:
    return "pause";
  }
  return "unknown";
}

void ResponseTiming::noteAttempt(core::TimePoint Now) {
  m_AttemptStartedAt = Now;
  m_LastEventAt.reset();
  m_EventsInAttempt = 0;
  ++m_Attempts;
}

std::optional<core::Duration> ResponseTiming::noteEvents(std::size_t Count,
                                                         core::TimePoint Now) {
  std::optional<core::Duration> TimePerEvent;
  if (!m_FirstEventAt)
    m_FirstEventAt = Now;
  if (m_LastEventAt) {
    m_MaxEventGap = std::max(m_MaxEventGap, Now - *m_LastEventAt);
    TimePerEvent = (Now - *m_LastEventAt) / static_cast<long>(Count);
  }
  m_LastEventAt = Now;
  m_EventsInAttempt += Count;
  return TimePerEvent;
}

Lateness ResponseTiming::lateness(core::Duration Objective,
                                  core::Duration EventGapLimit,
                                  core::TimePoint Now) const {
  core::Duration ResponseTime = m_FirstEventAt.value_or(Now) - m_ArrivedAt;
  if (Objective > core::Duration::zero() && ResponseTime > Objective) {
    if (m_Attempts > 1)
      return Lateness::Again;
    return (m_AttemptStartedAt - m_ArrivedAt) * 2 > ResponseTime
               ? Lateness::Waited
               : Lateness::Target;
  }
  bool HasLongGap =
      EventGapLimit > core::Duration::zero() && m_MaxEventGap > EventGapLimit;
  return HasLongGap ? Lateness::Pause : Lateness::None;
}

} // namespace yardrill::gateway
