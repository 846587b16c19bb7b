#include "LibGateway/UploadBudget.h"

#include <algorithm>

namespace yardrill::gateway {

/// The rest is the callers': at the sizes of today they use 5 % of the smallest
/// links, five times as much in a burst.
static constexpr double LinkShare = 0.75;
/// Small patches may queue up for this long; a report takes as long to tell of
/// others that could be asked.
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
