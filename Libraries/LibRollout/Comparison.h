//===-- Comparison.h - Two versions, over one span of time ----------------===//
#ifndef YARDRILL_LIBROLLOUT_COMPARISON_H
#define YARDRILL_LIBROLLOUT_COMPARISON_H

#include "LibRollout/Judge.h"

#include <map>
#include <vector>

namespace yardrill::rollout {

class Comparison {
public:
  explicit Comparison(const ResponseCountsByKey &Sum);

  Judgement judge() const;

private:
  /// Bad ones of some answers of one target on one route.
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
  /// Times of one target, on all routes, over what is usual on each.
  using RelativeTimes = std::map<int, double>;

  void countFailures(const ResponseCountsByKey &Sum);
  void countSlow(const ResponseCountsByKey &Sum);
  /// Notes which targets are slow as a whole. \returns the bin from which on an
  /// answer of the target is slow; none where it has too few.
  int slowThreshold(Side Which, const RelativeTimes &Times);
  static Count sum(const ByTarget &Of);
  /// How likely the new side's count is if it is worse, over if it is not.
  static double score(const Count &New, const Count &Old);
  /// The same, unless it rests on a few targets alone: those may have troubles
  /// of their own.
  static double robustScore(const Sides &What);
  void compare(const ByRoute &What, const char *Kind, Judgement &Into) const;
  void compareTargets(Judgement &Into) const;

  ByRoute m_Failures;
  ByRoute m_Slow;
  Count m_OldTargets; ///< Slow ones of those with enough answers.
  Count m_NewTargets;
};

} // namespace yardrill::rollout

#endif
