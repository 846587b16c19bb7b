#include "LibGateway/RequestInfo.h"

#include "LibCore/Log.h"

namespace yardrill::gateway {

metrics::RequestLabels RequestInfo::labels() const {
  return {m_Account ? m_Account->m_Name : core::AccountName(), m_Tier, m_Pool};
}

void RequestInfo::logQuota(const char *Event) const {
  core::LogLine Line(Event);
  Line.add("request", m_Description.m_Id)
      .add("account", m_Account->m_Name)
      .add("tokens", m_Acquisition.m_Tokens)
      .add("limit_per_second", m_Account->m_TokensPerSecond)
      .add("limit_burst", m_Account->m_Burst)
      .add("quota_from", toString(m_Acquisition.m_Source))
      .add("took_us", core::steadyNow() - m_Timing.arrivedAt());
  if (m_Acquisition.m_RetryAfter)
    Line.add("retry_after_us", *m_Acquisition.m_RetryAfter);
}

void RequestInfo::logDispatch(const routing::KnownTarget *Known,
                              platform::Revision StoreRevision) const {
  core::LogLine Line("request-sent");
  Line.add("request", m_Description.m_Id)
      .add("content", m_Content)
      .add("route", m_Route->m_Name)
      .add("account_tier", m_Tier)
      .add("route_tier", m_Route->m_Tier)
      .add("target", m_Target->m_Name)
      .add("try", m_Timing.attempts())
      .add("waited_us", core::steadyNow() - m_Timing.arrivedAt())
      .add("configuration", m_Table->version())
      .add("store_revision", StoreRevision);
  if (m_Account)
    Line.add("account", m_Account->m_Name)
        .add("tokens", m_Acquisition.m_Tokens)
        .add("quota_from", toString(m_Acquisition.m_Source));
  if (Known)
    Line.add("running_own", Known->m_LocalLoad.m_Running)
        .add("running_others", Known->m_RemoteLoad.m_Running)
        .add("places", Known->m_Target.m_Slots)
        .add("slowness", Known->m_Slowness)
        .add("failure_share", Known->m_FailureRate);
}

void RequestInfo::logTargetRefusal(unsigned TargetStatus) const {
  core::LogLine(m_Reason, core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("target", m_Target->m_Name)
      .add("status", TargetStatus)
      .add("try", m_Timing.attempts());
}

void RequestInfo::logCompletion(const char *Event,
                                unsigned ResponseStatus) const {
  core::LogLine Line(Event);
  core::TimePoint Now = core::steadyNow();
  Line.add("request", m_Description.m_Id)
      .add("route", m_Route ? m_Route->m_Name : "")
      .add("tier", m_Tier)
      .add("pool", m_Pool)
      .add("status", m_Status != 0 ? m_Status : ResponseStatus)
      .add("reason", m_Reason)
      .add("tries", m_Timing.attempts())
      .add("total_us", Now - m_Timing.arrivedAt());
  if (m_Route)
    Line.add("late", toString(m_Timing.lateness(m_Route->m_FirstByteObjective,
                                                m_Route->m_MaxEventGap, Now)));
  if (m_Timing.hasFirstEvent())
    Line.add("first_event_us", m_Timing.timeToFirstEvent())
        .add("longest_pause_us", m_Timing.maxEventGap())
        .add("prompt_tokens", m_Description.m_PromptTokens);
  if (m_Table)
    Line.add("configuration", m_Table->version());
  if (m_Target)
    Line.add("target", m_Target->m_Name);
  // For requests that were sent, request-sent shows the content.
  if (m_Route && m_Timing.attempts() == 0)
    Line.add("content", m_Content);
}

void RequestInfo::countCompletion(metrics::MetricsRegistry &Metrics) const {
  metrics::RequestLabels Labels = labels();
  Metrics.observe(metrics::RequestLatency::Total, Labels,
                  core::steadyNow() - m_Timing.arrivedAt());
  Metrics.countOutcome(Labels, m_Reason);
}

} // namespace yardrill::gateway
