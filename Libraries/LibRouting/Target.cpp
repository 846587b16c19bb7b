#include "LibRouting/Target.h"

#include "LibCore/Digest.h"

#include <string>

namespace yardrill::routing {

std::string TargetIncarnation::text() const {
  std::string Out = m_Name.value();
  if (m_StartTime != core::TargetStartTime())
    Out += "@" + std::to_string(m_StartTime.value());
  return Out;
}

std::uint32_t TargetIncarnation::hash() const {
  return static_cast<std::uint32_t>(core::stableHash(text()));
}

} // namespace yardrill::routing
