//===-- StoreNewsSpreader.h - Spreads changes of the store ----------------===//
//
// Does no I/O. Followers of the store spread its changes along a NewsTree, as
// datagrams that contain them if they fit. An instance passes news on only if
// it is new to it, so that several followers cause little more traffic than
// one. What is lost is noticed by the revisions in load reports and fetched.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STORENEWSSPREADER_H
#define YARDRILL_LIBGATEWAY_STORENEWSSPREADER_H

#include "LibGateway/MirrorFetcher.h"
#include "LibGateway/NewsTree.h"
#include "LibPeer/PeerMessage.h"
#include "LibPlatform/StoreMirror.h"

#include <functional>
#include <optional>

namespace yardrill::gateway {

/// Sends, applies and passes on StoreNews; owned by PeerExchange.
class StoreNewsSpreader {
public:
  using Send = std::function<void(const std::vector<config::Endpoint> &To,
                                  const peer::PeerBody &Body)>;

  StoreNewsSpreader(platform::StoreMirror &Mirror, Send Hook,
                    std::uint64_t Seed)
      : m_Mirror(Mirror), m_Send(std::move(Hook)), m_Tree(Seed) {}

  void setSubset(const routing::FleetSubset &Subset);
  /// Applies the changes in news, if they continue this instance's state, and
  /// passes them on. \throws core::Error if the changes cannot be decoded.
  void handle(const config::Endpoint &From, const peer::StoreNews &News,
              core::TimePoint Now);
  /// Spreads a state of the store that this instance has not learned as news.
  /// Must be called many times a second.
  /// \param IsFollower whether this instance follows the store.
  void spreadIfNew(bool IsFollower, core::TimePoint Now);
  /// Tells each group which instances follow the store, as one of them or, with
  /// the scope of a heartbeat that was received, as a relay.
  void sendHeartbeat(std::vector<peer::FollowerSighting> Followers);
  void passHeartbeat(peer::NewsScope Received,
                     std::vector<peer::FollowerSighting> Followers);
  /// Records that a peer has a state of the store.
  void noteSource(const config::Endpoint &From, platform::Revision Revision,
                  platform::Revision CompleteRevision, core::TimePoint Now);
  /// Returns the last peer that told of a newer state, if it is still newer.
  std::optional<FetchCandidate> source(core::TimePoint Now) const;

private:
  void spread(peer::NewsScope Scope, bool IsFollower);
  peer::FollowerHeartbeat
  heartbeat(peer::NewsScope Scope,
            std::vector<peer::FollowerSighting> Followers) const;

  platform::StoreMirror &m_Mirror;
  Send m_Send;
  NewsTree m_Tree;
  std::vector<config::Endpoint> m_GroupAddresses;
  /// Revision that this instance has spread, or learned as news.
  platform::Revision m_SpreadRevision;
  core::TimePoint m_SpreadAt{};
  /// Scope of news that could not be applied; it is spread once its changes
  /// have been fetched.
  peer::NewsScope m_PendingScope = peer::NewsScope::Group;
  FetchCandidate m_Source;
  core::TimePoint m_SourceAt{};
};

} // namespace yardrill::gateway

#endif
