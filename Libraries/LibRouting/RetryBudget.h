//===-- RetryBudget.h - How many requests may go to a second target -------===//
#ifndef YARDRILL_LIBROUTING_RETRYBUDGET_H
#define YARDRILL_LIBROUTING_RETRYBUDGET_H

#include "LibCore/Time.h"

#include <cstddef>
#include <deque>

namespace yardrill::routing {

struct RetryLimits {
  double m_Ratio = 0;        ///< Retries for each request of the window.
  core::Duration m_Window{}; ///< Sliding.
  /// Retries beyond the ratio, a window; all instances together.
  double m_Allowance = 0;
};

/// Keeps one instance's retries for one pool below a share of its own
/// requests. Since every instance does, the sum over all stays below too,
/// without a message between them.
class RetryBudget {
public:
  /// \param Since this process has been at work; by default for long.
  explicit RetryBudget(const RetryLimits &Limits, core::TimePoint Since = {})
      : m_Limits(Limits), m_Since(Since) {}

  void recordRequest(core::TimePoint Now);
  /// What was counted so far stays counted.
  void setLimits(const RetryLimits &Limits) { m_Limits = Limits; }
  /// \param Instances that may be spending the allowance, this one included;
  /// not 0.
  /// \returns true and counts the retry, if one more is within the budget.
  bool tryTake(core::TimePoint Now, std::size_t Instances);

private:
  void dropExpired(core::TimePoint Now);

  /// The part of the allowance that this instance may spend now.
  double ownAllowance(core::TimePoint Now, std::size_t Instances) const;

  RetryLimits m_Limits;
  core::TimePoint m_Since;
  std::deque<core::TimePoint> m_Requests;
  std::deque<core::TimePoint> m_Retries;
};

} // namespace yardrill::routing

#endif
