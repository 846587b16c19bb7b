#include "LibQuarantine/QuarantineTable.h"

#include <algorithm>

namespace yardrill::quarantine {

/// Time for which a success clears exits that are reported or happen after it.
/// It is limited because a new version of the targets may exit under a content
/// that the version before it answered.
static constexpr std::chrono::seconds SuccessWindow{30};

std::size_t QuarantineTable::Entry::incriminatingIncarnations() const {
  return static_cast<std::size_t>(
      std::count_if(m_Incarnations.begin(), m_Incarnations.end(),
                    [](const auto &Each) { return !Each.second; }));
}

std::size_t
QuarantineTable::incriminatingIncarnations(const ContentDigest &Content) const {
  auto Found = m_Entries.find(Content);
  return Found == m_Entries.end() ? 0
                                  : Found->second.incriminatingIncarnations();
}

bool QuarantineTable::isCleared(const ContentDigest &Content,
                                IncarnationHash Incarnation) const {
  auto Found = m_Entries.find(Content);
  if (Found == m_Entries.end())
    return true;
  auto Observed = Found->second.m_Incarnations.find(Incarnation);
  return Observed == Found->second.m_Incarnations.end() || Observed->second;
}

std::vector<Observation>
QuarantineTable::observations(const ContentDigest &Content) const {
  std::vector<Observation> Out;
  auto Found = m_Entries.find(Content);
  if (Found != m_Entries.end())
    for (const auto &[Incarnation, IsCleared] : Found->second.m_Incarnations)
      Out.push_back({Content, Incarnation, IsCleared});
  return Out;
}

std::vector<ContentDigest>
QuarantineTable::suspectedContents(std::size_t MinIncarnations) const {
  std::vector<ContentDigest> Out;
  for (const auto &[Content, Suspect] : m_Entries)
    if (Suspect.incriminatingIncarnations() >= MinIncarnations)
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
// Observations of this instance
//===----------------------------------------------------------------------===//

void QuarantineTable::noteTargetExit(const ContentDigest &Content,
                                     IncarnationHash Incarnation,
                                     core::TimePoint Now) {
  Observation Observed{Content, Incarnation, hasRecentSuccess(Content, Now)};
  if (apply(Observed, Now))
    m_Updates.push_back(Observed);
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
  const Success &Observed = m_RecentSuccesses[Content.m_High % SuccessSlots];
  return Observed.m_IsSet && Observed.m_Content == Content &&
         Now - Observed.m_At <= SuccessWindow;
}

//===----------------------------------------------------------------------===//
// Observations of other instances and of the store
//===----------------------------------------------------------------------===//

void QuarantineTable::merge(const Observation &Observed, core::TimePoint Now) {
  bool IsClearedHere =
      !Observed.m_IsCleared && hasRecentSuccess(Observed.m_Content, Now);
  Observation Known = Observed;
  Known.m_IsCleared = Observed.m_IsCleared || IsClearedHere;
  // Other instances do not know of the success that cleared it.
  if (apply(Known, Now) && IsClearedHere)
    m_Updates.push_back(Known);
}

bool QuarantineTable::apply(const Observation &Observed, core::TimePoint Now) {
  if (m_Entries.find(Observed.m_Content) == m_Entries.end())
    evictIfFull();
  Entry &Suspect = m_Entries[Observed.m_Content];
  auto Found = Suspect.m_Incarnations.find(Observed.m_Incarnation);
  bool IsKnown = Found != Suspect.m_Incarnations.end();
  // A cleared incarnation stays cleared.
  if (IsKnown && (Found->second || !Observed.m_IsCleared))
    return false;
  bool WasQuarantined =
      Suspect.incriminatingIncarnations() >= IncarnationsToQuarantine;
  if (IsKnown) {
    Found->second = true;
  } else {
    evictIfFull(Suspect);
    if (Suspect.m_Incarnations.size() >= MaxIncarnations)
      return false;
    Suspect.m_Incarnations.emplace(Observed.m_Incarnation,
                                   Observed.m_IsCleared);
  }
  Suspect.m_ChangedAt = Now;
  bool IsQuarantined =
      Suspect.incriminatingIncarnations() >= IncarnationsToQuarantine;
  if (IsQuarantined == WasQuarantined)
    return true;
  m_Quarantined += IsQuarantined ? 1 : -1;
  if (m_Changed)
    m_Changed(Observed.m_Content, IsQuarantined);
  return true;
}

void QuarantineTable::evictIfFull(Entry &Suspect) const {
  if (Suspect.m_Incarnations.size() < MaxIncarnations)
    return;
  auto Cleared =
      std::find_if(Suspect.m_Incarnations.begin(), Suspect.m_Incarnations.end(),
                   [](const auto &Each) { return Each.second; });
  if (Cleared != Suspect.m_Incarnations.end())
    Suspect.m_Incarnations.erase(Cleared);
}

void QuarantineTable::evictIfFull() {
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
      Least->second.incriminatingIncarnations() >= IncarnationsToQuarantine;
  ContentDigest Content = Least->first;
  m_Entries.erase(Least);
  if (!WasQuarantined)
    return;
  --m_Quarantined;
  if (m_Changed)
    m_Changed(Content, false);
}

} // namespace yardrill::quarantine
