#include "LibRouting/UsualDeadline.h"

namespace yardrill::routing {

/// Bounds what a new majority has to outvote after a change.
static constexpr unsigned MostLead = 50;
/// With less, the candidate is not trusted.
static constexpr unsigned LeastLead = 8;

void UsualDeadline::vote(core::Duration Deadline) {
  if (m_Lead == 0)
    m_Candidate = Deadline;
  if (Deadline != m_Candidate)
    --m_Lead;
  else if (m_Lead < MostLead)
    ++m_Lead;
}

core::Duration UsualDeadline::note(core::Duration Deadline) {
  vote(Deadline);
  if (m_Lead < LeastLead || Deadline >= m_Candidate)
    return core::Duration::zero();
  return m_Candidate - Deadline;
}

} // namespace yardrill::routing
