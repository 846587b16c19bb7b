#include "LibQuarantine/Member.h"

#include "LibQuarantine/QuarantineText.h"

#include <algorithm>
#include <array>

namespace yardrill::quarantine {

/// When everybody is told again, after the time before: a lost datagram, and a
/// second of losses, cost no more than a little delay.
static constexpr std::array<std::chrono::milliseconds, 3> TellAgainAfter{
    std::chrono::milliseconds(100), std::chrono::milliseconds(300),
    std::chrono::milliseconds(1200)};
/// How often a few others are told of what the store does not hold.
static constexpr std::chrono::seconds TellSomePeriod{1};
/// The store should hold suspects: one run alone is what most requests have
/// that were under way when a target ended.
static constexpr std::size_t RunsToRecord = QuarantineBook::RunsToSuspect;
/// Contents in the store's entry; with three runs each it has 15 KB.
static constexpr std::size_t MostRecorded = 256;

void Member::noteTargetExit(const ContentDigest &Content, RunHash Run,
                            core::TimePoint Now) {
  m_Book.noteTargetExit(Content, Run, Now);
  tellNews(Now);
}

void Member::noteWhole(const ContentDigest &Content, core::TimePoint Now) {
  m_Book.noteWhole(Content, Now);
  tellNews(Now);
}

void Member::merge(const std::vector<Observation> &Seen, core::TimePoint Now) {
  for (const Observation &Each : Seen)
    m_Book.merge(Each, Now);
  tellNews(Now);
}

//===----------------------------------------------------------------------===//
// Between instances
//===----------------------------------------------------------------------===//

void Member::tellNews(core::TimePoint Now) {
  std::vector<Observation> News = m_Book.takeNews();
  if (News.empty())
    return;
  m_Hooks.m_TellAll(News);
  m_Telling.push_back({std::move(News), 0, Now + TellAgainAfter.front()});
}

void Member::tellAgain(core::TimePoint Now) {
  for (std::size_t Left = m_Telling.size(); Left > 0; --Left) {
    Telling Each = std::move(m_Telling.front());
    m_Telling.pop_front();
    if (Each.m_NextAt <= Now) {
      m_Hooks.m_TellAll(Each.m_Seen);
      if (++Each.m_Times == TellAgainAfter.size())
        continue;
      Each.m_NextAt = Now + TellAgainAfter[Each.m_Times];
    }
    m_Telling.push_back(std::move(Each));
  }
}

void Member::tellUnrecorded(core::TimePoint Now) {
  if (Now - m_ToldSomeAt < TellSomePeriod)
    return;
  m_ToldSomeAt = Now;
  std::vector<Observation> Unrecorded;
  for (const ContentDigest &Each : m_Book.suspects(RunsToRecord))
    for (const Observation &Seen : m_Book.observations(Each))
      if (m_Recorded.count(Seen) == 0)
        Unrecorded.push_back(Seen);
  if (!Unrecorded.empty())
    m_Hooks.m_TellSome(Unrecorded);
}

void Member::upkeep(core::TimePoint Now) {
  tellAgain(Now);
  if (m_Book.size() > 0)
    tellUnrecorded(Now);
}

//===----------------------------------------------------------------------===//
// In the store
//===----------------------------------------------------------------------===//

bool Member::takeRecord(const std::string &Text, core::TimePoint Now) {
  auto Seen = readText(Text);
  m_Recorded.clear();
  if (!Seen)
    return false;
  m_Recorded.insert(Seen->begin(), Seen->end());
  merge(*Seen, Now);
  return true;
}

std::string Member::recordText() const {
  std::vector<ContentDigest> Suspects = m_Book.suspects(RunsToRecord);
  if (Suspects.size() > MostRecorded)
    Suspects.resize(MostRecorded);
  std::vector<Observation> Out;
  for (const ContentDigest &Each : Suspects)
    for (const Observation &Seen : m_Book.observations(Each))
      Out.push_back(Seen);
  // What was excused stays: whoever missed that must hear of it. Not what came
  // since, or each end of a target would be written for popular contents.
  for (const Observation &Each : m_Recorded)
    if (m_Book.standing(Each.m_Content) < RunsToRecord)
      Out.push_back({Each.m_Content, Each.m_Incarnation,
                     m_Book.isExcused(Each.m_Content, Each.m_Incarnation)});
  std::size_t Most = MostRecorded * QuarantineBook::MostRuns;
  if (Out.size() > Most)
    Out.resize(Most);
  std::sort(Out.begin(), Out.end());
  return toText(Out);
}

} // namespace yardrill::quarantine
