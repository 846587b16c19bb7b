//===-- RetryBudget.h - Limits retries to a share of the requests ---------===//
#ifndef YARDRILL_LIBROUTING_RETRYBUDGET_H
#define YARDRILL_LIBROUTING_RETRYBUDGET_H

#include "LibCore/Time.h"

#include <cstddef>
#include <deque>

namespace yardrill::routing {

/// Limits of the retries for one pool.
struct RetryLimits {
  double m_Ratio = 0;        ///< Retries per request in the window.
  core::Duration m_Window{}; ///< Length of the sliding window.
  /// Retries per window beyond the ratio, for all instances together.
  double m_Allowance = 0;
};

/// Limits one instance's retries for one pool to a share of its own requests.
/// Every instance does the same, so the ratio also holds for the fleet without
/// any coordination.
class RetryBudget {
public:
  /// \param Since start of this process; by default long ago.
  explicit RetryBudget(const RetryLimits &Limits, core::TimePoint Since = {})
      : m_Limits(Limits), m_Since(Since) {}

  void recordRequest(core::TimePoint Now);
  /// Changes the limits; requests and retries counted so far remain.
  void setLimits(const RetryLimits &Limits) { m_Limits = Limits; }
  /// Counts a retry if the budget allows one more. \returns whether it does.
  /// \param Instances number of instances that share the allowance, including
  /// this one; not 0.
  bool tryTake(core::TimePoint Now, std::size_t Instances);

private:
  /// Drops requests and retries from before the window.
  void dropExpired(core::TimePoint Now);

  /// Returns this instance's current share of the allowance.
  double ownAllowance(core::TimePoint Now, std::size_t Instances) const;

  RetryLimits m_Limits;
  core::TimePoint m_Since;
  std::deque<core::TimePoint> m_Requests;
  std::deque<core::TimePoint> m_Retries;
};

} // namespace yardrill::routing

#endif
