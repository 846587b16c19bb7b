//===-- PeerTable.h - Live peers and their latest reports -----------------===//
//
// Does no I/O. Whatever each report or tick needs is updated incrementally as
// peers join, change and leave, so that its cost does not grow with the fleet.
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

/// One peer with its latest report.
struct LivePeer {
  decision::InstanceRef m_Instance;
  peer::LoadReport m_Report; ///< Latest, in full
  core::TimePoint m_LastSeenAt{};
  std::uint64_t m_AddressHash = 0; ///< followerOrder() of its address
  bool m_IsGroupPeer = false;      ///< Whether in this instance's group
  /// Whether it is a group peer whose recent reports are missing. Its last
  /// report does not count any more, but it stays in its group as long as it is
  /// known.
  bool m_IsSilent = false;
};

/// Table of live peers by incarnation; owned by PeerService.
class PeerTable {
public:
  using Peers = std::unordered_map<core::IncarnationId, LivePeer>;

  /// Time without a message after which any peer is removed. Peers of other
  /// groups report rarely, and several reports can be lost.
  static constexpr std::chrono::seconds PeerTimeout{10};

  /// \param Self this instance's peer address.
  explicit PeerTable(const config::Endpoint &Self);

  /// Effect of a report.
  struct ReportResult {
    std::optional<peer::DropReason> m_Dropped;
    bool m_IsNew = false; ///< Whether the peer was unknown or silent before
  };
  /// Applies a report; short reports of unknown or silent peers are ignored.
  ReportResult handle(const peer::PeerMessage &Message,
                      const peer::LoadReport &Report, core::TimePoint Now,
                      std::int64_t NowWallSeconds);
  /// Checks a message that is not a report for replay and staleness. Messages
  /// of unknown peers are accepted unchecked. \returns why \p Message must be
  /// dropped; none if it is accepted.
  std::optional<peer::DropReason> check(const peer::PeerMessage &Message,
                                        core::TimePoint Now,
                                        std::int64_t NowWallSeconds);
  /// Marks group peers without recent reports as silent, and removes peers that
  /// have sent nothing for long. Must be called many times a second; the
  /// removal is done once a second. \returns the peers that fell silent since
  /// the last call.
  std::vector<LivePeer> expire(core::TimePoint Now);
  /// Sets the division into groups, which defines the group peers.
  void setSubset(const routing::FleetSubset &Subset);

  const Peers &all() const { return m_Peers; }
  /// Returns the peer with that incarnation; null if it is unknown.
  const LivePeer *find(core::IncarnationId Peer) const;
  /// Returns the peer with that address; null if it is unknown.
  const LivePeer *find(const config::Endpoint &Address) const;
  /// Whether a peer with that address is in the table, silent or not.
  bool isKnown(const config::Endpoint &Address) const {
    return m_ByAddress.count(Address) != 0;
  }
  /// Returns the hash by which instances are ordered to select followers of the
  /// store; hashing spreads these over the data halls.
  static std::uint64_t followerOrder(const config::Endpoint &Address);
  /// Returns the peer that is first in that order among those that follow the
  /// store; none if no peer does.
  std::optional<config::Endpoint> firstFollower() const;
  /// Returns the peers of this instance's group, without silent ones.
  std::vector<const LivePeer *> groupPeers() const;
  /// Returns whether a peer joined, left or changed its data hall since the
  /// last call.
  bool consumeFleetChange();

  /// Returns the number of live peers that follow the store.
  std::size_t followerCount() const { return m_Followers.size(); }
  /// Returns the number of those that precede this instance in the order of
  /// followerOrder().
  std::size_t followersBefore() const;
  /// Returns the highest revision of the store that any peer has reported, even
  /// if that peer is gone.
  std::int64_t newestRevision() const { return m_NewestRevision; }
  std::int64_t newestCompleteRevision() const {
    return m_NewestCompleteRevision;
  }

private:
  void applyReport(LivePeer &Entry, const peer::LoadReport &Report);
  void remove(core::IncarnationId Peer);
  void rebuildGroupPeers();

  std::uint64_t m_SelfHash; ///< followerOrder() of this instance
  peer::PeerDirectory m_Directory;
  Peers m_Peers;
  std::map<config::Endpoint, core::IncarnationId> m_ByAddress;
  std::vector<core::IncarnationId> m_GroupPeers;
  routing::FleetSubset m_Subset;
  std::set<std::pair<std::uint64_t, core::IncarnationId>> m_Followers;
  std::int64_t m_NewestRevision = 0;
  std::int64_t m_NewestCompleteRevision = 0;
  bool m_IsFleetChanged = true;
  core::TimePoint m_LastScanAt{}; ///< Last check of all peers
};

} // namespace yardrill::gateway

#endif
