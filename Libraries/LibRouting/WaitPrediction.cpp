#include "LibRouting/WaitPrediction.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Weights of the newest observation (RFC 6298, section 2).
static constexpr double MeanWeight = 1.0 / 8;
static constexpr double DeviationWeight = 1.0 / 4;
/// RFC 6298 uses 4. Here the doubt costs as well: while a shortage lasts, a
/// margin only adds requests that wait in vain.
static constexpr double DeviationFactor = 0.5;
/// Bounds of an observed error, so that one outlier does not decide.
static constexpr double MinError = 0.2;
static constexpr double MaxError = 5;
/// Shortest predicted wait that an error is measured by.
static constexpr std::chrono::milliseconds MinMeaningfulWait{20};
/// Time that a prediction has to exceed, by what is left, to end a wait.
static constexpr double WaitingMargin = 2;

static core::Duration scaled(core::Duration Time, double Factor) {
  return std::chrono::duration_cast<core::Duration>(Time * Factor);
}

std::optional<PredictedWait>
WaitPrediction::predict(const core::PoolName &Pool, const Priority &Tier,
                        const WaitOutlook &Outlook) const {
  if (Outlook.m_SlotsPerSecond <= 0 || Outlook.m_Ahead <= 0)
    return std::nullopt;
  Error Known;
  if (auto Found = m_Errors.find({Pool, Tier}); Found != m_Errors.end())
    Known = Found->second;
  PredictedWait Out;
  Out.m_ByRate =
      core::fromSeconds((Outlook.m_Ahead + 1) / Outlook.m_SlotsPerSecond);
  Out.m_Expected = scaled(Out.m_ByRate, Known.m_Mean);
  Out.m_AtLeast =
      scaled(Out.m_ByRate,
             std::max(0.0, Known.m_Mean - DeviationFactor * Known.m_Deviation));
  return Out;
}

core::Duration StartedWait::byRate() const {
  std::size_t Left = m_Ahead - std::min(m_Ahead, m_AheadRefused);
  return scaled(m_Predicted.m_ByRate, static_cast<double>(Left + 1) /
                                          static_cast<double>(m_Ahead + 1));
}

void WaitPrediction::recordWait(const core::PoolName &Pool,
                                const Priority &Tier, const StartedWait &Wait,
                                core::TimePoint Now) {
  double Predicted = std::max(core::toSeconds(Wait.byRate()),
                              core::toSeconds(MinMeaningfulWait));
  double Ratio = std::clamp(core::toSeconds(Now - Wait.m_Since) / Predicted,
                            MinError, MaxError);
  Error &Known = m_Errors[{Pool, Tier}];
  Known.m_Deviation +=
      DeviationWeight * (std::abs(Ratio - Known.m_Mean) - Known.m_Deviation);
  Known.m_Mean += MeanWeight * (Ratio - Known.m_Mean);
}

void WaitPrediction::recordRefusal(const core::PoolName &Pool,
                                   const Priority &Tier,
                                   const StartedWait &Wait,
                                   core::TimePoint Now) {
  auto Found = m_Errors.find({Pool, Tier});
  double Mean = Found == m_Errors.end() ? 1 : Found->second.m_Mean;
  if (scaled(Wait.byRate(), Mean) < Now - Wait.m_Since)
    recordWait(Pool, Tier, Wait, Now);
}

bool WaitPrediction::refusesOnArrival(const PredictedWait &Predicted,
                                      core::Duration TimeLeft) {
  return TimeLeft < Predicted.m_AtLeast;
}

bool WaitPrediction::refusesWaiting(const PredictedWait &Predicted,
                                    core::Duration TimeLeft) {
  return scaled(TimeLeft, WaitingMargin) < Predicted.m_AtLeast;
}

} // namespace yardrill::routing
