#include "LibGateway/RequestInfo.h"

#include <string_view>

namespace yardrill::gateway {

/// Reason of a request that was refused for want of a slot.
static constexpr std::string_view NoSlotReason = "no-target";

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
                              platform::Revision StoreRevision,
                              const std::string &LastEvent) const {
  core::LogLine Line("request-sent");
  Line.add("request", m_Description.m_Id)
      .add("content", m_Content)
      .add("route", m_Route->m_Name)
      .add("account_tier", m_Tier)
      .add("route_tier", m_Route->m_Tier)
      .add("target", m_Target->m_Name)
      .add("target_version", m_Target->m_Version)
      .add("try", m_Timing.attempts())
      .add("waited_us", core::steadyNow() - m_Timing.arrivedAt())
      .add("unread_us", m_UnreadTime)
      .add("configuration", m_Table->version())
      .add("store_revision", StoreRevision);
  if (m_Description.m_ResumedAttempt)
    Line.add("resumes", *m_Description.m_ResumedAttempt);
  if (!LastEvent.empty())
    Line.add("last_event", LastEvent);
  if (m_PredictedWait)
    Line.add("predicted_wait_us", *m_PredictedWait);
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

std::string RequestInfo::sharedParts() const {
  std::string Out;
  for (const std::string &Each : m_Description.m_SharedParts)
    Out += (Out.empty() ? "" : ",") + Each;
  return Out;
}

void RequestInfo::logTargetRefusal(unsigned TargetStatus,
                                   const ResponseDescription &Info,
                                   std::size_t SentOnConnection,
                                   core::Duration TimeToRefusal) const {
  core::LogLine(m_Reason, core::LogLevel::Warning)
      .add("request", m_Description.m_Id)
      .add("target", m_Target->m_Name)
      .add("status", TargetStatus)
      .add("try", m_Timing.attempts())
      .add("sender", Info.m_Sender.value_or(core::TargetName()))
      .add("sent_on_connection", SentOnConnection)
      .add("answered_us", TimeToRefusal);
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
      .add("total_us", Now - m_Timing.arrivedAt())
      .add("unread_us", m_UnreadTime);
  if (m_Route)
    Line.add("late", toString(m_Timing.lateness(m_Route->m_FirstByteObjective,
                                                m_Route->m_MaxEventGap, Now)));
  if (m_Timing.hasFirstEvent())
    Line.add("first_event_us", m_Timing.timeToFirstEvent())
        .add("longest_pause_us", m_Timing.maxEventGap())
        .add("prompt_tokens", m_Description.m_PromptTokens);
  if (m_Status == 503 && m_PredictedWait)
    Line.add("predicted_wait_us", *m_PredictedWait);
  if (m_Table)
    Line.add("configuration", m_Table->version());
  if (m_Target)
    Line.add("target", m_Target->m_Name);
  // For requests that were sent, request-sent shows the content.
  if (m_Route && m_Timing.attempts() == 0)
    Line.add("content", m_Content);
  if (m_Status != 0)
    logRefusal(Line);
}

/// Appends `ACCOUNT_TIER/ROUTE_TIER:COUNT` to a list.
static void appendTier(std::string &List, const routing::Priority &Tier,
                       std::uint32_t Count) {
  if (Count == 0)
    return;
  if (!List.empty())
    List += ',';
  List += std::to_string(Tier.m_Account.value()) + '/' +
          std::to_string(Tier.m_Route.value()) + ':' + std::to_string(Count);
}

void RequestInfo::logRefusal(core::LogLine &Line) const {
  if (m_Account)
    Line.add("account", m_Account->m_Name);
  if (m_Route)
    Line.add("route_tier", m_Route->m_Tier);
  if (m_RetryAfter > core::Duration::zero())
    Line.add("retry_after_us", m_RetryAfter);
  if (m_DemandAtRefusal.empty() || !m_Route)
    return;
  routing::Priority Own{m_Tier, m_Route->m_Tier};
  std::string WaitingAhead;
  std::string Running;
  for (const auto &[Tier, Demand] : m_DemandAtRefusal) {
    if (!(Own < Tier))
      appendTier(WaitingAhead, Tier, Demand.m_Waiting);
    appendTier(Running, Tier, Demand.m_Running);
  }
  Line.add("waiting_ahead", WaitingAhead).add("running", Running);
}

void RequestInfo::countCompletion(metrics::MetricsRegistry &Metrics) const {
  metrics::RequestLabels Labels = labels();
  Metrics.observe(metrics::RequestLatency::Total, Labels,
                  core::steadyNow() - m_Timing.arrivedAt());
  if (m_Status != 0 && m_Reason == NoSlotReason)
    Metrics.observe(metrics::RequestLatency::UntilNoSlotRefusal, Labels,
                    core::steadyNow() - m_Timing.arrivedAt());
  Metrics.countOutcome(Labels, m_Reason);
}

} // namespace yardrill::gateway
