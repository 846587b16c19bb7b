#include "LibRouting/FleetSubset.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yardrill::routing {

/// Maximum size of a group. All members report to each other, so the cost of a
/// group grows with the square of its size.
static constexpr std::size_t MaxGroupSize = 24;

std::vector<std::size_t>
interleavedOrder(const std::vector<DataHallMember> &Members) {
  std::map<core::DataHallName, std::vector<std::size_t>> ByHall;
  for (std::size_t I = 0; I < Members.size(); ++I)
    ByHall[Members[I].m_DataHall].push_back(I);
  // Spread each data hall evenly over the whole order.
  std::vector<std::tuple<double, std::uint64_t, std::size_t>> Positions;
  for (auto &[Hall, Indexes] : ByHall) {
    std::sort(Indexes.begin(), Indexes.end(),
              [&Members](std::size_t A, std::size_t B) {
                return Members[A].m_Hash < Members[B].m_Hash;
              });
    for (std::size_t Rank = 0; Rank < Indexes.size(); ++Rank) {
      double Position = (static_cast<double>(Rank) + 0.5) /
                        static_cast<double>(Indexes.size());
      Positions.emplace_back(Position, Members[Indexes[Rank]].m_Hash,
                             Indexes[Rank]);
    }
  }
  std::sort(Positions.begin(), Positions.end());
  std::vector<std::size_t> Out;
  Out.reserve(Positions.size());
  for (const auto &[Position, Hash, Index] : Positions)
    Out.push_back(Index);
  return Out;
}

std::size_t FleetSubset::groupSizeFor(std::size_t Instances,
                                      std::size_t Targets) {
  // Round to a power of two, so that instances agree on the size even if some
  // know a few targets more or less, for example while targets are replaced.
  std::size_t Rounded = 1;
  while (Rounded * 2 <= Targets)
    Rounded *= 2;
  std::size_t Groups = std::max<std::size_t>(1, Rounded / MinPartitionTargets);
  std::size_t Members = (Instances + Groups - 1) / Groups;
  return std::clamp(Members, DefaultGroupSize, MaxGroupSize);
}

FleetSubset::FleetSubset(const config::Endpoint &Self, const Fleet &All,
                         std::size_t GroupSize)
    : m_Self(Self), m_Size(All.size()),
      m_GroupCount((All.size() + GroupSize - 1) / GroupSize) {
  std::vector<config::Endpoint> Addresses;
  std::vector<DataHallMember> Members;
  for (const auto &[Address, Hall] : All) {
    Addresses.push_back(Address);
    Members.push_back({Hall, core::stableHash(Address.toString())});
  }
  std::vector<std::size_t> Order = interleavedOrder(Members);
  for (std::size_t Index : Order) {
    m_Order.push_back(Addresses[Index]);
    m_DataHalls.push_back(Members[Index].m_DataHall);
  }
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (m_Order[Rank] == Self)
      m_Rank = Rank;
  m_Group = groupOfRank(m_Rank);
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (groupOfRank(Rank) == m_Group && !(m_Order[Rank] == Self))
      m_GroupMembers.insert(m_Order[Rank]);
}

std::size_t FleetSubset::partitionCount(std::size_t Count) const {
  return std::clamp<std::size_t>(Count / MinPartitionTargets, 1, m_GroupCount);
}

bool FleetSubset::isInSubset(std::size_t Rank, std::size_t Count) const {
  std::size_t Partitions = partitionCount(Count);
  return Rank * Partitions / Count == m_Group * Partitions / m_GroupCount;
}

FleetSubset::RankRange FleetSubset::subsetRanks(std::size_t Count) const {
  std::size_t Partitions = partitionCount(Count);
  std::size_t Partition = m_Group * Partitions / m_GroupCount;
  auto FirstRank = [&](std::size_t Index) {
    return (Index * Count + Partitions - 1) / Partitions;
  };
  return {FirstRank(Partition), FirstRank(Partition + 1)};
}

bool FleetSubset::sharesSubset(std::size_t Rank, std::size_t Count) const {
  std::size_t Partitions = partitionCount(Count);
  return groupOfRank(Rank) * Partitions / m_GroupCount ==
         m_Group * Partitions / m_GroupCount;
}

std::vector<config::Endpoint>
FleetSubset::subsetInstances(std::size_t Count) const {
  std::vector<config::Endpoint> Out;
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (sharesSubset(Rank, Count))
      Out.push_back(m_Order[Rank]);
  return Out;
}

FleetSubset::Fleet
FleetSubset::instancesOutsideSubset(std::size_t Count) const {
  Fleet Out;
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (!sharesSubset(Rank, Count))
      Out.emplace(m_Order[Rank], m_DataHalls[Rank]);
  return Out;
}

core::DataHallName
FleetSubset::dataHallOf(const config::Endpoint &Instance) const {
  auto Found = std::find(m_Order.begin(), m_Order.end(), Instance);
  return Found == m_Order.end()
             ? core::DataHallName()
             : m_DataHalls[static_cast<std::size_t>(Found - m_Order.begin())];
}

std::size_t FleetSubset::rendezvousRank(std::uint64_t Key,
                                        std::size_t Count) const {
  auto WeightOf = [Key](const config::Endpoint &Instance) {
    return core::stableHash(std::to_string(Key) + "@" + Instance.toString());
  };
  std::uint64_t Own = WeightOf(m_Self);
  std::vector<config::Endpoint> Peers = subsetInstances(Count);
  return static_cast<std::size_t>(std::count_if(
      Peers.begin(), Peers.end(),
      [&](const config::Endpoint &Each) { return WeightOf(Each) > Own; }));
}

std::size_t FleetSubset::firstIndex(std::size_t Count) const {
  // Fractional parts of multiples of the golden ratio are spread evenly over
  // every range of ranks (Weyl sequence).
  static constexpr double GoldenRatio = 0.6180339887498949;
  double Position = static_cast<double>(m_Rank) * GoldenRatio;
  Position -= std::floor(Position);
  return static_cast<std::size_t>(Position * static_cast<double>(Count));
}

} // namespace yardrill::routing
