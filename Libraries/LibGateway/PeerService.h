//===-- PeerService.h - What instances tell each other
//-----------------------===//
//
// Load reports go by UDP, each replacing the last. What the store said goes by
// TCP, and only to an instance that is behind.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PEERSERVICE_H
#define YARDRILL_LIBGATEWAY_PEERSERVICE_H

#include "LibCore/TimerService.h"
#include "LibGateway/FollowerSelection.h"
#include "LibGateway/GatewaySettings.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/MirrorFetcher.h"
#include "LibGateway/MissingPeers.h"
#include "LibGateway/PeerTable.h"
#include "LibGateway/Rotation.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPeer/PeerSocket.h"
#include "LibPlatform/StoreMirror.h"
#include "LibRouting/FleetSubset.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace yardrill::gateway {

struct PeerServiceHooks {
  /// Fills in this instance's work and use of quotas.
  std::function<void(peer::LoadReport &)> m_FillReport;
  /// Called after a report came or a peer was lost.
  std::function<void()> m_Changed;
  /// Targets of the largest pool.
  std::function<std::size_t()> m_LargestPoolSize;
  /// Called when the fleet has another cut.
  std::function<void(const routing::FleetSubset &)> m_Repartitioned;
  /// Called with each message that is no report.
  std::function<void(const peer::PeerMessage &)> m_MessageReceived;
};

class PeerService {
public:
  /// Binds the peer address. \throws core::Error of kind AddressInUse.
  PeerService(boost::asio::io_context &Context, const GatewaySettings &Settings,
              platform::StoreMirror &Mirror, metrics::MetricsRegistry &Metrics,
              PeerServiceHooks Hooks);
  ~PeerService();

  void start(core::TimerService &Timers);
  /// Sends reports now and takes no more part afterwards.
  void setStopping();

  /// Tells near peers of new work once the current step is over: until they
  /// know of it, they would choose the same target.
  void scheduleReport();
  /// Calls the hook for changes if reports came since it was called last.
  void notifyIfChanged();
  /// Sends one message that is no report; it may be lost.
  void send(const config::Endpoint &To, const peer::PeerBody &Body);

  /// Whether it is this instance's to follow the store.
  bool mustFollowStore() const;
  const PeerTable &peers() const { return m_Peers; }
  /// Near peers that are neither heard from nor known to have stopped.
  std::size_t missingCount() const;
  /// The list of instances that the store holds; empty: none.
  void setRecorded(FleetMembers Instances);
  /// Whether a live peer has heard from the store.
  bool hasPeerWithState() const;
  /// Whether this process has had the time to find the others.
  bool isDiscoveryDone() const;
  /// Whether it is this instance's to keep the list of instances in the store.
  bool isRecordWriter() const {
    return isDiscoveryDone() && m_Peers.followersBefore() == 0;
  }
  /// Whether a change of the list of instances would be heard of: from the
  /// store, or from at least half of the near peers, if nobody here reaches the
  /// store.
  bool isListConfirmed() const;
  /// All instances that are heard from, and this one.
  FleetMembers heard() const;
  /// Peer addresses of all instances that may be there, without this one's.
  std::vector<config::Endpoint> otherInstances() const;
  /// Instances that may be at work, this one included: those heard from and
  /// those missing, or the recorded size while this one still finds others.
  std::size_t activeInstanceCount() const;

private:
  void handle(const peer::PeerMessage &Message);
  void handleOther(const peer::PeerMessage &Message);
  void addHintedPeers(const peer::LoadReport &Report);
  /// Tells a peer that has been found of this instance.
  void greetPeer(const config::Endpoint &Peer, const peer::LoadReport &Report);
  /// Whether \p Report is of a process that knows nothing yet, and this one
  /// knows something.
  bool canSupplyState(const peer::LoadReport &Report) const;
  std::string encode(peer::PeerBody Body);
  void drop(peer::DropReason Reason);
  void tick(core::TimePoint Now);
  /// \param IsFull also when nothing changed, and with hints of other peers.
  void sendReport(const std::vector<config::Endpoint> &To, bool IsFull);
  /// Adds a few of the far peers, each in its turn.
  void addOtherGroupPeers(std::size_t MaxCount,
                          std::vector<config::Endpoint> &To);
  /// Whom a full report goes to, beside the near peers.
  void addOtherGroupReceivers(std::vector<config::Endpoint> &To);
  void repartition();
  /// Members that groups should have now, at the most.
  std::size_t desiredGroupSize() const;
  /// Works out what depends on who belongs to the fleet.
  void rebuildPeerLists();
  /// Whether this instance or one that it hears follows the store.
  bool isStoreReachable() const;
  /// Whether the mirror is further on than the last report said.
  bool hasUnreportedRevision() const;
  void expire(core::TimePoint Now);
  void handleSilentPeer(const LivePeer &LostPeer, core::TimePoint Now);
  void fetchIfBehind(core::TimePoint Now);
  std::vector<FetchCandidate> peersAhead() const;
  void addHints(peer::LoadReport &Report);

  boost::asio::io_context &m_Context;
  const GatewaySettings &m_Settings;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  PeerServiceHooks m_Hooks;
  decision::InstanceRef m_Self;
  peer::PeerCodec m_Codec;
  peer::PeerSocket m_Socket;
  MirrorFetcher m_Fetcher;
  PeerTable m_Peers;
  std::set<config::Endpoint>
      m_HintedPeers; ///< Perhaps peers; not heard from yet.
  MissingPeers m_Missing;
  routing::FleetSubset m_Subset;
  routing::FleetSubset::Fleet m_Fleet; ///< That m_Subset was cut from.
  std::size_t m_MaxGroupMembers = 0;   ///< Of its groups, at the most.
  Rotation m_OtherGroupRotation;       ///< Through m_OtherGroupAddresses.
  std::size_t m_FullReports = 0;
  peer::LoadReport m_LastReport; ///< As last sent.
  std::uint64_t m_Sequence = 0;
  core::TimePoint m_LastReportAt{};
  core::TimePoint m_FullReportAt{};
  bool m_IsStopping = false;
  bool m_IsChanged = false; ///< Since the hook was last called.
  bool m_IsReportDue = false;
  core::TimePoint m_StartedAt = core::steadyNow();
  FleetMembers m_Recorded;
  bool m_IsMembershipChanged = false;             ///< Since the last cut.
  std::vector<config::Endpoint> m_GroupAddresses; ///< As m_Subset says.
  std::vector<config::Endpoint>
      m_OtherGroupAddresses; ///< All others of m_Fleet.
  FollowerSelection m_FollowerSelection;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
