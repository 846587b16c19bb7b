//===-- SlotService.h - Messages that hand slots over to group peers ------===//
#ifndef YARDRILL_LIBGATEWAY_SLOTSERVICE_H
#define YARDRILL_LIBGATEWAY_SLOTSERVICE_H

#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/SlotExchange.h"

#include <functional>
#include <random>

namespace yardrill::gateway {

/// Sends and receives the messages of a SlotExchange, and counts and logs what
/// it does; owned by Gateway.
class SlotService {
public:
  using Send =
      std::function<void(const config::Endpoint &, const peer::PeerBody &)>;

  SlotService(routing::Dispatcher &Dispatcher,
              routing::TargetDirectory &Targets,
              metrics::MetricsRegistry &Metrics, Send Hook);

  /// Gives a slot that came free to the most urgent request that waits in the
  /// group.
  void handleFreedSlot(const routing::TargetIncarnation &Target,
                       core::TimePoint Now) {
    m_Exchange.handleFreedSlot(Target, Now);
  }
  /// Applies a message of a group peer, if it is about a slot that was granted
  /// without a request.
  void handle(const peer::PeerMessage &Message, core::TimePoint Now);
  /// Takes into account that a group peer reported its load and demand.
  void handleReport(const config::Endpoint &From, core::TimePoint ReceivedAt) {
    m_Exchange.handleReport(From, ReceivedAt);
  }
  /// Must be called many times a second while hasLeases(), else a few times.
  void upkeep(core::TimePoint Now) { m_Exchange.upkeep(Now); }
  /// Returns the slots that this instance has granted, to other groups as well
  /// (SlotLendingService).
  routing::SlotLeases &leases() { return m_Exchange.leases(); }
  bool hasLeases() const { return m_Exchange.leases().size() > 0; }

private:
  routing::SlotExchangeHooks exchangeHooks();
  void sendGrant(const config::Endpoint &To, const routing::SlotGrant &Granted);
  void sendReturn(const config::Endpoint &To, routing::SlotLeaseId Lease);

  metrics::MetricsRegistry &m_Metrics;
  Send m_Send;
  std::mt19937_64 m_Random;
  routing::SlotExchange m_Exchange;
  std::uint64_t m_GrantsSinceLog = 0;
  core::TimePoint m_LoggedAt{};
};

} // namespace yardrill::gateway

#endif
