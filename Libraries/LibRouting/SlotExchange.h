//===-- SlotExchange.h - Hands freed slots over to group peers ------------===//
//
// A slot that comes free goes to the most urgent request that waits in the
// group, also at another instance. Messages may be lost or late: a slot that
// was granted and is not used stays unused for GroupHeldTime, and no longer.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SLOTEXCHANGE_H
#define YARDRILL_LIBROUTING_SLOTEXCHANGE_H

#include "LibRouting/Dispatcher.h"
#include "LibRouting/SlotHandover.h"
#include "LibRouting/SlotLeases.h"

#include <functional>

namespace yardrill::routing {

/// Grant of one slot to another instance.
struct SlotGrant {
  SlotLeaseId m_Lease = 0;
  TargetIncarnation m_Target;
  /// Time for which the giver keeps the slot for the receiver.
  core::Duration m_HeldTime{};
};

/// Sends what a SlotExchange decides, and supplies what it may not draw itself.
struct SlotExchangeHooks {
  std::function<void(const config::Endpoint &To, const SlotGrant &)> m_Grant;
  /// Returns a slot to its giver.
  std::function<void(const config::Endpoint &To, SlotLeaseId)> m_Return;
  /// Returns a random number, 0 to 1, exclusive.
  std::function<double()> m_Random;
};

/// Grants slots to group peers and uses those that they grant, while
/// OverloadSettings::m_SlotHandover is on and requests wait at peers. Otherwise
/// freed slots go to the requests that wait here.
class SlotExchange {
public:
  /// Time for which a slot is kept for a group peer: a report period plus
  /// delivery. By then the peer's own load report shows the request.
  static constexpr std::chrono::milliseconds GroupHeldTime{150};

  /// \param FirstLease see SlotLeases.
  SlotExchange(Dispatcher &Requests, TargetDirectory &Targets,
               SlotLeaseId FirstLease, SlotExchangeHooks Hooks)
      : m_Dispatcher(Requests), m_Targets(Targets),
        m_Leases(Targets, FirstLease), m_Hooks(std::move(Hooks)) {}

  /// Grants a slot that came free to a group peer, or sends a request that
  /// waits here. \returns whether it was granted.
  bool handleFreedSlot(const TargetIncarnation &Target, core::TimePoint Now);
  /// Uses a granted slot at once, or returns it. \returns whether it was used.
  bool handleGrant(const config::Endpoint &From, const SlotGrant &Granted,
                   core::TimePoint Now);
  /// Frees a slot that a peer returned, and offers it to the others. \returns
  /// false if the peer does not hold that lease.
  bool handleReturn(const config::Endpoint &From, SlotLeaseId Lease,
                    core::TimePoint Now);
  /// Takes into account that a group peer reported its load and demand.
  void handleReport(const config::Endpoint &From, core::TimePoint ReceivedAt);
  /// Ends leases whose time is over. Must be called many times a second while
  /// there are any.
  void upkeep(core::TimePoint Now);
  SlotLeases &leases() { return m_Leases; }
  const SlotLeases &leases() const { return m_Leases; }

private:
  bool isEnabled() const { return m_Dispatcher.overload().m_SlotHandover; }
  /// Whether a slot of the target can be granted: one is free, and this
  /// instance would send a request there.
  bool isGrantable(const KnownTarget &Known, core::TimePoint Now) const;
  bool tryGrant(const TargetIncarnation &Target, core::TimePoint Now);

  Dispatcher &m_Dispatcher;
  TargetDirectory &m_Targets;
  SlotLeases m_Leases;
  SlotHandover m_Handover;
  SlotExchangeHooks m_Hooks;
};

} // namespace yardrill::routing

#endif
