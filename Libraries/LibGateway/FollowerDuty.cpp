#include "LibGateway/FollowerDuty.h"

#include <algorithm>

namespace yardrill::gateway {

/// After this time without enough followers, twice as many may follow.
static constexpr std::chrono::seconds GrowTime{1};
/// 48 of them, after three seconds: if even these do not reach the store, it is
/// away. Asked by all 295 it got 5,490 calls on a day with an outage.
static constexpr long MostDoublings = 3;

void FollowerDuty::update(std::size_t Before, core::TimePoint Now) {
  if (Before >= Wanted) {
    m_ShortSince.reset();
    m_IsNeeded = false;
    return;
  }
  if (!m_ShortSince)
    m_ShortSince = Now;
  long Doublings =
      std::min<long>((Now - *m_ShortSince) / GrowTime, MostDoublings);
  m_IsNeeded = m_Rank < Wanted << static_cast<unsigned>(Doublings);
}

} // namespace yardrill::gateway
