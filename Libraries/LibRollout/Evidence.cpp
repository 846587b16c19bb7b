#include "LibRollout/Evidence.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <numeric>

namespace yardrill::rollout {

namespace axis = boost::histogram::axis;

std::size_t timeBinOf(double Milliseconds) {
  static const axis::regular<double, axis::transform::log> Axis(TimeBins, 1.0,
                                                                4096.0);
  int Index = Axis.index(std::max(Milliseconds, 0.001));
  return static_cast<std::size_t>(
      std::clamp(Index, 0, static_cast<int>(TimeBins) - 1));
}

std::uint32_t Cell::successes() const {
  return std::accumulate(m_Times.begin(), m_Times.end(), std::uint32_t(0));
}

void Cell::add(const Cell &Other) {
  m_Failures += Other.m_Failures;
  for (std::size_t I = 0; I < TimeBins; ++I)
    m_Times[I] += Other.m_Times[I];
}

void Evidence::note(const CellKey &Where, AnswerQuality How,
                    core::Duration Time) {
  Cell &Counts = m_Cells[Where];
  if (How == AnswerQuality::Failed)
    ++Counts.m_Failures;
  else
    ++Counts.m_Times[timeBinOf(core::toSeconds(Time) * 1000)];
}

} // namespace yardrill::rollout
