//===-- SlotLendingService.h - Messages that lend slots to other groups ---===//
#ifndef YARDRILL_LIBGATEWAY_SLOTLENDINGSERVICE_H
#define YARDRILL_LIBGATEWAY_SLOTLENDINGSERVICE_H

#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/SlotBorrowing.h"
#include "LibRouting/SlotLending.h"

#include <functional>
#include <random>

namespace yardrill::gateway {

/// What SlotLendingService needs of the gateway.
struct SlotLendingServiceHooks {
  std::function<void(const config::Endpoint &, const peer::PeerBody &)> m_Send;
  /// Tells the group peers soon that a slot is lent.
  std::function<void()> m_ReportSoon;
};

/// Sends and receives the messages of SlotBorrowing and SlotLending, and counts
/// and logs what they do; owned by Gateway. Returns of lent slots go to
/// SlotService, which ends the lease.
class SlotLendingService {
public:
  SlotLendingService(routing::Dispatcher &Dispatcher,
                     routing::TargetDirectory &Targets,
                     routing::SlotLeases &Leases,
                     const core::DataHallName &LocalDataHall,
                     metrics::MetricsRegistry &Metrics,
                     SlotLendingServiceHooks Hooks);

  /// Applies a message, if it asks for a slot or answers such a question.
  void handle(const peer::PeerMessage &Message, core::TimePoint Now);
  /// Asks for slots for waiting requests. To be called when a request has to
  /// wait, and many times a second while any waits.
  void update(core::TimePoint Now);
  /// See SlotBorrowing::awaitSlotFor().
  bool awaitSlotFor(const routing::PlacementRequest &Request,
                    core::TimePoint Now) {
    return m_Borrowing.awaitSlotFor(Request, Now);
  }
  /// Returns the slot of a request that has ended, if it was borrowed.
  void recordEnd(core::RequestId Id) { m_Borrowing.recordEnd(Id); }
  std::uint64_t borrowedCount() const { return m_Borrowing.borrowedCount(); }
  /// Grants nothing from now on.
  void setStopping() { m_IsStopping = true; }

private:
  routing::SlotBorrowingHooks borrowingHooks(routing::Dispatcher &Dispatcher,
                                             routing::TargetDirectory &Targets);
  void answer(const config::Endpoint &From, const peer::SlotRequest &Asked,
              core::TimePoint Now);
  void handleAnswer(const config::Endpoint &From, const peer::SlotGrant &Answer,
                    core::TimePoint Now);
  /// Counts what has happened since the last call, and logs it at most once in
  /// a period.
  void countProgress(core::TimePoint Now);

  /// Totals since the start.
  struct Totals {
    std::uint64_t m_Lent = 0;
    std::uint64_t m_Borrowed = 0;
    std::uint64_t m_Questions = 0;
    std::uint64_t m_RefusedForWaiting = 0;
    std::uint64_t m_RefusedForReserve = 0;
  };

  const routing::TargetDirectory &m_Targets;
  metrics::MetricsRegistry &m_Metrics;
  SlotLendingServiceHooks m_Hooks;
  std::mt19937_64 m_Random;
  routing::SlotLending m_Lending;
  routing::SlotBorrowing m_Borrowing;
  bool m_IsStopping = false;
  Totals m_Counted;
  Totals m_Logged;
  core::TimePoint m_LoggedAt{};
};

} // namespace yardrill::gateway

#endif
