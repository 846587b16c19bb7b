#include "LibDecision/FloorLeader.h"

#include <algorithm>

namespace yardrill::decision {

FloorLeader::FloorLeader(core::PoolName Pool, Home Self, FloorRecord Record,
                         std::int64_t Revision, FloorTimes Times,
                         core::TimePoint Now)
    : m_Pool(std::move(Pool)), m_Self(std::move(Self)),
      m_Record(std::move(Record)), m_Revision(Revision), m_Times(Times),
      m_LastPermissionAt(Now), m_LastPressureAt(Now) {}

void FloorLeader::setTiers(core::TierNumber Highest, core::TierNumber Lowest) {
  if (!(m_Floor < m_Lowest))
    m_Floor = Lowest;
  m_Highest = Highest;
  m_Lowest = Lowest;
}

bool FloorLeader::heard(const FloorReport &Report, core::TimePoint Now) {
  if (epoch() < Report.m_Stamp.m_Epoch)
    return false;
  core::IncarnationId From = Report.m_From.m_Incarnation;
  if (Report.m_IsLeaving) {
    memberGone(From);
    return true;
  }
  auto &Last = m_Reports[From];
  // Datagrams may come out of order.
  if (Last.m_Report.m_SentAt > Report.m_SentAt)
    return true;
  Last = {Report, Now};
  m_HasPressure = m_HasPressure || Report.m_WantsToShed.value() != 0;
  if (!hasMember(Report.m_From))
    m_New.emplace(From, Report.m_From);
  return true;
}

bool FloorLeader::hasMember(const Home &Member) const {
  const auto &Members = m_Record.m_Members;
  return std::find(Members.begin(), Members.end(), Member) != Members.end();
}

void FloorLeader::memberGone(core::IncarnationId Incarnation) {
  m_New.erase(Incarnation);
  m_Reports.erase(Incarnation);
  m_Gone.push_back(Incarnation);
}

std::optional<FloorRecord> FloorLeader::recordToWrite() {
  if (m_Writing)
    return std::nullopt;
  FloorRecord Next = m_Record;
  auto IsGone = [this](const Home &Member) {
    return std::find(m_Gone.begin(), m_Gone.end(), Member.m_Incarnation) !=
           m_Gone.end();
  };
  auto &Members = Next.m_Members;
  Members.erase(std::remove_if(Members.begin(), Members.end(), IsGone),
                Members.end());
  for (const auto &[Incarnation, Member] : m_New)
    Members.push_back(Member);
  m_Gone.clear();
  if (Members == m_Record.m_Members)
    return std::nullopt;
  m_Writing = Next;
  return Next;
}

bool FloorLeader::recordWritten(bool IsWritten, std::int64_t Revision) {
  if (!m_Writing)
    return true;
  if (!IsWritten)
    return false;
  m_Record = *m_Writing;
  m_Writing.reset();
  m_Revision = Revision;
  for (const Home &Member : m_Record.m_Members)
    m_New.erase(Member.m_Incarnation);
  return true;
}

bool FloorLeader::allConfirmed() const {
  auto HasConfirmed = [this](const Home &Member) {
    auto Found = m_Reports.find(Member.m_Incarnation);
    if (Found == m_Reports.end())
      return false;
    const FloorReport &Report = Found->second.m_Report;
    return Report.m_IsConfirmed && Report.m_Stamp.m_Epoch == epoch() &&
           Report.m_Stamp.m_Sequence == m_Sequence;
  };
  return std::all_of(m_Record.m_Members.begin(), m_Record.m_Members.end(),
                     HasConfirmed);
}

bool FloorLeader::isQuiet() const {
  return m_Phase == FloorPhase::Hold && !m_IsWithdrawing &&
         !(m_Floor < m_Lowest) && !m_HasPressure && m_New.empty() &&
         allConfirmed();
}

core::TierNumber FloorLeader::lowestMemberFloor() const {
  core::TierNumber Floor = m_Highest;
  for (const Home &Member : m_Record.m_Members)
    Floor =
        std::max(Floor, m_Reports.at(Member.m_Incarnation).m_Report.m_Floor);
  return std::min(Floor, m_Lowest);
}

core::TierNumber FloorLeader::oneAbove(core::TierNumber Tier) const {
  return std::max(m_Highest, core::TierNumber(Tier.value() - 1));
}

core::TierNumber FloorLeader::goal(core::TimePoint Now) {
  core::TierNumber Wanted = m_Lowest;
  for (const auto &[Incarnation, Last] : m_Reports) {
    core::TierNumber Tier = Last.m_Report.m_WantsToShed;
    bool IsFresh = Now - Last.m_At <= m_Times.m_ReportAge;
    if (IsFresh && Tier.value() != 0 && Tier < Wanted)
      Wanted = std::max(Tier, m_Highest);
  }
  // Pressure that comes and goes must not move the floor each time.
  bool IsFirst = m_LastGoal.value() == 0;
  if (IsFirst || !(m_LastGoal < Wanted) ||
      Now - m_LastPressureAt > m_Times.m_Calm) {
    m_LastGoal = Wanted;
    m_LastPressureAt = Now;
  }
  return m_LastGoal;
}

void FloorLeader::enter(FloorPhase Phase, core::TierNumber Floor) {
  m_Phase = Phase;
  m_Floor = Floor;
  ++m_Sequence;
}

void FloorLeader::advance(core::TimePoint Now) {
  core::TierNumber Goal = goal(Now);
  switch (m_Phase) {
  case FloorPhase::Adopt:
    // All have dropped the permissions of earlier leaders, so any floor is
    // safe now; this one evicts nothing.
    if (allConfirmed())
      enter(FloorPhase::Hold, lowestMemberFloor());
    return;
  case FloorPhase::Hold:
    return advanceHold(Goal, Now);
  case FloorPhase::Shed:
    return advanceShed(Goal, Now);
  }
}

void FloorLeader::advanceHold(core::TierNumber Goal, core::TimePoint Now) {
  bool AreConfirmed = allConfirmed();
  if (m_IsWithdrawing) {
    bool AreExpired =
        Now - m_LastPermissionAt > m_Times.m_Permission + m_Times.m_Margin;
    if (!AreConfirmed && !AreExpired)
      return;
    m_IsWithdrawing = false;
    if (m_Floor < Goal)
      return enter(FloorPhase::Hold, Goal);
  }
  if (m_Floor < Goal) {
    // A permission at this floor may have been given before a raise.
    m_IsWithdrawing = true;
    return enter(FloorPhase::Hold, m_Floor);
  }
  // The lowest tier may always be shed; a higher one only when nothing below
  // it runs anywhere.
  bool MayShedFloor = !(m_Floor < m_Lowest) || AreConfirmed;
  if (Goal < m_Floor && MayShedFloor)
    return enter(FloorPhase::Hold, oneAbove(m_Floor));
  if (Goal == m_Floor && m_Floor < m_Lowest && AreConfirmed)
    enter(FloorPhase::Shed, m_Floor);
}

void FloorLeader::advanceShed(core::TierNumber Goal, core::TimePoint) {
  if (Goal < m_Floor)
    return enter(FloorPhase::Hold, oneAbove(m_Floor));
  if (Goal == m_Floor)
    return;
  m_IsWithdrawing = true;
  enter(FloorPhase::Hold, m_Floor);
}

std::vector<std::pair<Home, FloorOrder>>
FloorLeader::step(core::TimePoint Now) {
  advance(Now);
  m_HasPressure = false;
  std::vector<std::pair<Home, FloorOrder>> Orders;
  for (const Home &Member : m_Record.m_Members) {
    FloorOrder Order;
    Order.m_Pool = m_Pool;
    Order.m_To = Member.m_Incarnation;
    Order.m_Leader = m_Self;
    Order.m_Stamp = {epoch(), m_Sequence};
    Order.m_Phase = m_Phase;
    Order.m_Floor = m_Floor;
    auto Found = m_Reports.find(Member.m_Incarnation);
    if (Found != m_Reports.end())
      Order.m_ReportSentAt = Found->second.m_Report.m_SentAt;
    if (m_Phase == FloorPhase::Shed)
      m_LastPermissionAt = Now;
    Orders.emplace_back(Member, Order);
  }
  return Orders;
}

} // namespace yardrill::decision
