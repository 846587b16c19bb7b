#include "LibRouting/ConsistentHashRing.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace yardrill::routing {

ConsistentHashRing::ConsistentHashRing(
    const std::vector<config::Endpoint> &Members) {
  for (const config::Endpoint &Each : Members)
    m_Points.emplace_back(
        static_cast<std::uint32_t>(core::stableHash(Each.toString())), Each);
  std::sort(m_Points.begin(), m_Points.end());
  m_Points.erase(std::unique(m_Points.begin(), m_Points.end()), m_Points.end());
}

std::vector<config::Endpoint>
ConsistentHashRing::membersFrom(std::size_t Start, std::size_t Count) const {
  std::vector<config::Endpoint> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(m_Points[(Start + I) % m_Points.size()].second);
  return Out;
}

std::size_t ConsistentHashRing::firstOwner(std::uint32_t Hash) const {
  auto First = std::lower_bound(m_Points.begin(), m_Points.end(), Hash,
                                [](const auto &Point, std::uint32_t Searched) {
                                  return Point.first < Searched;
                                });
  return static_cast<std::size_t>(First - m_Points.begin());
}

std::vector<config::Endpoint>
ConsistentHashRing::ownersOf(std::uint32_t Hash) const {
  return membersAfter(Hash, MaxOwners);
}

std::vector<config::Endpoint>
ConsistentHashRing::membersAfter(std::uint32_t Hash, std::size_t Count) const {
  return membersFrom(firstOwner(Hash), std::min(Count, m_Points.size()));
}

bool ConsistentHashRing::isOwner(std::uint32_t Hash,
                                 const config::Endpoint &Member) const {
  std::size_t First = firstOwner(Hash);
  for (std::size_t I = 0; I < std::min(MaxOwners, m_Points.size()); ++I)
    if (m_Points[(First + I) % m_Points.size()].second == Member)
      return true;
  return false;
}

std::size_t
ConsistentHashRing::positionOf(const config::Endpoint &Member) const {
  std::pair Point(
      static_cast<std::uint32_t>(core::stableHash(Member.toString())), Member);
  auto Found = std::lower_bound(m_Points.begin(), m_Points.end(), Point);
  if (Found == m_Points.end() || *Found != Point)
    return m_Points.size();
  return static_cast<std::size_t>(Found - m_Points.begin());
}

std::vector<config::Endpoint>
ConsistentHashRing::witnessesOf(const config::Endpoint &Member) const {
  std::size_t Position = positionOf(Member);
  if (Position == m_Points.size())
    return {};
  return membersFrom(Position + 1, std::min(MaxWitnesses, m_Points.size() - 1));
}

std::vector<config::Endpoint>
ConsistentHashRing::witnessedBy(const config::Endpoint &Member) const {
  std::size_t Position = positionOf(Member);
  if (Position == m_Points.size())
    return {};
  std::size_t Count = std::min(MaxWitnesses, m_Points.size() - 1);
  return membersFrom(Position + m_Points.size() - Count, Count);
}

} // namespace yardrill::routing
