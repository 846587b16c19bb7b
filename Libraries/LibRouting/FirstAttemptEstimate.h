//===-- FirstAttemptEstimate.h - Tells returned callers from new ones -----===//
//
// A refused caller returns as a new request, at another instance. Only the
// deadline that it states is shorter by the time that has passed.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_FIRSTATTEMPTESTIMATE_H
#define YARDRILL_LIBROUTING_FIRSTATTEMPTESTIMATE_H

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <unordered_map>

namespace yardrill::routing {

/// Learns by route the deadline that first attempts state: the longest one that
/// many callers state alike. Returned callers state scattered times, so that
/// they are not learned from; a route whose callers state scattered times
/// anyway has no estimate, and no request of it counts as returned.
class FirstAttemptEstimate {
public:
  /// Records the deadline of a request, relative to its arrival, and returns
  /// the time since the first attempt of its caller; zero if this is the first.
  /// A time that no refusal explains counts as none: some callers have shorter
  /// deadlines than others.
  /// \param Route Route::m_Hash.
  core::Duration recordArrival(std::uint32_t Route, core::Duration Deadline,
                               core::Duration Objective, core::TimePoint Now);

private:
  /// Requests by their deadline, in steps of DeadlineStep.
  struct Window {
    std::map<std::int64_t, std::uint32_t> m_Counts;
    std::uint32_t m_Total = 0;
  };
  struct RouteDeadlines {
    Window m_Current;
    Window m_Previous;
    core::TimePoint m_CurrentSince{};
  };

  static std::int64_t mostCommonLongest(const RouteDeadlines &Known);

  std::unordered_map<std::uint32_t, RouteDeadlines> m_Routes;
};

} // namespace yardrill::routing

#endif
