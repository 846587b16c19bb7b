//===-- PeerService.h - Communication with the other instances ------------===//
//
// Load reports are sent by UDP; each replaces the previous one. State of the
// store is sent by TCP, only to instances that request it because they are
// behind. So are callers' requests that an instance forwards.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PEERSERVICE_H
#define YARDRILL_LIBGATEWAY_PEERSERVICE_H

#include "LibCore/TimerService.h"
#include "LibGateway/MirrorFetcher.h"
#include "LibGateway/PeerExchange.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/ForwardTicket.h"
#include "LibPeer/PeerCodec.h"
#include "LibPeer/PeerSocket.h"

#include <boost/asio/io_context.hpp>

namespace yardrill::gateway {

/// Sends and receives the messages of a PeerExchange, and fetches the state of
/// the store from peers; owned by Gateway.
class PeerService {
public:
  /// Binds the peer address. \throws core::Error of kind AddressInUse.
  /// \param Hooks those through which to send are set here.
  PeerService(boost::asio::io_context &Context, const GatewaySettings &Settings,
              platform::StoreMirror &Mirror, metrics::MetricsRegistry &Metrics,
              PeerExchangeHooks Hooks);
  ~PeerService();

  /// Starts to receive messages and to send reports; greets the seeds.
  void start(core::TimerService &Timers);
  /// Sends a message that is not a load report; it can be lost.
  void send(const config::Endpoint &To, const peer::PeerBody &Body);
  void send(const std::vector<config::Endpoint> &To,
            const peer::PeerBody &Body);

  /// Sets the handler of callers' requests that peers forward.
  void setForwardedHandler(http::Server::Handler Handle) {
    m_Fetcher.server().setForwardedHandler(std::move(Handle));
  }
  /// Sets the limits of requests that peers forward.
  void setForwardedLimits(const http::ServerLimits &Limits) {
    m_Fetcher.server().setLimits(Limits);
  }
  /// Returns the header for a request that is forwarded, with the sender and
  /// the time filled in.
  std::string signTicket(peer::ForwardTicket Ticket) const;
  /// Returns the ticket of a forwarded request; none if no peer has signed it
  /// for this instance just now.
  std::optional<peer::ForwardTicket>
  readTicket(const http::RequestMessage &Request) const;

  // See PeerExchange.
  void setStopping() { m_Exchange.setStopping(); }
  void scheduleReport() { m_Exchange.scheduleReport(); }
  void notifyIfChanged() { m_Exchange.notifyIfChanged(); }
  void setRecorded(FleetMembers Instances) {
    m_Exchange.setRecorded(std::move(Instances));
  }
  const PeerTable &peers() const { return m_Exchange.peers(); }
  bool isStoreReachable() const { return m_Exchange.isStoreReachable(); }
  bool mustFollowStore() const { return m_Exchange.mustFollowStore(); }
  std::size_t missingCount() const { return m_Exchange.missingCount(); }
  bool hasPeerWithState() const { return m_Exchange.hasPeerWithState(); }
  bool isDiscoveryDone() const;
  bool isRecordWriter() const;
  void setQuotaOwners(const FleetMembers &Owners, const FleetMembers &Members) {
    m_Exchange.setQuotaOwners(Owners, Members);
  }
  routing::OwnershipEvidence ownershipEvidence(core::TimePoint Now) const {
    return m_Exchange.ownershipEvidence(Now);
  }
  bool hasQuotaLease(core::TimePoint Now) const {
    return m_Exchange.hasQuotaLease(Now);
  }
  MemberReports memberReports() const { return m_Exchange.memberReports(); }
  FleetMembers liveInstances() const { return m_Exchange.liveInstances(); }
  std::vector<config::Endpoint> otherInstances() const {
    return m_Exchange.otherInstances();
  }
  std::size_t activeInstanceCount() const {
    return m_Exchange.activeInstanceCount();
  }

private:
  /// Adds the hooks through which the exchange sends.
  PeerExchangeHooks withTransport(PeerExchangeHooks Hooks);
  void receive(const peer::PeerMessage &Message);
  void drop(peer::DropReason Reason);
  void tick(core::TimePoint Now);
  void fetchIfBehind(core::TimePoint Now);

  boost::asio::io_context &m_Context;
  metrics::MetricsRegistry &m_Metrics;
  decision::InstanceRef m_Self;
  peer::PeerCodec m_Codec;
  peer::PeerSocket m_Socket;
  MirrorFetcher m_Fetcher;
  PeerExchange m_Exchange;
  std::uint64_t m_Sequence = 0;
};

} // namespace yardrill::gateway

#endif
