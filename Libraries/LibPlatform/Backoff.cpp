#include "LibPlatform/Backoff.h"

#include <algorithm>

namespace yardrill::platform {

core::Duration Backoff::next() {
  std::uniform_int_distribution<core::Duration::rep> Draw(m_First.count() / 2,
                                                          m_Next.count());
  core::Duration Pause(Draw(m_Random));
  m_Next = std::min(m_Next * 2, m_Longest);
  return Pause;
}

} // namespace yardrill::platform
