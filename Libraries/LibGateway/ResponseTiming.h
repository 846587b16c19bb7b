//===-- ResponseTiming.h - When one request arrived, went on and came back
//---===//
#ifndef YARDRILL_LIBGATEWAY_RESPONSETIMING_H
#define YARDRILL_LIBGATEWAY_RESPONSETIMING_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::gateway {

/// Where an answer lost the time that made it late.
enum class Lateness {
  None,
  Waited, ///< Half of the time to its first byte or more, for a place.
  Again,  ///< It was sent to more than one target.
  Target, ///< The target answered late.
  Pause,  ///< It came in time, and then stood still for too long.
};

const char *toString(Lateness What);

/// Pure. Times of one request and its answer.
class ResponseTiming {
public:
  explicit ResponseTiming(core::TimePoint ArrivedAt) : m_ArrivedAt(ArrivedAt) {}

  void noteAttempt(core::TimePoint Now);
  /// So many events came at once. \returns the time since the last ones at the
  /// same target, for each of these; not set for the first.
  std::optional<core::Duration> noteEvents(std::size_t Count,
                                           core::TimePoint Now);

  core::TimePoint arrivedAt() const { return m_ArrivedAt; }
  core::TimePoint attemptStartedAt() const { return m_AttemptStartedAt; }
  bool hasFirstEvent() const { return m_FirstEventAt.has_value(); }
  /// Whether the current try has brought an event.
  bool hasEventInAttempt() const { return m_LastEventAt.has_value(); }
  /// Time to the first event. \pre hasFirstEvent().
  core::Duration timeToFirstEvent() const {
    return *m_FirstEventAt - m_ArrivedAt;
  }
  /// Between events at one target.
  core::Duration maxEventGap() const { return m_MaxEventGap; }
  unsigned attempts() const { return m_Attempts; }
  /// That the current try has brought.
  std::size_t eventsInAttempt() const { return m_EventsInAttempt; }

  /// Of an answer that is complete at \p Now. A limit of zero is none.
  Lateness lateness(core::Duration Objective, core::Duration EventGapLimit,
                    core::TimePoint Now) const;

private:
  core::TimePoint m_ArrivedAt;
  core::TimePoint m_AttemptStartedAt{};
  std::optional<core::TimePoint> m_FirstEventAt;
  std::optional<core::TimePoint> m_LastEventAt; ///< Of the current try.
  core::Duration m_MaxEventGap{};
  unsigned m_Attempts = 0;
  std::size_t m_EventsInAttempt = 0;
};

} // namespace yardrill::gateway

#endif
