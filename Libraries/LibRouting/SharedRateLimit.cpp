#include "LibRouting/SharedRateLimit.h"

#include <algorithm>

namespace yardrill::routing {

/// Time after an update with a limit during which a response without one does
/// not clear the limit, because the target may have made it earlier.
static constexpr std::chrono::seconds ReorderTime{1};

bool SharedRateLimit::apply(const RateLimitUpdate &Update) {
  if (Update.m_At < m_Update.m_At)
    return false;
  if (!Update.m_PerSecond && isStated() &&
      Update.m_At - m_Update.m_At < ReorderTime)
    return false;
  bool IsChanged = m_Update.m_PerSecond != Update.m_PerSecond;
  m_Update = Update;
  return IsChanged;
}

void SharedRateLimit::setSenders(std::size_t Senders, core::TimePoint Now) {
  if (m_Senders == 0 && Senders != 0 && m_LastAt <= Now) {
    m_LastAt = Now;
    m_BucketLevel = 1 + Tolerance;
  }
  m_Senders = Senders;
}

void SharedRateLimit::expireWarmUp(core::TimePoint Now) {
  if (m_WarmUp && m_WarmUp->m_Until <= Now)
    m_WarmUp.reset();
}

double SharedRateLimit::perSecond() const {
  if (!isStated())
    return m_WarmUp->m_PerSecond;
  double Stated = std::max(*m_Update.m_PerSecond, MinPerSecond);
  return m_WarmUp ? std::min(Stated, m_WarmUp->m_PerSecond) : Stated;
}

double SharedRateLimit::intervalSeconds() const {
  return static_cast<double>(m_Senders) / perSecond();
}

bool SharedRateLimit::isProbeDue(core::TimePoint Now) const {
  return isStated() && isSender() &&
         core::toSeconds(Now - m_LastAt) * MinPerSecond >=
             static_cast<double>(m_Senders);
}

void SharedRateLimit::recordSent(core::TimePoint Now) {
  if (!isLimited() || !isSender())
    return;
  double Passed = core::toSeconds(Now - m_LastAt) / intervalSeconds();
  m_BucketLevel = std::max(0.0, m_BucketLevel - Passed) + 1;
  m_LastAt = Now;
}

std::optional<core::TimePoint> SharedRateLimit::availableAt() const {
  if (!isLimited())
    return core::TimePoint();
  if (!isSender())
    return std::nullopt;
  return m_LastAt +
         core::fromSeconds((m_BucketLevel - Tolerance) * intervalSeconds());
}

} // namespace yardrill::routing
