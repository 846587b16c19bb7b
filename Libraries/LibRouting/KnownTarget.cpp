#include "LibRouting/KnownTarget.h"

#include <algorithm>

namespace yardrill::routing {

/// Consecutive failures after which a target that has cooled down is tried with
/// one request at a time.
static constexpr unsigned FailuresBeforeProbation = 2;

bool KnownTarget::isOnProbation() const {
  return m_ConsecutiveFailures >= FailuresBeforeProbation;
}

void TargetLoad::subtractPromptTokens(std::uint32_t Tokens) {
  m_PendingPromptTokens -=
      std::min<std::uint64_t>(m_PendingPromptTokens, Tokens);
}

} // namespace yardrill::routing
