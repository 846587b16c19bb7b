#include "LibGateway/StreamOriginTable.h"

#include <algorithm>

namespace yardrill::gateway {

void StreamOriginTable::put(const StreamKey &Key, StreamRecord Record) {
  auto [Entry, IsNew] = m_Records.try_emplace(Key);
  StreamRecord &Known = Entry->second;
  if (!IsNew) {
    m_ByEnd.erase({Known.m_KeptUntil, Key});
    Record.m_KeptUntil = std::max(Record.m_KeptUntil, Known.m_KeptUntil);
    if (Known.m_IsOwn && !Record.m_IsOwn) {
      Record.m_IsOwn = true;
      Record.m_Route = Known.m_Route;
      Record.m_IsReplicated = Known.m_IsReplicated;
    }
  }
  m_ByEnd.insert({Record.m_KeptUntil, Key});
  Known = std::move(Record);
  if (m_Records.size() > MaxRecords)
    erase(StreamKey(m_ByEnd.begin()->second));
}

void StreamOriginTable::erase(const StreamKey &Key) {
  auto Found = m_Records.find(Key);
  if (Found == m_Records.end())
    return;
  m_ByEnd.erase({Found->second.m_KeptUntil, Key});
  m_Records.erase(Found);
}

void StreamOriginTable::removeExpired(core::TimePoint Now) {
  while (!m_ByEnd.empty() && m_ByEnd.begin()->first < Now)
    erase(StreamKey(m_ByEnd.begin()->second));
}

StreamRecord *StreamOriginTable::find(const StreamKey &Key) {
  auto Found = m_Records.find(Key);
  return Found == m_Records.end() ? nullptr : &Found->second;
}

} // namespace yardrill::gateway
