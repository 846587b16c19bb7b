#include "LibRollout/Evidence.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <numeric>

namespace yardrill::rollout {

namespace axis = boost::histogram::axis;

std::size_t timeBin(double Milliseconds) {
  static const axis::regular<double, axis::transform::log> Axis(TimeBinCount,
                                                                1.0, 4096.0);
  int Index = Axis.index(std::max(Milliseconds, 0.001));
  return static_cast<std::size_t>(
      std::clamp(Index, 0, static_cast<int>(TimeBinCount) - 1));
}

std::uint32_t ResponseCounts::successes() const {
  return std::accumulate(m_Times.begin(), m_Times.end(), std::uint32_t(0));
}

void ResponseCounts::add(const ResponseCounts &Other) {
  m_Failures += Other.m_Failures;
  for (std::size_t I = 0; I < TimeBinCount; ++I)
    m_Times[I] += Other.m_Times[I];
}

void Evidence::addResponse(const ResponseCountsKey &Key,
                           ResponseQuality Quality, core::Duration Time) {
  ResponseCounts &Counts = m_Counts[Key];
  if (Quality == ResponseQuality::Failed)
    ++Counts.m_Failures;
  else
    ++Counts.m_Times[timeBin(core::toSeconds(Time) * 1000)];
}

} // namespace yardrill::rollout
