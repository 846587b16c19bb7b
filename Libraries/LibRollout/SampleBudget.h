//===-- Exposure.h - How many requests may try a new version --------------===//
//
// Pure. Counted by requests that were sent, never ahead of them: whatever the
// share is, and whenever this instance started, it has sent the new version at
// the most that share of its requests. Sums over 6 or 440 instances need no
// allowance for rounding.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_SAMPLEBUDGET_H
#define YARDRILL_LIBROLLOUT_SAMPLEBUDGET_H

#include <cstdint>
#include <map>

namespace yardrill::rollout {

class SampleBudget {
public:
  /// Whether a request on \p Route may try the new version now. Routes with few
  /// tries come first, so that a rare one is tried as often as the others.
  bool isSampleAllowed(std::uint32_t Route) const;
  void sent(std::uint32_t Route, bool IsNew, double Share);
  /// Nothing is saved up from a time in which another share held.
  void reset() { m_Allowance = 0; }

private:
  /// What may be saved up: a few requests, not a burst.
  static constexpr double MaxSaved = 4;

  double m_Allowance = 0;
  std::map<std::uint32_t, std::uint32_t> m_Samples; ///< By route.
};

} // namespace yardrill::rollout

#endif
