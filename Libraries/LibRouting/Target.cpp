#include "LibRouting/Target.h"

#include "LibCore/Digest.h"

#include <string>

namespace yardrill::routing {

std::uint32_t TargetIncarnation::hash() const {
  std::string Text = m_Name.value();
  if (m_StartTime != core::TargetStartTime())
    Text += "@" + std::to_string(m_StartTime.value());
  return static_cast<std::uint32_t>(core::stableHash(Text));
}

} // namespace yardrill::routing
