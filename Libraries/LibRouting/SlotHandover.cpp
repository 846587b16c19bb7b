#include "LibRouting/SlotHandover.h"

#include <algorithm>

namespace yardrill::routing {

std::uint32_t SlotHandover::unserved(const config::Endpoint &Peer,
                                     PoolHash Pool, const Priority &Tier,
                                     std::uint32_t Waiting) const {
  auto Found = m_Events.find(Peer);
  if (Found == m_Events.end())
    return Waiting;
  std::uint32_t Grants = 0;
  for (const Event &Each : Found->second) {
    if (Each.m_Pool != Pool)
      continue;
    if (!Each.m_Tier)
      return 0;
    Grants += *Each.m_Tier == Tier ? 1 : 0;
  }
  return Waiting - std::min(Waiting, Grants);
}

std::optional<SlotHandover::Receiver>
SlotHandover::choose(PoolHash Pool, const std::optional<Priority> &Local,
                     const PeerDemand &Peers, double Random) const {
  struct Candidate {
    config::Endpoint m_Peer;
    std::uint32_t m_Waiting;
  };
  std::optional<Priority> Best;
  std::vector<Candidate> Candidates;
  std::uint32_t Total = 0;
  for (const auto &[Peer, Reported] : Peers) {
    auto Demand = Reported.find(Pool);
    if (Demand == Reported.end())
      continue;
    for (const auto &[Tier, Each] : Demand->second) {
      if ((Local && !(Tier < *Local)) || (Best && *Best < Tier))
        break;
      std::uint32_t Waiting = unserved(Peer, Pool, Tier, Each.m_Waiting);
      if (Waiting == 0)
        continue;
      if (!Best || Tier < *Best) {
        Candidates.clear();
        Total = 0;
      }
      Best = Tier;
      Candidates.push_back({Peer, Waiting});
      Total += Waiting;
      break;
    }
  }
  double Left = Random * Total;
  for (const Candidate &Each : Candidates) {
    Left -= Each.m_Waiting;
    if (Left < 0)
      return Receiver{Each.m_Peer, *Best};
  }
  return std::nullopt;
}

void SlotHandover::recordGrant(const Receiver &To, PoolHash Pool,
                               core::TimePoint Now) {
  m_Events[To.m_Peer].push_back({Pool, To.m_Tier, Now});
}

void SlotHandover::recordReturn(const config::Endpoint &Peer, PoolHash Pool,
                                core::TimePoint Now) {
  m_Events[Peer].push_back({Pool, std::nullopt, Now});
}

void SlotHandover::removeUntil(std::vector<Event> &Events,
                               core::TimePoint Until) {
  Events.erase(
      std::remove_if(Events.begin(), Events.end(),
                     [Until](const Event &Each) { return Each.m_At <= Until; }),
      Events.end());
}

void SlotHandover::recordReport(const config::Endpoint &Peer,
                                core::TimePoint Until) {
  auto Found = m_Events.find(Peer);
  if (Found == m_Events.end())
    return;
  removeUntil(Found->second, Until);
  if (Found->second.empty())
    m_Events.erase(Found);
}

void SlotHandover::removeOld(core::TimePoint Until) {
  for (auto Each = m_Events.begin(); Each != m_Events.end();) {
    removeUntil(Each->second, Until);
    Each = Each->second.empty() ? m_Events.erase(Each) : std::next(Each);
  }
}

} // namespace yardrill::routing
