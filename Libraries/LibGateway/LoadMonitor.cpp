#include "LibGateway/LoadMonitor.h"

#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

static constexpr std::chrono::seconds LogPeriod{1};
/// Delays of the event loop and of transfers that are logged.
static constexpr std::chrono::milliseconds NotableDelay{50};

bool LoadMonitor::isNotable(const http::TransferMeter &Transfers,
                            std::uint64_t ClosedUnread,
                            core::TimePoint Now) const {
  return !m_Refusals.empty() || ClosedUnread > m_LoggedClosedUnread ||
         m_MaxLoopDelay >= NotableDelay ||
         Transfers.recentDuration(Now).value_or(core::Duration::zero()) >=
             NotableDelay;
}

void LoadMonitor::log(const http::TransferMeter &Transfers,
                      std::uint64_t Borrowed, std::uint64_t ClosedUnread,
                      core::TimePoint Now) const {
  core::LogLine Line("instance-load");
  Line.add("loop_delay_us", m_MaxLoopDelay)
      .add("open_transfers", Transfers.open(Now))
      .add("transfers_per_second", Transfers.completedPerSecond(Now))
      .add("transfer_us",
           Transfers.recentDuration(Now).value_or(core::Duration::zero()))
      .add("sent", m_Sent - m_LoggedSent)
      .add("borrowed", Borrowed - m_LoggedBorrowed)
      .add("closed_unread", ClosedUnread - m_LoggedClosedUnread);
  for (const auto &[Reason, Count] : m_Refusals)
    Line.add("refused_" + Reason, Count);
}

void LoadMonitor::upkeep(core::Duration Period,
                         const http::TransferMeter &Transfers,
                         std::uint64_t Borrowed, std::uint64_t ClosedUnread,
                         core::TimePoint Now) {
  if (m_UpkeepAt != core::TimePoint())
    m_MaxLoopDelay = std::max(m_MaxLoopDelay, Now - m_UpkeepAt - Period);
  m_UpkeepAt = Now;
  if (Now - m_LoggedAt < LogPeriod)
    return;
  m_Metrics.setGauge("yardrill_event_loop_delay_seconds",
                     core::toSeconds(m_MaxLoopDelay));
  if (isNotable(Transfers, ClosedUnread, Now))
    log(Transfers, Borrowed, ClosedUnread, Now);
  m_LoggedAt = Now;
  m_LoggedSent = m_Sent;
  m_LoggedBorrowed = Borrowed;
  m_LoggedClosedUnread = ClosedUnread;
  m_MaxLoopDelay = core::Duration::zero();
  m_Refusals.clear();
}

} // namespace yardrill::gateway
