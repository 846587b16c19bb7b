//===-- SampleBudget.h - Limit on the samples of a new version ------------===//
//
// The budget grows with the requests that were sent, never ahead of them. So an
// instance has at any time sent at most the allowed share of its requests to
// the new version, also after a restart, and the sum over a fleet of any size
// needs no allowance for rounding.
//
// Uses no clock or I/O.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_SAMPLEBUDGET_H
#define YARDRILL_LIBROLLOUT_SAMPLEBUDGET_H

#include <cstdint>
#include <map>

namespace yardrill::rollout {

/// Token budget that limits the share of requests an instance samples, used by
/// Participant.
class SampleBudget {
public:
  /// Whether a request on \p Route may be a sample now. Routes with few samples
  /// go first, so that rare routes are sampled as often as others.
  bool isSampleAllowed(std::uint32_t Route) const;
  /// Counts a request that was sent. It adds \p Share (0 to 1) to the budget; a
  /// sample (\p IsNew) uses 1.
  void sent(std::uint32_t Route, bool IsNew, double Share);
  /// Discards the budget that was accrued under another traffic mode.
  void reset() { m_Allowance = 0; }

private:
  /// Limit on the accrued budget, in requests; prevents bursts of samples.
  static constexpr double MaxSaved = 4;

  double m_Allowance = 0; ///< Accrued budget, in requests.
  std::map<std::uint32_t, std::uint32_t> m_Samples; ///< Samples by route hash.
};

} // namespace yardrill::rollout

#endif
