#include "LibRouting/FirstAttemptEstimate.h"

namespace yardrill::routing {

/// Deadlines are told apart in these steps.
static constexpr std::chrono::milliseconds DeadlineStep{50};
/// Time after which deadlines are forgotten, up to twice as long.
static constexpr std::chrono::seconds WindowTime{30};
/// Requests that state a deadline, and their share of all, from which it counts
/// as that of first attempts.
static constexpr std::uint32_t MinCount = 5;
static constexpr double MinShare = 0.1;
/// Least time between a first attempt and a return: the shortest Retry-After.
static constexpr std::chrono::milliseconds MinElapsed{150};
/// Part of a deadline up to which callers honour a Retry-After.
static constexpr int HonouredParts = 3;

std::int64_t
FirstAttemptEstimate::mostCommonLongest(const RouteDeadlines &Known) {
  auto Total = Known.m_Current.m_Total + Known.m_Previous.m_Total;
  auto CountOf = [&](std::int64_t Step) {
    std::uint32_t Out = 0;
    for (const Window *Each : {&Known.m_Current, &Known.m_Previous})
      if (auto Found = Each->m_Counts.find(Step); Found != Each->m_Counts.end())
        Out += Found->second;
    return Out;
  };
  std::int64_t Longest = 0;
  for (const Window *Each : {&Known.m_Current, &Known.m_Previous})
    for (auto Step = Each->m_Counts.rbegin(); Step != Each->m_Counts.rend();
         ++Step) {
      std::uint32_t Count = CountOf(Step->first);
      if (Count < MinCount || Count < Total * MinShare)
        continue;
      Longest = std::max(Longest, Step->first);
      break;
    }
  return Longest;
}

core::Duration FirstAttemptEstimate::recordArrival(std::uint32_t Route,
                                                   core::Duration Deadline,
                                                   core::Duration Objective,
                                                   core::TimePoint Now) {
  RouteDeadlines &Known = m_Routes[Route];
  if (Now - Known.m_CurrentSince > WindowTime) {
    Known.m_Previous = std::move(Known.m_Current);
    Known.m_Current = Window();
    Known.m_CurrentSince = Now;
  }
  ++Known.m_Current.m_Counts[Deadline / DeadlineStep];
  ++Known.m_Current.m_Total;
  core::Duration First = mostCommonLongest(Known) * DeadlineStep;
  core::Duration Elapsed = First - Deadline;
  if (Elapsed < MinElapsed || First / HonouredParts + Objective < Elapsed)
    return core::Duration::zero();
  return Elapsed;
}

} // namespace yardrill::routing
