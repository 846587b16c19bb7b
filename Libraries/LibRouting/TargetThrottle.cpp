#include "LibRouting/TargetThrottle.h"

#include <algorithm>
#include <utility>

namespace yardrill::routing {

bool TargetThrottle::update(const TargetBackpressure &Backpressure,
                            core::TimePoint Now) {
  // A later response does not shorten a longer back-off.
  if (Backpressure.m_Backoff)
    m_BackoffUntil = std::max(m_BackoffUntil, Now + *Backpressure.m_Backoff);
  bool IsChanged = Backpressure.m_IsLeaving && setLeaving();
  // Responses without usable information leave the limit as it is.
  if (!Backpressure.m_IsLimitUnreadable && !Backpressure.m_IsLimitUnspecified)
    IsChanged =
        m_Limit.apply({Backpressure.m_RequestsPerSecond, Now}) || IsChanged;
  return IsChanged;
}

bool TargetThrottle::setLeaving() { return !std::exchange(m_IsLeaving, true); }

std::optional<Availability> TargetThrottle::availability() const {
  auto At = m_Limit.availableAt();
  if (m_IsLeaving || !At)
    return std::nullopt;
  Availability Out;
  Out.m_At = std::max(*At, m_BackoffUntil);
  if (m_Limit.isLimited())
    Out.m_PerSecond = m_Limit.localPerSecond();
  return Out;
}

} // namespace yardrill::routing
