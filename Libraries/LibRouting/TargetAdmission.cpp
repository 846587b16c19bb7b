#include "LibRouting/TargetAdmission.h"

#include <algorithm>
#include <utility>

namespace yardrill::routing {

bool TargetAdmission::take(const TargetTerms &Terms, core::TimePoint Now) {
  // A longer rest is not shortened by what a later answer asks for.
  if (Terms.m_Rest)
    m_RestsUntil = std::max(m_RestsUntil, Now + *Terms.m_Rest);
  bool IsNews = Terms.m_IsLeaving && noteLeaving();
  // What says nothing of a limit leaves the one that was named.
  if (!Terms.m_IsLimitUnreadable && !Terms.m_IsLimitUnsaid)
    IsNews = m_Limit.hear({Terms.m_RequestsPerSecond, Now}) || IsNews;
  return IsNews;
}

bool TargetAdmission::noteLeaving() {
  return !std::exchange(m_IsLeaving, true);
}

std::optional<Opening> TargetAdmission::opening() const {
  auto At = m_Limit.opensAt();
  if (m_IsLeaving || !At)
    return std::nullopt;
  Opening Out;
  Out.m_At = std::max(*At, m_RestsUntil);
  if (m_Limit.isNamed())
    Out.m_PerSecond = m_Limit.ownPerSecond();
  return Out;
}

} // namespace yardrill::routing
