#include "LibGateway/AnswerTimes.h"

#include <algorithm>

namespace yardrill::gateway {

const char *toString(Lateness What) {
  switch (What) {
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

void AnswerTimes::noteTry(core::TimePoint Now) {
  m_TryStartedAt = Now;
  m_LastEventAt.reset();
  m_EventsOfTry = 0;
  ++m_Tries;
}

std::optional<core::Duration> AnswerTimes::noteEvents(std::size_t Count,
                                                      core::TimePoint Now) {
  std::optional<core::Duration> Pause;
  if (!m_FirstEventAt)
    m_FirstEventAt = Now;
  if (m_LastEventAt) {
    m_MaxEventGap = std::max(m_MaxEventGap, Now - *m_LastEventAt);
    Pause = (Now - *m_LastEventAt) / static_cast<long>(Count);
  }
  m_LastEventAt = Now;
  m_EventsOfTry += Count;
  return Pause;
}

Lateness AnswerTimes::lateness(core::Duration Objective,
                               core::Duration PauseLimit,
                               core::TimePoint Now) const {
  core::Duration Took = m_FirstEventAt.value_or(Now) - m_ArrivedAt;
  if (Objective > core::Duration::zero() && Took > Objective) {
    if (m_Tries > 1)
      return Lateness::Again;
    return (m_TryStartedAt - m_ArrivedAt) * 2 > Took ? Lateness::Waited
                                                     : Lateness::Target;
  }
  bool IsPaused =
      PauseLimit > core::Duration::zero() && m_MaxEventGap > PauseLimit;
  return IsPaused ? Lateness::Pause : Lateness::None;
}

} // namespace yardrill::gateway
