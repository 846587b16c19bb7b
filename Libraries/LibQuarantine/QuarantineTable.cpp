#include "LibQuarantine/QuarantineTable.h"

#include <algorithm>

namespace yardrill::quarantine {

/// For so long a whole answer speaks for a content against news of ends that
/// are on their way, or happen meanwhile. A new version of the targets, which
/// the content may end, is known to be one after this time.
static constexpr std::chrono::seconds SuccessWindow{30};

std::size_t QuarantineTable::Entry::incriminatingIncarnations() const {
  return static_cast<std::size_t>(
      std::count_if(m_Runs.begin(), m_Runs.end(),
                    [](const auto &Each) { return !Each.second; }));
}

std::size_t
QuarantineTable::incriminatingIncarnations(const ContentDigest &Content) const {
  auto Found = m_Entries.find(Content);
  return Found == m_Entries.end() ? 0
                                  : Found->second.incriminatingIncarnations();
}

bool QuarantineTable::isCleared(const ContentDigest &Content,
                                IncarnationHash Run) const {
  auto Found = m_Entries.find(Content);
  if (Found == m_Entries.end())
    return true;
  auto Seen = Found->second.m_Runs.find(Run);
  return Seen == Found->second.m_Runs.end() || Seen->second;
}

std::vector<Observation>
QuarantineTable::observations(const ContentDigest &Content) const {
  std::vector<Observation> Out;
  auto Found = m_Entries.find(Content);
  if (Found != m_Entries.end())
    for (const auto &[Run, IsCleared] : Found->second.m_Runs)
      Out.push_back({Content, Run, IsCleared});
  return Out;
}

std::vector<ContentDigest>
QuarantineTable::suspectedContents(std::size_t Least) const {
  std::vector<ContentDigest> Out;
  for (const auto &[Content, Which] : m_Entries)
    if (Which.incriminatingIncarnations() >= Least)
      Out.push_back(Content);
  std::sort(Out.begin(), Out.end());
  return Out;
}

std::vector<Observation> QuarantineTable::takeUpdates() {
  std::vector<Observation> Out;
  Out.swap(m_Updates);
  return Out;
}

//===----------------------------------------------------------------------===//
// What is seen here
//===----------------------------------------------------------------------===//

void QuarantineTable::noteTargetExit(const ContentDigest &Content,
                                     IncarnationHash Run, core::TimePoint Now) {
  Observation Seen{Content, Run, hasRecentSuccess(Content, Now)};
  if (apply(Seen, Now))
    m_Updates.push_back(Seen);
}

void QuarantineTable::noteSuccess(const ContentDigest &Content,
                                  core::TimePoint Now) {
  m_RecentSuccesses[Content.m_High % SuccessSlots] = {Content, Now, true};
  if (m_Entries.empty())
    return;
  for (Observation Each : observations(Content)) {
    if (Each.m_IsCleared)
      continue;
    Each.m_IsCleared = true;
    apply(Each, Now);
    m_Updates.push_back(Each);
  }
}

bool QuarantineTable::hasRecentSuccess(const ContentDigest &Content,
                                       core::TimePoint Now) const {
  const Success &Seen = m_RecentSuccesses[Content.m_High % SuccessSlots];
  return Seen.m_IsSet && Seen.m_Content == Content &&
         Now - Seen.m_At <= SuccessWindow;
}

//===----------------------------------------------------------------------===//
// What others say
//===----------------------------------------------------------------------===//

void QuarantineTable::merge(const Observation &Seen, core::TimePoint Now) {
  bool IsClearedHere =
      !Seen.m_IsCleared && hasRecentSuccess(Seen.m_Content, Now);
  Observation Known = Seen;
  Known.m_IsCleared = Seen.m_IsCleared || IsClearedHere;
  // The others have not seen it answered.
  if (apply(Known, Now) && IsClearedHere)
    m_Updates.push_back(Known);
}

bool QuarantineTable::apply(const Observation &Seen, core::TimePoint Now) {
  if (m_Entries.find(Seen.m_Content) == m_Entries.end())
    makeRoom();
  Entry &Which = m_Entries[Seen.m_Content];
  auto Found = Which.m_Runs.find(Seen.m_Incarnation);
  bool IsKnown = Found != Which.m_Runs.end();
  // Excused is for good.
  if (IsKnown && (Found->second || !Seen.m_IsCleared))
    return false;
  bool WasQuarantined = Which.incriminatingIncarnations() >= RunsToQuarantine;
  if (IsKnown) {
    Found->second = true;
  } else {
    makeRoom(Which);
    if (Which.m_Runs.size() >= MaxIncarnations)
      return false;
    Which.m_Runs.emplace(Seen.m_Incarnation, Seen.m_IsCleared);
  }
  Which.m_ChangedAt = Now;
  bool IsQuarantined = Which.incriminatingIncarnations() >= RunsToQuarantine;
  if (IsQuarantined == WasQuarantined)
    return true;
  m_Quarantined += IsQuarantined ? 1 : -1;
  if (m_Changed)
    m_Changed(Seen.m_Content, IsQuarantined);
  return true;
}

void QuarantineTable::makeRoom(Entry &Which) const {
  if (Which.m_Runs.size() < MaxIncarnations)
    return;
  auto Excused = std::find_if(Which.m_Runs.begin(), Which.m_Runs.end(),
                              [](const auto &Each) { return Each.second; });
  if (Excused != Which.m_Runs.end())
    Which.m_Runs.erase(Excused);
}

void QuarantineTable::makeRoom() {
  if (m_Entries.size() < MaxContents)
    return;
  auto Least = std::min_element(
      m_Entries.begin(), m_Entries.end(), [](const auto &A, const auto &B) {
        return std::make_pair(A.second.incriminatingIncarnations(),
                              A.second.m_ChangedAt) <
               std::make_pair(B.second.incriminatingIncarnations(),
                              B.second.m_ChangedAt);
      });
  bool WasQuarantined =
      Least->second.incriminatingIncarnations() >= RunsToQuarantine;
  ContentDigest Content = Least->first;
  m_Entries.erase(Least);
  if (!WasQuarantined)
    return;
  --m_Quarantined;
  if (m_Changed)
    m_Changed(Content, false);
}

} // namespace yardrill::quarantine
