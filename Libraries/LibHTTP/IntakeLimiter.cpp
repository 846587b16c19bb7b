#include "LibHTTP/IntakeLimiter.h"

#include <algorithm>

namespace yardrill::http {

/// Time that a transfer may take in an overloaded process; callers give up a
/// request that is not read within a second.
static constexpr std::chrono::milliseconds MaxDelay{100};
/// Median time below which the event loop keeps up.
static constexpr std::chrono::milliseconds NotableDelay{30};
/// Transfers that may always be open, so that slow callers alone keep out no
/// others.
static constexpr std::size_t MinTransfers = 16;

bool IntakeLimiter::isLoopBehind(core::TimePoint Now) const {
  std::size_t Open = m_Transfers.open(Now);
  if (Open <= MinTransfers)
    return false;
  // Where nothing completes, callers connect without sending: the link shows
  // whether their bytes are held up.
  auto Recent = m_Transfers.recentDuration(Now);
  if (!Recent || *Recent < NotableDelay)
    return false;
  return static_cast<double>(Open) >
         std::max(static_cast<double>(MinTransfers),
                  m_Transfers.completedPerSecond(Now) *
                      core::toSeconds(core::Duration(MaxDelay)));
}

} // namespace yardrill::http
