#include "LibRouting/RetryBudget.h"

#include <algorithm>
#include <cassert>

namespace yardrill::routing {

static void dropBefore(std::deque<core::TimePoint> &Times,
                       core::TimePoint First) {
  while (!Times.empty() && Times.front() < First)
    Times.pop_front();
}

void RetryBudget::dropExpired(core::TimePoint Now) {
  dropBefore(m_Requests, Now - m_Limits.m_Window);
  dropBefore(m_Retries, Now - m_Limits.m_Window);
}

void RetryBudget::recordRequest(core::TimePoint Now) {
  dropExpired(Now);
  m_Requests.push_back(Now);
}

double RetryBudget::ownAllowance(core::TimePoint Now,
                                 std::size_t Instances) const {
  double Share = m_Limits.m_Allowance / static_cast<double>(Instances);
  // Retries before a restart are unknown. If each process started with the full
  // share, a fleet that restarts repeatedly would spend it each time. The share
  // grows with the uptime instead, so that all restarts within a window
  // together spend no more than one share.
  double Uptime =
      core::toSeconds(Now - m_Since) / core::toSeconds(m_Limits.m_Window);
  return Share * std::min(1.0, Uptime);
}

bool RetryBudget::tryTake(core::TimePoint Now, std::size_t Instances) {
  assert(Instances > 0);
  dropExpired(Now);
  double Allowed = m_Limits.m_Ratio * static_cast<double>(m_Requests.size()) +
                   ownAllowance(Now, Instances);
  if (static_cast<double>(m_Retries.size()) + 1 > Allowed)
    return false;
  m_Retries.push_back(Now);
  return true;
}

} // namespace yardrill::routing
