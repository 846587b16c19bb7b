//===-- DispatchSimulation.h - Whole fleets that dispatch requests --------===//
//
// Simulates instances with the real Dispatcher, TargetDirectory and FleetSubset
// in simulated time, before targets of different speeds. Instances learn of
// changes in the store, and of each other's load, with a delay. Requests are
// all alike, or come from SimulatedCallers. Used by DispatchModelTest,
// OverloadModelTest and the overload_model program.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_DISPATCHSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_DISPATCHSIMULATION_H

#include "SimulatedCallers.h"
#include "SimulatedIntake.h"
#include "SimulatedNetwork.h"

#include "LibCore/Time.h"
#include "LibRouting/OverloadSettings.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace yardrill::tests {

/// Time in which one data hall is drained. Its targets are cold afterwards.
struct DrainPeriod {
  std::size_t m_DataHall = 0;
  core::Duration m_From{}; ///< Since the start of the simulation.
  core::Duration m_Until{};
};

/// Time in which a fault affects a random share of instances or targets.
struct FaultPeriod {
  double m_Share = 0;
  core::Duration m_From{}; ///< Since the start of the simulation.
  core::Duration m_Until{};
};

/// Time in which the balancer hands most new connections to one instance.
struct ConnectionSkew {
  core::Duration m_From{}; ///< Since the start of the simulation.
  core::Duration m_Until{};
  /// Data hall whose callers are affected; none: all callers.
  std::optional<std::size_t> m_DataHall;
  std::size_t m_Instance = 0;
  /// Share of the affected requests that come on new connections.
  double m_Share = 0.9;
};

/// Returns the Retry-After of a refusal; none: the gateway's default.
using RetryAfterHook = std::function<std::optional<core::Duration>(
    routing::Dispatcher &, const routing::PlacementRequest &,
    core::TimePoint Now)>;

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

  /// Requests of callers that return after a refusal. If there are any, they
  /// replace m_RequestsPerSecond, and the simulation continues after m_Length,
  /// without new requests, until all have ended.
  std::vector<RequestKind> m_Kinds;
  CallerSettings m_Callers;
  RetryAfterHook m_RetryAfter; ///< Empty: the gateway's default.
  routing::OverloadSettings m_Overload{false, false, false,
                                       false, false, false};
  /// Service times of targets relative to the average, in turn; empty: random.
  std::vector<double> m_Speeds;
  /// Period in which instances report their load and demand to their group
  /// peers, by m_Network; none: each knows the load every 20 ms.
  std::optional<core::Duration> m_ReportPeriod;
  NetworkSettings m_Network;
  std::optional<ConnectionSkew> m_Skew;
  /// Of the instances, in turn; empty: any rate is borne.
  std::vector<IntakeCapacity> m_Intakes;
  std::vector<FaultPeriod> m_SilentInstances;
  /// Targets that get no new requests for a time.
  std::vector<FaultPeriod> m_LeavingTargets;
  /// Time at which some instances are restarted and lose their requests.
  std::optional<core::Duration> m_RestartAt;
  double m_RestartShare = 0.5;
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

  CallerResult m_Callers;
  /// Time in which some instance refuses, and the integral of the free slots of
  /// all targets over it, in slots times seconds.
  core::Duration m_RefusingTime{};
  double m_FreeSlotSeconds = 0;
  /// Requests of callers that were sent to a target without a free slot.
  std::size_t m_SentToFullTarget = 0;
  std::size_t m_SlotQuestions = 0; ///< Datagrams that ask for a slot.
  std::size_t m_BorrowedSlots = 0; ///< Requests sent in a borrowed slot.
  /// Requests whose connection was refused or closed before they were read.
  std::size_t m_ClosedUnread = 0;
  /// Requests that their callers gave up because they were not read in time.
  std::size_t m_GivenUpUnread = 0;

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
