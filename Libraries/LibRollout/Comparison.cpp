#include "LibRollout/Comparison.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace yardrill::rollout {

/// Increases in the share of failed or slow responses that are tested for.
/// Users notice about a tenth. The larger ones detect a clearly bad version
/// with fewer responses.
static constexpr double ExcessShares[] = {0.12, 0.25, 0.5};
/// Share of bad responses that is added to the baseline of the old side. It is
/// also the minimum of the baseline if the old side has shown none.
static constexpr double MinBaseline = 0.015;
/// Number of time bins (half octaves; three are a factor of 2.8) from which a
/// response is slow above the first quartile of its target's responses, and a
/// target is slow by its median above the routes' medians.
static constexpr int SlowBins = 3;
static constexpr double MinResponsesPerTarget = 4;
/// Part of the new targets, those with the most bad responses, on which a
/// finding must not depend.
static constexpr double TrimmedPart = 0.25;
static constexpr int NeverSlow = std::numeric_limits<int>::max();

Comparison::Comparison(const ResponseCountsByKey &Sum) {
  countFailures(Sum);
  countSlow(Sum);
}

void Comparison::countFailures(const ResponseCountsByKey &Sum) {
  for (const auto &[Key, Counts] : Sum) {
    Sides &RouteSides = m_Failures[Key.m_Route];
    Count &Into = (Key.m_Side == Side::New ? RouteSides.m_New
                                           : RouteSides.m_Old)[Key.m_Target];
    Into.m_All += Counts.total();
    Into.m_Bad += Counts.m_Failures;
  }
}

/// Returns the bin of a histogram that contains the quantile \p Share (0 to 1);
/// 0 if the histogram is empty.
template <class Map> static int binAt(const Map &Counts, double Share) {
  double All = 0;
  for (const auto &[Bin, Count] : Counts)
    All += Count;
  double Seen = 0;
  for (const auto &[Bin, Count] : Counts) {
    Seen += Count;
    if (Seen >= All * Share && Seen > 0)
      return Bin;
  }
  return 0;
}

int Comparison::slowThreshold(Side TargetSide, const RelativeTimes &Times) {
  double All = 0;
  for (const auto &[Bin, Count] : Times)
    All += Count;
  if (All < MinResponsesPerTarget)
    return NeverSlow;
  Count &Targets = TargetSide == Side::New ? m_NewTargets : m_OldTargets;
  ++Targets.m_All;
  if (binAt(Times, 0.5) >= SlowBins)
    ++Targets.m_Bad;
  return binAt(Times, 0.25) + SlowBins;
}

void Comparison::countSlow(const ResponseCountsByKey &Sum) {
  // The baseline of a route is from the old side, or from the new one if the
  // old one has no responses there.
  std::map<std::uint32_t, std::map<int, double>> Baseline;
  for (Side TargetSide : {Side::Old, Side::New}) {
    std::map<std::uint32_t, std::map<int, double>> Seen;
    for (const auto &[Key, Counts] : Sum)
      if (Key.m_Side == TargetSide && Counts.successes() > 0)
        for (std::size_t I = 0; I < TimeBinCount; ++I)
          Seen[Key.m_Route][static_cast<int>(I)] += Counts.m_Times[I];
    for (auto &[Route, Times] : Seen)
      Baseline.try_emplace(Route, std::move(Times));
  }
  std::map<std::uint32_t, int> Median;
  for (const auto &[Route, Times] : Baseline)
    Median[Route] = binAt(Times, 0.5);
  std::map<std::pair<Side, std::uint32_t>, RelativeTimes> ByIncarnation;
  for (const auto &[Key, Counts] : Sum)
    for (std::size_t I = 0; I < TimeBinCount; ++I)
      if (Counts.m_Times[I] > 0)
        ByIncarnation[{Key.m_Side, Key.m_Target}]
                     [static_cast<int>(I) - Median[Key.m_Route]] +=
            Counts.m_Times[I];
  std::map<std::pair<Side, std::uint32_t>, int> SlowFrom;
  for (const auto &[Incarnation, Times] : ByIncarnation)
    SlowFrom[Incarnation] = slowThreshold(Incarnation.first, Times);
  for (const auto &[Key, Counts] : Sum) {
    auto From = SlowFrom.find({Key.m_Side, Key.m_Target});
    if (From == SlowFrom.end() || From->second == NeverSlow)
      continue;
    Sides &RouteSides = m_Slow[Key.m_Route];
    Count &Into = (Key.m_Side == Side::New ? RouteSides.m_New
                                           : RouteSides.m_Old)[Key.m_Target];
    Into.m_All += Counts.successes();
    for (std::size_t I = 0; I < TimeBinCount; ++I)
      if (static_cast<int>(I) - Median[Key.m_Route] >= From->second)
        Into.m_Bad += Counts.m_Times[I];
  }
}

Comparison::Count Comparison::sum(const ByTarget &CountsByTarget) {
  Count Out;
  for (const auto &[Target, Each] : CountsByTarget) {
    Out.m_All += Each.m_All;
    Out.m_Bad += Each.m_Bad;
  }
  return Out;
}

