#include "LibPlatform/StoreMirror.h"

#include <algorithm>

namespace yardrill::platform {

//===----------------------------------------------------------------------===//
// Updates
//===----------------------------------------------------------------------===//

static Revision next(Revision After) { return Revision(After.value() + 1); }

void StoreMirror::applyEntry(const Entry &Update) {
  const Entry *Known = find(Update.m_Key);
  if (Known && !(Known->m_ModRevision < Update.m_ModRevision))
    return;
  if (Update.m_IsValueOmitted)
    return markPending(Update);
  // The entry was created and removed again, and its value is unknown.
  if (!Known && Update.m_IsDeleted)
    notifySkipped(Update.m_Key);
  auto PendingValue = m_PendingValues.find(Update.m_Key);
  bool IsPending = PendingValue != m_PendingValues.end();
  if (!Known && !IsPending && Update.m_IsDeleted)
    return;
  // The change was recorded when it was reported without its value.
  bool IsRecorded = IsPending && PendingValue->second.m_NewestRevision ==
                                     Update.m_ModRevision;
  if (IsPending &&
      !(Update.m_ModRevision < PendingValue->second.m_NewestRevision))
    m_PendingValues.erase(PendingValue);
  else if (IsPending)
    PendingValue->second.m_OldestRevision = std::max(
        PendingValue->second.m_OldestRevision, next(Update.m_ModRevision));
  if (!IsRecorded)
    recordChange(Update);
  store(Update);
}

void StoreMirror::markPending(const Entry &Update) {
  auto [Position, IsNew] = m_PendingValues.try_emplace(
      Update.m_Key, PendingValue{Update.m_ModRevision, Update.m_ModRevision});
  if (!IsNew && !(Position->second.m_NewestRevision < Update.m_ModRevision))
    return;
  Position->second.m_NewestRevision = Update.m_ModRevision;
  recordChange(Update);
}

void StoreMirror::store(const Entry &Update) {
  auto Found = m_Entries.find(Update.m_Key);
  if (Found != m_Entries.end()) {
    Entry Replaced = std::move(Found->second);
    m_Entries.erase(Found);
    if (m_ReplacedCallback)
      m_ReplacedCallback(std::move(Replaced));
  }
  if (!Update.m_IsDeleted)
    m_Entries[Update.m_Key] = Update;
  notify(Update);
}

void StoreMirror::notify(Entry Update) const {
  Update.m_IsRestored = m_IsRestoring;
  for (const Subscriber &Notify : m_Subscribers)
    Notify(Update);
}

void StoreMirror::recordChange(const Entry &Update) {
  m_Changes.push_back({Update.m_Key, Update.m_ModRevision});
  if (m_Changes.size() <= m_MaxChanges)
    return;
  m_HistoryStart = std::max(m_HistoryStart, m_Changes.front().m_ModRevision);
  m_Changes.pop_front();
}

void StoreMirror::replaceAll(Revision At, const std::vector<Entry> &Content) {
  // Of an older snapshot only pending values and entries newer than revision()
  // still apply.
  if (At < m_Revision)
    return apply(At, Content);
  bool IsFirst = m_Revision == Revision();
  bool IsOtherEra = eraOf(m_Revision) != eraOf(At);
  m_IsRestoring = IsOtherEra && !IsFirst;
  if (!IsFirst && m_Revision < At)
    notifySkipped("");
  std::set<std::string> Present;
  for (const Entry &Each : Content) {
    Present.insert(Each.m_Key);
    applyEntry(Each);
  }
  removeAbsent(At, Present);
  m_Revision = At;
  m_IsRestoring = false;
  // Changes don't lead from one era to the next.
  if (IsOtherEra || IsFirst) {
    m_Changes.clear();
    m_HistoryStart = At;
  }
}

void StoreMirror::removeAbsent(Revision At,
                               const std::set<std::string> &Present) {
  // A newer entry was written after the snapshot was read.
  auto IsAbsent = [&](const std::string &Key, Revision ModRevision) {
    return Present.count(Key) == 0 && !(At < ModRevision);
  };
  std::vector<std::string> Absent;
  for (const auto &[Key, Known] : m_Entries)
    if (IsAbsent(Key, Known.m_ModRevision))
      Absent.push_back(Key);
  for (const auto &[Key, Pending] : m_PendingValues)
    if (IsAbsent(Key, Pending.m_NewestRevision) && !find(Key))
      Absent.push_back(Key);
  for (const std::string &Key : Absent) {
    // The exact revision of the removal is unknown; At is its upper bound.
    Entry Removal{Key, "", At, true};
    m_PendingValues.erase(Key);
    recordChange(Removal);
    store(Removal);
  }
}

void StoreMirror::apply(Revision At, const std::vector<Entry> &Changes) {
  for (const Entry &Each : Changes)
    if (m_Revision < Each.m_ModRevision || isPending(Each))
      applyEntry(Each);
  if (m_Revision < At)
    m_Revision = At;
}

bool StoreMirror::isPending(const Entry &Update) const {
  auto PendingValue = m_PendingValues.find(Update.m_Key);
  return PendingValue != m_PendingValues.end() &&
         !(Update.m_ModRevision < PendingValue->second.m_NewestRevision);
}

void StoreMirror::supplyValue(const Entry &Value) {
  if (m_PendingValues.count(Value.m_Key) != 0)
    applyEntry(Value);
}

//===----------------------------------------------------------------------===//
// Queries
//===----------------------------------------------------------------------===//

Revision StoreMirror::completeRevision() const {
  Revision Out = m_Revision;
  for (const auto &[Key, Pending] : m_PendingValues)
    Out = std::min(Out, Revision(Pending.m_OldestRevision.value() - 1));
  return Out;
}

const Entry *StoreMirror::find(const std::string &Key) const {
  auto Found = m_Entries.find(Key);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

bool StoreMirror::isPresent(const std::string &Key) const {
  return find(Key) || m_PendingValues.count(Key) != 0;
}

Entry StoreMirror::current(const std::string &Key) const {
  auto PendingValue = m_PendingValues.find(Key);
  if (PendingValue == m_PendingValues.end())
    return m_Entries.at(Key);
  Entry Out;
  Out.m_Key = Key;
  Out.m_ModRevision = PendingValue->second.m_NewestRevision;
  Out.m_IsValueOmitted = true;
  return Out;
}

std::vector<Entry> StoreMirror::content() const {
  std::vector<Entry> Out;
  for (const auto &[Key, Known] : m_Entries)
    Out.push_back(current(Key));
  for (const auto &[Key, Pending] : m_PendingValues)
    if (!find(Key))
      Out.push_back(current(Key));
  return Out;
}

std::optional<std::vector<Entry>>
StoreMirror::changesSince(Revision After) const {
  if (After < m_HistoryStart || After == Revision())
    return std::nullopt;
  std::vector<Entry> Out;
  std::set<std::string> Seen;
  for (auto Each = m_Changes.rbegin(); Each != m_Changes.rend(); ++Each) {
    if (!(After < Each->m_ModRevision) || !Seen.insert(Each->m_Key).second)
      continue;
    if (isPresent(Each->m_Key))
      Out.push_back(current(Each->m_Key));
    else
      Out.push_back({Each->m_Key, "", Each->m_ModRevision, true});
  }
  std::reverse(Out.begin(), Out.end());
  return Out;
}

} // namespace yardrill::platform
