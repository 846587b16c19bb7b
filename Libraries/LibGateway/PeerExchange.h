//===-- PeerExchange.h - What instances report to each other --------------===//
//
// Does no I/O and reads no clock, so that whole fleets can be simulated.
// Decides to which instances this one sends its load reports and when, and what
// it learns from theirs.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PEEREXCHANGE_H
#define YARDRILL_LIBGATEWAY_PEEREXCHANGE_H

#include "LibGateway/FollowerSelection.h"
#include "LibGateway/GatewaySettings.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/MirrorFetcher.h"
#include "LibGateway/MissingPeers.h"
#include "LibGateway/PeerTable.h"
#include "LibGateway/QuotaOwnership.h"
#include "LibGateway/Rotation.h"
#include "LibPlatform/StoreMirror.h"
#include "LibRouting/FleetSubset.h"
#include "LibRouting/QuotaOwner.h"

#include <functional>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace yardrill::gateway {

/// Callbacks through which PeerExchange queries and notifies the gateway, and
/// sends.
struct PeerExchangeHooks {
  /// Fills in the load at targets, waiting requests and the store connection.
  std::function<void(peer::LoadReport &)> m_FillReport;
  /// Called after reports were received or peers were lost.
  std::function<void()> m_Changed;
  /// Returns the number of targets in the largest pool.
  std::function<std::size_t()> m_LargestPoolSize;
  /// Called after the fleet was divided into groups anew.
  std::function<void(const routing::FleetSubset &)> m_Repartitioned;
  /// Called with each valid message that is not a load report.
  std::function<void(const peer::PeerMessage &)> m_MessageReceived;

  // Set by PeerService.
  /// Sends one message to several peers; it can be lost.
  std::function<void(const std::vector<config::Endpoint> &To,
                     const peer::PeerBody &Body)>
      m_Send;
  /// Calls a function after the current handler has returned.
  std::function<void(std::function<void()>)> m_Defer;
};

/// Finds the other instances and exchanges load reports with them; owned by
/// PeerService.
class PeerExchange {
public:
  PeerExchange(decision::InstanceRef Self, const GatewaySettings &Settings,
               platform::StoreMirror &Mirror, PeerExchangeHooks Hooks,
               core::TimePoint Now, std::uint64_t Seed);

  /// Greets the seeds.
  void start();
  /// Handles a message. \returns why it was dropped, if it was.
  std::optional<peer::DropReason> handle(const peer::PeerMessage &Message,
                                         core::TimePoint Now,
                                         std::int64_t NowWallSeconds);
  /// Sends the reports that are due. Must be called every TickPeriod.
  void tick(core::TimePoint Now);
  /// Marks this instance as stopping and reports that to its group and to all
  /// other live peers.
  void setStopping();
  /// Reports to group peers after the current handler has returned. Until they
  /// know of a new request, they would choose the same target.
  void scheduleReport();
  /// Calls PeerExchangeHooks::m_Changed if anything changed since the last
  /// call.
  void notifyIfChanged();

  /// Whether this instance has to follow the store.
  bool mustFollowStore() const;
  /// Whether this instance or a live peer is connected to the store.
  bool isStoreReachable() const;
  const PeerTable &peers() const { return m_Peers; }
  /// Returns the number of group peers that are silent without having stopped.
  std::size_t missingCount() const;
  /// Sets the membership that the store holds; empty if it holds none.
  void setRecorded(FleetMembers Instances);
  /// Whether a live peer that is not stopping has state of the store.
  bool hasPeerWithState() const;
  /// Whether this process has had enough time to find its peers.
  bool isDiscoveryDone(core::TimePoint Now) const;
  /// Whether this instance writes the records that all instances share, such as
  /// the membership record. Callers also have to check that it is connected to
  /// the store.
  bool isRecordWriter(core::TimePoint Now) const {
    return isDiscoveryDone(Now) && m_Peers.followersBefore() == 0;
  }
  /// Sets the owners of quotas, among which each has its witnesses.
  /// \param Members see ringsOf().
  void setQuotaOwners(const FleetMembers &Owners, const FleetMembers &Members);
  /// Returns the evidence that no other instance has taken over quotas of this
  /// one.
  routing::OwnershipEvidence ownershipEvidence(core::TimePoint Now) const;
  /// Whether this instance still holds its leased shares of quotas.
  bool hasQuotaLease(core::TimePoint Now) const;
  /// Returns what this instance and all live peers know of the store.
  MemberReports memberReports() const;
  /// Returns this instance and the peers in the table, silent ones included.
  FleetMembers liveInstances() const;
  /// Returns the peer addresses of all other instances that are live or
  /// recorded.
  std::vector<config::Endpoint> otherInstances() const;
  /// Returns an upper estimate of the instances in service, this one included:
  /// the larger of the fleet, live or recorded, and this one with the missing
  /// peers.
  std::size_t activeInstanceCount() const;
  /// Whether a peer has reported a state of the store that this instance lacks.
  bool isBehind() const;
  /// Returns the live peers with a state of the store that this instance lacks.
  std::vector<FetchCandidate> peersAhead() const;

