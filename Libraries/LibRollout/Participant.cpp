#include "LibRollout/Participant.h"

#include <algorithm>

namespace yardrill::rollout {

/// Number of counters up to which a report is filled with unchanged ones. They
/// fit in one datagram.
static constexpr std::size_t MaxRepeatedCounts = 9;
/// Weight of the newest response in the old version's share of failures.
static constexpr double FailureShareWeight = 0.05;
/// Excess of the new version's share of failures over the old one's at which an
/// instance stops on its own.
static constexpr double MinLocalExcess = 0.35;

Participant::Participant(Order RolloutOrder, core::Duration Age,
                         core::TimePoint Now)
    : m_Order(std::move(RolloutOrder)), m_Since(Now - Age) {}

void Participant::raiseAge(core::Duration Age, core::TimePoint Now) {
  m_Since = std::min(m_Since, Now - Age);
}

Traffic Participant::traffic(core::TimePoint Now) const {
  bool IsPermitted = Now < m_PermitUntil && !isStopped(Now);
  return IsPermitted ? m_Permit.m_Traffic : Traffic::Old;
}

bool Participant::isSampleDue(std::uint32_t Route, core::TimePoint Now) const {
  return traffic(Now) == Traffic::Sample &&
         m_SampleBudget.isSampleAllowed(Route);
}

void Participant::applyPermit(const Permit &Received, core::TimePoint Now) {
  if (Received.m_Order != m_Order.m_Id)
    return;
  auto Answered = std::find_if(
      m_SentReports.begin(), m_SentReports.end(),
      [&](const auto &E) { return E.m_Number == Received.m_Report; });
  // A late permit may be older than the one in force.
  if (Answered == m_SentReports.end() || Received.m_Report < m_Permit.m_Report)
    return;
  if (traffic(Now) != Received.m_Traffic)
    m_SampleBudget.reset();
  m_Permit = Received;
  m_PermitUntil = Answered->m_At + Permit::Lifetime;
}

void Participant::recordSent(std::uint32_t Route, bool IsNew,
                             core::TimePoint Now) {
  ++m_Sent;
  m_SentNew += IsNew ? 1 : 0;
  bool IsSampling = traffic(Now) == Traffic::Sample;
  m_SampleBudget.sent(Route, IsNew, IsSampling ? m_Permit.m_Share : 0);
}

void Participant::recordResponse(const ResponseCountsKey &Key,
                                 ResponseQuality Quality, core::Duration Time,
                                 core::TimePoint Now) {
  m_Evidence.addResponse(Key, Quality, Time);
  m_Changed.insert(Key);
  checkLocalResponses(Key, Quality, Now);
}

void Participant::checkLocalResponses(const ResponseCountsKey &Key,
                                      ResponseQuality Quality,
                                      core::TimePoint Now) {
  bool IsFailure = Quality == ResponseQuality::Failed;
  if (Key.m_Side == Side::Old) {
    m_OldFailureShare +=
        FailureShareWeight * ((IsFailure ? 1 : 0) - m_OldFailureShare);
    return;
  }
  m_RecentFailures.push_back(IsFailure);
  if (m_RecentFailures.size() > OwnSampleSize)
    m_RecentFailures.pop_front();
  auto Failed = static_cast<double>(
      std::count(m_RecentFailures.begin(), m_RecentFailures.end(), true));
  bool IsClearlyWorse =
      m_RecentFailures.size() == OwnSampleSize &&
      Failed / OwnSampleSize > m_OldFailureShare + MinLocalExcess;
  if (IsClearlyWorse && traffic(Now) == Traffic::New)
    m_StoppedUntil = Now + Permit::Lifetime;
}

ResponseCountsByKey Participant::countsToReport() {
  const ResponseCountsByKey &All = m_Evidence.counts();
  ResponseCountsByKey Out;
  for (const ResponseCountsKey &Each : m_Changed)
    Out.emplace(Each, All.at(Each));
  m_Changed.clear();
  for (std::size_t I = 0; I < All.size() && Out.size() < MaxRepeatedCounts;
       ++I) {
    auto Next = All.upper_bound(m_LastReported);
    if (Next == All.end())
      Next = All.begin();
    m_LastReported = Next->first;
    Out.insert(*Next);
  }
  return Out;
}

Report Participant::report(std::uint32_t RunningOld, core::TimePoint Now) {
  Report Out;
  Out.m_Order = m_Order.m_Id;
  Out.m_Number = m_NextReport++;
  Out.m_Age = age(Now);
  Out.m_Traffic = traffic(Now);
  Out.m_RunningOld = RunningOld;
  Out.m_Sent = m_Sent;
  Out.m_SentNew = m_SentNew;
  Out.m_Counts = countsToReport();
  m_SentReports.push_back({Out.m_Number, Now});
  while (Now - m_SentReports.front().m_At > Permit::Lifetime)
    m_SentReports.pop_front();
  return Out;
}

} // namespace yardrill::rollout
