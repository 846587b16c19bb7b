//===-- PoolRollout.cpp - State of the roll-outs of one pool --------------===//
#include "LibGateway/PoolRollout.h"

namespace yardrill::gateway {

using rollout::State;
using rollout::Traffic;

/// Time for which one share of the canary targets is sampled. Longer turns
/// delay the detection of a version that is slow as a whole, since fewer
/// targets are covered.
static constexpr std::chrono::seconds CanaryTurnPeriod{1};
/// Largest expected difference between this clock and that of the record's
/// writer. An age from the record counts only if it exceeds the known one by
/// more: in a process that started after the order was placed.
static constexpr std::chrono::seconds WallTolerance{3};

void PoolRollout::setOrder(std::optional<rollout::Order> Order,
                           core::TimePoint Now) {
  bool IsSame = Order && m_Order && Order->m_Id == m_Order->m_Id;
  m_Order = std::move(Order);
  if (IsSame)
    return;
  m_Participant.reset();
  if (m_Order)
    m_Participant.emplace(*m_Order, core::Duration::zero(), Now);
}

void PoolRollout::setStatus(std::optional<rollout::Status> Status,
                            platform::Revision At) {
  m_Status = std::move(Status);
  m_StatusRevision = At;
}

void PoolRollout::setRecord(std::optional<rollout::Record> Record,
                            std::int64_t WallSeconds, core::TimePoint Now) {
  m_Record = std::move(Record);
  if (!m_Record || !m_Participant || m_Record->m_Order != m_Order->m_Id)
    return;
  core::Duration Age =
      std::chrono::seconds(WallSeconds - m_Record->m_SeenAtWallSeconds);
  if (Age > m_Participant->age(Now) + WallTolerance)
    m_Participant->raiseAge(Age, Now);
}

bool PoolRollout::isStatusCurrent() const {
  return m_Order && m_Status && m_Record &&
         m_Record->m_Order == m_Order->m_Id &&
         m_Status->m_Version == m_Order->m_Version;
}

bool PoolRollout::isActive() const {
  if (!m_Order)
    return false;
  return !isStatusCurrent() || m_Status->m_State == State::InProgress;
}

bool PoolRollout::mustWrite() const {
  if (m_Order)
    return !isStatusCurrent();
  return m_Status && m_Status->m_State == State::InProgress;
}

rollout::Status PoolRollout::nextStatus() const {
  if (m_Order)
    return {State::InProgress, m_Order->m_Version};
  return {State::RolledBack, m_Status->m_Version};
}

rollout::Record PoolRollout::nextRecord(std::int64_t WallSeconds) const {
  rollout::Record Out;
  Out.m_Excluded = excluded();
  Out.m_SeenAtWallSeconds = WallSeconds;
  // A roll-out that was replaced or withdrawn has not proved its version.
  if (m_Status && m_Status->m_State == State::InProgress)
    Out.m_Excluded.insert(m_Status->m_Version);
  if (!m_Order)
    return Out;
  Out.m_Order = m_Order->m_Id;
  Out.m_Excluded.erase(m_Order->m_Version);
  return Out;
}

rollout::Record
PoolRollout::finalRecord(const rollout::Decision &End,
                         std::set<core::TargetVersion> OldVersions) const {
  rollout::Record Out = *m_Record;
  if (End.m_State == State::RolledBack)
    Out.m_Excluded.insert(m_Order->m_Version);
  else
    Out.m_Excluded.merge(OldVersions);
  return Out;
}

//===----------------------------------------------------------------------===//
// Selection of targets
//===----------------------------------------------------------------------===//

const std::set<core::TargetVersion> &PoolRollout::excluded() const {
  static const std::set<core::TargetVersion> None;
  return m_Record ? m_Record->m_Excluded : None;
}

bool PoolRollout::isCanary(const routing::Target &Candidate) const {
  return isActive() && Candidate.m_Version == m_Order->m_Version;
}

bool PoolRollout::mayServe(const routing::Target &Candidate,
                           core::TimePoint Now) const {
  bool IsNew = isCanary(Candidate);
  if (!IsNew && excluded().count(Candidate.m_Version) != 0)
    return false;
  // The roll-back of a withdrawn order is not written yet.
  bool IsWithdrawn = !m_Order && m_Status &&
                     m_Status->m_State == State::InProgress &&
                     m_Status->m_Version == Candidate.m_Version;
  if (IsWithdrawn)
    return false;
  if (!isActive())
    return true;
  return IsNew == (m_Participant->traffic(Now) == Traffic::New);
}

bool PoolRollout::isCanaryDue(std::uint32_t Route, core::TimePoint Now) const {
  return isActive() && m_Participant->isSampleDue(Route, Now);
}

std::size_t PoolRollout::canaryTurn(core::TimePoint Now) const {
  return static_cast<std::size_t>(m_Participant->age(Now) / CanaryTurnPeriod);
}

double PoolRollout::canaryShare() const { return m_Participant->share(); }

} // namespace yardrill::gateway
