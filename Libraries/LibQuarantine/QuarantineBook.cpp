#include "LibQuarantine/QuarantineBook.h"

#include <algorithm>

namespace yardrill::quarantine {

/// For so long a whole answer speaks for a content against news of ends that
/// are on their way, or happen meanwhile. A new version of the targets, which
/// the content may end, is known to be one after this time.
static constexpr std::chrono::seconds WholeCounts{30};

std::size_t QuarantineBook::Case::standing() const {
  return static_cast<std::size_t>(
      std::count_if(m_Runs.begin(), m_Runs.end(),
                    [](const auto &Each) { return !Each.second; }));
}

std::size_t QuarantineBook::standing(const ContentDigest &Content) const {
  auto Found = m_Cases.find(Content);
  return Found == m_Cases.end() ? 0 : Found->second.standing();
}

bool QuarantineBook::isExcused(const ContentDigest &Content,
                               RunHash Run) const {
  auto Found = m_Cases.find(Content);
  if (Found == m_Cases.end())
    return true;
  auto Seen = Found->second.m_Runs.find(Run);
  return Seen == Found->second.m_Runs.end() || Seen->second;
}

std::vector<Observation>
QuarantineBook::observations(const ContentDigest &Content) const {
  std::vector<Observation> Out;
  auto Found = m_Cases.find(Content);
  if (Found != m_Cases.end())
    for (const auto &[Run, IsExcused] : Found->second.m_Runs)
      Out.push_back({Content, Run, IsExcused});
  return Out;
}

std::vector<ContentDigest> QuarantineBook::suspects(std::size_t Least) const {
  std::vector<ContentDigest> Out;
  for (const auto &[Content, Which] : m_Cases)
    if (Which.standing() >= Least)
      Out.push_back(Content);
  std::sort(Out.begin(), Out.end());
  return Out;
}

std::vector<Observation> QuarantineBook::takeNews() {
  std::vector<Observation> Out;
  Out.swap(m_News);
  return Out;
}

//===----------------------------------------------------------------------===//
// What is seen here
//===----------------------------------------------------------------------===//

void QuarantineBook::noteTargetExit(const ContentDigest &Content, RunHash Run,
                                    core::TimePoint Now) {
  Observation Seen{Content, Run, wasWholeLately(Content, Now)};
  if (take(Seen, Now))
    m_News.push_back(Seen);
}

void QuarantineBook::noteWhole(const ContentDigest &Content,
                               core::TimePoint Now) {
  m_Whole[Content.m_High % WholePlaces] = {Content, Now, true};
  if (m_Cases.empty())
    return;
  for (Observation Each : observations(Content)) {
    if (Each.m_IsExcused)
      continue;
    Each.m_IsExcused = true;
    take(Each, Now);
    m_News.push_back(Each);
  }
}

bool QuarantineBook::wasWholeLately(const ContentDigest &Content,
                                    core::TimePoint Now) const {
  const Whole &Seen = m_Whole[Content.m_High % WholePlaces];
  return Seen.m_IsSet && Seen.m_Content == Content &&
         Now - Seen.m_At <= WholeCounts;
}

//===----------------------------------------------------------------------===//
// What others say
//===----------------------------------------------------------------------===//

void QuarantineBook::merge(const Observation &Seen, core::TimePoint Now) {
  bool IsExcusedHere = !Seen.m_IsExcused && wasWholeLately(Seen.m_Content, Now);
  Observation Known = Seen;
  Known.m_IsExcused = Seen.m_IsExcused || IsExcusedHere;
  // The others have not seen it answered.
  if (take(Known, Now) && IsExcusedHere)
    m_News.push_back(Known);
}

bool QuarantineBook::take(const Observation &Seen, core::TimePoint Now) {
  if (m_Cases.find(Seen.m_Content) == m_Cases.end())
    makeRoom();
  Case &Which = m_Cases[Seen.m_Content];
  auto Found = Which.m_Runs.find(Seen.m_Incarnation);
  bool IsKnown = Found != Which.m_Runs.end();
  // Excused is for good.
  if (IsKnown && (Found->second || !Seen.m_IsExcused))
    return false;
  bool WasQuarantined = Which.standing() >= RunsToQuarantine;
  if (IsKnown) {
    Found->second = true;
  } else {
    makeRoom(Which);
    if (Which.m_Runs.size() >= MostRuns)
      return false;
    Which.m_Runs.emplace(Seen.m_Incarnation, Seen.m_IsExcused);
  }
  Which.m_ChangedAt = Now;
  bool IsQuarantined = Which.standing() >= RunsToQuarantine;
  if (IsQuarantined == WasQuarantined)
    return true;
  m_Quarantined += IsQuarantined ? 1 : -1;
  if (m_Changed)
    m_Changed(Seen.m_Content, IsQuarantined);
  return true;
}

void QuarantineBook::makeRoom(Case &Which) const {
  if (Which.m_Runs.size() < MostRuns)
    return;
  auto Excused = std::find_if(Which.m_Runs.begin(), Which.m_Runs.end(),
                              [](const auto &Each) { return Each.second; });
  if (Excused != Which.m_Runs.end())
    Which.m_Runs.erase(Excused);
}

void QuarantineBook::makeRoom() {
  if (m_Cases.size() < MostContents)
    return;
  auto Least = std::min_element(
      m_Cases.begin(), m_Cases.end(), [](const auto &A, const auto &B) {
        return std::make_pair(A.second.standing(), A.second.m_ChangedAt) <
               std::make_pair(B.second.standing(), B.second.m_ChangedAt);
      });
  bool WasQuarantined = Least->second.standing() >= RunsToQuarantine;
  ContentDigest Content = Least->first;
  m_Cases.erase(Least);
  if (!WasQuarantined)
    return;
  --m_Quarantined;
  if (m_Changed)
    m_Changed(Content, false);
}

} // namespace yardrill::quarantine
