#include "EngineModel.h"

#include <algorithm>

namespace yardrill::bench {

void EngineModel::enqueue(std::size_t Index, const Request &What) {
  m_Waiting.emplace(std::make_pair(What.m_Tier, Index), Index);
}

bool EngineModel::cancelWaiting(std::size_t Index, const Request &What) {
  return m_Waiting.erase({What.m_Tier, Index}) != 0;
}

bool EngineModel::hasPrefix(std::uint64_t Prefix) const {
  return std::find(m_Cache.begin(), m_Cache.end(), Prefix) != m_Cache.end();
}

static core::Duration fromSeconds(double Seconds) {
  return core::Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

std::optional<StartedRequest>
EngineModel::startNext(const std::vector<Request> &All) {
  if (m_Running >= m_Slots || m_Waiting.empty())
    return std::nullopt;
  StartedRequest Out;
  Out.m_Request = m_Waiting.begin()->second;
  m_Waiting.erase(m_Waiting.begin());
  ++m_Running;
  const Request &What = All[Out.m_Request];
  Out.m_IsCached = What.m_Prefix != 0 && hasPrefix(What.m_Prefix);
  if (What.m_Prefix != 0) {
    m_Cache.remove(What.m_Prefix);
    m_Cache.push_back(What.m_Prefix);
    if (m_Cache.size() > m_CachedPrefixes)
      m_Cache.pop_front();
  }
  double Scale = m_Slowness / m_Speed;
  double Prefill = Out.m_IsCached ? 0 : What.m_Prefill / PrefillRate * Scale;
  Out.m_Prefill = fromSeconds(Prefill);
  Out.m_Total = fromSeconds(Prefill + What.m_Output / DecodeRate * Scale);
  return Out;
}

} // namespace yardrill::bench
