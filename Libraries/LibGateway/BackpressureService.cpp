#include "LibGateway/BackpressureService.h"

#include "LibCore/Log.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace yardrill::gateway {

using routing::BackpressureReport;

static constexpr std::chrono::seconds ResendPeriod{1};

static peer::BackpressureEntry toMessage(const BackpressureReport &What,
                                         core::TimePoint Now) {
  peer::BackpressureEntry Out;
  Out.m_Target = What.m_Incarnation.m_Name.value();
  Out.m_StartTime = What.m_Incarnation.m_StartTime.value();
  Out.m_IsLimited = What.m_Limit.m_PerSecond.has_value();
  Out.m_PerSecond = What.m_Limit.m_PerSecond.value_or(0);
  Out.m_LimitAgeUs =
      static_cast<std::uint64_t>((Now - What.m_Limit.m_At).count());
  Out.m_IsLeaving = What.m_IsLeaving;
  return Out;
}

/// \returns none for what no instance says.
static std::optional<BackpressureReport>
fromMessage(const peer::BackpressureEntry &Told, core::TimePoint Now) {
  if (!std::isfinite(Told.m_PerSecond) || Told.m_PerSecond < 0)
    return std::nullopt;
  BackpressureReport Out;
  Out.m_Incarnation = {core::TargetName(Told.m_Target),
                       core::TargetStartTime(Told.m_StartTime)};
  if (Told.m_IsLimited)
    Out.m_Limit.m_PerSecond = Told.m_PerSecond;
  // Longer ago than this machine runs: before all that it heard itself.
  auto Longest = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Out.m_Limit.m_At = Now - core::Duration(std::min(Told.m_LimitAgeUs, Longest));
  Out.m_IsLeaving = Told.m_IsLeaving;
  return Out;
}

void BackpressureService::noteStated(
    const routing::Target &Which,
    const routing::TargetBackpressure &Backpressure, core::TimePoint Now) {
  if (Backpressure.isEmpty() && m_Targets.throttles().isEmpty())
    return;
  routing::TargetIncarnation Run = Which.run();
  bool IsNews = m_Targets.throttles().update(Run, Backpressure, Now);
  if (IsNews || Backpressure.m_Backoff || Backpressure.m_IsLimitUnreadable)
    logChange(Run, Backpressure);
  // A rest is asked of this instance alone.
  if (!IsNews)
    return;
  UpdatesByPeer To;
  add(m_Targets.throttles().reportOf(Run), Now, To);
  send(To);
}

void BackpressureService::handle(const peer::PeerMessage &Message,
                                 core::TimePoint Now) {
  const auto *News = std::get_if<peer::BackpressureUpdate>(&Message.m_Body);
  if (!News)
    return;
  for (const peer::BackpressureEntry &Each : News->m_Entries) {
    std::optional<BackpressureReport> Told = fromMessage(Each, Now);
    if (Told && m_Targets.throttles().update(*Told, Now))
      logChange(Told->m_Incarnation, {});
  }
}

void BackpressureService::add(const BackpressureReport &What,
                              core::TimePoint Now, UpdatesByPeer &To) {
  const routing::KnownTarget *Known =
      m_Targets.findByIncarnation(What.m_Incarnation);
  if (!Known)
    return;
  for (const config::Endpoint &Each :
       m_Targets.subsetInstances(Known->m_Target.m_Pool))
    if (!(Each == m_Self))
      To[Each].push_back(toMessage(What, Now));
}

void BackpressureService::send(const UpdatesByPeer &To) {
  for (const auto &[Address, Backpressure] : To)
    for (std::size_t First = 0; First < Backpressure.size();
         First += peer::BackpressureUpdate::MaxEntries) {
      std::size_t End = std::min(Backpressure.size(),
                                 First + peer::BackpressureUpdate::MaxEntries);
      m_Send(Address, peer::BackpressureUpdate{
                          {Backpressure.begin() + static_cast<long>(First),
                           Backpressure.begin() + static_cast<long>(End)}});
    }
}

void BackpressureService::logChange(
    const routing::TargetIncarnation &Run,
    const routing::TargetBackpressure &Said) const {
  BackpressureReport Known = m_Targets.throttles().reportOf(Run);
  core::LogLine Line("target-terms", core::LogLevel::Warning);
  Line.add("target", Run.m_Name)
      .add("birth", Run.m_StartTime)
      .add("is_leaving", Known.m_IsLeaving);
  if (Known.m_Limit.m_PerSecond)
    Line.add("limit_per_second", *Known.m_Limit.m_PerSecond)
        .add("is_sender", m_Targets.throttles().isSender(Run));
  if (Said.m_IsLimitUnreadable)
    Line.add("is_limit_unreadable", true);
  if (Said.m_Backoff)
    Line.add("rest_us", *Said.m_Backoff);
}

void BackpressureService::upkeep(core::TimePoint Now) {
  if (m_Targets.throttles().isEmpty())
    return;
  m_Targets.throttles().removeStale(Now);
  if (Now - m_LastSentAt < ResendPeriod)
    return;
  m_LastSentAt = Now;
  UpdatesByPeer To;
  for (const BackpressureReport &Each : m_Targets.throttles().dueReports(Now))
    add(Each, Now, To);
  send(To);
}

} // namespace yardrill::gateway
