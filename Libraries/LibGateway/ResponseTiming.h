//===-- ResponseTiming.h - Times of one request and its response ----------===//
#ifndef YARDRILL_LIBGATEWAY_RESPONSETIMING_H
#define YARDRILL_LIBGATEWAY_RESPONSETIMING_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::gateway {

/// Cause of a late response.
enum class Lateness {
  None,
  Waited, ///< More than half of the time passed before the request was sent.
  Again,  ///< The request was sent to more than one target.
  Target, ///< The target responded late.
  Pause,  ///< The response began in time, then paused for too long.
};

/// Returns the cause's name as logs show it.
const char *toString(Lateness Cause);

/// Records the times of one request and its response, and finds the cause when
/// the response is late. Reads no clock; callers pass the time.
class ResponseTiming {
public:
  explicit ResponseTiming(core::TimePoint ArrivedAt) : m_ArrivedAt(ArrivedAt) {}

  /// Records that an attempt at a target begins.
  void noteAttempt(core::TimePoint Now);
  /// Records \p Count events that arrived together. \returns the time since the
  /// previous events of the attempt, divided by \p Count; none for its first
  /// events.
  std::optional<core::Duration> noteEvents(std::size_t Count,
                                           core::TimePoint Now);

  core::TimePoint arrivedAt() const { return m_ArrivedAt; }
  core::TimePoint attemptStartedAt() const { return m_AttemptStartedAt; }
  bool hasFirstEvent() const { return m_FirstEventAt.has_value(); }
  /// Whether the current attempt has produced an event.
  bool hasEventInAttempt() const { return m_LastEventAt.has_value(); }
  /// Time from the request's arrival to its first event.
  /// \pre hasFirstEvent().
  core::Duration timeToFirstEvent() const {
    return *m_FirstEventAt - m_ArrivedAt;
  }
  /// Longest time between events of the same attempt.
  core::Duration maxEventGap() const { return m_MaxEventGap; }
  unsigned attempts() const { return m_Attempts; }
  /// Number of events that the current attempt has produced.
  std::size_t eventsInAttempt() const { return m_EventsInAttempt; }

  /// Returns why a response that completes at \p Now is late, if it is.
  /// \param Objective longest time to the first event, or to the end of a
  /// response without events; zero: no limit.
  /// \param EventGapLimit longest time between events; zero: no limit.
  Lateness lateness(core::Duration Objective, core::Duration EventGapLimit,
                    core::TimePoint Now) const;

private:
  core::TimePoint m_ArrivedAt;
  core::TimePoint m_AttemptStartedAt{};
  std::optional<core::TimePoint> m_FirstEventAt;
  std::optional<core::TimePoint> m_LastEventAt; ///< In this attempt.
  core::Duration m_MaxEventGap{};
  unsigned m_Attempts = 0;
  std::size_t m_EventsInAttempt = 0;
};

} // namespace yardrill::gateway

#endif
