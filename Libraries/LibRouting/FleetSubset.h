//===-- FleetSubset.h - Subset of targets that an instance uses -----------===//
//
// If every instance used every target, each would need load reports from all
// others and connections to all targets. Instead the fleet is divided into
// groups of a few instances. Each group has its own subset of the targets and
// exchanges load reports only within itself. The division is deterministic and
// needs no agreement: every instance derives it from the instances it knows.
// While two instances know different ones, both may use the same target.
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

/// An instance or a target, as a member of an interleaved order.
struct DataHallMember {
  core::DataHallName m_DataHall;
  std::uint64_t m_Hash = 0; ///< Unique hash of its name or address.
};

/// Returns the indexes of \p Members in an order in which every contiguous
/// range contains all data halls in proportion to their sizes. Adding or
/// removing a member shifts the others only slightly.
std::vector<std::size_t>
interleavedOrder(const std::vector<DataHallMember> &Members);

/// Assigns this instance to a group and selects the group's targets.
class FleetSubset {
public:
  /// Default group size, and the minimum that groupSizeFor() returns: small
  /// enough for several reports a second between all members, large enough to
  /// average out their callers.
  static constexpr std::size_t DefaultGroupSize = 8;

  /// Returns the maximum number of instances in a group, for a fleet whose
  /// largest pool has \p Targets targets. Up to an upper bound, groups are
  /// large enough for each to have its own subset of that pool, because groups
  /// that share targets do not see each other's load.
  static std::size_t groupSizeFor(std::size_t Instances, std::size_t Targets);

  /// Maps the peer address of each instance to its data hall.
  using Fleet = std::map<config::Endpoint, core::DataHallName>;

  /// Creates a single group that uses all targets.
  FleetSubset() = default;
  /// Divides the fleet into groups. Each group mixes all data halls, because
  /// callers and instances are spread unevenly over them.
  /// \param All known instances, including \p Self.
  /// \param GroupSize maximum number of instances in a group; not 0.
  FleetSubset(const config::Endpoint &Self, const Fleet &All,
              std::size_t GroupSize = DefaultGroupSize);

  /// Returns the other instances of this instance's group.
  const std::set<config::Endpoint> &groupMembers() const {
    return m_GroupMembers;
  }
  bool isGroupPeer(const config::Endpoint &Peer) const {
    return m_GroupMembers.count(Peer) != 0;
  }
  std::size_t groupCount() const { return m_GroupCount; }

  /// Whether the target at \p Rank of \p Count in the interleaved order of its
  /// pool belongs to the group's subset. A small pool has fewer partitions than
  /// there are groups, so several groups share one.
  bool isInSubset(std::size_t Rank, std::size_t Count) const;
  /// Half-open range of ranks.
  struct RankRange {
    std::size_t m_First = 0;
    std::size_t m_End = 0;
  };
  /// Returns the ranks of the group's subset in a pool of \p Count targets.
  RankRange subsetRanks(std::size_t Count) const;
  /// Returns all instances that share this instance's subset of a pool of
  /// \p Count targets, including itself.
  std::vector<config::Endpoint> subsetInstances(std::size_t Count) const;
  /// Returns the instances whose subset of a pool of \p Count targets is
  /// another one, with their data halls.
  Fleet instancesOutsideSubset(std::size_t Count) const;
  /// Returns the data hall of an instance; empty if it is unknown.
  core::DataHallName dataHallOf(const config::Endpoint &Instance) const;
  /// Returns this instance's rank among subsetInstances() by rendezvous hashing
  /// (Thaler and Ravishankar, 1998). The order differs for each \p Key, and all
  /// of these instances agree on it.
  std::size_t rendezvousRank(std::uint64_t Key, std::size_t Count) const;
  /// Returns the index of the target among \p Count equal ones that this
  /// instance should consider first. Instances start at different indexes, so
  /// that they do not all choose the same target while they know no load.
  std::size_t firstIndex(std::size_t Count) const;

private:
  /// Minimum number of targets in a partition of a pool.
  static constexpr std::size_t MinPartitionTargets = 6;

  /// Returns the number of partitions of a pool of \p Count targets.
  std::size_t partitionCount(std::size_t Count) const;
  /// Whether the instance at a rank has this instance's subset of a pool.
  bool sharesSubset(std::size_t Rank, std::size_t Count) const;
  std::size_t groupOfRank(std::size_t Rank) const {
    return Rank * m_GroupCount / m_Size;
  }

  config::Endpoint m_Self;
  /// All instances in interleaved order.
  std::vector<config::Endpoint> m_Order;
  std::vector<core::DataHallName> m_DataHalls; ///< In the same order.
  std::set<config::Endpoint> m_GroupMembers;
  std::size_t m_Size = 1; ///< Number of instances in the fleet.
  std::size_t m_GroupCount = 1;
  std::size_t m_Group = 0; ///< Index of this instance's group.
  std::size_t m_Rank = 0;  ///< Index of this instance in m_Order.
};

} // namespace yardrill::routing

#endif