  /// Period of tick(), and of reports in a fleet of one group. Limits both
  /// their cost and the time in which two instances can assign the same slot.
  static constexpr std::chrono::milliseconds TickPeriod{40};

private:
  /// Adds the peers that \p Report names, unless a membership is recorded.
  void addHintedPeers(const peer::LoadReport &Report);
  /// Logs a new peer and sends it a full report. If a membership is recorded,
  /// only group peers and peers without state are greeted.
  void greetPeer(const config::Endpoint &Peer, const peer::LoadReport &Report);
  /// Whether the sender of \p Report has no state of the store and this
  /// instance has.
  bool canSupplyState(const peer::LoadReport &Report) const;
  /// Sends the load report, if anything changed since the last one.
  /// \param IsFull send it in any case, in full and with hints of other peers.
  void sendReport(const std::vector<config::Endpoint> &To, bool IsFull);
  /// Adds up to \p MaxCount peers of other groups to \p To, in rotation.
  void addOtherGroupPeers(std::size_t MaxCount,
                          std::vector<config::Endpoint> &To);
  /// Adds the peers of other groups that the next full report is sent to.
  void addOtherGroupReceivers(std::vector<config::Endpoint> &To);
  /// Adds the owners of other groups that have this instance as a witness and
  /// need its report.
  void addWitnessedOwners(std::vector<config::Endpoint> &To);
  /// Divides the fleet into groups anew, if its members or the group size
  /// changed.
  void repartition();
  /// Returns the maximum number of members that a group should have.
  std::size_t desiredGroupSize() const;
  /// Recomputes all that depends on the fleet's members and groups.
  void rebuildPeerLists();
  /// Whether a witness is live and knows of no change of the store that this
  /// instance lacks.
  bool agrees(const config::Endpoint &Witness) const;
  /// Returns the number of witnesses that agree.
  std::size_t agreeingWitnesses() const;
  /// Whether a recorded membership, if there is one, holds this instance.
  bool isMember() const {
    return m_Recorded.empty() ||
           m_Recorded.count(m_Settings.m_PeerAddress) != 0;
  }
  /// Whether the mirror is newer than the last report states.
  bool hasUnreportedRevision() const;
  void expire(core::TimePoint Now);
  void handleSilentPeer(const LivePeer &LostPeer, core::TimePoint Now);
  void addHints(peer::LoadReport &Report);

  decision::InstanceRef m_Self;
  const GatewaySettings &m_Settings;
  platform::StoreMirror &m_Mirror;
  PeerExchangeHooks m_Hooks;
  PeerTable m_Peers;
  /// Seeds and addresses named by peers, without a report from them so far.
  std::set<config::Endpoint> m_HintedPeers;
  MissingPeers m_Missing;
  routing::FleetSubset m_Subset;
  routing::FleetSubset::Fleet m_Fleet;  ///< Basis of m_Subset
  std::size_t m_MaxGroupMembers = 0;    ///< Group size used for m_Subset
  Rotation m_OtherGroupRotation;        ///< Index into m_OtherGroupAddresses
  std::size_t m_FullReports = 0;        ///< Counter for WriterRounds
  std::size_t m_UnreachableReports = 0; ///< Counter for WitnessRounds
  /// Last report in full; sent if there was a receiver.
  peer::LoadReport m_LastReport;
  core::TimePoint m_LastReportAt{};
  core::TimePoint m_FullReportAt{};
  bool m_IsStopping = false;
  bool m_IsChanged = false; ///< Since m_Changed was last called
  bool m_IsReportDue = false;
  core::TimePoint m_StartedAt;
  FleetMembers m_Recorded;
  bool m_IsMembershipChanged = false; ///< Since the last repartition()
  std::vector<config::Endpoint> m_GroupAddresses; ///< Peers of the own group
  std::vector<config::Endpoint> m_OtherGroupAddresses; ///< All other peers
  QuotaWitnesses m_Witnesses;                          ///< Of this instance
  core::TimePoint m_StoreReachableAt{}; ///< Last time that it was
  core::TimePoint m_LeaseRenewedAt{};   ///< The same while a member
  FollowerSelection m_FollowerSelection;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
