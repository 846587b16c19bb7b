//===-- Comparison.h - Comparison of two versions over a time span --------===//
#ifndef YARDRILL_LIBROLLOUT_COMPARISON_H
#define YARDRILL_LIBROLLOUT_COMPARISON_H

#include "LibRollout/Judge.h"

#include <map>
#include <vector>

namespace yardrill::rollout {

/// Compares the responses of the new version with those of the old one. Used by
/// Judge for each time span.
class Comparison {
public:
  explicit Comparison(const ResponseCountsByKey &Sum);

  Judgement judge() const;

private:
  /// Number of responses (or of targets) and of the bad ones among them.
  struct Count {
    double m_All = 0;
    double m_Bad = 0;
  };
  using ByTarget = std::map<std::uint32_t, Count>;
  struct Sides {
    ByTarget m_Old;
    ByTarget m_New;
  };
  using ByRoute = std::map<std::uint32_t, Sides>;
  /// Histogram of a target's response times on all routes, in time bins
  /// relative to the median bin of the route.
  using RelativeTimes = std::map<int, double>;

  void countFailures(const ResponseCountsByKey &Sum);
  void countSlow(const ResponseCountsByKey &Sum);
  /// Counts the target, and whether it is slow by its median, unless it has too
  /// few responses. \returns the relative bin from which its responses are
  /// slow; NeverSlow if it has too few responses.
  int slowThreshold(Side TargetSide, const RelativeTimes &Times);
  static Count sum(const ByTarget &CountsByTarget);
  /// Returns the log-likelihood ratio of the new side's count, between a worse
  /// version and one as good as the old side, for the best of ExcessShares.
  static double score(const Count &New, const Count &Old);
  /// Returns score(), limited so that a few bad targets alone, which may have
  /// faults of their own, do not make the version look worse.
  static double robustScore(const Sides &Compared);
  void compare(const ByRoute &SidesByRoute, const char *Kind,
               Judgement &Into) const;
  void compareTargets(Judgement &Into) const;

  ByRoute m_Failures;
  ByRoute m_Slow;
  /// Targets with enough responses, and the slow ones among them.
  Count m_OldTargets;
  Count m_NewTargets;
};

} // namespace yardrill::rollout

#endif
