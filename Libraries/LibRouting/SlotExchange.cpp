#include "LibRouting/SlotExchange.h"

#include <algorithm>

namespace yardrill::routing {

/// Time within which a grant reaches its receiver. A report that arrives sooner
/// may have been sent before that.
static constexpr std::chrono::milliseconds DeliveryTime{5};

bool SlotExchange::isGrantable(const KnownTarget &Known,
                               core::TimePoint Now) const {
  if (!m_Targets.acceptsRequests(Known, Now) || Known.m_ExpiredAt ||
      Known.m_CooldownUntil > Now || Known.isOnProbation())
    return false;
  // A slot that another group lent goes back to it.
  const auto &Subset = m_Targets.subsetOf(Known.m_Target.m_Pool);
  if (std::find(Subset.begin(), Subset.end(), &Known) == Subset.end())
    return false;
  // A slot in use that was granted to a group peer counts twice until its lease
  // ends: here and in the receiver's report.
  return Known.running() <
         Known.m_Target.m_Slots + Known.m_ReservedSlots - Known.m_LentSlots;
}

bool SlotExchange::tryGrant(const TargetIncarnation &Target,
                            core::TimePoint Now) {
  const SlotHandover::PeerDemand &Peers = m_Dispatcher.demand().peers();
  if (!isEnabled() || Peers.empty())
    return false;
  const KnownTarget *Known = m_Targets.findByIncarnation(Target);
  if (!Known || !isGrantable(*Known, Now))
    return false;
  const core::PoolName &Pool = Known->m_Target.m_Pool;
  auto Receiver =
      m_Handover.choose(hashOf(Pool), m_Dispatcher.mostUrgentFor(*Known, Now),
                        Peers, m_Hooks.m_Random());
  // Requests of lower tiers also wait because slots are kept for higher ones.
  if (!Receiver || !m_Dispatcher.mayTakeSlot(Pool, Receiver->m_Tier, Now))
    return false;
  auto Granted = m_Leases.grant(Target, Receiver->m_Peer, GroupHeldTime, Now);
  if (!Granted)
    return false;
  m_Handover.recordGrant(*Receiver, hashOf(Pool), Now);
  m_Hooks.m_Grant(Receiver->m_Peer, {Granted->m_Id, Target, GroupHeldTime});
  return true;
}

bool SlotExchange::handleFreedSlot(const TargetIncarnation &Target,
                                   core::TimePoint Now) {
  bool IsGranted = tryGrant(Target, Now);
  if (m_Dispatcher.waiting() > 0)
    m_Dispatcher.dispatchWaiting(Now);
  return IsGranted;
}

bool SlotExchange::handleGrant(const config::Endpoint &From,
                               const SlotGrant &Granted, core::TimePoint Now) {
  if (isEnabled() && m_Dispatcher.sendWaitingTo(Granted.m_Target, Now))
    return true;
  m_Hooks.m_Return(From, Granted.m_Lease);
  return false;
}

bool SlotExchange::handleReturn(const config::Endpoint &From, SlotLeaseId Lease,
                                core::TimePoint Now) {
  const SlotLease *Known = m_Leases.find(Lease);
  if (!Known || !(Known->m_Receiver == From))
    return false;
  SlotLease Returned = *m_Leases.release(Lease);
  m_Handover.recordReturn(From, hashOf(Returned.m_Pool), Now);
  handleFreedSlot(Returned.m_Target, Now);
  return true;
}

void SlotExchange::handleReport(const config::Endpoint &From,
                                core::TimePoint ReceivedAt) {
  m_Handover.recordReport(From, ReceivedAt - DeliveryTime);
  if (m_Leases.size() > 0)
    m_Leases.releaseReported(From, ReceivedAt - DeliveryTime);
}

void SlotExchange::upkeep(core::TimePoint Now) {
  m_Leases.releaseExpired(Now);
  m_Handover.removeOld(Now - GroupHeldTime);
}

} // namespace yardrill::routing
