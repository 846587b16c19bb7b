//===-- QuotaRings.h - Selects the owners of each account's quota ---------===//
//
// The first owner of an account holds its share permanently, and is replaced
// only once it certainly has stopped. The others hold theirs by a lease, so
// that a fleet whose owners are lost without a word serves again soon.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_QUOTARINGS_H
#define YARDRILL_LIBROUTING_QUOTARINGS_H

#include "LibRouting/ConsistentHashRing.h"

#include <optional>
#include <vector>

namespace yardrill::routing {

/// Share of an account's quota that one owner holds.
struct QuotaShare {
  bool m_IsLeased = false; ///< Held only while the owner's lease runs.
  bool m_IsAtRisk = false; ///< A pending change may take it away.
};

/// Selects owners now and after a pending change of the membership.
struct QuotaRings {
  /// Uses \p Owners for all.
  QuotaRings(const ConsistentHashRing &Owners) // NOLINT: implicit on purpose
      : QuotaRings(Owners, Owners) {}
  /// Uses the owners as leaseholders, too.
  QuotaRings(const ConsistentHashRing &Owners,
             const ConsistentHashRing &Planned)
      : QuotaRings(Owners, Planned, Owners, Planned) {}
  QuotaRings(ConsistentHashRing Owners, ConsistentHashRing Planned,
             ConsistentHashRing Leaseholders,
             ConsistentHashRing PlannedLeaseholders)
      : m_Owners(std::move(Owners)), m_Planned(std::move(Planned)),
        m_Leaseholders(std::move(Leaseholders)),
        m_PlannedLeaseholders(std::move(PlannedLeaseholders)) {}

  /// Returns the owners of the account with that hash, the permanent one first.
  std::vector<config::Endpoint> ownersOf(std::uint32_t Account) const;
  /// Returns the share that \p Instance holds; none if it is no owner.
  std::optional<QuotaShare> shareOf(std::uint32_t Account,
                                    const config::Endpoint &Instance) const;
  /// Returns the size of each of \p OwnerCount shares of an account, 0 to 1.
  /// Shares grow only with a list of fewer than MaxOwners owners, because a
  /// leaseholder that is missing may still hold its share.
  double shareSize(std::size_t OwnerCount) const;
  /// Returns the number of instances that may admit requests.
  std::size_t instanceCount() const;

  ConsistentHashRing m_Owners; ///< Instances that hold permanent shares.
  /// Also those that the membership adds; without this instance if the
  /// membership has removed it. What an instance owns by both rings, no pending
  /// change can take from it.
  ConsistentHashRing m_Planned;
  ConsistentHashRing m_Leaseholders; ///< Instances that hold leased shares.
  ConsistentHashRing m_PlannedLeaseholders; ///< As m_Planned.
};

} // namespace yardrill::routing

#endif
