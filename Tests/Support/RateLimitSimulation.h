//===-- RateLimitSimulation.h - Fleets with rate-limited targets ----------===//
//
// Simulates instances with the real TargetThrottleTable and FleetSubset in
// simulated time. Datagrams are lost or late, and instances are killed, frozen,
// cut off, added and removed; each learns of changes with a delay of its own.
// Used by LimitModelTest and the limit_search program.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_RATELIMITSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_RATELIMITSIMULATION_H

#include "LibRouting/FleetSubset.h"
#include "LibRouting/TargetThrottleTable.h"

#include <cstdint>
#include <vector>

namespace yardrill::tests {

/// Determines how instances divide a target's rate limit among themselves.
enum class RateLimitStrategy {
  Senders,    ///< A few instances send, as SharedRateLimit specifies.
  OneSender,  ///< One instance sends at the full limit, the others nothing.
  EqualParts, ///< Each instance sends at an equal share of the limit.
  Alone,      ///< Each instance applies the full limit independently.
};

const char *toString(RateLimitStrategy Strategy);

/// Input of one simulated run.
struct RateLimitScenario {
  std::size_t m_Instances = 7;
  std::size_t m_Targets = 9; ///< Targets of the single pool.
  /// Requests per second to the pool, over all instances.
  double m_RequestsPerSecond = 40;
  double m_Limit = 1.4; ///< Limit of one target in requests per second.
  /// Share of the targets that state the limit, 0 to 1.
  double m_LimitedShare = 0.3;
  bool m_HasFaults = true;
  std::uint64_t m_Seed = 1;
};

/// Measurements of one simulated run.
struct RateLimitResult {
  /// Maximum, over all limited targets, of the requests in any 4 s divided by
  /// the allowed number; above 1 the bound is exceeded. Counts requests only of
  /// instances that know the limit and are not affected by a fault.
  double m_MaxWindowRatio = 0;
  /// Average share of the limit that limited targets received as requests;
  /// meaningful only without faults.
  double m_ServedShare = 0;
  /// Reports received per second by the instance that received the most.
  double m_DatagramsPerSecond = 0;
  /// Time from the end of all limits until no instance applies one, in seconds.
  double m_LimitEndDelaySeconds = 0;
};

/// Simulates 40 s; targets state their limit from 5 s to 30 s.
RateLimitResult simulateRateLimit(const RateLimitScenario &Scenario,
                                  RateLimitStrategy Strategy);

} // namespace yardrill::tests

#endif
