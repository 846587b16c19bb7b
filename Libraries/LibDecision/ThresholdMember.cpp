#include "LibDecision/ThresholdMember.h"

#include <algorithm>

namespace yardrill::decision {

ThresholdMember::ThresholdMember(core::PoolName Pool, InstanceRef Self,
                                 ThresholdTimings Timings)
    : m_Pool(std::move(Pool)), m_Self(std::move(Self)), m_Timings(Timings) {}

void ThresholdMember::setTiers(core::TierNumber Highest,
                               core::TierNumber Lowest) {
  // A threshold that admitted all tiers continues to do so.
  if (m_Threshold && !(*m_Threshold < m_Lowest))
    m_Threshold = Lowest;
  m_Highest = Highest;
  m_Lowest = Lowest;
}

core::TierNumber ThresholdMember::threshold() const {
  if (!m_Threshold)
    return m_Highest;
  return std::max(m_Highest, std::min(*m_Threshold, m_Lowest));
}

bool ThresholdMember::mayShed(core::TierNumber Tier,
                              core::TimePoint Now) const {
  if (!(Tier < m_Lowest))
    return true;
  return Now < m_ShedPermitUntil && !(Tier < threshold());
}

bool ThresholdMember::applyCommand(const ThresholdCommand &Command,
                                   core::TimePoint Now) {
  if (Command.m_To != m_Self.m_Incarnation || Command.m_Stamp < m_Stamp)
    return false;
  m_Stamp = Command.m_Stamp;
  m_Leader = Command.m_Leader;
  m_LeaderEpoch = Command.m_Stamp.m_Epoch;
  m_LastCommandAt = Now;
  switch (Command.m_Phase) {
  case ThresholdPhase::Adopt:
    m_ShedPermitUntil = core::TimePoint();
    break;
  case ThresholdPhase::Hold:
    m_ShedPermitUntil = core::TimePoint();
    m_Threshold = Command.m_Threshold;
    break;
  case ThresholdPhase::Shed: {
    m_Threshold = Command.m_Threshold;
    core::TimePoint Reported{core::Duration(Command.m_ReportSentAt)};
    m_ShedPermitUntil =
        std::max(m_ShedPermitUntil, Reported + m_Timings.m_PermitLifetime);
    break;
  }
  }
  return true;
}

void ThresholdMember::setLeader(const InstanceRef &Leader,
                                std::uint64_t Epoch) {
  if (Epoch < m_LeaderEpoch)
    return;
  m_Leader = Leader;
  m_LeaderEpoch = Epoch;
}

ThresholdReport ThresholdMember::report(bool IsConfirmed,
                                        core::TierNumber TierToShed,
                                        core::TimePoint Now) const {
  ThresholdReport Out;
  Out.m_Pool = m_Pool;
  Out.m_From = m_Self;
  Out.m_Stamp = m_Stamp;
  Out.m_IsConfirmed = IsConfirmed;
  Out.m_Threshold = threshold();
  Out.m_TierToShed = TierToShed;
  Out.m_SentAt = Now.time_since_epoch().count();
  return Out;
}

} // namespace yardrill::decision
