#include "LibGateway/UploadBudget.h"

#include <algorithm>

namespace yardrill::gateway {

/// Share of the link for uploads. Callers use about 5 % of the smallest
/// links, and five times as much in a burst.
static constexpr double LinkShare = 0.75;
/// Small patches may queue for this long, about the time until a load report
/// names other instances that the peer can ask.
static constexpr std::chrono::milliseconds MaxBacklog{100};

UploadBudget::UploadBudget(double LinkBytesPerSecond)
    : m_BytesPerSecond(LinkBytesPerSecond * LinkShare) {}

bool UploadBudget::tryTake(std::size_t Bytes, core::TimePoint Now) {
  if (m_FreeAt > Now + MaxBacklog)
    return false;
  double Seconds = static_cast<double>(Bytes) / m_BytesPerSecond;
  m_FreeAt = std::max(m_FreeAt, Now) + core::fromSeconds(Seconds);
  return true;
}

} // namespace yardrill::gateway
