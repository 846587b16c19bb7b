//===-- FleetSubset.h - Which targets an instance works with
//---------------===//
//
// In a large fleet, instances that all use all targets must hear from all
// others, and each keeps connections to every target. So the fleet is cut into
// groups of a few instances; each group has its own part of the targets and
// tells its work only to itself. Nothing is agreed: every instance works the
// cut out from the instances it knows, and where two know different ones, a
// target is used by both for a while.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_FLEETSUBSET_H
#define YARDRILL_LIBROUTING_FLEETSUBSET_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace yardrill::routing {

/// An instance or a target, as the cut sees it.
struct DataHallMember {
  core::DataHallName m_DataHall;
  std::uint64_t m_Hash = 0; ///< Of its name; no two alike.
};

/// Indexes of \p Members in an order in which any run of neighbours is a mix
/// of all data halls by their sizes. One member more or less moves the others
/// little.
std::vector<std::size_t>
interleavedOrder(const std::vector<DataHallMember> &Members);

class FleetSubset {
public:
  /// Members of a group, at the least: few enough that each hears from all
  /// others several times a second at little cost, many enough to even out
  /// their callers.
  static constexpr std::size_t DefaultGroupSize = 8;

  /// Members that the groups of a fleet should have, by the targets of its
  /// largest pool: so many that each group has a part of it to itself, since
  /// groups that share one do not know of each other's work.
  static std::size_t groupSizeFor(std::size_t Instances, std::size_t Targets);

  /// Data hall of each instance, by its peer address.
  using Fleet = std::map<config::Endpoint, core::DataHallName>;

  /// The whole fleet is one group.
  FleetSubset() = default;
  /// \param All instances known, \p Self included. Each group is a mix of all
  /// data halls, since callers and instances are spread unevenly over them.
  /// \param GroupSize of a group; not 0.
  FleetSubset(const config::Endpoint &Self, const Fleet &All,
              std::size_t GroupSize = DefaultGroupSize);

  /// The other instances of the group.
  const std::set<config::Endpoint> &groupMembers() const {
    return m_GroupMembers;
  }
  bool isGroupPeer(const config::Endpoint &Peer) const {
    return m_GroupMembers.count(Peer) != 0;
  }
  std::size_t groupCount() const { return m_GroupCount; }

  /// Whether the target at \p Rank of \p Count, in the mixed order that every
  /// instance uses, belongs to the group. A pool with few targets has fewer
  /// parts than there are groups, and several groups share one.
  bool isInSubset(std::size_t Rank, std::size_t Count) const;
  /// The same as a run of ranks.
  struct RankRange {
    std::size_t m_First = 0;
    std::size_t m_End = 0; ///< Not of it.
  };
  RankRange subsetRanks(std::size_t Count) const;
  /// All instances that work with the same part of a pool of \p Count targets
  /// as this one, itself included.
  std::vector<config::Endpoint> subsetInstances(std::size_t Count) const;
  /// How many of those come before this one in an order that is another for
  /// each \p Key, and the same for each of them (rendezvous hashing, Thaler and
  /// Ravishankar, 1998).
  std::size_t rendezvousRank(std::uint64_t Key, std::size_t Count) const;
  /// Which of \p Count equal targets this instance should look at first, so
  /// that instances which know little do not agree on the same ones.
  std::size_t firstIndex(std::size_t Count) const;

private:
  /// Least targets of a part of a pool.
  static constexpr std::size_t MinPartitionTargets = 6;

  /// Into how many parts a pool of \p Count targets is cut.
  std::size_t partitionCount(std::size_t Count) const;
  std::size_t groupOfRank(std::size_t Rank) const {
    return Rank * m_GroupCount / m_Size;
  }

  config::Endpoint m_Self;
  std::vector<config::Endpoint> m_Order; ///< All instances, by rank.
  std::set<config::Endpoint> m_GroupMembers;
  std::size_t m_Size = 1; ///< Of the fleet.
  std::size_t m_GroupCount = 1;
  std::size_t m_Group = 0;
  std::size_t m_Rank = 0; ///< Of this instance in the mixed order.
};

} // namespace yardrill::routing

#endif
