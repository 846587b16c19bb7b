//===-- Evidence.h - Response counters of the old and the new version -----===//
//
// Counters only grow, so reports of them may be repeated, delayed or lost: the
// next report makes up for it.
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

/// Side of a comparison: the old version or the new one.
enum class Side : std::uint8_t { Old, New };

/// Key of the counters of one incarnation of a target on one route.
struct ResponseCountsKey {
  Side m_Side = Side::Old;
  std::uint32_t m_Target = 0; ///< routing::TargetIncarnation::hash().
  std::uint32_t m_Route = 0;  ///< routing::Route::m_Hash.

  bool operator<(const ResponseCountsKey &Other) const {
    return std::tie(m_Side, m_Target, m_Route) <
           std::tie(Other.m_Side, Other.m_Target, Other.m_Route);
  }
};

/// Number of time bins. They are half an octave wide, from 1 ms to 4 s; the
/// outermost ones also count times beyond.
constexpr std::size_t TimeBinCount = 24;
/// Returns the bin of a time.
std::size_t timeBin(double Milliseconds);

/// Counters of responses.
struct ResponseCounts {
  std::uint32_t m_Failures = 0;
  /// Successful responses by time, normalized to one size of request.
  std::array<std::uint32_t, TimeBinCount> m_Times{};

  std::uint32_t successes() const;
  std::uint32_t total() const { return successes() + m_Failures; }
  void add(const ResponseCounts &Other);
};

using ResponseCountsByKey = std::map<ResponseCountsKey, ResponseCounts>;

/// Quality of a response, as evidence for or against a version.
enum class ResponseQuality {
  Succeeded,
  Failed, ///< Error of the target itself, or an interrupted response.
};

/// Counts the responses that an instance has received in a roll-out. Used by
/// Participant.
class Evidence {
public:
  /// Counts a response. \param Time its time, normalized to one request size.
  void addResponse(const ResponseCountsKey &Key, ResponseQuality Quality,
                   core::Duration Time);
  const ResponseCountsByKey &counts() const { return m_Counts; }

private:
  ResponseCountsByKey m_Counts;
};

} // namespace yardrill::rollout

#endif
