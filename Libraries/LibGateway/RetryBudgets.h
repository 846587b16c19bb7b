//===-- RetryBudgets.h - The retry budgets of all pools -------------------===//
#ifndef YARDRILL_LIBGATEWAY_RETRYBUDGETS_H
#define YARDRILL_LIBGATEWAY_RETRYBUDGETS_H

#include "LibCore/StrongType.h"
#include "LibRouting/RetryBudget.h"

#include <unordered_map>

namespace yardrill::gateway {

/// This instance's part of what all instances may send again.
class RetryBudgets {
public:
  /// \param Limits of all instances together.
  /// \param Since from when on this instance has spent nothing.
  RetryBudgets(const routing::RetryLimits &Limits, core::TimePoint Since);

  routing::RetryBudget &of(const core::PoolName &Pool);
  void setLimits(const routing::RetryLimits &Limits);

private:
  routing::RetryLimits m_Limits; ///< Of each pool, as they are used.
  core::TimePoint m_Since;
  std::unordered_map<core::PoolName, routing::RetryBudget> m_Budgets;
};

} // namespace yardrill::gateway

#endif
