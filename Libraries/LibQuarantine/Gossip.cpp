#include "LibQuarantine/Gossip.h"

#include "LibQuarantine/QuarantineFormat.h"

#include <algorithm>
#include <array>

namespace yardrill::quarantine {

/// Delays between the repeats of a broadcast. They span more than a second, so
/// that a lost datagram or a second of losses only delays an update.
static constexpr std::array<std::chrono::milliseconds, 3> RebroadcastDelays{
    std::chrono::milliseconds(100), std::chrono::milliseconds(300),
    std::chrono::milliseconds(1200)};
/// Period of sending unstored observations to a few other instances.
static constexpr std::chrono::seconds GossipPeriod{1};
/// Incriminating incarnations from which a content is stored. With fewer,
/// nearly every request that was running when a target exited would be stored.
static constexpr std::size_t MinIncarnationsToStore =
    QuarantineTable::IncarnationsToSuspect;
/// Limit on the contents in the store's entry, which keeps it at about 15 KB
/// with three incarnations each.
static constexpr std::size_t MaxStoredContents = 256;

void Gossip::noteTargetExit(const std::vector<ContentDigest> &Contents,
                            IncarnationHash Incarnation, core::TimePoint Now) {
  for (const ContentDigest &Each : Contents)
    m_Table.noteTargetExit(Each, Incarnation, Now);
  broadcastUpdates(Now);
}

void Gossip::noteSuccess(const std::vector<ContentDigest> &Contents,
                         core::TimePoint Now) {
  for (const ContentDigest &Each : Contents)
    m_Table.noteSuccess(Each, Now);
  broadcastUpdates(Now);
}

void Gossip::merge(const std::vector<Observation> &Observed,
                   core::TimePoint Now) {
  for (const Observation &Each : Observed)
    m_Table.merge(Each, Now);
  broadcastUpdates(Now);
}

//===----------------------------------------------------------------------===//
// Exchange with other instances
//===----------------------------------------------------------------------===//

void Gossip::broadcastUpdates(core::TimePoint Now) {
  std::vector<Observation> Updates = m_Table.takeUpdates();
  if (Updates.empty())
    return;
  m_Hooks.m_Broadcast(Updates);
  m_PendingBroadcasts.push_back(
      {std::move(Updates), 0, Now + RebroadcastDelays.front()});
}

void Gossip::rebroadcast(core::TimePoint Now) {
  for (std::size_t Left = m_PendingBroadcasts.size(); Left > 0; --Left) {
    PendingBroadcast Each = std::move(m_PendingBroadcasts.front());
    m_PendingBroadcasts.pop_front();
    if (Each.m_NextAt <= Now) {
      m_Hooks.m_Broadcast(Each.m_Observations);
      if (++Each.m_RepeatCount == RebroadcastDelays.size())
        continue;
      Each.m_NextAt = Now + RebroadcastDelays[Each.m_RepeatCount];
    }
    m_PendingBroadcasts.push_back(std::move(Each));
  }
}

void Gossip::gossipUnstored(core::TimePoint Now) {
  if (Now - m_LastGossipAt < GossipPeriod)
    return;
  m_LastGossipAt = Now;
  std::vector<Observation> Unstored;
  for (const ContentDigest &Each :
       m_Table.suspectedContents(MinIncarnationsToStore))
    for (const Observation &Observed : m_Table.observations(Each))
      if (m_Stored.count(Observed) == 0)
        Unstored.push_back(Observed);
  if (!Unstored.empty())
    m_Hooks.m_SendToSample(Unstored);
}

void Gossip::upkeep(core::TimePoint Now) {
  rebroadcast(Now);
  if (m_Table.size() > 0)
    gossipUnstored(Now);
}

//===----------------------------------------------------------------------===//
// Exchange with the store
//===----------------------------------------------------------------------===//

bool Gossip::mergeStored(const std::string &Text, core::TimePoint Now) {
  auto Observed = parseObservations(Text);
  m_Stored.clear();
  if (!Observed)
    return false;
  m_Stored.insert(Observed->begin(), Observed->end());
  merge(*Observed, Now);
  return true;
}

std::string Gossip::storedText() const {
  std::vector<ContentDigest> Suspects =
      m_Table.suspectedContents(MinIncarnationsToStore);
  if (Suspects.size() > MaxStoredContents)
    Suspects.resize(MaxStoredContents);
  std::vector<Observation> Out;
  for (const ContentDigest &Each : Suspects)
    for (const Observation &Observed : m_Table.observations(Each))
      Out.push_back(Observed);
  // Stored observations stay after they are cleared, for the instances that
  // missed the clearing. Later exits under such a content are not added, or
  // each exit under a popular content would cause a write.
  for (const Observation &Each : m_Stored)
    if (m_Table.incriminatingIncarnations(Each.m_Content) <
        MinIncarnationsToStore)
      Out.push_back({Each.m_Content, Each.m_Incarnation,
                     m_Table.isCleared(Each.m_Content, Each.m_Incarnation)});
  std::size_t MaxObservations =
      MaxStoredContents * QuarantineTable::MaxIncarnations;
  if (Out.size() > MaxObservations)
    Out.resize(MaxObservations);
  std::sort(Out.begin(), Out.end());
  return formatObservations(Out);
}

} // namespace yardrill::quarantine
