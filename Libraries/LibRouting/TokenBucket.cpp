#include "LibRouting/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

TokenBucket::TokenBucket(const QuotaLimits &Limits, double Level,
                         core::TimePoint Now)
    : m_Limits(Limits), m_Level(std::min(Level, Limits.m_Burst)),
      m_RefilledAt(Now) {}

void TokenBucket::setLimits(const QuotaLimits &Limits, core::TimePoint Now) {
  refill(Now);
  m_Limits = Limits;
  m_Level = std::min(m_Level, Limits.m_Burst);
}

void TokenBucket::refill(core::TimePoint Now) {
  double Passed = core::toSeconds(Now - m_RefilledAt);
  m_RefilledAt = Now;
  m_Refused *= std::exp2(-Passed);
  m_Level =
      std::min(m_Limits.m_Burst, m_Level + Passed * m_Limits.m_TokensPerSecond);
}

bool TokenBucket::tryTake(double Tokens, core::TimePoint Now) {
  refill(Now);
  if (m_Level <= 0) {
    m_Refused += Tokens;
    return false;
  }
  m_Level -= Tokens;
  return true;
}

void TokenBucket::charge(double Tokens, core::TimePoint Now) {
  refill(Now);
  m_Level -= Tokens;
}

void TokenBucket::giveBack(double Tokens, core::TimePoint Now) {
  refill(Now);
  m_Level = std::min(m_Limits.m_Burst, m_Level + Tokens);
}

double TokenBucket::level(core::TimePoint Now) {
  refill(Now);
  return m_Level;
}

core::Duration TokenBucket::untilAvailable() const {
  if (m_Level > 0 || m_Limits.m_TokensPerSecond <= 0)
    return core::Duration::zero();
  double Seconds = (m_Refused - m_Level) / m_Limits.m_TokensPerSecond;
  return core::fromSeconds(Seconds);
}

} // namespace yardrill::routing
