//===-- ConsistentHashRing.h - Selects the quota owners of accounts -------===//
#ifndef YARDRILL_LIBROUTING_CONSISTENTHASHRING_H
#define YARDRILL_LIBROUTING_CONSISTENTHASHRING_H

#include "LibConfig/Endpoint.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace yardrill::routing {

/// Consistent-hash ring (Karger et al., 1997) of the peer addresses of all
/// instances. Instances with the same membership select the same owners,
/// whether or not these are running. Adding or removing an instance moves few
/// accounts.
class ConsistentHashRing {
public:
  /// Maximum number of owners of an account. Each holds a share of the quota,
  /// so the loss of one of three leaves two thirds of the limit without a
  /// failover.
  static constexpr std::size_t MaxOwners = 3;
  /// Maximum number of witnesses of an owner. Odd, so that there is always a
  /// majority.
  static constexpr std::size_t MaxWitnesses = 15;

  /// Creates a ring without members.
  ConsistentHashRing() = default;
  explicit ConsistentHashRing(const std::vector<config::Endpoint> &Members);

  std::size_t size() const { return m_Points.size(); }
  bool contains(const config::Endpoint &Member) const {
    return positionOf(Member) != m_Points.size();
  }
  /// Returns the members that follow \p Hash on the ring: MaxOwners, or all if
  /// there are fewer.
  std::vector<config::Endpoint> ownersOf(std::uint32_t Hash) const;
  /// Returns \p Count members that follow \p Hash on the ring, or all if there
  /// are fewer.
  std::vector<config::Endpoint> membersAfter(std::uint32_t Hash,
                                             std::size_t Count) const;
  /// Whether \p Member is one of ownersOf(\p Hash).
  bool isOwner(std::uint32_t Hash, const config::Endpoint &Member) const;
  /// Returns the members that follow \p Member on the ring: MaxWitnesses, or
  /// all others if there are fewer; none if \p Member is not on the ring.
  /// Without the store, an owner goes on only while at least half of these know
  /// of no newer membership.
  std::vector<config::Endpoint>
  witnessesOf(const config::Endpoint &Member) const;
  /// Returns the members that have \p Member as a witness.
  std::vector<config::Endpoint>
  witnessedBy(const config::Endpoint &Member) const;

private:
  /// Returns the position of the first owner of \p Hash.
  std::size_t firstOwner(std::uint32_t Hash) const;
  /// Returns the position of \p Member; size() if it is not on the ring.
  std::size_t positionOf(const config::Endpoint &Member) const;
  /// Returns \p Count members from position \p Start of the ring on.
  std::vector<config::Endpoint> membersFrom(std::size_t Start,
                                            std::size_t Count) const;

  /// Members sorted by the low half of stableHash() of their address.
  std::vector<std::pair<std::uint32_t, config::Endpoint>> m_Points;
};

} // namespace yardrill::routing

#endif
