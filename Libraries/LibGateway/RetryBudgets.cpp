#include "LibGateway/RetryBudgets.h"

namespace yardrill::gateway {

/// Part of the retry allowance that is spent: twice as many instances as are
/// visible may be active, and a restarted one may have spent its part before.
static constexpr double UsableShare = 0.5;

static routing::RetryLimits usableLimits(routing::RetryLimits Limits) {
  Limits.m_Allowance *= UsableShare;
  return Limits;
}

RetryBudgets::RetryBudgets(const routing::RetryLimits &Limits,
                           core::TimePoint Since)
    : m_Limits(usableLimits(Limits)), m_Since(Since) {}

routing::RetryBudget &RetryBudgets::budgetOf(const core::PoolName &Pool) {
  return m_Budgets.try_emplace(Pool, m_Limits, m_Since).first->second;
}

void RetryBudgets::setLimits(const routing::RetryLimits &Limits) {
  m_Limits = usableLimits(Limits);
  for (auto &[Pool, Budget] : m_Budgets)
    Budget.setLimits(m_Limits);
}

} // namespace yardrill::gateway
