//===-- FleetShare.h - Which targets an instance works with ---------------===//
//
// In a large fleet, instances that all use all targets must hear from all
// others, and each keeps connections to every target. So the fleet is cut into
// groups of a few instances; each group has its own part of the targets and
// tells its work only to itself. Nothing is agreed: every instance works the
// cut out from the instances it knows, and where two know different ones, a
// target is used by both for a while.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_FLEETSHARE_H
#define YARDRILL_LIBROUTING_FLEETSHARE_H

#include "LibConfig/Endpoint.h"

#include <cstddef>
#include <set>

namespace yardrill::routing {

/// What an instance knows of those that share the quotas with it.
struct QuotaView {
  std::size_t m_Heard = 1;   ///< Of the group, this instance included.
  std::size_t m_Missing = 0; ///< Of the group, silent without having stopped.
  double m_PartOfFleet = 1;  ///< The group's.
  /// False while a process that has just started still finds others.
  bool m_IsSettled = true;
  std::size_t m_Recorded = 0; ///< Size of the fleet in the store; 0: none.
};

/// Part of each quota that an instance may count on, what those that it hears
/// draw included. All instances that do so stay within the quota together, also
/// when every process starts anew at once and none has found the others.
double quotaShare(const QuotaView &View);

class FleetShare {
public:
  /// The whole fleet is one group.
  FleetShare() = default;
  /// \param Fleet peer addresses of all instances known, this one included.
  /// Addresses of one data hall lie together in their order.
  FleetShare(const config::Endpoint &Self,
             const std::set<config::Endpoint> &Fleet);

  /// The other instances of the group.
  const std::set<config::Endpoint> &near() const { return m_Near; }
  bool isNear(const config::Endpoint &Peer) const {
    return m_Near.count(Peer) != 0;
  }
  std::size_t groups() const { return m_Groups; }
  /// Part of the fleet that the group is, 0 to 1.
  double partOfFleet() const;

  /// Whether the target at \p Rank of \p Count, in an order that every
  /// instance uses, belongs to the group. Pools with few targets are shared by
  /// all.
  bool isOwn(std::size_t Rank, std::size_t Count) const;
  /// Whether a pool of \p Count targets is shared by all groups.
  bool isShared(std::size_t Count) const;

private:
  /// Members of a group: few enough that each hears from all others every
  /// 40 ms at little cost, many enough to even out their callers.
  static constexpr std::size_t MostMembers = 8;
  /// Least targets of a pool for each group.
  static constexpr std::size_t LeastTargets = 6;

  std::set<config::Endpoint> m_Near;
  std::size_t m_Fleet = 1;
  std::size_t m_Groups = 1;
  std::size_t m_Group = 0;
};

} // namespace yardrill::routing

#endif
