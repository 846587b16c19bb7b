#include "LibRouting/FleetShare.h"

#include <algorithm>
#include <iterator>

namespace yardrill::routing {

/// Of a quota whose sharers are not all known, where no record tells how many
/// there are.
static constexpr double UnsettledPart = 0.75;

double quotaShare(const QuotaView &View) {
  auto Heard = static_cast<double>(View.m_Heard);
  double Part = View.m_PartOfFleet * Heard /
                (Heard + static_cast<double>(View.m_Missing));
  if (View.m_IsSettled)
    return Part;
  if (View.m_Recorded == 0)
    return Part * UnsettledPart;
  return std::min(Part, Heard / static_cast<double>(View.m_Recorded));
}

FleetShare::FleetShare(const config::Endpoint &Self,
                       const std::set<config::Endpoint> &Fleet)
    : m_Fleet(Fleet.size()),
      m_Groups((Fleet.size() + MostMembers - 1) / MostMembers) {
  auto GroupOf = [this](std::size_t Rank) { return Rank * m_Groups / m_Fleet; };
  auto Place = Fleet.find(Self);
  auto Rank = static_cast<std::size_t>(std::distance(Fleet.begin(), Place));
  m_Group = GroupOf(Rank);
  std::size_t Other = 0;
  for (const config::Endpoint &Each : Fleet) {
    if (GroupOf(Other) == m_Group && Other != Rank)
      m_Near.insert(Each);
    ++Other;
  }
}

double FleetShare::partOfFleet() const {
  return static_cast<double>(m_Near.size() + 1) / static_cast<double>(m_Fleet);
}

bool FleetShare::isShared(std::size_t Count) const {
  return Count < m_Groups * LeastTargets;
}

bool FleetShare::isOwn(std::size_t Rank, std::size_t Count) const {
  return isShared(Count) || Rank * m_Groups / Count == m_Group;
}

} // namespace yardrill::routing
