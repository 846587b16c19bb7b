//===-- TargetThrottleTable.h - Throttles of all targets ------------------===//
//
// Keyed by incarnation and independent of announcements: one that expires and
// returns, or that is older than a response, changes no throttle. The table is
// empty while no target states backpressure; then each query costs one
// comparison.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETTHROTTLETABLE_H
#define YARDRILL_LIBROUTING_TARGETTHROTTLETABLE_H

#include "LibRouting/Target.h"
#include "LibRouting/TargetThrottle.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace yardrill::routing {

/// Whether a target's stated limit lets this instance send a request now.
enum class LimitedTurn {
  None,    ///< The target has stated no limit, or it allows no request now.
  Due,     ///< The limit allows a request now.
  Overdue, ///< It has allowed one for so long that the target must be probed.
};

/// Backpressure of one incarnation, as reported between instances.
struct BackpressureReport {
  TargetIncarnation m_Incarnation;
  RateLimitUpdate m_Limit;
  bool m_IsLeaving = false;
};

/// Applies backpressure from responses and from other instances to throttles,
/// and selects what to report to other instances.
class TargetThrottleTable {
public:
  /// Returns the number of senders of a limited target, or 0 if this instance
  /// is not one of them.
  using CountSenders = std::function<std::size_t(const TargetIncarnation &)>;

  explicit TargetThrottleTable(CountSenders Counter)
      : m_CountSenders(std::move(Counter)) {}

  /// Applies the backpressure of a response to this instance. \returns whether
  /// it has to be reported to other instances.
  bool update(const TargetIncarnation &Incarnation,
              const TargetBackpressure &Backpressure, core::TimePoint Now);
  /// Applies a report of another instance. \returns whether it changed
  /// anything.
  bool update(const BackpressureReport &Report, core::TimePoint Now);
  /// Limits an incarnation while it warms up; none: it is warm. Every instance
  /// learns of a warm-up from the announcements, so it is not reported.
  void setWarmUp(const TargetIncarnation &Incarnation,
                 std::optional<WarmUp> Limit, core::TimePoint Now);
  /// Causes all senders to be counted again on the next access.
  void invalidateSenders() { ++m_Generation; }

  /// Whether a request may be sent to the incarnation now.
  bool acceptsRequests(const TargetIncarnation &Incarnation,
                       core::TimePoint Now);
  /// Returns when the next request may be sent; none if this instance may not
  /// send any.
  std::optional<Availability> availability(const TargetIncarnation &Incarnation,
                                           core::TimePoint Now);
  LimitedTurn turnOf(const TargetIncarnation &Incarnation, core::TimePoint Now);
  /// Counts a request that is sent now against the limit.
  void recordSent(const TargetIncarnation &Incarnation, core::TimePoint Now);

  /// Whether the incarnation has stated that it exits soon.
  bool isLeaving(const TargetIncarnation &Incarnation) const;

  /// Returns the reports to repeat to other instances: current and recently
  /// cleared limits of which this instance is a sender, and recent changes that
  /// it received from a target.
  std::vector<BackpressureReport> dueReports(core::TimePoint Now) const;
  BackpressureReport reportOf(const TargetIncarnation &Incarnation) const;
  /// Whether this instance may send to a limited target.
  bool isSender(const TargetIncarnation &Incarnation) const;
  /// Removes entries that have not been updated for long.
  void removeStale(core::TimePoint Now);
  /// Returns the number of targets with a stated limit.
  std::size_t limited() const;
  /// Returns the number of targets that warm up.
  std::size_t warmingUp() const;
  /// Returns the number of targets that have asked this instance to back off.
  std::size_t backedOff(core::TimePoint Now) const;
  bool isEmpty() const { return m_Throttles.empty(); }

private:
  struct Entry {
    TargetThrottle m_Throttle;
    std::size_t m_Generation = 0;  ///< Generation of its sender count.
    core::TimePoint m_UpdatedAt{}; ///< Last response or report.
    core::TimePoint m_ChangedAt{};
    core::TimePoint m_ReportUntil{}; ///< End of repeated reports.
  };

  Entry *find(const TargetIncarnation &Incarnation, core::TimePoint Now);
  Entry &findOrCreate(const TargetIncarnation &Incarnation,
                      core::TimePoint Now);
  void updateSenders(const TargetIncarnation &Incarnation, Entry &State,
                     core::TimePoint Now);
  void recordChange(const TargetIncarnation &Incarnation, Entry &State,
                    core::TimePoint Now);
  static bool isStale(const Entry &State, core::TimePoint Now);

  CountSenders m_CountSenders;
  std::map<TargetIncarnation, Entry> m_Throttles;
  std::size_t m_Generation = 1; ///< Incremented by invalidateSenders().
};

} // namespace yardrill::routing

#endif
