//===-- QuotaRings.h - Selects the owners of each account's quota ---------===//
//
// Each owner of an account holds its share by a lease that it renews by
// reaching the store. The successor of an owner that was lost without an
// announced stop begins once that lease has ended. Until the lost owner has
// certainly stopped, it may go on without the store, so the share is divided
// between the two.
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
  /// Only a part of it is held, because a lost owner may still grant the rest.
  bool m_IsPartial = false;
  /// Share of it, 0 to 1, whose former owner may grant until it learns of the
  /// newer list.
  double m_HandedOver = 1;
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
      : QuotaRings(Owners, Owners, Planned) {}
  QuotaRings(ConsistentHashRing Owners, ConsistentHashRing Leaseholders,
             ConsistentHashRing Planned)
      : m_Owners(std::move(Owners)), m_Leaseholders(std::move(Leaseholders)),
        m_Planned(std::move(Planned)) {}

  /// Returns the owners of the account with that hash.
  std::vector<config::Endpoint> ownersOf(std::uint32_t Account) const;
  /// Returns the share that \p Instance holds; none if it is no owner.
  std::optional<QuotaShare> shareOf(std::uint32_t Account,
                                    const config::Endpoint &Instance) const;
  /// Whether a lost owner may still grant a part of its share of the account.
  bool isDivided(std::uint32_t Account) const {
    return !lostOwnersOf(Account).empty();
  }
  /// Returns the size of each of \p OwnerCount shares of an account, 0 to 1.
  /// Shares grow only with a list of fewer than MaxOwners owners, because an
  /// owner that is missing may still hold its share.
  double shareSize(std::size_t OwnerCount) const;
  /// Returns the number of instances that may admit requests.
  std::size_t instanceCount() const;

  /// Instances that may grant by a list that they know. Changes only once all
  /// of them know of it or have stopped, so it also holds lost instances.
  ConsistentHashRing m_Owners;
  ConsistentHashRing m_Leaseholders; ///< Instances that hold shares.
  /// Also those that the membership adds; without this instance if the
  /// membership has removed it. What an instance holds by both rings, no
  /// pending change can take from it.
  ConsistentHashRing m_Planned;

private:
  /// Returns the former owners of the account that are no leaseholders any
  /// more, but may still grant.
  std::vector<config::Endpoint> lostOwnersOf(std::uint32_t Account) const;
};

} // namespace yardrill::routing

#endif
