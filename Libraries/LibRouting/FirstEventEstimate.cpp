#include "LibRouting/FirstEventEstimate.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Weights of the newest observation (RFC 6298, section 2). There the deviation
/// counts four times; a stream that is given up a little early costs less than
/// a packet sent twice.
static constexpr double MeanWeight = 1.0 / 8;
static constexpr double DeviationWeight = 1.0 / 4;
static constexpr double DeviationFactor = 2;
/// Without any observation, and at the least.
static constexpr std::chrono::milliseconds Floor{150};
static constexpr std::chrono::milliseconds Ceiling{800};

void FirstEventEstimate::add(core::Duration Time) {
  double Ms = core::toSeconds(Time) * 1000;
  if (m_IsEmpty) {
    m_MeanMs = Ms;
    m_DeviationMs = Ms / 2;
    m_IsEmpty = false;
    return;
  }
  m_DeviationMs += DeviationWeight * (std::abs(Ms - m_MeanMs) - m_DeviationMs);
  m_MeanMs += MeanWeight * (Ms - m_MeanMs);
}

core::Duration FirstEventEstimate::upperBound() const {
  core::Duration Bound =
      core::fromSeconds((m_MeanMs + DeviationFactor * m_DeviationMs) / 1000);
  return std::clamp<core::Duration>(Bound, Floor, Ceiling);
}

} // namespace yardrill::routing
