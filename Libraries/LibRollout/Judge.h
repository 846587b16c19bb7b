//===-- Judge.h - Canary analysis of a new version ------------------------===//
//
// Compares the new version with the old one over the same time, on each route
// and on all together, by three criteria: failures, responses that take several
// times as long as others of the same target, and targets that are slow on all
// responses. The targets of a pool may differ in speed by several times, so a
// response is compared with others of its own target first.
//
// Uses no clock: the time is a parameter.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_JUDGE_H
#define YARDRILL_LIBROLLOUT_JUDGE_H

#include "LibRollout/Evidence.h"

#include <deque>
#include <string>

namespace yardrill::rollout {

/// Evidence that the new version is worse. The score is a sum of log-likelihood
/// ratios (Wald's sequential test); a positive one speaks for it being worse.
struct Finding {
  double m_Score = 0;
  std::uint32_t m_Route = 0; ///< Hash of the route; 0: all routes together.
  const char *m_Kind = "";   ///< "failures", "slow-answers", "slow-targets".
};

/// Result of an evaluation.
struct Judgement {
  Finding m_Worst; ///< Finding with the highest score.
  /// Lowest score for the new version being as good, over all routes with
  /// responses of the old one; the largest double if the old one has none.
  double m_MinGoodScore = 0;
  std::uint32_t m_NewResponses = 0;
  std::uint32_t m_NewFailures = 0;
  std::uint32_t m_NewTargets = 0; ///< New targets with enough responses.
  std::uint32_t m_OldResponses = 0;
  std::uint32_t m_OldFailures = 0;

  /// Whether the new version is worse. A version that is not scores this high
  /// in one evaluation with a probability of 1e-5, and in a roll-out (some 30
  /// evaluations of three spans and several routes) with less than 1e-3.
  bool isBad() const { return m_Worst.m_Score > 11.5; }
  /// Whether the new version is as good. A version that is worse by the share
  /// tested for passes with a probability of 1e-2.
  bool isGood() const { return !isSuspect() && m_MinGoodScore >= 4.6; }
  /// Whether there is evidence against the new version, perhaps not enough for
  /// isBad().
  bool isSuspect() const { return m_Worst.m_Score > 4.6; }
};

/// Judges the new version by all evidence and by that of recent time spans.
/// Used by Coordinator.
class Judge {
public:
  /// Must be called a few times per second. \param Sum all evidence so far.
  Judgement evaluate(const ResponseCountsByKey &Sum, core::TimePoint Now);

private:
  struct Snapshot {
    core::TimePoint m_At{};
    ResponseCountsByKey m_Sum;
  };

  std::deque<Snapshot> m_Past; ///< Snapshots back to the longest span.
};

} // namespace yardrill::rollout

#endif
