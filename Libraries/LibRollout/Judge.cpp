#include "LibRollout/Judge.h"

#include "LibRollout/Comparison.h"

namespace yardrill::rollout {

/// Recent spans that are evaluated beside the entire time. A version that turns
/// bad late shows in them first.
static constexpr std::chrono::milliseconds Spans[] = {
    std::chrono::milliseconds(1500), std::chrono::milliseconds(4000)};

static ResponseCountsByKey difference(const ResponseCountsByKey &Now,
                                      const ResponseCountsByKey &Before) {
  ResponseCountsByKey Out;
  for (const auto &[Key, Counts] : Now) {
    ResponseCounts Increase = Counts;
    auto Old = Before.find(Key);
    if (Old != Before.end()) {
      Increase.m_Failures -= Old->second.m_Failures;
      for (std::size_t I = 0; I < TimeBinCount; ++I)
        Increase.m_Times[I] -= Old->second.m_Times[I];
    }
    if (Increase.total() > 0)
      Out.emplace(Key, Increase);
  }
  return Out;
}

/// Number of responses of the old version in a span below which all of its
/// responses are the baseline. Once all traffic goes to the new version, spans
/// have none of the old one.
static constexpr std::uint32_t MinOldResponses = 100;

static ResponseCountsByKey withOldSide(ResponseCountsByKey Span,
                                       const ResponseCountsByKey &Sum) {
  std::uint32_t Old = 0;
  for (const auto &[Key, Counts] : Span)
    Old += Key.m_Side == Side::Old ? Counts.total() : 0;
  if (Old >= MinOldResponses)
    return Span;
  for (const auto &[Key, Counts] : Sum)
    if (Key.m_Side == Side::Old)
      Span[Key] = Counts;
  return Span;
}

Judgement Judge::evaluate(const ResponseCountsByKey &Sum, core::TimePoint Now) {
  Comparison AllTime(Sum);
  Judgement Out = AllTime.judge();
  for (auto Span : Spans) {
    // Finds the newest snapshot that is at least as old as the span.
    const Snapshot *From = nullptr;
    for (const Snapshot &Each : m_Past)
      if (Now - Each.m_At >= Span)
        From = &Each;
    if (!From)
      continue;
    ResponseCountsByKey Recent = withOldSide(difference(Sum, From->m_Sum), Sum);
    Finding Late = Comparison(Recent).judge().m_Worst;
    if (Late.m_Score > Out.m_Worst.m_Score)
      Out.m_Worst = Late;
  }
  m_Past.push_back({Now, Sum});
  while (m_Past.size() > 1 && Now - m_Past[1].m_At >= Spans[1])
    m_Past.pop_front();
  return Out;
}

} // namespace yardrill::rollout
