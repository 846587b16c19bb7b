//===-- Evidence.h - How the answers of two versions turned out -----------===//
//
// Counters that only grow, so that one that is told twice, late or not at all
// changes nothing that the next one does not mend.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROLLOUT_EVIDENCE_H
#define YARDRILL_LIBROLLOUT_EVIDENCE_H

#include "LibCore/Time.h"

#include <array>
#include <cstdint>
#include <map>
#include <tuple>

namespace yardrill::rollout {

enum class Side : std::uint8_t { Old, New };

/// Answers of one run of a target on one route.
struct ResponseCountsKey {
  Side m_Side = Side::Old;
  std::uint32_t m_Target = 0; ///< routing::TargetIncarnation::hash().
  std::uint32_t m_Route = 0;  ///< routing::Route::m_Hash.

  bool operator<(const ResponseCountsKey &Other) const {
    return std::tie(m_Side, m_Target, m_Route) <
           std::tie(Other.m_Side, Other.m_Target, Other.m_Route);
  }
};

/// Half an octave wide, from 1 ms to 4 s; the ends take what lies beyond.
constexpr std::size_t TimeBinCount = 24;
std::size_t timeBin(double Milliseconds);

struct ResponseCounts {
  std::uint32_t m_Failures = 0;
  /// Whole answers by their times, which are brought to one size of request.
  std::array<std::uint32_t, TimeBinCount> m_Times{};

  std::uint32_t successes() const;
  std::uint32_t total() const { return successes() + m_Failures; }
  void add(const ResponseCounts &Other);
};

using ResponseCountsByKey = std::map<ResponseCountsKey, ResponseCounts>;

enum class ResponseQuality {
  Succeeded,
  Failed, ///< An error of the target's own, or an answer that broke off.
};

class Evidence {
public:
  /// \param Time that the answer took, at the size that all are brought to.
  void addResponse(const ResponseCountsKey &Key, ResponseQuality Quality,
                   core::Duration Time);
  const ResponseCountsByKey &counts() const { return m_Counts; }

private:
  ResponseCountsByKey m_Counts;
};

} // namespace yardrill::rollout

#endif
