//===-- PeerDirectory.cpp - Table of peers seen recently ------------------===//
#include "LibPeer/PeerDirectory.h"

#include <cstdlib>

namespace yardrill::peer {

/// Largest accepted difference between the time of sending and this clock.
/// Covers the difference of the instances' clocks and the transmission.
static const std::int64_t MaxClockDifferenceSeconds = 30;

std::optional<DropReason> PeerDirectory::accept(const PeerMessage &Message,
                                                core::TimePoint Now,
                                                std::int64_t NowWallSeconds) {
  // Prevents a replayed message from reviving a peer that has expired.
  if (std::abs(NowWallSeconds - Message.m_WallSeconds) >
      MaxClockDifferenceSeconds)
    return DropReason::Stale;
  auto Found = m_Peers.find(Message.m_From.m_Incarnation);
  if (Found == m_Peers.end()) {
    if (m_Peers.size() >= m_Capacity)
      return DropReason::TooManyPeers;
    Found = m_Peers.emplace(Message.m_From.m_Incarnation, KnownPeer()).first;
  } else if (Message.m_Sequence <= Found->second.m_Sequence) {
    return DropReason::Replayed;
  }
  KnownPeer &Peer = Found->second;
  Peer.m_Instance = Message.m_From;
  Peer.m_LastSeenAt = Now;
  Peer.m_Sequence = Message.m_Sequence;
  if (const auto *Beat = std::get_if<Heartbeat>(&Message.m_Body))
    Peer.m_LastHeartbeat = *Beat;
  return std::nullopt;
}

std::vector<KnownPeer> PeerDirectory::expire(core::TimePoint Now) {
  std::vector<KnownPeer> Expired;
  for (auto Peer = m_Peers.begin(); Peer != m_Peers.end();) {
    if (Now - Peer->second.m_LastSeenAt <= m_SilenceTimeout) {
      ++Peer;
      continue;
    }
    Expired.push_back(Peer->second);
    Peer = m_Peers.erase(Peer);
  }
  return Expired;
}

} // namespace yardrill::peer
