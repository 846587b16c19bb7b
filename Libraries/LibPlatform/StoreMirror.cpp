#include "LibPlatform/StoreMirror.h"

#include <algorithm>
#include <set>

namespace yardrill::platform {

bool StoreMirror::take(const Entry &News) {
  auto Found = m_Entries.find(News.m_Key);
  bool IsKnown = Found != m_Entries.end();
  if (IsKnown && !(Found->second.m_Modified < News.m_Modified))
    return false;
  if (!IsKnown && News.m_IsDeleted)
    return false;
  if (News.m_IsDeleted)
    m_Entries.erase(Found);
  else
    m_Entries[News.m_Key] = News;
  remember(News);
  for (const Subscriber &Notify : m_Notify)
    Notify(News);
  return true;
}

void StoreMirror::remember(const Entry &News) {
  m_Changes.push_back({News.m_Key, News.m_Modified, News.m_IsDeleted});
  if (m_Changes.size() <= m_MostChanges)
    return;
  m_ChangesBegin = std::max(m_ChangesBegin, m_Changes.front().m_Modified);
  m_Changes.pop_front();
}

void StoreMirror::replaceAll(Revision At, const std::vector<Entry> &Content) {
  if (At < m_Revision)
    return;
  bool IsFirst = m_Revision == Revision();
  std::set<std::string> Present;
  for (const Entry &Each : Content) {
    Present.insert(Each.m_Key);
    take(Each);
  }
  std::vector<Entry> Missing;
  for (const auto &[Key, Known] : m_Entries)
    // A newer entry was made after the content was read.
    if (Present.count(Key) == 0 && !(At < Known.m_Modified))
      Missing.push_back(Known);
  for (Entry &Each : Missing) {
    Each.m_IsDeleted = true;
    Each.m_Value.clear();
    // The revision of the removal is not told; At is the latest it can be.
    Each.m_Modified = At;
    // An entry of the same revision as At would not give way.
    m_Entries.at(Each.m_Key).m_Modified = Revision();
    take(Each);
  }
  m_Revision = At;
  if (IsFirst) {
    m_Changes.clear();
    m_ChangesBegin = At;
  }
}

void StoreMirror::apply(Revision At, const std::vector<Entry> &Changes) {
  for (const Entry &Each : Changes)
    if (m_Revision < Each.m_Modified)
      take(Each);
  if (m_Revision < At)
    m_Revision = At;
}

std::vector<Entry> StoreMirror::content() const {
  std::vector<Entry> Out;
  for (const auto &[Key, Known] : m_Entries)
    Out.push_back(Known);
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
    if (Each->m_IsDeleted)
      Out.push_back({Each->m_Key, "", Each->m_Modified, true});
    else
      Out.push_back(m_Entries.at(Each->m_Key));
  }
  std::reverse(Out.begin(), Out.end());
  return Out;
}

} // namespace yardrill::platform
