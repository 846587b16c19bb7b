#include "LibRouting/TargetAdmission.h"

namespace yardrill::routing {

bool TargetAdmission::take(const TargetTerms &Terms, core::TimePoint Now) {
  // What can't be read says nothing; what was named before still holds.
  if (Terms.m_IsLimitUnreadable)
    return false;
  return m_Limit.hear({Terms.m_RequestsPerSecond, Now});
}

} // namespace yardrill::routing
