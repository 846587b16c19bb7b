//===-- FollowerSelection.h - Selects the instances that follow the store -===//
//
// Does no I/O. In a large fleet only a few instances follow the store and
// report changes to the others, since each call to the store is billed. Without
// any agreement, the first instances in the order of their addresses' hashes
// follow. If too few of them do, because they are lost or rejected by the
// store, the next ones join, twice as many with each second; if all joined at
// once, the whole fleet would call a store that is unavailable.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FOLLOWERSELECTION_H
#define YARDRILL_LIBGATEWAY_FOLLOWERSELECTION_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::gateway {

/// Decides for one instance; used by PeerService.
class FollowerSelection {
public:
  /// Tolerates the loss of about a third of the instances: if 35 % are lost,
  /// the probability that no follower remains is 0.35^6 = 0.002.
  static constexpr std::size_t DesiredFollowers = 6;

  /// \param Rank number of instances of the fleet, live or not, that precede
  /// this one in the order.
  void setRank(std::size_t Rank) { m_Rank = Rank; }
  /// Updates the selection; must be called several times a second.
  /// \param FollowersBefore live followers that precede this instance.
  void update(std::size_t FollowersBefore, core::TimePoint Now);
  bool isSelected() const { return m_IsSelected; }

private:
  std::size_t m_Rank = 0;
  /// Time since which there have been too few followers; none if enough.
  std::optional<core::TimePoint> m_TooFewSince;
  bool m_IsSelected = true;
};

} // namespace yardrill::gateway

#endif
