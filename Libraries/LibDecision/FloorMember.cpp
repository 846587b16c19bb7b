#include "LibDecision/FloorMember.h"

#include <algorithm>

namespace yardrill::decision {

FloorMember::FloorMember(core::PoolName Pool, Home Self, FloorTimes Times)
    : m_Pool(std::move(Pool)), m_Self(std::move(Self)), m_Times(Times) {}

void FloorMember::setTiers(core::TierNumber Highest, core::TierNumber Lowest) {
  // A floor at the old lowest tier meant "everything"; it still does.
  if (m_Floor && !(*m_Floor < m_Lowest))
    m_Floor = Lowest;
  m_Highest = Highest;
  m_Lowest = Lowest;
}

core::TierNumber FloorMember::floor() const {
  if (!m_Floor)
    return m_Highest;
  return std::max(m_Highest, std::min(*m_Floor, m_Lowest));
}

bool FloorMember::mayShed(core::TierNumber Tier, core::TimePoint Now) const {
  if (!(Tier < m_Lowest))
    return true;
  return Now < m_PermissionUntil && !(Tier < floor());
}

bool FloorMember::obey(const FloorOrder &Order, core::TimePoint Now) {
  if (Order.m_To != m_Self.m_Incarnation || Order.m_Stamp < m_Stamp)
    return false;
  m_Stamp = Order.m_Stamp;
  m_Leader = Order.m_Leader;
  m_LeaderEpoch = Order.m_Stamp.m_Epoch;
  m_LastOrderAt = Now;
  switch (Order.m_Phase) {
  case FloorPhase::Adopt:
    m_PermissionUntil = core::TimePoint();
    break;
  case FloorPhase::Hold:
    m_PermissionUntil = core::TimePoint();
    m_Floor = Order.m_Floor;
    break;
  case FloorPhase::Shed: {
    m_Floor = Order.m_Floor;
    core::TimePoint Reported{core::Duration(Order.m_ReportSentAt)};
    m_PermissionUntil =
        std::max(m_PermissionUntil, Reported + m_Times.m_Permission);
    break;
  }
  }
  return true;
}

void FloorMember::setLeader(const Home &Leader, std::uint64_t Epoch) {
  if (Epoch < m_LeaderEpoch)
    return;
  m_Leader = Leader;
  m_LeaderEpoch = Epoch;
}

FloorReport FloorMember::report(bool NothingBelowRuns,
                                core::TierNumber WantsToShed,
                                core::TimePoint Now) const {
  FloorReport Out;
  Out.m_Pool = m_Pool;
  Out.m_From = m_Self;
  Out.m_Stamp = m_Stamp;
  Out.m_IsConfirmed = NothingBelowRuns;
  Out.m_Floor = floor();
  Out.m_WantsToShed = WantsToShed;
  Out.m_SentAt = Now.time_since_epoch().count();
  return Out;
}

} // namespace yardrill::decision
