#include "LibRouting/SlotLeases.h"

#include <algorithm>

namespace yardrill::routing {

std::optional<SlotLease> SlotLeases::grant(const TargetIncarnation &Target,
                                           const config::Endpoint &Receiver,
                                           core::Duration HeldTime,
                                           core::TimePoint Now,
                                           LeaseScope Scope) {
  KnownTarget *Known = m_Targets.findByIncarnation(Target);
  if (!Known)
    return std::nullopt;
  m_Targets.reserveSlot(Target);
  if (Scope == LeaseScope::OtherGroup)
    ++Known->m_LentSlots;
  SlotLease Granted;
  Granted.m_Id = m_Ids.next();
  Granted.m_Target = Target;
  Granted.m_Pool = Known->m_Target.m_Pool;
  Granted.m_Receiver = Receiver;
  Granted.m_GrantedAt = Now;
  Granted.m_ExpiresAt = Now + HeldTime;
  Granted.m_Scope = Scope;
  m_Leases.emplace(Granted.m_Id, Granted);
  return Granted;
}

const SlotLease *SlotLeases::find(SlotLeaseId Id) const {
  auto Found = m_Leases.find(Id);
  return Found == m_Leases.end() ? nullptr : &Found->second;
}

std::optional<SlotLease> SlotLeases::release(SlotLeaseId Id) {
  auto Found = m_Leases.find(Id);
  if (Found == m_Leases.end())
    return std::nullopt;
  SlotLease Out = Found->second;
  m_Leases.erase(Found);
  KnownTarget *Known = m_Targets.findByIncarnation(Out.m_Target);
  if (Known && Out.m_Scope == LeaseScope::OtherGroup && Known->m_LentSlots > 0)
    --Known->m_LentSlots;
  m_Targets.releaseSlot(Out.m_Target);
  return Out;
}

template <class Condition>
std::vector<SlotLease> SlotLeases::releaseIf(Condition IsOver) {
  std::vector<SlotLease> Out;
  for (const auto &[Id, Each] : m_Leases)
    if (IsOver(Each))
      Out.push_back(Each);
  std::sort(Out.begin(), Out.end(), [](const SlotLease &A, const SlotLease &B) {
    return A.m_Id < B.m_Id;
  });
  for (const SlotLease &Each : Out)
    release(Each.m_Id);
  return Out;
}

void SlotLeases::releaseReported(const config::Endpoint &Receiver,
                                 core::TimePoint GrantedBy) {
  releaseIf([&](const SlotLease &Each) {
    return Each.m_Scope == LeaseScope::GroupPeer &&
           Each.m_Receiver == Receiver && Each.m_GrantedAt <= GrantedBy;
  });
}

std::vector<SlotLease> SlotLeases::releaseExpired(core::TimePoint Now) {
  return releaseIf(
      [Now](const SlotLease &Each) { return Each.m_ExpiresAt <= Now; });
}

} // namespace yardrill::routing
