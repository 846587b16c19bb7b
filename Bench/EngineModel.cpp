#include "EngineModel.h"

#include <algorithm>

namespace yardrill::bench {

void EngineModel::enqueue(std::size_t Index, const Request &Queued) {
  m_Waiting.emplace(std::make_pair(Queued.m_Tier, Index), Index);
}

bool EngineModel::cancelWaiting(std::size_t Index, const Request &Queued) {
  return m_Waiting.erase({Queued.m_Tier, Index}) != 0;
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
  const Request &Started = All[Out.m_Request];
  Out.m_IsCached = Started.m_Prefix != 0 && hasPrefix(Started.m_Prefix);
  if (Started.m_Prefix != 0) {
    m_Cache.remove(Started.m_Prefix);
    m_Cache.push_back(Started.m_Prefix);
    if (m_Cache.size() > m_CachedPrefixes)
      m_Cache.pop_front();
  }
  double Scale = m_Slowness / m_Speed;
  double Prefill = Out.m_IsCached ? 0 : Started.m_Prefill / PrefillRate * Scale;
  Out.m_Prefill = fromSeconds(Prefill);
  Out.m_Total = fromSeconds(Prefill + Started.m_Output / DecodeRate * Scale);
  return Out;
}

} // namespace yardrill::bench
