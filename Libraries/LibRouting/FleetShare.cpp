#include "LibRouting/FleetShare.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace yardrill::routing {

/// Each member hears from all others, so what a group costs grows with the
/// square of this.
static constexpr std::size_t MostMembersOfAll = 24;

std::vector<std::size_t> mixedOrder(const std::vector<PlacedMember> &Members) {
  std::map<core::DataHallName, std::vector<std::size_t>> ByHall;
  for (std::size_t I = 0; I < Members.size(); ++I)
    ByHall[Members[I].m_DataHall].push_back(I);
  // Each hall is laid evenly over the whole order.
  std::vector<std::tuple<double, std::uint64_t, std::size_t>> Places;
  for (auto &[Hall, Indexes] : ByHall) {
    std::sort(Indexes.begin(), Indexes.end(),
              [&Members](std::size_t A, std::size_t B) {
                return Members[A].m_Hash < Members[B].m_Hash;
              });
    for (std::size_t Rank = 0; Rank < Indexes.size(); ++Rank) {
      double Place = (static_cast<double>(Rank) + 0.5) /
                     static_cast<double>(Indexes.size());
      Places.emplace_back(Place, Members[Indexes[Rank]].m_Hash, Indexes[Rank]);
    }
  }
  std::sort(Places.begin(), Places.end());
  std::vector<std::size_t> Out;
  Out.reserve(Places.size());
  for (const auto &[Place, Hash, Index] : Places)
    Out.push_back(Index);
  return Out;
}

std::size_t FleetShare::membersFor(std::size_t Instances, std::size_t Targets) {
  // A power of two: all instances must find the same number, also while some
  // know of a target more or less, and while targets are replaced.
  std::size_t Rounded = 1;
  while (Rounded * 2 <= Targets)
    Rounded *= 2;
  std::size_t Groups = std::max<std::size_t>(1, Rounded / LeastTargets);
  std::size_t Members = (Instances + Groups - 1) / Groups;
  return std::clamp(Members, DefaultMostMembers, MostMembersOfAll);
}

FleetShare::FleetShare(const config::Endpoint &Self, const Fleet &All,
                       std::size_t MostMembers)
    : m_Self(Self), m_Size(All.size()),
      m_Groups((All.size() + MostMembers - 1) / MostMembers) {
  std::vector<config::Endpoint> Addresses;
  std::vector<PlacedMember> Members;
  for (const auto &[Address, Hall] : All) {
    Addresses.push_back(Address);
    Members.push_back({Hall, core::stableHash(Address.toString())});
  }
  std::vector<std::size_t> Order = mixedOrder(Members);
  for (std::size_t Index : Order)
    m_Order.push_back(Addresses[Index]);
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (m_Order[Rank] == Self)
      m_Rank = Rank;
  m_Group = groupOf(m_Rank);
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (groupOf(Rank) == m_Group && !(m_Order[Rank] == Self))
      m_Near.insert(m_Order[Rank]);
}

std::size_t FleetShare::partsOf(std::size_t Count) const {
  return std::clamp<std::size_t>(Count / LeastTargets, 1, m_Groups);
}

bool FleetShare::isOwn(std::size_t Rank, std::size_t Count) const {
  std::size_t Parts = partsOf(Count);
  return Rank * Parts / Count == m_Group * Parts / m_Groups;
}

FleetShare::Ranks FleetShare::ownRanks(std::size_t Count) const {
  std::size_t Parts = partsOf(Count);
  std::size_t Part = m_Group * Parts / m_Groups;
  auto FirstOf = [&](std::size_t Which) {
    return (Which * Count + Parts - 1) / Parts;
  };
  return {FirstOf(Part), FirstOf(Part + 1)};
}

std::vector<config::Endpoint> FleetShare::sharersOf(std::size_t Count) const {
  std::size_t Parts = partsOf(Count);
  std::size_t Part = m_Group * Parts / m_Groups;
  std::vector<config::Endpoint> Out;
  for (std::size_t Rank = 0; Rank < m_Order.size(); ++Rank)
    if (groupOf(Rank) * Parts / m_Groups == Part)
      Out.push_back(m_Order[Rank]);
  return Out;
}

std::size_t FleetShare::orderFor(std::uint64_t Key, std::size_t Count) const {
  auto WeightOf = [Key](const config::Endpoint &Of) {
    return core::stableHash(std::to_string(Key) + "@" + Of.toString());
  };
  std::uint64_t Own = WeightOf(m_Self);
  std::vector<config::Endpoint> Sharers = sharersOf(Count);
  return static_cast<std::size_t>(std::count_if(
      Sharers.begin(), Sharers.end(),
      [&](const config::Endpoint &Each) { return WeightOf(Each) > Own; }));
}

std::size_t FleetShare::firstOf(std::size_t Count) const {
  // Multiples of the golden ratio lie evenly, whichever neighbours are taken
  // (Weyl's sequence).
  static constexpr double GoldenRatio = 0.6180339887498949;
  double Place = static_cast<double>(m_Rank) * GoldenRatio;
  Place -= std::floor(Place);
  return static_cast<std::size_t>(Place * static_cast<double>(Count));
}

} // namespace yardrill::routing
