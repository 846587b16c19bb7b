//===-- ConsistentHashRing.h - Which instances keep an account's quota
//-------------===//
#ifndef YARDRILL_LIBROUTING_CONSISTENTHASHRING_H
#define YARDRILL_LIBROUTING_CONSISTENTHASHRING_H

#include "LibConfig/Endpoint.h"

#include <cstdint>
#include <utility>
#include <vector>

namespace yardrill::routing {

/// A consistent-hash ring (Karger et al., 1997) over the peer addresses of all
/// instances. Whoever has the same list names the same owners, whichever of
/// them live; one instance more or less moves few accounts.
class ConsistentHashRing {
public:
  /// Owners of one account. Each keeps its part of the quota, so that the loss
  /// of one leaves two thirds of the limit, and no other has to take over.
  static constexpr std::size_t MaxOwners = 3;

  /// Of nobody.
  ConsistentHashRing() = default;
  explicit ConsistentHashRing(const std::vector<config::Endpoint> &Members);

  std::size_t size() const { return m_Points.size(); }
  /// The first members after \p Hash; fewer than MaxOwners in a small fleet.
  std::vector<config::Endpoint> ownersOf(std::uint32_t Hash) const;

private:
  /// By the low half of stableHash() of the address.
  std::vector<std::pair<std::uint32_t, config::Endpoint>> m_Points;
};

} // namespace yardrill::routing

#endif
