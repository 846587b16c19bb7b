//===-- NewsTree.cpp - Receivers of news that all instances need ----------===//
#include "LibGateway/NewsTree.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace yardrill::gateway {

void NewsTree::setSubset(const routing::FleetSubset &Subset) {
  m_Groups.clear();
  for (std::size_t Group = 0; Group < Subset.groupCount(); ++Group)
    m_Groups.push_back(Subset.membersOf(Group));
  m_OwnGroup = Subset.group();
  m_SectionCount = static_cast<std::size_t>(
      std::ceil(std::sqrt(static_cast<double>(m_Groups.size()))));
}

NewsTree::GroupRange NewsTree::groupsOf(std::size_t Section) const {
  return {Section * m_Groups.size() / m_SectionCount,
          (Section + 1) * m_Groups.size() / m_SectionCount};
}

void NewsTree::draw(std::size_t Group, std::size_t Count,
                    std::vector<config::Endpoint> &Out) {
  const std::vector<config::Endpoint> &Members = m_Groups[Group];
  std::sample(Members.begin(), Members.end(), std::back_inserter(Out), Count,
              m_Random);
}

std::vector<config::Endpoint> NewsTree::relays(std::size_t PerSection) {
  std::vector<config::Endpoint> Out;
  if (m_Groups.empty())
    return Out;
  for (std::size_t Section = 0; Section < m_SectionCount; ++Section) {
    GroupRange Range = groupsOf(Section);
    std::size_t Size = Range.m_End - Range.m_First;
    std::size_t First = m_Random() % Size;
    for (std::size_t I = 0; I < PerSection; ++I)
      draw(Range.m_First + (First + I) % Size, 1, Out);
  }
  return Out;
}

std::vector<config::Endpoint> NewsTree::sectionMembers(std::size_t PerGroup) {
  std::vector<config::Endpoint> Out;
  if (m_Groups.empty())
    return Out;
  std::size_t Section = 0;
  while (groupsOf(Section).m_End <= m_OwnGroup)
    ++Section;
  GroupRange Range = groupsOf(Section);
  for (std::size_t Group = Range.m_First; Group < Range.m_End; ++Group)
    if (Group != m_OwnGroup)
      draw(Group, PerGroup, Out);
  return Out;
}

} // namespace yardrill::gateway
