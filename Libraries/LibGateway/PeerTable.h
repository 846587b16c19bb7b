//===-- PeerTable.h - The live peers and their newest reports -------------===//
//
// Pure. What is asked for with each report or beat is kept up to date as peers
// come, change and go, so that it costs the same in a fleet of any size.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PEERTABLE_H
#define YARDRILL_LIBGATEWAY_PEERTABLE_H

#include "LibCore/Time.h"
#include "LibPeer/PeerDirectory.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/FleetSubset.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::gateway {

struct LivePeer {
  decision::InstanceRef m_Instance;
  peer::LoadReport m_Report; ///< The newest, complete.
  core::TimePoint m_HeardAt{};
  std::uint64_t m_AddressHash = 0;
  bool m_IsGroupPeer = false; ///< Of this instance's group.
  /// A near one whose last reports are missing; what it said does not hold any
  /// more. It stays a member of its group for as long as the others know it.
  bool m_IsSilent = false;
};

class PeerTable {
public:
  using Peers = std::unordered_map<core::IncarnationId, LivePeer>;

  /// \param Self this instance's peer address.
  explicit PeerTable(const config::Endpoint &Self);

  /// What became of a report.
  struct ReportResult {
    std::optional<peer::DropReason> m_Dropped;
    bool m_IsNew = false; ///< Of a peer that was not live until now.
  };
  /// A short report of a peer that is not live is passed over.
  ReportResult handle(const peer::PeerMessage &Message,
                      const peer::LoadReport &Report, core::TimePoint Now,
                      std::int64_t NowWallSeconds);
  /// Checks a message that is no report; one of an unknown peer is let through.
  std::optional<peer::DropReason> check(const peer::PeerMessage &Message,
                                        core::TimePoint Now,
                                        std::int64_t NowWallSeconds);
  /// \returns peers that fell silent since. To be called often; far ones are
  /// looked at once a second.
  std::vector<LivePeer> expire(core::TimePoint Now);
  void setSubset(const routing::FleetSubset &Subset);

  const Peers &all() const { return m_Peers; }
  const LivePeer *find(core::IncarnationId Peer) const;
  bool isLive(const config::Endpoint &Address) const {
    return m_ByAddress.count(Address) != 0;
  }
  /// Place of an address in the order by which instances follow the store.
  static std::uint64_t followerOrder(const config::Endpoint &Address);
  /// The peer that comes first in that duty, of those that are heard to do it.
  std::optional<config::Endpoint> firstFollower() const;
  /// What the group's others said last; silent ones are left out.
  std::vector<const LivePeer *> groupPeers() const;
  /// \returns whether a peer came, went or changed its data hall since the last
  /// call.
  bool consumeFleetChange();

  /// Peers that follow the store, and how many of them come before this
  /// instance in that duty.
  std::size_t followers() const { return m_Followers.size(); }
  std::size_t followersBefore() const;
  /// The furthest that any peer may have come with the store.
  std::int64_t newestRevision() const { return m_NewestRevision; }
  std::int64_t newestCompleteRevision() const {
    return m_NewestCompleteRevision;
  }

private:
  void applyReport(LivePeer &Entry, const peer::LoadReport &Report);
  void remove(core::IncarnationId Peer);
  void rebuildGroupPeers();

  /// By a hash, so that followers lie in several data halls.
  std::uint64_t m_SelfHash;
  peer::PeerDirectory m_Directory;
  Peers m_Peers;
  std::map<config::Endpoint, core::IncarnationId> m_ByAddress;
  std::vector<core::IncarnationId> m_GroupPeers;
  routing::FleetSubset m_Subset;
  std::set<std::pair<std::uint64_t, core::IncarnationId>> m_Followers;
  std::int64_t m_NewestRevision = 0;
  std::int64_t m_NewestCompleteRevision = 0;
  bool m_IsFleetChanged = true;
  core::TimePoint m_LastScanAt{}; ///< At all of them.
};

} // namespace yardrill::gateway

#endif
