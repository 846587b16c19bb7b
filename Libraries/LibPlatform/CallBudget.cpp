#include "LibPlatform/CallBudget.h"

#include <algorithm>

namespace yardrill::platform {

static const double PartKeptForControl = 0.25;

CallBudget::CallBudget(double CallsPerSecond, double Burst)
    : m_CallsPerSecond(CallsPerSecond), m_Burst(Burst), m_Tokens(Burst) {}

bool CallBudget::take(CallClass Class, core::TimePoint Now) {
  if (m_LastAt != core::TimePoint())
    m_Tokens += core::toSeconds(Now - m_LastAt) * m_CallsPerSecond;
  m_LastAt = Now;
  m_Tokens = std::min(m_Tokens, m_Burst);
  double Kept = Class == CallClass::Claim ? m_Burst * PartKeptForControl : 0;
  if (m_Tokens < 1 + Kept)
    return false;
  m_Tokens -= 1;
  return true;
}

} // namespace yardrill::platform
