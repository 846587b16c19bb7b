#include "LibRouting/KnownTarget.h"

#include <algorithm>

namespace yardrill::routing {

/// Failures in a row after which a target that has rested is tried with one
/// request at a time, until one succeeds.
static constexpr unsigned FailuresBeforeProbation = 2;

bool KnownTarget::isOnProbation() const {
  return m_ConsecutiveFailures >= FailuresBeforeProbation;
}

void TargetLoad::subtractPromptTokens(std::uint32_t Tokens) {
  m_PendingPromptTokens -=
      std::min<std::uint64_t>(m_PendingPromptTokens, Tokens);
}

} // namespace yardrill::routing
