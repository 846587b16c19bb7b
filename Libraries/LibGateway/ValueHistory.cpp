//===-- ValueHistory.cpp - Patches between versions of large values -------===//
#include "LibGateway/ValueHistory.h"

#include "LibGateway/MirrorUpdate.h"
#include "LibGateway/ValuePatch.h"

#include <algorithm>
#include <numeric>

namespace yardrill::gateway {

using platform::Entry;

static std::size_t bytesOf(const std::deque<Entry> &Versions) {
  return std::accumulate(Versions.begin(), Versions.end(), std::size_t(0),
                         [](std::size_t Sum, const Entry &Each) {
                           return Sum + Each.m_Value.size();
                         });
}

void ValueHistory::addReplaced(Entry Old) {
  if (!isLargeValue(Old.m_Value))
    return;
  KeyHistory &History = m_Keys[Old.m_Key];
  History.m_Patches.clear();
  History.m_Older.push_back(std::move(Old));
  while (History.m_Older.size() > MaxVersions ||
         bytesOf(History.m_Older) > MaxBytes)
    History.m_Older.pop_front();
}

CachedPatch ValueHistory::patch(const Entry &Newest,
                                platform::Revision HeldRevision) {
  KeyHistory &History = m_Keys[Newest.m_Key];
  if (History.m_NewestRevision != Newest.m_ModRevision)
    History.m_Patches.clear();
  History.m_NewestRevision = Newest.m_ModRevision;
  auto Base = std::find_if(History.m_Older.begin(), History.m_Older.end(),
                           [HeldRevision](const Entry &Each) {
                             return Each.m_ModRevision == HeldRevision;
                           });
  bool HasBase = Base != History.m_Older.end();
  CachedPatch &Out =
      History.m_Patches[HasBase ? Base->m_ModRevision : platform::Revision()];
  if (Out.m_Patch)
    return Out;
  if (HasBase)
    Out.m_Base = Base->m_ModRevision;
  Out.m_Patch = std::make_shared<const std::string>(
      makePatch(HasBase ? Base->m_Value : std::string(), Newest.m_Value));
  return Out;
}

} // namespace yardrill::gateway
