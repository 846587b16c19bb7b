//===-- Judge.h - Whether a version is worse than the one before it -------===//
//
// Pure. New against old in the same time, for each route and for all together:
// failures, answers that take several times as long as others of the same
// target, and targets that are slow as a whole. Engines of one pool may differ
// several times in speed; so a target is first of all compared with itself.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_JUDGE_H
#define YARDRILL_LIBROLLOUT_JUDGE_H

#include "LibRollout/Evidence.h"

#include <deque>
#include <string>

namespace yardrill::rollout {

/// What speaks for one version being worse, as a sum of logarithms of
/// likelihood ratios (Wald's sequential test): above 0 for, below against.
struct Finding {
  double m_Score = 0;
  std::uint32_t m_Route = 0; ///< 0: all of them together.
  const char *m_Kind = "";   ///< "failures", "slow-answers", "slow-targets".
};

struct Judgement {
  Finding m_Worst;
  /// The least that speaks for the version being as good, over all routes that
  /// the old one serves.
  double m_MinGoodScore = 0;
  std::uint32_t m_NewResponses = 0;
  std::uint32_t m_NewFailures = 0;
  std::uint32_t m_NewTargets = 0; ///< That answered.
  std::uint32_t m_OldResponses = 0;
  std::uint32_t m_OldFailures = 0;

  /// One version in 1e5 that is no worse scores so high at one look. A roll-out
  /// has some 30 looks at three spans and several routes: below 1 in 1,000.
  bool isBad() const { return m_Worst.m_Score > 11.5; }
  /// One in 100 that is worse by what is looked for scores so low.
  bool isGood() const { return !isSuspect() && m_MinGoodScore >= 4.6; }
  /// Something speaks against it, if not enough.
  bool isSuspect() const { return m_Worst.m_Score > 4.6; }
};

class Judge {
public:
  /// \param Sum of all evidence so far. To be called a few times a second.
  Judgement evaluate(const ResponseCountsByKey &Sum, core::TimePoint Now);

private:
  struct Snapshot {
    core::TimePoint m_At{};
    ResponseCountsByKey m_Sum;
  };

  std::deque<Snapshot> m_Past; ///< Of the last seconds.
};

} // namespace yardrill::rollout

#endif
