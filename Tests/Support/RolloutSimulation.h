//===-- RolloutSimulation.h - Roll-outs in simulated time -----------------===//
//
// Simulates a fleet with the real rollout::Coordinator and
// rollout::Participant. Time, messages, targets and faults are simulated; runs
// with the same seed are identical. Used by RolloutModelTest.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_ROLLOUTSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_ROLLOUTSIMULATION_H

#include "LibRollout/Coordinator.h"
#include "LibRollout/Participant.h"

#include <cstdint>
#include <vector>

namespace yardrill::tests {

/// Faults of the new version.
enum class VersionBehavior {
  Good,
  Fails,           ///< Some of its responses fail.
  FailsLate,       ///< Some fail from the middle of the bake time.
  FailsUnderLoad,  ///< Some fail at targets under their eventual load.
  FailsOnOneRoute, ///< Some fail on the least used route.
  Slow,            ///< Some of its responses are delayed.
  SlowOnOneRoute,  ///< Some are delayed on the least used route.
};

/// Input of one simulated run.
struct RolloutScenario {
  std::size_t m_Instances = 24;
  double m_RequestsPerSecond = 300; ///< Requests to the pool.
  std::size_t m_Targets = 30;       ///< Targets of each version.
  std::vector<double> m_RouteShares{0.5, 0.3, 0.2}; ///< Shares of the requests.
  /// Shares of the responses that fail with both versions, by route.
  std::vector<double> m_BaselineFailureRates{0.004, 0.02, 0.14};
  /// Factor on the response time of every third target.
  double m_SlowHardwareFactor = 1;
  VersionBehavior m_Behavior = VersionBehavior::Good;
  double m_BadShare = 0.4;     ///< Share of the affected responses.
  double m_SlowdownFactor = 6; ///< Factor on their response time.
  core::Duration m_BakeTime = std::chrono::seconds(12);
  double m_MaxShare = 0.1; ///< Maximum share of requests to the new version.
  bool m_HasKills = false; ///< Whether instances are killed and restart.
  bool m_HasCuts = false;  ///< Whether instances are cut off for 4 s.
  /// Time between two restarts of the coordinating instance, after each of
  /// which another one coordinates; zero: none.
  core::Duration m_CoordinatorRestartPeriod{};
  /// Whether a seventh of all targets fails more often for 4 s at a time.
  bool m_HasGrayFailures = false;
};

/// Measurements of one simulated run.
struct RolloutResult {
  std::optional<rollout::Decision> m_Decision;
  double m_EndedAfter = 0;     ///< Time until the decision, in seconds.
  double m_ExcessRequests = 0; ///< Requests beyond the allowed share.
  /// Time from the 50th bad response to the last request to the new version, in
  /// seconds; 0 if there were fewer.
  double m_LastAfterFiftieth = 0;
};

RolloutResult simulateRollout(const RolloutScenario &Scenario,
                              std::uint64_t Seed);

} // namespace yardrill::tests

#endif
