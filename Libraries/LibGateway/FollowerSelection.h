//===-- FollowerSelection.h - Which instances follow the store
//-----------------===//
//
// Pure. In a large fleet a few instances follow the store and tell the others:
// each call is paid for. Nothing is agreed on; by the order of a hash of their
// addresses the first ones follow. Where too few of these are heard to follow,
// since they are lost or turned away by the store, those next in order join, a
// few at first and twice as many with each second: all at once, they would ask
// a store that is away for all of them.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FOLLOWERSELECTION_H
#define YARDRILL_LIBGATEWAY_FOLLOWERSELECTION_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::gateway {

class FollowerSelection {
public:
  /// A third may be cut off at once without leaving none (0.35^6 = 0.002).
  static constexpr std::size_t DesiredFollowers = 6;

  /// \param Rank how many instances of the fleet come before this one, heard or
  /// not.
  void setRank(std::size_t Rank) { m_Rank = Rank; }
  /// \param Before of these, how many are heard to follow. To be called several
  /// times a second.
  void update(std::size_t FollowersBefore, core::TimePoint Now);
  bool isSelected() const { return m_IsSelected; }

private:
  std::size_t m_Rank = 0;
  /// Since when too few are heard.
  std::optional<core::TimePoint> m_TooFewSince;
  bool m_IsSelected = true;
};

} // namespace yardrill::gateway

#endif
