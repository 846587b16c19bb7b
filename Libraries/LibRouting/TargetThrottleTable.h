//===-- TargetThrottleTable.h - What all targets have said of themselves
//--------===//
//
// By runs, and apart from TargetDirectory: an announcement that lapses and
// comes back, or is older than an answer, changes nothing here. Empty while no
// target states terms; then each question costs one comparison.
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

/// What other instances should know of one run.
struct BackpressureReport {
  TargetIncarnation m_Incarnation;
  RateLimitUpdate m_Limit;
  bool m_IsLeaving = false;
};

class TargetThrottleTable {
public:
  /// \returns how many senders a limited target has; 0: this instance is none
  /// of them.
  using CountSenders = std::function<std::size_t(const TargetIncarnation &)>;

  explicit TargetThrottleTable(CountSenders Counter)
      : m_CountSenders(std::move(Counter)) {}

  /// Takes in the terms of an answer to this instance. \returns whether other
  /// instances should hear of it.
  bool update(const TargetIncarnation &Incarnation,
              const TargetBackpressure &Backpressure, core::TimePoint Now);
  /// Takes in what another instance knows. \returns whether it is news.
  bool update(const BackpressureReport &Report, core::TimePoint Now);
  /// The senders may be others now.
  void invalidateSenders() { ++m_Generation; }

  /// Whether a request may be sent to the run now.
  bool isOpen(const TargetIncarnation &Incarnation, core::TimePoint Now);
  /// From when one may be sent; none: not by this instance.
  std::optional<Availability> availability(const TargetIncarnation &Incarnation,
                                           core::TimePoint Now);
  /// Takes note of a request that is sent now.
  void recordSent(const TargetIncarnation &Incarnation, core::TimePoint Now);

  /// Whether the run has said that it ends soon.
  bool isLeaving(const TargetIncarnation &Incarnation) const;

  /// What this instance should go on telling the others: limits that it is a
  /// sender of, and what it was the first to hear.
  std::vector<BackpressureReport> dueReports(core::TimePoint Now) const;
  BackpressureReport reportOf(const TargetIncarnation &Incarnation) const;
  /// Whether this instance may send to a limited target.
  bool isSender(const TargetIncarnation &Incarnation) const;
  /// Forgets what nothing was heard of for long.
  void removeStale(core::TimePoint Now);
  /// Targets with a limit.
  std::size_t limited() const;
  /// Targets that want nothing from this instance for a while.
  std::size_t backedOff(core::TimePoint Now) const;
  bool isEmpty() const { return m_Throttles.empty(); }

private:
  struct Entry {
    TargetThrottle m_Throttle;
    std::size_t m_Generation = 0;  ///< In which its senders were worked out.
    core::TimePoint m_UpdatedAt{}; ///< From the target or another instance.
    core::TimePoint m_ChangedAt{};
    core::TimePoint m_ReportUntil{}; ///< What this instance heard first.
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
  std::size_t m_Generation = 1; ///< Of all senders; see invalidateSenders().
};

} // namespace yardrill::routing

#endif
