#include "LibGateway/LoadMonitor.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

static constexpr std::chrono::seconds LogPeriod{1};
/// Delays of the event loop and of transfers that are logged.
static constexpr std::chrono::milliseconds NotableDelay{50};

bool LoadMonitor::isNotable(const http::IntakeLimiter &Intake,
                            core::Duration RefusingTime,
                            core::TimePoint Now) const {
  return !m_Refusals.empty() || RefusingTime > m_LoggedRefusingTime ||
         m_MaxLoopDelay >= NotableDelay ||
         Intake.transfers().recentDuration(Now).value_or(
             core::Duration::zero()) >= NotableDelay;
}

void LoadMonitor::log(const http::IntakeLimiter &Intake, std::uint64_t Borrowed,
                      core::Duration RefusingTime, core::TimePoint Now) const {
  core::LogLine Line("instance-load");
  Line.add("loop_delay_us", m_MaxLoopDelay)
      .add("open_transfers", Intake.transfers().open(Now))
      .add("transfers_per_second", Intake.transfers().completedPerSecond(Now))
      .add("transfer_us", Intake.transfers().recentDuration(Now).value_or(
                              core::Duration::zero()))
      .add("sent", m_Sent - m_LoggedSent)
      .add("link_left_us", core::fromSeconds(Intake.link().secondsLeft(Now)))
      .add("borrowed", Borrowed - m_LoggedBorrowed)
      .add("refusing_us", RefusingTime - m_LoggedRefusingTime);
  for (const auto &[Reason, Count] : m_Refusals)
    Line.add("refused_" + Reason, Count);
}

void LoadMonitor::upkeep(core::Duration Period,
                         const http::IntakeLimiter &Intake,
                         std::uint64_t Borrowed, core::Duration RefusingTime,
                         core::TimePoint Now) {
  if (m_UpkeepAt != core::TimePoint())
    m_MaxLoopDelay = std::max(m_MaxLoopDelay, Now - m_UpkeepAt - Period);
  m_UpkeepAt = Now;
  if (Now - m_LoggedAt < LogPeriod)
    return;
  m_Metrics.setGauge("yardrill_event_loop_delay_seconds",
                     core::toSeconds(m_MaxLoopDelay));
  if (isNotable(Intake, RefusingTime, Now))
    log(Intake, Borrowed, RefusingTime, Now);
  m_LoggedAt = Now;
  m_LoggedSent = m_Sent;
  m_LoggedBorrowed = Borrowed;
  m_LoggedRefusingTime = RefusingTime;
  m_MaxLoopDelay = core::Duration::zero();
  m_Refusals.clear();
}

} // namespace yardrill::gateway
