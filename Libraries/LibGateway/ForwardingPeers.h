//===-- ForwardingPeers.h - Which peer a request is forwarded to ----------===//
//
// Does no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_FORWARDINGPEERS_H
#define YARDRILL_LIBGATEWAY_FORWARDINGPEERS_H

#include "LibGateway/PeerTable.h"
#include "LibRouting/RoutingTable.h"

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace yardrill::gateway {

/// Chooses peers that reach the targets of a pool; owned by Gateway.
class ForwardingPeers {
public:
  /// Maximum number of requests that are forwarded at a time.
  static constexpr std::size_t MaxOpen = 1024;

  /// Region of each data hall.
  using Regions = std::map<core::DataHallName, core::RegionName>;

  /// \param Peers returns the table of peers.
  ForwardingPeers(std::function<const PeerTable &()> Peers,
                  core::DataHallName LocalDataHall, Regions RegionOfHall,
                  std::uint64_t Seed)
      : m_Peers(std::move(Peers)), m_LocalDataHall(std::move(LocalDataHall)),
        m_RegionOfHall(std::move(RegionOfHall)), m_Random(Seed) {}

  /// Returns the less loaded of two random peers that reach the pool: of the
  /// own group, whose reports are the most recent, if it has any. None if no
  /// peer is left.
  /// \param Allowed regions that the request may be sent to, besides its own.
  /// \param Tried peers that didn't take the request.
  std::optional<config::Endpoint>
  choose(const core::PoolName &Pool, const routing::AllowedRegions &Allowed,
         const std::set<config::Endpoint> &Tried, core::TimePoint Now);
  /// Whether a request for the pool may be forwarded.
  bool hasPeer(const core::PoolName &Pool,
               const routing::AllowedRegions &Allowed, core::TimePoint Now);

  void recordStart(const config::Endpoint &Peer);
  void recordEnd(const config::Endpoint &Peer);
  /// Excludes a peer for a moment because it could not be connected to or
  /// didn't take a request.
  void recordFailure(const config::Endpoint &Peer, core::TimePoint Now);

private:
  bool isCandidate(const LivePeer &Peer, const core::PoolName &Pool,
                   const routing::AllowedRegions &Allowed,
                   const std::set<config::Endpoint> &Tried,
                   core::TimePoint Now);
  std::vector<const LivePeer *>
  candidates(const core::PoolName &Pool, const routing::AllowedRegions &Allowed,
             const std::set<config::Endpoint> &Tried, core::TimePoint Now);
  /// Whether a request may be sent to an instance in the data hall. A hall
  /// whose region is unknown is in none.
  bool isInRegions(const core::DataHallName &Hall,
                   const routing::AllowedRegions &Allowed) const;
  /// Returns the requests that the peer works on, plus penalties.
  double loadOf(const LivePeer &Peer) const;

  std::function<const PeerTable &()> m_Peers;
  core::DataHallName m_LocalDataHall;
  Regions m_RegionOfHall;
  std::map<config::Endpoint, std::size_t> m_Open; ///< Forwarded by this one.
  std::size_t m_OpenCount = 0;                    ///< Sum of m_Open.
  std::map<config::Endpoint, core::TimePoint> m_ExcludedUntil;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
