#include "LibGateway/TargetEnds.h"

namespace yardrill::gateway {

namespace asio = boost::asio;

/// Three missing heartbeats and the way of the news: what has not been heard
/// of by then is not heard of any more.
static constexpr std::chrono::seconds NewsTime{6};

void TargetEnds::noteBroken(const routing::Target &Which,
                            const quarantine::ContentDigest &Content,
                            asio::yield_context Yield) {
  auto [Place, IsNew] = m_Broken.try_emplace(Which.run());
  if (IsNew)
    Place->second = std::make_shared<Broken>(m_Context, Which);
  // Kept alive while this coroutine waits.
  BrokenHandle Known = Place->second;
  Known->m_Contents.push_back(Content);
  Known->m_LastAt = core::steadyNow();
  if (Known->m_HasEnded)
    return tell(*Known);
  if (!Known->m_IsProbing)
    return probe(Known, Yield);
  boost::system::error_code Ignored;
  Known->m_Probed.async_wait(Yield[Ignored]);
}

void TargetEnds::probe(const BrokenHandle &Which, asio::yield_context Yield) {
  Which->m_IsProbing = true;
  Which->m_Probed.expires_at(core::Timer::time_point::max());
  Presence Seen = m_Hooks.m_Probe(Which->m_Which, Yield);
  Which->m_IsProbing = false;
  if (Seen == Presence::Gone)
    Which->m_HasEnded = true;
  // It outlived them: what becomes of it later says nothing of them.
  if (Seen == Presence::Listens)
    Which->m_Contents.clear();
  if (Which->m_HasEnded)
    tell(*Which);
  Which->m_Probed.cancel();
}

void TargetEnds::noteEnded(const routing::TargetIncarnation &Run) {
  auto Found = m_Broken.find(Run);
  if (Found == m_Broken.end())
    return;
  Found->second->m_HasEnded = true;
  tell(*Found->second);
}

void TargetEnds::tell(Broken &Which) {
  std::vector<quarantine::ContentDigest> Contents;
  Contents.swap(Which.m_Contents);
  for (const quarantine::ContentDigest &Each : Contents)
    m_Hooks.m_EndedUnder(Which.m_Which, Each);
}

void TargetEnds::upkeep(core::TimePoint Now) {
  for (auto Each = m_Broken.begin(); Each != m_Broken.end();) {
    bool IsOld = Now - Each->second->m_LastAt > NewsTime;
    Each = IsOld ? m_Broken.erase(Each) : std::next(Each);
  }
}

} // namespace yardrill::gateway
