#include "LibRouting/Target.h"

#include "LibCore/Digest.h"

#include <string>

namespace yardrill::routing {

std::uint32_t TargetRun::hash() const {
  std::string Text = m_Name.value();
  if (m_Birth != core::TargetBirth())
    Text += "@" + std::to_string(m_Birth.value());
  return static_cast<std::uint32_t>(core::stableHash(Text));
}

} // namespace yardrill::routing
