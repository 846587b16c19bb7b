//===-- RetryBudgets.h - Retry budgets of all pools -----------------------===//
#ifndef YARDRILL_LIBGATEWAY_RETRYBUDGETS_H
#define YARDRILL_LIBGATEWAY_RETRYBUDGETS_H

#include "LibCore/StrongType.h"
#include "LibRouting/RetryBudget.h"

#include <unordered_map>

namespace yardrill::gateway {

/// Limits this instance's retries for each pool, so that all instances together
/// keep within the configured limits.
class RetryBudgets {
public:
  /// \param Limits for all instances together.
  /// \param Since time from which on this instance's retries are known; an
  /// earlier process may have sent some before.
  RetryBudgets(const routing::RetryLimits &Limits, core::TimePoint Since);

  /// Returns the pool's budget, created on first use.
  routing::RetryBudget &budgetOf(const core::PoolName &Pool);
  /// Replaces the limits; retries counted so far stay counted.
  void setLimits(const routing::RetryLimits &Limits);

private:
  routing::RetryLimits m_Limits; ///< For one pool; see usableLimits().
  core::TimePoint m_Since;
  std::unordered_map<core::PoolName, routing::RetryBudget> m_Budgets;
};

} // namespace yardrill::gateway

#endif
