#include "LibPlatform/Backoff.h"

#include <algorithm>

namespace yardrill::platform {

core::Duration Backoff::next() {
  std::uniform_int_distribution<core::Duration::rep> Distribution(
      m_InitialDelay.count() / 2, m_NextMaxDelay.count());
  core::Duration Delay(Distribution(m_Random));
  m_NextMaxDelay = std::min(m_NextMaxDelay * 2, m_MaxDelay);
  return Delay;
}

} // namespace yardrill::platform
