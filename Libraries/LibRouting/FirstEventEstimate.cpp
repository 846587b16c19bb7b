#include "LibRouting/FirstEventEstimate.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Weights of the newest observation (RFC 6298, section 2).
static constexpr double MeanWeight = 1.0 / 8;
static constexpr double DeviationWeight = 1.0 / 4;
/// RFC 6298 uses 4. A bound that is too low costs less here: a stream begins
/// late, where TCP would send a packet twice.
static constexpr double DeviationFactor = 2;
/// Minimum, and the estimate without any observation.
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
