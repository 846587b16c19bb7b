#include "LibPlatform/StoreMirror.h"

#include <algorithm>

namespace yardrill::platform {

//===----------------------------------------------------------------------===//
// Taking in
//===----------------------------------------------------------------------===//

static Revision next(Revision After) { return Revision(After.value() + 1); }

void StoreMirror::take(const Entry &News) {
  const Entry *Known = find(News.m_Key);
  if (Known && !(Known->m_Modified < News.m_Modified))
    return;
  if (News.m_IsDetached)
    return want(News);
  auto Wanted = m_Wanted.find(News.m_Key);
  bool IsWanted = Wanted != m_Wanted.end();
  if (!Known && !IsWanted && News.m_IsDeleted)
    return;
  // The change was remembered when it was first told of.
  bool IsRemembered = IsWanted && Wanted->second.m_Newest == News.m_Modified;
  if (IsWanted && !(News.m_Modified < Wanted->second.m_Newest))
    m_Wanted.erase(Wanted);
  else if (IsWanted)
    Wanted->second.m_First =
        std::max(Wanted->second.m_First, next(News.m_Modified));
  if (!IsRemembered)
    remember(News);
  store(News);
}

void StoreMirror::want(const Entry &News) {
  auto [Place, IsNew] = m_Wanted.try_emplace(
      News.m_Key, Wanted{News.m_Modified, News.m_Modified});
  if (!IsNew && !(Place->second.m_Newest < News.m_Modified))
    return;
  Place->second.m_Newest = News.m_Modified;
  remember(News);
}

void StoreMirror::store(const Entry &News) {
  auto Found = m_Entries.find(News.m_Key);
  if (Found != m_Entries.end()) {
    Entry Replaced = std::move(Found->second);
    m_Entries.erase(Found);
    if (m_Replaced)
      m_Replaced(std::move(Replaced));
  }
  if (!News.m_IsDeleted)
    m_Entries[News.m_Key] = News;
  for (const Subscriber &Notify : m_Notify)
    Notify(News);
}

void StoreMirror::remember(const Entry &News) {
  m_Changes.push_back({News.m_Key, News.m_Modified});
  if (m_Changes.size() <= m_MostChanges)
    return;
  m_ChangesBegin = std::max(m_ChangesBegin, m_Changes.front().m_Modified);
  m_Changes.pop_front();
}

void StoreMirror::replaceAll(Revision At, const std::vector<Entry> &Content) {
  if (At < m_Revision)
    return apply(At, Content); // Only what is wanted.
  bool IsFirst = m_Revision == Revision();
  std::set<std::string> Present;
  for (const Entry &Each : Content) {
    Present.insert(Each.m_Key);
    take(Each);
  }
  removeMissing(At, Present);
  m_Revision = At;
  if (IsFirst) {
    m_Changes.clear();
    m_ChangesBegin = At;
  }
}

void StoreMirror::removeMissing(Revision At,
                                const std::set<std::string> &Present) {
  // A newer entry was made after the content was read.
  auto IsMissing = [&](const std::string &Key, Revision Modified) {
    return Present.count(Key) == 0 && !(At < Modified);
  };
  std::vector<std::string> Missing;
  for (const auto &[Key, Known] : m_Entries)
    if (IsMissing(Key, Known.m_Modified))
      Missing.push_back(Key);
  for (const auto &[Key, What] : m_Wanted)
    if (IsMissing(Key, What.m_Newest) && !find(Key))
      Missing.push_back(Key);
  for (const std::string &Key : Missing) {
    // The revision of the removal is not told; At is the latest it can be.
    Entry Removal{Key, "", At, true};
    m_Wanted.erase(Key);
    remember(Removal);
    store(Removal);
  }
}

void StoreMirror::apply(Revision At, const std::vector<Entry> &Changes) {
  for (const Entry &Each : Changes)
    if (m_Revision < Each.m_Modified || isWanted(Each))
      take(Each);
  if (m_Revision < At)
    m_Revision = At;
}

bool StoreMirror::isWanted(const Entry &News) const {
  auto Wanted = m_Wanted.find(News.m_Key);
  return Wanted != m_Wanted.end() &&
         !(News.m_Modified < Wanted->second.m_Newest);
}

void StoreMirror::supply(const Entry &Value) {
  if (m_Wanted.count(Value.m_Key) != 0)
    take(Value);
}

//===----------------------------------------------------------------------===//
// Telling
//===----------------------------------------------------------------------===//

Revision StoreMirror::wholeRevision() const {
  Revision Out = m_Revision;
  for (const auto &[Key, What] : m_Wanted)
    Out = std::min(Out, Revision(What.m_First.value() - 1));
  return Out;
}

const Entry *StoreMirror::find(const std::string &Key) const {
  auto Found = m_Entries.find(Key);
  return Found == m_Entries.end() ? nullptr : &Found->second;
}

bool StoreMirror::isPresent(const std::string &Key) const {
  return find(Key) || m_Wanted.count(Key) != 0;
}

Entry StoreMirror::current(const std::string &Key) const {
  auto Wanted = m_Wanted.find(Key);
  if (Wanted == m_Wanted.end())
    return m_Entries.at(Key);
  Entry Out;
  Out.m_Key = Key;
  Out.m_Modified = Wanted->second.m_Newest;
  Out.m_IsDetached = true;
  return Out;
}

std::vector<Entry> StoreMirror::content() const {
  std::vector<Entry> Out;
  for (const auto &[Key, Known] : m_Entries)
    Out.push_back(current(Key));
  for (const auto &[Key, What] : m_Wanted)
    if (!find(Key))
      Out.push_back(current(Key));
  return Out;
}

std::optional<std::vector<Entry>>
StoreMirror::changesSince(Revision After) const {
  if (After < m_ChangesBegin || After == Revision())
    return std::nullopt;
  std::vector<Entry> Out;
  std::set<std::string> Seen;
  for (auto Each = m_Changes.rbegin(); Each != m_Changes.rend(); ++Each) {
    if (!(After < Each->m_Modified) || !Seen.insert(Each->m_Key).second)
      continue;
    if (isPresent(Each->m_Key))
      Out.push_back(current(Each->m_Key));
    else
      Out.push_back({Each->m_Key, "", Each->m_Modified, true});
  }
  std::reverse(Out.begin(), Out.end());
  return Out;
}

} // namespace yardrill::platform
