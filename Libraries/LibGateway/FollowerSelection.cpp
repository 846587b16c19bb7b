//===-- FollowerSelection.cpp - Selects followers of the store ------------===//
#include "LibGateway/FollowerSelection.h"

#include <algorithm>

namespace yardrill::gateway {

/// Time without enough followers after which the number of instances that may
/// follow doubles.
static constexpr std::chrono::seconds DoublingPeriod{1};
/// Allows 48 followers; if none of these reaches the store, it is unavailable,
/// and further ones would only add calls: when all of 295 instances asked, it
/// got 5,490 calls on one day with an outage.
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
