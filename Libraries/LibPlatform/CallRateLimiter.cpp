#include "LibPlatform/CallRateLimiter.h"

#include <algorithm>

namespace yardrill::platform {

static const double ControlReserveShare = 0.25;

CallRateLimiter::CallRateLimiter(double CallsPerSecond, double Burst)
    : m_CallsPerSecond(CallsPerSecond), m_Burst(Burst), m_Tokens(Burst) {}

bool CallRateLimiter::tryAcquire(CallClass Class, core::TimePoint Now) {
  if (m_RefilledAt != core::TimePoint())
    m_Tokens += core::toSeconds(Now - m_RefilledAt) * m_CallsPerSecond;
  m_RefilledAt = Now;
  m_Tokens = std::min(m_Tokens, m_Burst);
  double Reserve =
      Class == CallClass::Claim ? m_Burst * ControlReserveShare : 0;
  if (m_Tokens < 1 + Reserve)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace yardrill::platform
