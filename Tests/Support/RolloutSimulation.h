//===-- RolloutSimulation.h - Roll-outs over a whole fleet, in simulated time
//---===//
//
// The decisions are the product's; time, links, targets and faults are
// simulated, from a seed.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_ROLLOUTSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_ROLLOUTSIMULATION_H

#include "LibRollout/Coordinator.h"
#include "LibRollout/Participant.h"

#include <cstdint>
#include <vector>

namespace yardrill::tests {

/// How a version is.
enum class VersionBehavior {
  Good,
  Fails,           ///< A part of its answers.
  FailsLate,       ///< From the middle of its time on.
  FailsUnderLoad,  ///< Where a target gets what it must bear in the end.
  FailsOnOneRoute, ///< That is used least.
  Slow,            ///< A part of its answers takes several times as long.
  SlowOnOneRoute,
};

struct RolloutScenario {
  std::size_t m_Instances = 24;
  double m_RequestsPerSecond = 300;                 ///< Of the pool.
  std::size_t m_Targets = 30;                       ///< Of each version.
  std::vector<double> m_RouteShares{0.5, 0.3, 0.2}; ///< Shares of the requests.
  std::vector<double> m_BaselineFailureRates{0.004, 0.02, 0.14};
  /// Every third target takes so many times as long.
  double m_SlowHardwareFactor = 1;
  VersionBehavior m_Behavior = VersionBehavior::Good;
  double m_BadShare = 0.4;     ///< Of the answers.
  double m_SlowdownFactor = 6; ///< As long.
  core::Duration m_BakeTime = std::chrono::seconds(12);
  double m_MaxShare = 0.1;
  // Faults beside it.
  bool m_HasKills = false; ///< Instances die and start again.
  bool m_HasCuts = false;  ///< Instances hear nobody for some seconds.
  bool m_HasGrayFailures =
      false; ///< A seventh of all targets fails for a time.
};

struct RolloutResult {
  std::optional<rollout::Decision> m_Decision;
  double m_EndedAfter = 0;     ///< Seconds.
  double m_ExcessRequests = 0; ///< Requests beyond the allowed share.
  /// From the 50th bad answer to the last request that was sent to the new
  /// version; 0: there were fewer.
  double m_LastAfterFiftieth = 0;
};

RolloutResult simulateRollout(const RolloutScenario &Scenario,
                              std::uint64_t Seed);

} // namespace yardrill::tests

#endif
