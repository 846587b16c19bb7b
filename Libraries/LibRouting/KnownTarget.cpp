#include "LibRouting/KnownTarget.h"

#include <algorithm>

namespace yardrill::routing {

/// Failures in a row after which a target that has rested is tried with one
/// request at a time, until one succeeds.
static constexpr unsigned FailuresBeforeProbation = 2;

bool KnownTarget::isOnProbation() const {
  return m_FailuresInARow >= FailuresBeforeProbation;
}

void TargetLoad::forgetPrompt(std::uint32_t Tokens) {
  m_PendingPrompt -= std::min<std::uint64_t>(m_PendingPrompt, Tokens);
}

} // namespace yardrill::routing
