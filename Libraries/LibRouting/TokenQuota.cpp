#include "LibRouting/TokenQuota.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Of its share of the burst, in a process that starts among others.
static constexpr double FirstPart = 0.5;

TokenQuota::TokenQuota(const QuotaLimits &Limits, bool IsFull,
                       core::TimePoint Now)
    : m_Limits(Limits), m_IsNew(!IsFull), m_Level(IsFull ? Limits.m_Burst : 0),
      m_RefilledAt(Now) {}

void TokenQuota::setLimits(const QuotaLimits &Limits, core::TimePoint Now) {
  refill(1, Now);
  m_Limits = Limits;
  m_Level = std::min(m_Level, Limits.m_Burst);
}

void TokenQuota::refill(double Share, core::TimePoint Now) {
  double Passed = core::toSeconds(Now - m_RefilledAt);
  m_RefilledAt = Now;
  if (m_IsNew)
    m_Level = std::max(m_Level, FirstPart * Share * m_Limits.m_Burst);
  m_IsNew = false;
  m_Refused *= std::exp2(-Passed);
  m_Level = std::min(Share * m_Limits.m_Burst,
                     m_Level + Passed * Share * m_Limits.m_TokensPerSecond);
}

bool TokenQuota::tryTake(double Tokens, double Share, core::TimePoint Now) {
  refill(Share, Now);
  // One request may be larger than what is left, or than the whole burst; the
  // debt is paid before the next.
  if (m_Level <= 0) {
    m_Refused += Tokens;
    return false;
  }
  m_Level -= Tokens;
  return true;
}

core::Duration TokenQuota::untilAvailable() const {
  if (m_Level > 0 || m_Limits.m_TokensPerSecond <= 0)
    return core::Duration::zero();
  double Seconds = (m_Refused - m_Level) / m_Limits.m_TokensPerSecond;
  return core::fromSeconds(Seconds);
}

} // namespace yardrill::routing
