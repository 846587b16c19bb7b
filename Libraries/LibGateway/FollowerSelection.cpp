//===-- FollowerSelection.cpp - Selects followers of the store ------------===//
#include "LibGateway/FollowerSelection.h"

#include <algorithm>

namespace yardrill::gateway {

/// Time without enough followers after which the number of instances that may
/// follow doubles.
static constexpr std::chrono::seconds DoublingPeriod{1};
/// Allows 48 followers; if none of these reaches the store, it is probably
/// unavailable, and further ones would only add calls: when all of 295
/// instances asked, it got 5,490 calls on one day with an outage.
static constexpr long MaxFastDoublings = 3;
/// The same beyond that. All of the first 48 may be lost for good, and without
/// a follower no record of the fleet would ever say so.
static constexpr std::chrono::seconds SlowDoublingPeriod{15};
/// Exceeds the size of any fleet.
static constexpr long MaxDoublings = 12;

void FollowerSelection::update(std::size_t FollowersBefore,
                               core::TimePoint Now) {
  if (FollowersBefore >= DesiredFollowers) {
    m_TooFewSince.reset();
    m_IsSelected = false;
    return;
  }
  if (!m_TooFewSince)
    m_TooFewSince = Now;
  core::Duration TooFewTime = Now - *m_TooFewSince;
  long Doublings =
      std::min<long>(TooFewTime / DoublingPeriod, MaxFastDoublings) +
      static_cast<long>(TooFewTime / SlowDoublingPeriod);
  Doublings = std::min(Doublings, MaxDoublings);
  m_IsSelected = m_Rank < DesiredFollowers << static_cast<unsigned>(Doublings);
}

} // namespace yardrill::gateway
