//===-- InterleavedTargets.h - Targets of a pool in interleaved order -----===//
#ifndef YARDRILL_LIBROUTING_INTERLEAVEDTARGETS_H
#define YARDRILL_LIBROUTING_INTERLEAVEDTARGETS_H

#include "LibRouting/KnownTarget.h"

#include <cstddef>
#include <map>
#include <vector>

namespace yardrill::routing {

/// Maintains the targets of one pool in the order of interleavedOrder().
///
/// Each data hall is spread evenly over the order, so the rank of a target
/// follows from its index within the hall and from the sizes of all halls.
/// Inserting or erasing a target costs a binary search and a move of pointers
/// within its hall; a slice costs two binary searches in each hall.
class InterleavedTargets {
public:
  /// Adds a target. The reference must stay valid, and its data hall, hash and
  /// name must not change, until the target is erased.
  void insert(KnownTarget &Known);
  void erase(const KnownTarget &Known);

  std::size_t size() const { return m_Size; }
  /// Returns the targets at the ranks from \p First up to but excluding
  /// \p Last.
  std::vector<KnownTarget *> slice(std::size_t First, std::size_t Last) const;

  /// Returns how many members were visited since the start; lets tests check
  /// complexity.
  std::size_t visitCount() const { return m_VisitCount; }

private:
  /// Targets of one data hall, sorted by KnownTarget::ByHash.
  using Hall = std::vector<KnownTarget *>;

  /// Returns the rank of the target at \p Index of \p Targets.
  std::size_t rankOf(const Hall &Targets, std::size_t Index) const;
  /// Returns how many targets of \p Other precede the one at \p Index of
  /// \p Targets.
  std::size_t countBefore(const Hall &Other, const Hall &Targets,
                          std::size_t Index) const;
  /// Returns the first index of \p Targets whose rank is not below \p Rank.
  std::size_t firstIndexFrom(const Hall &Targets, std::size_t Rank) const;

  std::map<core::DataHallName, Hall> m_Halls;
  std::size_t m_Size = 0;
  mutable std::size_t m_VisitCount = 0;
};

} // namespace yardrill::routing

#endif
