#include "LibRouting/SlotQuestionRate.h"

namespace yardrill::routing {

/// Weight of the newest outcome in the granted share. A single grant restores
/// most of the rate, and about fifteen questions without one end it.
static constexpr double OutcomeWeight = 0.2;
/// Granted share from which each request asks: a question costs four
/// datagrams, so that one slot for four questions is still cheap.
static constexpr double FullRateShare = 0.25;

bool SlotQuestionRate::tryAsk(double Draw, core::TimePoint Now) {
  bool IsProbeDue = !m_LastAskedAt || Now - *m_LastAskedAt >= ProbePeriod;
  if (!IsProbeDue && Draw * FullRateShare >= m_GrantedShare)
    return false;
  m_LastAskedAt = Now;
  return true;
}

void SlotQuestionRate::record(bool IsGranted) {
  m_GrantedShare += OutcomeWeight * ((IsGranted ? 1 : 0) - m_GrantedShare);
}

} // namespace yardrill::routing
