//===-- RateLimitSimulation.h - A fleet before targets that name limits ---===//
//
// A model in simulated time: instances with their real TargetThrottleTable and
// FleetSubset, datagrams that are lost or late, and instances that are killed,
// frozen, cut off, added and removed, each learning of it at its own time.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_RATELIMITSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_RATELIMITSIMULATION_H

#include "LibRouting/FleetSubset.h"
#include "LibRouting/TargetThrottleTable.h"

#include <cstdint>
#include <vector>

namespace yardrill::tests {

/// Ways to keep a limit over all instances.
enum class RateLimitStrategy {
  Senders,    ///< As SharedRateLimit does.
  OneSender,  ///< One instance has the whole limit.
  EqualParts, ///< Each instance has as much of it as any other.
  Alone,      ///< Each keeps to the whole limit by itself.
};

const char *toString(RateLimitStrategy Strategy);

struct RateLimitScenario {
  std::size_t m_Instances = 7;
  std::size_t m_Targets = 9; ///< Of the one pool.
  /// Requests a second for the pool, at all instances together.
  double m_RequestsPerSecond = 40;
  double m_Limit = 1.4; ///< Requests a second.
  /// Part of the targets that name it.
  double m_LimitedShare = 0.3;
  bool m_HasFaults = true;
  std::uint64_t m_Seed = 1;
};

struct RateLimitResult {
  /// Worst sum of 4 s over what is allowed in them, of all limited targets.
  double m_MaxWindowRatio = 0;
  /// What the limited targets got of what they take, while nothing was wrong.
  double m_ServedShare = 0;
  /// Datagrams of limits that an instance heard in a second, at the most.
  double m_DatagramsPerSecond = 0;
  /// From when no target names a limit any more until all instances know.
  double m_LimitEndDelaySeconds = 0;
};

/// Plays 40 s: limits are named from 5 s to 30 s.
RateLimitResult simulateRateLimit(const RateLimitScenario &Scenario,
                                  RateLimitStrategy Strategy);

} // namespace yardrill::tests

#endif
