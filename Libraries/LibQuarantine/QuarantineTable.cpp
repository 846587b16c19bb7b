#include "LibQuarantine/QuarantineTable.h"

#include <algorithm>

namespace yardrill::quarantine {

/// Time for which a success clears exits that are reported or happen after it.
/// It is limited because a new version of the targets may exit under a content
/// that the version before it answered.
static constexpr std::chrono::seconds SuccessWindow{30};

std::size_t QuarantineTable::Entry::uncleared() const {
  return static_cast<std::size_t>(
      std::count_if(m_Incarnations.begin(), m_Incarnations.end(),
                    [](const auto &Each) { return !Each.second; }));
}

std::size_t
QuarantineTable::Entry::unexplained(const Incarnations &Explained) const {
  return static_cast<std::size_t>(std::count_if(
      m_Incarnations.begin(), m_Incarnations.end(), [&](const auto &Each) {
        return !Each.second && Explained.count(Each.first) == 0;
      }));
}

void QuarantineTable::Entry::addUnclearedTo(Incarnations &Sum) const {
  for (const auto &[Incarnation, IsCleared] : m_Incarnations)
    if (!IsCleared)
      Sum.insert(Incarnation);
}

std::size_t
QuarantineTable::incriminatingIncarnations(const ContentDigest &Content) const {
  auto Found = m_Entries.find(Content);
  if (Found == m_Entries.end())
    return 0;
  bool IsExplainable = Content.isPart() && !isQuarantined(Content);
  return IsExplainable ? Found->second.unexplained(m_Explained)
                       : Found->second.uncleared();
}

bool QuarantineTable::isDoubtful(
    const std::vector<ContentDigest> &Contents) const {
  Incarnations Others;
  for (const ContentDigest &Each : m_Quarantined)
    if (std::find(Contents.begin(), Contents.end(), Each) == Contents.end())
      m_Entries.at(Each).addUnclearedTo(Others);
  return std::all_of(
      Contents.begin(), Contents.end(), [&](const ContentDigest &Each) {
        return !isQuarantined(Each) ||
               (Each.isPart() && m_Entries.at(Each).unexplained(Others) <
                                     IncarnationsToQuarantine);
      });
}

std::optional<core::TimePoint>
QuarantineTable::changedAt(const ContentDigest &Content) const {
  auto Found = m_Entries.find(Content);
  if (Found == m_Entries.end())
    return std::nullopt;
  return Found->second.m_ChangedAt;
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
    if (incriminatingIncarnations(Content) >= MinIncarnations)
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

bool QuarantineTable::change(Entry &Suspect,
                             const Observation &Observed) const {
  auto Found = Suspect.m_Incarnations.find(Observed.m_Incarnation);
  bool IsKnown = Found != Suspect.m_Incarnations.end();
  // A cleared incarnation stays cleared.
  if (IsKnown && (Found->second || !Observed.m_IsCleared))
    return false;
  if (IsKnown) {
    Found->second = true;
    return true;
  }
  evictIfFull(Suspect);
  if (Suspect.m_Incarnations.size() >= MaxIncarnations)
    return false;
  Suspect.m_Incarnations.emplace(Observed.m_Incarnation, Observed.m_IsCleared);
  return true;
}

bool QuarantineTable::apply(const Observation &Observed, core::TimePoint Now) {
  const ContentDigest &Content = Observed.m_Content;
  if (m_Entries.find(Content) == m_Entries.end())
    evictIfFull();
  auto [It, IsNew] = m_Entries.try_emplace(Content);
  Entry &Suspect = It->second;
  std::size_t Before = Suspect.uncleared();
  Weight OldWeight = weightOf(Content, Suspect);
  if (!change(Suspect, Observed))
    return false;
  Suspect.m_ChangedAt = Now;
  if (!IsNew)
    m_ByWeight.erase(OldWeight);
  m_ByWeight.insert(weightOf(Content, Suspect));
  if (std::max(Before, Suspect.uncleared()) >= IncarnationsToQuarantine)
    updateVerdicts();
  return true;
}

void QuarantineTable::updateVerdicts() {
  std::set<ContentDigest> Before;
  Before.swap(m_Quarantined);
  m_Explained.clear();
  std::size_t Count = 0;
  std::vector<ContentDigest> Equal; // With Count uncleared incarnations.
  auto Accept = [&] {
    for (const ContentDigest &Each : Equal)
      m_Entries.at(Each).addUnclearedTo(m_Explained);
    m_Quarantined.insert(Equal.begin(), Equal.end());
    Equal.clear();
  };
  for (auto Each = m_ByWeight.rbegin(); Each != m_ByWeight.rend(); ++Each) {
    const auto &[Uncleared, ChangedAt, Content] = *Each;
    if (Uncleared < IncarnationsToQuarantine)
      break;
    if (Uncleared != Count)
      Accept();
    Count = Uncleared;
    // A whole content that makes targets exit may have run beside another one.
    if (!Content.isPart() || m_Entries.at(Content).unexplained(m_Explained) >=
                                 IncarnationsToQuarantine)
      Equal.push_back(Content);
  }
  Accept();
  if (!m_Changed)
    return;
  for (const ContentDigest &Each : Before)
    if (!isQuarantined(Each))
      m_Changed(Each, false);
  for (const ContentDigest &Each : m_Quarantined)
    if (Before.count(Each) == 0)
      m_Changed(Each, true);
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
  ContentDigest Least = std::get<ContentDigest>(*m_ByWeight.begin());
  m_ByWeight.erase(m_ByWeight.begin());
  m_Entries.erase(Least);
  if (isQuarantined(Least))
    updateVerdicts();
}

} // namespace yardrill::quarantine
