//===-- TierConcurrency.h - Bound on the slots of lower tiers -------------===//
#ifndef YARDRILL_LIBROUTING_TIERCONCURRENCY_H
#define YARDRILL_LIBROUTING_TIERCONCURRENCY_H

#include "LibRouting/TierDemand.h"

#include <map>
#include <optional>

namespace yardrill::routing {

/// Bounds how many slots of a group's subset requests of lower tiers hold.
///
/// Answers a shortage in which long requests of low tiers occupy the slots that
/// short ones of higher tiers need: a slot that is taken can't be reclaimed, so
/// that order in the queue alone comes too late. All requests of a tier and of
/// the lower ones together hold at most what the offered load of the higher
/// tiers leaves, less a margin for its variation. Without demand of higher
/// tiers, every slot may be used.
///
/// The margin follows the square root law: the number of slots that requests
/// want at a time varies by the root of their mean, times a factor for arrivals
/// in clumps. Requests of higher tiers may wait for a part of their objective.
/// The share of the lower tiers' slots that comes free meanwhile goes to them
/// and need not be kept from lower tiers: none is kept if all come free.
///
/// Each tier has a floor that the bound leaves it, because its callers wait for
/// an answer as well: the lowest tier a tenth of the slots, and every lower
/// tier a quarter of what it would get if all tiers were served alike.
///
/// Holds the state of one pool at one time; TierConcurrencyTable keeps it.
class TierConcurrency {
public:
  /// Time for which requests of each tier may wait for a slot; a tier that is
  /// missing does not wait.
  using MaxWaits = std::map<Priority, core::Duration>;

  /// \param Group demand of all instances of the group.
  /// \param UsableSlots slots of the subset's targets that take requests.
  TierConcurrency(PoolDemand Group, double UsableSlots, const MaxWaits &Waits)
      : m_Group(std::move(Group)), m_UsableSlots(UsableSlots), m_Waits(Waits) {}

  /// Returns the number of slots that requests of this tier and of the lower
  /// ones may hold together; none for the highest tier, and while the offered
  /// load of a higher one is unknown.
  std::optional<double> maxHeld(const Priority &Tier) const;
  /// Returns whether a request of this tier may take a free slot; none if there
  /// is no bound. A tier that holds its floor leaves the free slots to requests
  /// of higher tiers that wait anywhere in the group, unless its own slots come
  /// free while these may wait.
  std::optional<bool> mayStart(const Priority &Tier, double FreeSlots) const;

  // Changes at this instance since the demand was measured.
  void recordStart(const Priority &Tier) { ++m_Group[Tier].m_Running; }
  void recordEnd(const Priority &Tier);

private:
  /// Sums over the tiers above and over the others.
  struct Split {
    TierDemand m_Higher;
    TierDemand m_Others; ///< The tier itself and lower ones.
    TierDemand m_Own;    ///< The tier itself.
    core::Duration m_HigherWait = core::Duration::max(); ///< The shortest one.
    bool m_IsKnown = false; ///< Whether higher tiers exist and are measured.
  };

  Split splitAt(const Priority &Tier) const;
  /// Returns the number of slots that the bound leaves to this tier and to the
  /// lower ones together.
  double floorOf(const Priority &Tier) const;
  double maxHeld(const Priority &Tier, const Split &Demand) const;

  PoolDemand m_Group;
  double m_UsableSlots;
  MaxWaits m_Waits;
};

} // namespace yardrill::routing

#endif
