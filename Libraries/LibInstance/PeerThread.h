//===-- PeerThread.h - Thread that exchanges messages with peers ----------===//
#ifndef YARDRILL_LIBINSTANCE_PEERTHREAD_H
#define YARDRILL_LIBINSTANCE_PEERTHREAD_H

#include "LibConfig/InstanceSettings.h"
#include "LibCore/EventLoopThread.h"
#include "LibCore/MPSCQueue.h"
#include "LibCore/TimerService.h"
#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibInstance/ActiveConfiguration.h"
#include "LibInstance/PeerSignature.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPeer/PeerDirectory.h"
#include "LibPeer/PeerSocket.h"

#include <array>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <vector>

namespace yardrill::instance {

/// State of a peer as reported by the operator endpoint.
struct PeerStatus {
  core::InstanceName m_Name;
  decision::InstanceRef m_Instance;
  core::ConfigurationVersion m_Version;
  core::Duration m_SilentFor{}; ///< Time since the last message.
  bool m_IsStopping = false;
};

/// Event loop thread that exchanges heartbeats and threshold messages with
/// peers by UDP. It fetches a configuration by HTTP from a peer whose heartbeat
/// announces a newer version.
class PeerThread {
public:
  /// \throws core::Error of kind AddressInUse.
  PeerThread(const config::InstanceSettings &Settings,
             decision::InstanceRef Self, ActiveConfiguration &Configuration,
             metrics::MetricsRegistry &Metrics,
             std::function<void(decision::Event)> Push);
  ~PeerThread();

  void start();
  void stop() { m_Thread.stop(); }
  /// Queues a SendThresholdCommand or SendThresholdReport. Thread-safe.
  void push(const decision::Action &CoreAction);
  /// Sets the peer addresses of the platform's instance list. Thread-safe.
  void setListedPeers(std::vector<config::Endpoint> Addresses);
  /// Announces in further heartbeats that this instance is stopping.
  /// Thread-safe.
  void setStopping();

  /// Returns the status as of the last heartbeat. Thread-safe.
  std::vector<PeerStatus> status() const;

private:
  void handleMessage(const peer::PeerMessage &Message);
  void handleHeartbeat(const peer::PeerMessage &Message,
                       const peer::Heartbeat &Beat);
  void handleAction(const decision::Action &CoreAction);
  void send(const config::Endpoint &To, peer::PeerBody Body);
  void sendHeartbeats(core::TimePoint Now);
  peer::Heartbeat makeHeartbeat();
  std::vector<config::Endpoint> heartbeatRecipients();
  void updateInstanceCount();
  /// Reports \p Member as gone to the decision core if it is silent and its
  /// address is unlisted or used by another process.
  void reportIfGone(const decision::InstanceRef &Member, core::TimePoint Now);
  void fetchConfiguration(const config::Endpoint &From,
                          boost::asio::yield_context Yield);
  void countDropped(peer::DropReason Reason);
  void publishStatus(core::TimePoint Now);

  core::EventLoopThread m_Thread;
  core::SteadyTimerService m_Timers;
  const config::InstanceSettings &m_Settings;
  decision::InstanceRef m_Self;
  ActiveConfiguration &m_Configuration;
  metrics::MetricsRegistry &m_Metrics;
  std::function<void(decision::Event)> m_Push;
  peer::PeerCodec m_Codec;
  peer::PeerDirectory m_Directory;
  PeerSignature m_Signature;
  core::MPSCQueue<decision::Action> m_Actions;
  peer::PeerSocket m_Socket;
  std::mt19937_64 m_Random;
  std::vector<config::Endpoint> m_ListedPeers;
  std::set<config::Endpoint> m_HintedPeers; ///< Named by other peers only.
  /// Time of the first command to each member that is not in m_Directory.
  std::map<core::IncarnationId, core::TimePoint> m_FirstCommandAt;
  std::uint64_t m_NextSequence = 1;
  std::size_t m_LastInstanceCount = 0;
  bool m_IsFetching = false;
  bool m_IsStopping = false;
  mutable std::mutex m_StatusMutex;
  std::vector<PeerStatus> m_Status;
};

} // namespace yardrill::instance

#endif