double Comparison::score(const Count &New, const Count &Old) {
  double Baseline = (Old.m_Bad + 0.5) / (Old.m_All + 1);
  // Adds one standard error, since a small sample may understate the share.
  Baseline +=
      std::sqrt(Baseline * (1 - Baseline) / (Old.m_All + 1)) + MinBaseline;
  Baseline = std::min(Baseline, 0.9);
  double Best = -std::numeric_limits<double>::max();
  for (double Excess : ExcessShares) {
    double Share = std::min(Baseline + Excess, 0.97);
    Best = std::max(Best, New.m_Bad * std::log(Share / Baseline) +
                              (New.m_All - New.m_Bad) *
                                  std::log((1 - Share) / (1 - Baseline)));
  }
  // Corrects for taking the best of several alternatives.
  return Best > 0 ? std::max(0.0, Best - std::log(std::size(ExcessShares)))
                  : Best;
}

double Comparison::robustScore(const Sides &Compared) {
  Count Old = sum(Compared.m_Old);
  double All = score(sum(Compared.m_New), Old);
  if (All <= 0 || Compared.m_New.size() < 2)
    return All;
  std::vector<Count> Sorted;
  for (const auto &[Target, Each] : Compared.m_New)
    Sorted.push_back(Each);
  std::sort(Sorted.begin(), Sorted.end(),
            [](const Count &A, const Count &B) { return A.m_Bad > B.m_Bad; });
  auto Trimmed = static_cast<std::size_t>(
      std::ceil(static_cast<double>(Sorted.size()) * TrimmedPart));
  Count Rest;
  for (std::size_t I = Trimmed; I < Sorted.size(); ++I) {
    Rest.m_All += Sorted[I].m_All;
    Rest.m_Bad += Sorted[I].m_Bad;
  }
  // The remaining targets need not suffice alone, but must point the same way.
  // With a factor of four, about a third of the targets suffices.
  return std::min(All, 4 * std::max(0.0, score(Rest, Old)));
}

void Comparison::compare(const ByRoute &SidesByRoute, const char *Kind,
                         Judgement &Into) const {
  Sides Together;
  double Sum = 0;
  double SumRobust = 0;
  for (const auto &[Route, RouteSides] : SidesByRoute) {
    double Score = robustScore(RouteSides);
    if (Score > Into.m_Worst.m_Score)
      Into.m_Worst = {Score, Route, Kind};
    Sum += score(sum(RouteSides.m_New), sum(RouteSides.m_Old));
    SumRobust += Score;
  }
  // Routes are independent, so their scores add up.
  if (std::min(Sum, SumRobust) > Into.m_Worst.m_Score)
    Into.m_Worst = {std::min(Sum, SumRobust), 0, Kind};
}

void Comparison::compareTargets(Judgement &Into) const {
  if (m_NewTargets.m_All == 0 || m_OldTargets.m_All == 0)
    return;
  // Probability of at least as many slow targets if the new ones were as often
  // slow as the old ones (binomial distribution).
  double Baseline = (m_OldTargets.m_Bad + 0.1) / (m_OldTargets.m_All + 0.2);
  double Chance = 0;
  double Term = std::pow(1 - Baseline, m_NewTargets.m_All);
  for (double K = 0; K <= m_NewTargets.m_All; ++K) {
    if (K >= m_NewTargets.m_Bad)
      Chance += Term;
    Term *= (m_NewTargets.m_All - K) / (K + 1) * Baseline / (1 - Baseline);
  }
  // The factor makes 1e-4 enough for isBad(), since the evidence changes only
  // with another target.
  double Score = -std::log(std::max(Chance, 1e-12)) * 1.25;
  if (Score > Into.m_Worst.m_Score)
    Into.m_Worst = {Score, 0, "slow-targets"};
}

Judgement Comparison::judge() const {
  Judgement Out;
  Out.m_MinGoodScore = std::numeric_limits<double>::max();
  for (const auto &[Route, RouteSides] : m_Failures) {
    Count Old = sum(RouteSides.m_Old);
    Count New = sum(RouteSides.m_New);
    Out.m_OldResponses += static_cast<std::uint32_t>(Old.m_All);
    Out.m_OldFailures += static_cast<std::uint32_t>(Old.m_Bad);
    Out.m_NewResponses += static_cast<std::uint32_t>(New.m_All);
    Out.m_NewFailures += static_cast<std::uint32_t>(New.m_Bad);
    if (Old.m_All > 0)
      Out.m_MinGoodScore = std::min(Out.m_MinGoodScore, -score(New, Old));
  }
  if (m_Failures.empty())
    Out.m_MinGoodScore = 0;
  Out.m_NewTargets = static_cast<std::uint32_t>(m_NewTargets.m_All);
  compare(m_Failures, "failures", Out);
  compare(m_Slow, "slow-answers", Out);
  compareTargets(Out);
  return Out;
}

} // namespace yardrill::rollout
