#include "DispatchSimulation.h"

#include <algorithm>

namespace yardrill::tests {

std::size_t DispatchResult::arrivalsIn(std::size_t Target, core::Duration From,
                                       core::Duration Until) const {
  const std::vector<core::Duration> &All = m_Arrivals.at(Target);
  return static_cast<std::size_t>(
      std::lower_bound(All.begin(), All.end(), Until) -
      std::lower_bound(All.begin(), All.end(), From));
}

std::size_t DispatchResult::maxArrivalsWithin(std::size_t Target,
                                              core::Duration Length,
                                              core::Duration From,
                                              core::Duration Until) const {
  std::size_t Out = 0;
  for (core::Duration Each : m_Arrivals.at(Target))
    if (From <= Each && Each < Until)
      Out = std::max(Out, arrivalsIn(Target, Each, Each + Length));
  return Out;
}

} // namespace yardrill::tests
