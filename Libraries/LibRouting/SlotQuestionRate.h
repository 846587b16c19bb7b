//===-- SlotQuestionRate.h - How often to ask other groups for slots ------===//
#ifndef YARDRILL_LIBROUTING_SLOTQUESTIONRATE_H
#define YARDRILL_LIBROUTING_SLOTQUESTIONRATE_H

#include "LibCore/Time.h"

#include <optional>

namespace yardrill::routing {

/// Decides which requests of one pool that wait for a slot ask other groups.
///
/// Answers two loads: a shortage in this group alone, where each question
/// should be asked, and one in all groups, where questions cost messages and
/// get nothing. It tells them apart by the share of earlier questions that got
/// a slot. While that share is small, a question is asked once in a probe
/// period, which bounds both the cost of a shortage everywhere and the time
/// until its end is noticed.
class SlotQuestionRate {
public:
  /// Time between questions while hardly any gets a slot: a fraction of the
  /// time that callers accept to wait.
  static constexpr std::chrono::milliseconds ProbePeriod{500};

  /// Whether to ask now; if so, the question counts as asked.
  /// \param Draw random number, uniform in [0, 1).
  bool tryAsk(double Draw, core::TimePoint Now);
  /// Records the outcome of a question.
  void record(bool IsGranted);

private:
  /// Moving average of the outcomes: 1 for a slot, 0 for none.
  double m_GrantedShare = 1;
  std::optional<core::TimePoint> m_LastAskedAt;
};

} // namespace yardrill::routing

#endif
