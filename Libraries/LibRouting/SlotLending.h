//===-- SlotLending.h - Grants free slots to instances of other groups ----===//
#ifndef YARDRILL_LIBROUTING_SLOTLENDING_H
#define YARDRILL_LIBROUTING_SLOTLENDING_H

#include "LibRouting/Dispatcher.h"
#include "LibRouting/SlotLeases.h"
#include "LibRouting/SlotQuestion.h"

#include <optional>

namespace yardrill::routing {

/// Decides whether this instance lends a slot of its subset, and which.
///
/// Answers questions of SlotBorrowing while the own group has more slots than
/// it needs: no request of the pool waits in the group, and enough slots stay
/// free for those that arrive before slots come back by themselves. The reserve
/// is derived from the group's measured load, see reservedSlots(). A lease
/// lasts twice as long as the borrower expects, so that it rarely ends before
/// the request; its upper bound is what the loss of a return costs.
///
/// Takes effect while OverloadSettings::m_SlotLending is on. Between groups
/// that share their subset of a pool, nothing is asked.
class SlotLending {
public:
  static constexpr std::chrono::seconds MaxLeaseTime{10};

  SlotLending(TargetDirectory &Targets, const Dispatcher &Requests,
              SlotLeases &Leases)
      : m_Targets(Targets), m_Requests(Requests), m_Leases(Leases) {}

  /// Grants a slot. \returns none if this group has none to spare.
  std::optional<SlotLease> grant(const SlotQuestion &Question,
                                 const OtherInstance &Borrower,
                                 core::TimePoint Now);
  /// Returns the number of slots of a pool that must stay free.
  double reservedSlots(const core::PoolName &Pool, core::TimePoint Now) const;
  std::uint64_t lentCount() const { return m_LentCount; }
  /// Returns the number of questions that were answered with no slot because
  /// requests wait in the own group, and because its free slots are reserved.
  std::uint64_t refusedForWaiting() const { return m_RefusedForWaiting; }
  std::uint64_t refusedForReserve() const { return m_RefusedForReserve; }

private:
  /// Whether a request of the pool waits here or at a group peer.
  bool isAnyWaiting(const core::PoolName &Pool, core::TimePoint Now) const;
  /// Whether slots of the target may be lent: nothing but its slots limits what
  /// it may be sent, and it has not failed recently.
  bool isLendable(const KnownTarget &Known, core::TimePoint Now) const;
  /// Returns the cheapest lendable target for the borrower, or null if there is
  /// none or the reserve would not stay free.
  const KnownTarget *choose(const PlacementRequest &Request,
                            const core::DataHallName &BorrowerHall,
                            core::TimePoint Now) const;

  TargetDirectory &m_Targets;
  const Dispatcher &m_Requests;
  SlotLeases &m_Leases;
  std::uint64_t m_LentCount = 0;
  std::uint64_t m_RefusedForWaiting = 0;
  std::uint64_t m_RefusedForReserve = 0;
};

} // namespace yardrill::routing

#endif
