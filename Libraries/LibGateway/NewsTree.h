//===-- NewsTree.h - Receivers of news that all instances need ------------===//
//
// The groups of a fleet form sections, about as many as a section has groups.
// News goes from its origin to a few relays in each section, from each relay to
// a few members of each group of its section, and from these to their groups.
// So no instance sends to more than about the square root of the number of
// groups. Receivers are drawn at random each time, so that a dead one does not
// cut off the same instances again.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_NEWSTREE_H
#define YARDRILL_LIBGATEWAY_NEWSTREE_H

#include "LibConfig/Endpoint.h"
#include "LibRouting/FleetSubset.h"

#include <cstdint>
#include <random>
#include <vector>

namespace yardrill::gateway {

/// Draws receivers from the groups of a fleet; used by PeerExchange.
class NewsTree {
public:
  explicit NewsTree(std::uint64_t Seed) : m_Random(Seed) {}

  void setSubset(const routing::FleetSubset &Subset);
  /// Returns relays in each section, in different groups if possible.
  std::vector<config::Endpoint> relays(std::size_t PerSection);
  /// Returns members of each other group of this instance's section.
  std::vector<config::Endpoint> sectionMembers(std::size_t PerGroup);

private:
  /// Half-open range of group indexes.
  struct GroupRange {
    std::size_t m_First = 0;
    std::size_t m_End = 0;
  };

  GroupRange groupsOf(std::size_t Section) const;
  /// Adds up to \p Count different members of a group.
  void draw(std::size_t Group, std::size_t Count,
            std::vector<config::Endpoint> &Out);

  std::vector<std::vector<config::Endpoint>> m_Groups;
  std::size_t m_OwnGroup = 0;
  std::size_t m_SectionCount = 1;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
