//===-- DispatchSimulation.h - Whole fleets that dispatch requests --------===//
//
// Simulates instances with the real Dispatcher, TargetDirectory and FleetSubset
// in simulated time, before targets of different speeds. Instances learn of
// changes in the store, and of each other's load, with a delay. Used by
// DispatchModelTest.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_DISPATCHSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_DISPATCHSIMULATION_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace yardrill::tests {

/// Time in which one data hall is drained. Its targets are cold afterwards.
struct DrainPeriod {
  std::size_t m_DataHall = 0;
  core::Duration m_From{}; ///< Since the start of the simulation.
  core::Duration m_Until{};
};

/// Input of one simulated run. Targets are spread over the data halls in turn.
struct DispatchScenario {
  std::size_t m_Instances = 6;
  std::size_t m_Targets = 9; ///< Targets of the single pool.
  std::size_t m_DataHalls = 3;
  std::size_t m_Slots = 4; ///< Of each target.
  /// Service time of a target of average speed.
  core::Duration m_ServiceTime = std::chrono::milliseconds(40);
  /// Over all instances.
  double m_RequestsPerSecond = 60;
  /// Limit that the first targets state, in requests a second.
  double m_LimitPerSecond = 0;
  std::size_t m_LimitedTargets = 0;
  core::Duration m_LimitUntil{};
  /// Requests a second that a cold target bears; 0: any.
  double m_WarmUpPerSecond = 0;
  core::Duration m_WarmUpTime{};
  std::vector<DrainPeriod> m_Drains;
  /// Whether instances know the pool's warm-up rate.
  bool m_IsWarmUpKnown = true;
  /// Share of the instances, 0 to 1, that are restarted at the moment when a
  /// data hall is restored.
  double m_RestartedShare = 0;
  /// Maximum time until an instance learns of a change in the store.
  core::Duration m_MaxUpdateDelay = std::chrono::milliseconds(400);
  core::Duration m_Length = std::chrono::seconds(20);
  std::uint64_t m_Seed = 1;
};

/// Measurements of one simulated run.
struct DispatchResult {
  /// Times of the requests that each target received, since the start.
  std::vector<std::vector<core::Duration>> m_Arrivals;
  std::size_t m_Served = 0;
  std::size_t m_Refused = 0;
  /// Time from the end of all stated limits until no instance applies one.
  core::Duration m_LimitEndDelay{};

  /// Returns the number of requests that a target received in a half-open
  /// interval.
  std::size_t arrivalsIn(std::size_t Target, core::Duration From,
                         core::Duration Until) const;
  /// Returns the most requests that a target received within any time of the
  /// given length that begins in a half-open interval.
  std::size_t maxArrivalsWithin(std::size_t Target, core::Duration Length,
                                core::Duration From,
                                core::Duration Until) const;
};

DispatchResult simulateDispatch(const DispatchScenario &Scenario);

} // namespace yardrill::tests

#endif
