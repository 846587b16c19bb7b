//===-- RendezvousHash.h - Selects some instances for a key ---------------===//
#ifndef YARDRILL_LIBROUTING_RENDEZVOUSHASH_H
#define YARDRILL_LIBROUTING_RENDEZVOUSHASH_H

#include "LibConfig/Endpoint.h"

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace yardrill::routing {

/// Rendezvous hashing (Thaler and Ravishankar, 1998) over the peer addresses of
/// instances. Each instance is selected for an equal share of the keys, and
/// adding or removing one changes only what is selected by its rank.
class RendezvousHash {
public:
  /// Creates a selection without members.
  RendezvousHash() = default;
  explicit RendezvousHash(const std::vector<config::Endpoint> &Members);

  /// Returns the members with the highest ranks for \p Key that \p MayUse
  /// accepts, at most \p Count. Takes a time linear in the number of members.
  std::vector<config::Endpoint>
  select(std::uint64_t Key, std::size_t Count,
         const std::function<bool(const config::Endpoint &)> &MayUse) const;

private:
  std::vector<std::pair<std::uint64_t, config::Endpoint>>
      m_Members; ///< By hash
};

} // namespace yardrill::routing

#endif
