#include "LibRouting/RetryBudget.h"

#include <cassert>

namespace yardrill::routing {

static void dropBefore(std::deque<core::TimePoint> &Times,
                       core::TimePoint First) {
  while (!Times.empty() && Times.front() < First)
    Times.pop_front();
}

void RetryBudget::forgetOld(core::TimePoint Now) {
  dropBefore(m_Requests, Now - m_Limits.m_Window);
  dropBefore(m_Retries, Now - m_Limits.m_Window);
}

void RetryBudget::noteRequest(core::TimePoint Now) {
  forgetOld(Now);
  m_Requests.push_back(Now);
}

bool RetryBudget::tryTake(core::TimePoint Now, std::size_t Instances) {
  assert(Instances > 0);
  forgetOld(Now);
  double Allowed = m_Limits.m_Ratio * static_cast<double>(m_Requests.size()) +
                   m_Limits.m_Allowance / static_cast<double>(Instances);
  if (static_cast<double>(m_Retries.size()) + 1 > Allowed)
    return false;
  m_Retries.push_back(Now);
  return true;
}

} // namespace yardrill::routing
