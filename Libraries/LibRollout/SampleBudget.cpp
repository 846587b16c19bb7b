#include "LibRollout/SampleBudget.h"

#include <algorithm>

namespace yardrill::rollout {

bool SampleBudget::isSampleAllowed(std::uint32_t Route) const {
  if (m_Allowance < 1)
    return false;
  // With a nearly full budget, stops waiting for requests on rare routes.
  if (m_Allowance >= MaxSaved - 1)
    return true;
  auto Found = m_Samples.find(Route);
  std::uint32_t Samples = Found == m_Samples.end() ? 0 : Found->second;
  return std::all_of(
      m_Samples.begin(), m_Samples.end(),
      [Samples](const auto &Each) { return Samples <= Each.second + 1; });
}

void SampleBudget::sent(std::uint32_t Route, bool IsNew, double Share) {
  m_Allowance = std::min(m_Allowance + Share, MaxSaved);
  auto &Samples = m_Samples[Route];
  if (!IsNew)
    return;
  ++Samples;
  m_Allowance = std::max(0.0, m_Allowance - 1);
}

} // namespace yardrill::rollout
