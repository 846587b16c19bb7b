#include "LibRollout/Member.h"

#include <algorithm>

namespace yardrill::rollout {

/// Cells of a report, where fewer changed: they fit one datagram.
static constexpr std::size_t UsualCells = 9;
/// Weight of the newest answer of the old version.
static constexpr double FailureWeight = 0.05;
/// By how much the new version's share of failures must exceed the old one's
/// for an instance to stop by itself.
static constexpr double PlainlyWorse = 0.35;

Member::Member(Order What, core::Duration Age, core::TimePoint Now)
    : m_Order(std::move(What)), m_Since(Now - Age) {}

void Member::learnAge(core::Duration Age, core::TimePoint Now) {
  m_Since = std::min(m_Since, Now - Age);
}

Traffic Member::traffic(core::TimePoint Now) const {
  bool IsPermitted = Now < m_PermitEnds && !isStopped(Now);
  return IsPermitted ? m_Permit.m_Traffic : Traffic::Old;
}

bool Member::isSampleDue(std::uint32_t Route, core::TimePoint Now) const {
  return traffic(Now) == Traffic::Sample && m_Exposure.isDue(Route);
}

void Member::applyPermit(const Permit &Given, core::TimePoint Now) {
  if (Given.m_Order != m_Order.m_Id)
    return;
  auto Which = std::find_if(m_Asked.begin(), m_Asked.end(), [&](const auto &E) {
    return E.m_Number == Given.m_Report;
  });
  // One that comes late may be older than one that is in force.
  if (Which == m_Asked.end() || Given.m_Report < m_Permit.m_Report)
    return;
  if (traffic(Now) != Given.m_Traffic)
    m_Exposure.reset();
  m_Permit = Given;
  m_PermitEnds = Which->m_At + Permit::Length;
}

void Member::sent(std::uint32_t Route, bool IsNew, core::TimePoint Now) {
  ++m_Sent;
  m_SentNew += IsNew ? 1 : 0;
  bool IsSampling = traffic(Now) == Traffic::Sample;
  m_Exposure.sent(Route, IsNew, IsSampling ? m_Permit.m_Share : 0);
}

void Member::answered(const CellKey &Where, AnswerQuality How,
                      core::Duration Time, core::TimePoint Now) {
  m_Evidence.note(Where, How, Time);
  m_Changed.insert(Where);
  lookAtOwn(Where, How, Now);
}

void Member::lookAtOwn(const CellKey &Where, AnswerQuality How,
                       core::TimePoint Now) {
  bool IsFailure = How == AnswerQuality::Failed;
  if (Where.m_Side == Side::Old) {
    m_OldFailureShare +=
        FailureWeight * ((IsFailure ? 1 : 0) - m_OldFailureShare);
    return;
  }
  m_OwnFailures.push_back(IsFailure);
  if (m_OwnFailures.size() > OwnLook)
    m_OwnFailures.pop_front();
  auto Failed = static_cast<double>(
      std::count(m_OwnFailures.begin(), m_OwnFailures.end(), true));
  bool IsPlain = m_OwnFailures.size() == OwnLook &&
                 Failed / OwnLook > m_OldFailureShare + PlainlyWorse;
  if (IsPlain && traffic(Now) == Traffic::New)
    m_StoppedUntil = Now + Permit::Length;
}

Cells Member::cellsToTell() {
  const Cells &All = m_Evidence.cells();
  Cells Out;
  for (const CellKey &Each : m_Changed)
    Out.emplace(Each, All.at(Each));
  m_Changed.clear();
  for (std::size_t I = 0; I < All.size() && Out.size() < UsualCells; ++I) {
    auto Next = All.upper_bound(m_LastTold);
    if (Next == All.end())
      Next = All.begin();
    m_LastTold = Next->first;
    Out.insert(*Next);
  }
  return Out;
}

Report Member::report(std::uint32_t RunningOld, core::TimePoint Now) {
  Report Out;
  Out.m_Order = m_Order.m_Id;
  Out.m_Number = m_NextReport++;
  Out.m_Age = age(Now);
  Out.m_Traffic = traffic(Now);
  Out.m_RunningOld = RunningOld;
  Out.m_Sent = m_Sent;
  Out.m_SentNew = m_SentNew;
  Out.m_Cells = cellsToTell();
  m_Asked.push_back({Out.m_Number, Now});
  while (Now - m_Asked.front().m_At > Permit::Length)
    m_Asked.pop_front();
  return Out;
}

} // namespace yardrill::rollout
