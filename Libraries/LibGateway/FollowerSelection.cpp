#include "LibGateway/FollowerSelection.h"

#include <algorithm>

namespace yardrill::gateway {

/// After this time without enough followers, twice as many may follow.
static constexpr std::chrono::seconds DoublingPeriod{1};
/// 48 of them, after three seconds: if even these do not reach the store, it is
/// away. Asked by all 295 it got 5,490 calls on a day with an outage.
static constexpr long MaxDoublings = 3;

void FollowerSelection::update(std::size_t FollowersBefore,
                               core::TimePoint Now) {
  if (FollowersBefore >= DesiredFollowers) {
    m_TooFewSince.reset();
    m_IsSelected = false;
    return;
  }
  if (!m_TooFewSince)
    m_TooFewSince = Now;
  long Doublings =
      std::min<long>((Now - *m_TooFewSince) / DoublingPeriod, MaxDoublings);
  m_IsSelected = m_Rank < DesiredFollowers << static_cast<unsigned>(Doublings);
}

} // namespace yardrill::gateway
