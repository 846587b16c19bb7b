#include "LibPlatform/Backoff.h"

#include <algorithm>

namespace yardrill::platform {

core::Duration Backoff::next() {
  std::uniform_int_distribution<core::Duration::rep> Draw(
      m_InitialDelay.count() / 2, m_NextMaxDelay.count());
  core::Duration Pause(Draw(m_Random));
  m_NextMaxDelay = std::min(m_NextMaxDelay * 2, m_MaxDelay);
  return Pause;
}

} // namespace yardrill::platform
