//===-- DispatcherGrants.cpp - Requests for slots that peers grant --------===//
#include "LibRouting/Dispatcher.h"

namespace yardrill::routing {

bool Dispatcher::mayUseGrantedSlot(const KnownTarget &Known,
                                   const PlacementRequest &Request,
                                   core::TimePoint Now) const {
  if (Request.m_Pool != Known.m_Target.m_Pool || !mayUse(Known, Request))
    return false;
  const VersionGate *Gate = gateOf(Request.m_Pool);
  if (Gate && !Gate->mayServe(Known.m_Target, Now))
    return false;
  // A long prompt would stall the streams of a slow target.
  std::size_t Slots = slotsFor(Known, Request);
  return Slots >= Known.m_Target.m_Slots || Known.running() <= Slots;
}

const PlacementRequest *
Dispatcher::mostUrgentRequestFor(const KnownTarget &Known,
                                 core::TimePoint Now) const {
  const PlacementRequest *Best = nullptr;
  for (const auto &[Id, Request] : m_Waiting)
    if (mayUseGrantedSlot(Known, Request, Now) &&
        (!Best || precedes(Request, *Best, Now)))
      Best = &Request;
  return Best;
}

std::optional<Priority> Dispatcher::mostUrgentFor(const KnownTarget &Known,
                                                  core::TimePoint Now) const {
  const PlacementRequest *Best = mostUrgentRequestFor(Known, Now);
  return Best ? std::optional<Priority>(Best->m_Priority) : std::nullopt;
}

bool Dispatcher::mayTakeSlot(const core::PoolName &Pool, const Priority &Tier,
                             core::TimePoint Now) {
  PlacementRequest Any;
  Any.m_Pool = Pool;
  Any.m_Priority = Tier;
  return mayTakeSlot(Any, false, 0, Now);
}

std::optional<core::RequestId>
Dispatcher::sendGranted(const PlacementRequest &Waiting,
                        const KnownTarget &Known, core::TimePoint Now) {
  if (!m_Targets.tryStartRequest(Known.m_Target.incarnation(),
                                 Waiting.m_PromptTokens, Now))
    return std::nullopt;
  PlacementRequest Sent = Waiting;
  withdraw(Sent.m_Request);
  send(Sent, Known.m_Target, Now);
  return Sent.m_Request;
}

bool Dispatcher::sendWaitingTo(const TargetIncarnation &Incarnation,
                               core::TimePoint Now) {
  const KnownTarget *Known = m_Targets.findByIncarnation(Incarnation);
  bool IsUsable =
      Known && Known->m_CooldownUntil <= Now &&
      (!Known->isOnProbation() || Known->m_LocalLoad.m_Running == 0);
  if (!IsUsable)
    return false;
  const PlacementRequest *Best = mostUrgentRequestFor(*Known, Now);
  if (!Best || !mayTakeSlot(*Best, queueDeadline(*Best) <= Now, 1, Now))
    return false;
  return sendGranted(*Best, *Known, Now).has_value();
}

std::optional<core::RequestId>
Dispatcher::sendWaitingToLent(const TargetIncarnation &Incarnation,
                              core::TimePoint Now) {
  const KnownTarget *Known = m_Targets.findByIncarnation(Incarnation);
  if (!Known || Known->m_CooldownUntil > Now || Known->isOnProbation())
    return std::nullopt;
  const PlacementRequest *Best = mostUrgentRequestFor(*Known, Now);
  return Best ? sendGranted(*Best, *Known, Now) : std::nullopt;
}

} // namespace yardrill::routing
