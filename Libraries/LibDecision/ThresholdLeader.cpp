#include "LibDecision/ThresholdLeader.h"

#include <algorithm>

namespace yardrill::decision {

ThresholdLeader::ThresholdLeader(core::PoolName Pool, InstanceRef Self,
                                 ThresholdRecord Record, std::int64_t Revision,
                                 ThresholdTimings Timings, core::TimePoint Now)
    : m_Pool(std::move(Pool)), m_Self(std::move(Self)),
      m_Record(std::move(Record)), m_Revision(Revision), m_Timings(Timings),
      m_LastPermitAt(Now), m_LastPressureAt(Now) {}

void ThresholdLeader::setTiers(core::TierNumber Highest,
                               core::TierNumber Lowest) {
  if (!(m_Threshold < m_Lowest))
    m_Threshold = Lowest;
  m_Highest = Highest;
  m_Lowest = Lowest;
}

bool ThresholdLeader::handleReport(const ThresholdReport &Report,
                                   core::TimePoint Now) {
  if (epoch() < Report.m_Stamp.m_Epoch)
    return false;
  core::IncarnationId From = Report.m_From.m_Incarnation;
  if (Report.m_IsLeaving) {
    memberGone(From);
    return true;
  }
  auto &Last = m_Reports[From];
  // Datagrams may arrive out of order.
  if (Last.m_Report.m_SentAt > Report.m_SentAt)
    return true;
  Last = {Report, Now};
  m_HasPressure = m_HasPressure || Report.m_TierToShed.value() != 0;
  if (!hasMember(Report.m_From))
    m_NewMembers.emplace(From, Report.m_From);
  return true;
}

bool ThresholdLeader::hasMember(const InstanceRef &Member) const {
  const auto &Members = m_Record.m_Members;
  return std::find(Members.begin(), Members.end(), Member) != Members.end();
}

void ThresholdLeader::memberGone(core::IncarnationId Incarnation) {
  m_NewMembers.erase(Incarnation);
  m_Reports.erase(Incarnation);
  m_RemovedMembers.push_back(Incarnation);
}

std::optional<ThresholdRecord> ThresholdLeader::recordToWrite() {
  if (m_PendingRecord)
    return std::nullopt;
  ThresholdRecord Next = m_Record;
  auto IsGone = [this](const InstanceRef &Member) {
    return std::find(m_RemovedMembers.begin(), m_RemovedMembers.end(),
                     Member.m_Incarnation) != m_RemovedMembers.end();
  };
  auto &Members = Next.m_Members;
  Members.erase(std::remove_if(Members.begin(), Members.end(), IsGone),
                Members.end());
  for (const auto &[Incarnation, Member] : m_NewMembers)
    Members.push_back(Member);
  m_RemovedMembers.clear();
  if (Members == m_Record.m_Members)
    return std::nullopt;
  m_PendingRecord = Next;
  return Next;
}

bool ThresholdLeader::recordWritten(bool IsWritten, std::int64_t Revision) {
  if (!m_PendingRecord)
    return true;
  if (!IsWritten)
    return false;
  m_Record = *m_PendingRecord;
  m_PendingRecord.reset();
  m_Revision = Revision;
  for (const InstanceRef &Member : m_Record.m_Members)
    m_NewMembers.erase(Member.m_Incarnation);
  return true;
}

bool ThresholdLeader::allConfirmed() const {
  auto HasConfirmed = [this](const InstanceRef &Member) {
    auto Found = m_Reports.find(Member.m_Incarnation);
    if (Found == m_Reports.end())
      return false;
    const ThresholdReport &Report = Found->second.m_Report;
    return Report.m_IsConfirmed && Report.m_Stamp.m_Epoch == epoch() &&
           Report.m_Stamp.m_Sequence == m_Sequence;
  };
  return std::all_of(m_Record.m_Members.begin(), m_Record.m_Members.end(),
                     HasConfirmed);
}

bool ThresholdLeader::isQuiet() const {
  return m_Phase == ThresholdPhase::Hold && !m_IsRevoking &&
         !(m_Threshold < m_Lowest) && !m_HasPressure && m_NewMembers.empty() &&
         allConfirmed();
}

core::TierNumber ThresholdLeader::lowestMemberThreshold() const {
  core::TierNumber Threshold = m_Highest;
  for (const InstanceRef &Member : m_Record.m_Members)
    Threshold = std::max(
        Threshold, m_Reports.at(Member.m_Incarnation).m_Report.m_Threshold);
  return std::min(Threshold, m_Lowest);
}

core::TierNumber ThresholdLeader::nextHigherTier(core::TierNumber Tier) const {
  return std::max(m_Highest, core::TierNumber(Tier.value() - 1));
}

core::TierNumber ThresholdLeader::updateGoal(core::TimePoint Now) {
  core::TierNumber HighestToShed = m_Lowest;
  for (const auto &[Incarnation, Last] : m_Reports) {
    core::TierNumber Tier = Last.m_Report.m_TierToShed;
    bool IsFresh = Now - Last.m_At <= m_Timings.m_MaxReportAge;
    if (IsFresh && Tier.value() != 0 && Tier < HighestToShed)
      HighestToShed = std::max(Tier, m_Highest);
  }
  // Hysteresis: short breaks in the pressure must not lower the threshold.
  bool IsFirst = m_LastGoal.value() == 0;
  if (IsFirst || !(m_LastGoal < HighestToShed) ||
      Now - m_LastPressureAt > m_Timings.m_LoweringDelay) {
    m_LastGoal = HighestToShed;
    m_LastPressureAt = Now;
  }
  return m_LastGoal;
}

void ThresholdLeader::enter(ThresholdPhase Phase, core::TierNumber Threshold) {
  m_Phase = Phase;
  m_Threshold = Threshold;
  ++m_Sequence;
}

void ThresholdLeader::advance(core::TimePoint Now) {
  core::TierNumber Goal = updateGoal(Now);
  switch (m_Phase) {
  case ThresholdPhase::Adopt:
    // All members have dropped the permits of earlier leaders, so any threshold
    // is safe. The lowest one in use evicts nothing.
    if (allConfirmed())
      enter(ThresholdPhase::Hold, lowestMemberThreshold());
    return;
  case ThresholdPhase::Hold:
    return advanceHold(Goal, Now);
  case ThresholdPhase::Shed:
    return advanceShed(Goal, Now);
  }
}

void ThresholdLeader::advanceHold(core::TierNumber Goal, core::TimePoint Now) {
  bool AreConfirmed = allConfirmed();
  if (m_IsRevoking) {
    bool AreExpired = Now - m_LastPermitAt >
                      m_Timings.m_PermitLifetime + m_Timings.m_ClockMargin;
    if (!AreConfirmed && !AreExpired)
      return;
    m_IsRevoking = false;
    if (m_Threshold < Goal)
      return enter(ThresholdPhase::Hold, Goal);
  }
  if (m_Threshold < Goal) {
    // A permit for this threshold, sent before an earlier raise, may still be
    // in force.
    m_IsRevoking = true;
    return enter(ThresholdPhase::Hold, m_Threshold);
  }
  // The lowest tier may always be shed, a higher one only when nothing below it
  // runs at any member.
  bool MayShedThresholdTier = !(m_Threshold < m_Lowest) || AreConfirmed;
  if (Goal < m_Threshold && MayShedThresholdTier)
    return enter(ThresholdPhase::Hold, nextHigherTier(m_Threshold));
  if (Goal == m_Threshold && m_Threshold < m_Lowest && AreConfirmed)
    enter(ThresholdPhase::Shed, m_Threshold);
}

void ThresholdLeader::advanceShed(core::TierNumber Goal, core::TimePoint) {
  if (Goal < m_Threshold)
    return enter(ThresholdPhase::Hold, nextHigherTier(m_Threshold));
  if (Goal == m_Threshold)
    return;
  m_IsRevoking = true;
  enter(ThresholdPhase::Hold, m_Threshold);
}

std::vector<std::pair<InstanceRef, ThresholdCommand>>
ThresholdLeader::step(core::TimePoint Now) {
  advance(Now);
  m_HasPressure = false;
  std::vector<std::pair<InstanceRef, ThresholdCommand>> Commands;
  for (const InstanceRef &Member : m_Record.m_Members) {
    ThresholdCommand Command;
    Command.m_Pool = m_Pool;
    Command.m_To = Member.m_Incarnation;
    Command.m_Leader = m_Self;
    Command.m_Stamp = {epoch(), m_Sequence};
    Command.m_Phase = m_Phase;
    Command.m_Threshold = m_Threshold;
    auto Found = m_Reports.find(Member.m_Incarnation);
    if (Found != m_Reports.end())
      Command.m_ReportSentAt = Found->second.m_Report.m_SentAt;
    if (m_Phase == ThresholdPhase::Shed)
      m_LastPermitAt = Now;
    Commands.emplace_back(Member, Command);
  }
  return Commands;
}

} // namespace yardrill::decision
