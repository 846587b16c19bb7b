#include "LibRollout/SampleBudget.h"

#include <algorithm>

namespace yardrill::rollout {

bool SampleBudget::isSampleAllowed(std::uint32_t Route) const {
  if (m_Allowance < 1)
    return false;
  // With much saved up, routes that come rarely are not waited for any longer.
  if (m_Allowance >= MaxSaved - 1)
    return true;
  auto Own = m_Tries.find(Route);
  std::uint32_t Tries = Own == m_Tries.end() ? 0 : Own->second;
  return std::all_of(m_Tries.begin(), m_Tries.end(), [Tries](const auto &Each) {
    return Tries <= Each.second + 1;
  });
}

void SampleBudget::sent(std::uint32_t Route, bool IsNew, double Share) {
  m_Allowance = std::min(m_Allowance + Share, MaxSaved);
  auto &Tries = m_Tries[Route];
  if (!IsNew)
    return;
  ++Tries;
  m_Allowance = std::max(0.0, m_Allowance - 1);
}

} // namespace yardrill::rollout
