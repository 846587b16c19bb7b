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
  KeyHistory &Known = m_Keys[Old.m_Key];
  Known.m_Patches.clear();
  Known.m_Older.push_back(std::move(Old));
  while (Known.m_Older.size() > MaxVersions ||
         bytesOf(Known.m_Older) > MaxBytes)
    Known.m_Older.pop_front();
}

CachedPatch ValueHistory::patch(const Entry &Newest, platform::Revision Held) {
  KeyHistory &Known = m_Keys[Newest.m_Key];
  if (Known.m_NewestRevision != Newest.m_ModRevision)
    Known.m_Patches.clear();
  Known.m_NewestRevision = Newest.m_ModRevision;
  auto Base = std::find_if(
      Known.m_Older.begin(), Known.m_Older.end(),
      [Held](const Entry &Each) { return Each.m_ModRevision == Held; });
  bool HasBase = Base != Known.m_Older.end();
  CachedPatch &Out =
      Known.m_Patches[HasBase ? Base->m_ModRevision : platform::Revision()];
  if (Out.m_Patch)
    return Out;
  if (HasBase)
    Out.m_Base = Base->m_ModRevision;
  Out.m_Patch = std::make_shared<const std::string>(
      makePatch(HasBase ? Base->m_Value : std::string(), Newest.m_Value));
  return Out;
}

} // namespace yardrill::gateway
