#include "LibGateway/BackpressureService.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yardrill::gateway {

using routing::BackpressureReport;

/// Period in which reports are sent again.
static constexpr std::chrono::seconds ResendPeriod{1};

static peer::BackpressureEntry toMessage(const BackpressureReport &Report,
                                         core::TimePoint Now) {
  peer::BackpressureEntry Out;
  Out.m_Target = Report.m_Incarnation.m_Name.value();
  Out.m_StartTime = Report.m_Incarnation.m_StartTime.value();
  Out.m_IsLimited = Report.m_Limit.m_PerSecond.has_value();
  Out.m_PerSecond = Report.m_Limit.m_PerSecond.value_or(0);
  Out.m_LimitAgeUs =
      static_cast<std::uint64_t>((Now - Report.m_Limit.m_At).count());
  Out.m_IsLeaving = Report.m_IsLeaving;
  return Out;
}

/// Returns the report in a message; none if its rate is negative or not finite.
static std::optional<BackpressureReport>
fromMessage(const peer::BackpressureEntry &Received, core::TimePoint Now) {
  if (!std::isfinite(Received.m_PerSecond) || Received.m_PerSecond < 0)
    return std::nullopt;
  BackpressureReport Out;
  Out.m_Incarnation = {core::TargetName(Received.m_Target),
                       core::TargetStartTime(Received.m_StartTime)};
  if (Received.m_IsLimited)
    Out.m_Limit.m_PerSecond = Received.m_PerSecond;
  // Clamped to the start of the local clock, which precedes everything that was
  // received here.
  auto MaxAge = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Out.m_Limit.m_At =
      Now - core::Duration(std::min(Received.m_LimitAgeUs, MaxAge));
  Out.m_IsLeaving = Received.m_IsLeaving;
  return Out;
}

void BackpressureService::noteStated(
    const routing::Target &Target,
    const routing::TargetBackpressure &Backpressure, core::TimePoint Now) {
  // Nothing is said by a response that is not the target's own.
  if (!Backpressure.m_IsLimitUnspecified ||
      Backpressure.m_MaxRejectionsPerSecond)
    m_Targets.setMaxRejections(Target.incarnation(),
                               Backpressure.m_MaxRejectionsPerSecond);
  if (Backpressure.isEmpty() && m_Targets.throttles().isEmpty())
    return;
  routing::TargetIncarnation Incarnation = Target.incarnation();
  bool IsChanged = m_Targets.throttles().update(Incarnation, Backpressure, Now);
  if (IsChanged || Backpressure.m_Backoff || Backpressure.m_IsLimitUnreadable)
    logChange(Incarnation, Backpressure);
  // A back-off concerns this instance alone.
  if (!IsChanged)
    return;
  UpdatesByPeer Updates;
  add(m_Targets.throttles().reportOf(Incarnation), Now, Updates);
  send(Updates);
}

void BackpressureService::handle(const peer::PeerMessage &Message,
                                 core::TimePoint Now) {
  const auto *Update = std::get_if<peer::BackpressureUpdate>(&Message.m_Body);
  if (!Update)
    return;
  for (const peer::BackpressureEntry &Each : Update->m_Entries) {
    std::optional<BackpressureReport> Received = fromMessage(Each, Now);
    if (Received && m_Targets.throttles().update(*Received, Now))
      logChange(Received->m_Incarnation, {});
  }
}

void BackpressureService::add(const BackpressureReport &Report,
                              core::TimePoint Now, UpdatesByPeer &Updates) {
  const routing::KnownTarget *Known =
      m_Targets.findByIncarnation(Report.m_Incarnation);
  if (!Known)
    return;
  for (const config::Endpoint &Each :
       m_Targets.subsetInstances(Known->m_Target.m_Pool))
    if (!(Each == m_Self))
      Updates[Each].push_back(toMessage(Report, Now));
}

void BackpressureService::send(const UpdatesByPeer &Updates) {
  for (const auto &[Address, Entries] : Updates)
    for (std::size_t First = 0; First < Entries.size();
         First += peer::BackpressureUpdate::MaxEntries) {
      std::size_t End = std::min(Entries.size(),
                                 First + peer::BackpressureUpdate::MaxEntries);
      m_Send(Address, peer::BackpressureUpdate{
                          {Entries.begin() + static_cast<long>(First),
                           Entries.begin() + static_cast<long>(End)}});
    }
}

void BackpressureService::logChange(
    const routing::TargetIncarnation &Incarnation,
    const routing::TargetBackpressure &Stated) const {
  BackpressureReport Known = m_Targets.throttles().reportOf(Incarnation);
  core::LogLine Line("target-terms", core::LogLevel::Warning);
  Line.add("target", Incarnation.m_Name)
      .add("birth", Incarnation.m_StartTime)
      .add("is_leaving", Known.m_IsLeaving);
  if (Known.m_Limit.m_PerSecond)
    Line.add("limit_per_second", *Known.m_Limit.m_PerSecond)
        .add("is_sender", m_Targets.throttles().isSender(Incarnation));
  if (Stated.m_IsLimitUnreadable)
    Line.add("is_limit_unreadable", true);
  if (Stated.m_Backoff)
    Line.add("rest_us", *Stated.m_Backoff);
}

void BackpressureService::upkeep(core::TimePoint Now) {
  if (m_Targets.throttles().isEmpty())
    return;
  m_Targets.throttles().removeStale(Now);
  if (Now - m_LastSentAt < ResendPeriod)
    return;
  m_LastSentAt = Now;
  UpdatesByPeer Updates;
  for (const BackpressureReport &Each : m_Targets.throttles().dueReports(Now))
    add(Each, Now, Updates);
  send(Updates);
}

} // namespace yardrill::gateway
