//===-- TrafficThread.h - Thread that serves callers and targets ----------===//
//
// One thread serves callers and targets, so that the bytes of a response never
// cross threads and a slow caller slows down only its own target
// (docs/design/0001-whole-path.md).
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBINSTANCE_TRAFFICTHREAD_H
#define YARDRILL_LIBINSTANCE_TRAFFICTHREAD_H

#include "LibConfig/InstanceSettings.h"
#include "LibCore/EventLoopThread.h"
#include "LibCore/MPSCQueue.h"
#include "LibDecision/Action.h"
#include "LibDecision/Event.h"
#include "LibHTTP/ConnectionPool.h"
#include "LibHTTP/Server.h"
#include "LibInstance/ActiveConfiguration.h"
#include "LibInstance/PeerSignature.h"
#include "LibInstance/RequestReader.h"
#include "LibInstance/ResponseStore.h"
#include "LibInstance/TicketSigner.h"
#include "LibMetrics/MetricsRegistry.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace yardrill::instance {

class OpenRequest;

/// Functions that send events to the decision thread.
struct TrafficHooks {
  /// Returns false when the queue is full; the request is then refused as not
  /// run.
  std::function<bool(decision::Event)> m_TryPush;
  std::function<void(decision::Event)> m_Push;
};

/// Event loop thread that serves callers and peers by HTTP, forwards requests
/// to targets and relays their responses, as the decision core directs.
class TrafficThread {
public:
  /// Binds the caller and peer addresses.
  /// \throws core::Error of kind AddressInUse.
  TrafficThread(const config::InstanceSettings &Settings,
                const decision::InstanceRef &Self,
                ActiveConfiguration &Configuration,
                metrics::MetricsRegistry &Metrics, TrafficHooks Hooks);
  ~TrafficThread();

  void start() { m_Thread.start(); }
  void stop() { m_Thread.stop(); }
  /// Queues an action of the decision core. Thread-safe.
  void push(const decision::Action &CoreAction);
  /// Stops accepting callers' connections; requests in progress continue.
  /// Thread-safe.
  void stopAccepting();
  /// Ends all open requests with a response, see OpenRequest::breakOff().
  /// Thread-safe.
  void breakOffRequests();
  struct Load {
    std::size_t m_Connections = 0; ///< Open connections of callers.
    std::size_t m_Requests = 0;    ///< Open requests of callers and peers.
  };
  /// Waits for the traffic thread, so must not be called on it. Thread-safe.
  Load load();

private:
  friend class OpenRequest;

  void handleCallerRequest(http::Exchange &Caller,
                           boost::asio::yield_context Yield);
  void handlePeerRequest(http::Exchange &Peer,
                         boost::asio::yield_context Yield);
  void serveRequest(http::Exchange &Caller,
                    const config::ClientAccount &Account,
                    const config::ConfigurationHandle &Configuration,
                    bool IsForwarded, boost::asio::yield_context Yield);
  void issueTickets(http::Exchange &Caller,
                    const config::ClientAccount &Account,
                    boost::asio::yield_context Yield);
  void sendConfiguration(http::Exchange &Peer,
                         boost::asio::yield_context Yield);
  void handleAction(decision::Action CoreAction);
  /// Returns an id that is unique among all instances, as in logs and headers.
  std::string printableId(core::RequestId Id) const;

  core::EventLoopThread m_Thread;
  const config::InstanceSettings &m_Settings;
  decision::InstanceRef m_Self;
  ActiveConfiguration &m_Configuration;
  metrics::MetricsRegistry &m_Metrics;
  TrafficHooks m_Hooks;
  core::MPSCQueue<decision::Action> m_Actions;
  TicketSigner m_Tickets;
  PeerSignature m_Signature;
  ResponseStore m_Responses;
  http::ConnectionPool m_Targets;
  std::unordered_map<core::RequestId, OpenRequest *> m_OpenRequests;
  std::uint64_t m_NextRequest = 1;
  std::unique_ptr<http::Server> m_CallerServer;
  std::unique_ptr<http::Server> m_PeerServer;
};

} // namespace yardrill::instance

#endif
