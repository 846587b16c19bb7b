//===-- InterleavedTargets.h - The targets of one pool, in the order of all
//--------===//
#ifndef YARDRILL_LIBROUTING_INTERLEAVEDTARGETS_H
#define YARDRILL_LIBROUTING_INTERLEAVEDTARGETS_H

#include "LibRouting/KnownTarget.h"

#include <cstddef>
#include <map>
#include <vector>

namespace yardrill::routing {

/// Keeps the order of interleavedOrder() without sorting anew: each data hall's
/// targets lie evenly over it, so a rank follows from the rank within the hall
/// and the halls' sizes. One target more or less costs a search and a move of
/// pointers within its hall, and a run of neighbours a search in each hall.
class InterleavedTargets {
public:
  /// \p What stays where it is until it is erased; its data hall, its hash and
  /// its name do not change meanwhile.
  void insert(KnownTarget &What);
  void erase(const KnownTarget &What);

  std::size_t size() const { return m_Size; }
  /// The targets at the ranks from \p First to before \p Last.
  std::vector<KnownTarget *> slice(std::size_t First, std::size_t Last) const;

  /// Members looked at since the start.
  std::size_t visitCount() const { return m_VisitCount; }

private:
  using Hall = std::vector<KnownTarget *>; ///< By KnownTarget::ByHash.

  /// Place of \p Index of \p Of in the whole order.
  std::size_t rankOf(const Hall &Targets, std::size_t Index) const;
  /// How many of \p Other come before \p Index of \p Of.
  std::size_t countBefore(const Hall &Other, const Hall &Targets,
                          std::size_t Index) const;
  /// First index of \p Of whose rank is not below \p Rank.
  std::size_t firstIndexFrom(const Hall &Targets, std::size_t Rank) const;

  std::map<core::DataHallName, Hall> m_Halls;
  std::size_t m_Size = 0;
  mutable std::size_t m_VisitCount = 0;
};

} // namespace yardrill::routing

#endif
