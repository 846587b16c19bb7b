//===-- FaultPlan.h - The fault schedule of a soak ------------------------===//
#ifndef YARDRILL_TESTS_SOAK_FAULTPLAN_H
#define YARDRILL_TESTS_SOAK_FAULTPLAN_H

#include "Callers.h"
#include "Deployment.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace yardrill::soak {

enum class FaultKind {
  KillGateway,
  KillAllGateways,
  StopGateway,
  FreezeGateway,
  ReloadGateway,
  StoreLinkDelayed,
  StoreLinkReset,
  StoreLinkSilent,
  StoreLinkOneWay,
  StoreFrozen,
  StoreDown,
  StoreSlow,
  StoreRefuses,
  StoreForgets,
  StoreLosesAnswers,
  TargetLinkDelayed,
  TargetLinkReset,
  TargetLinkSilent,
  TargetLinkOneWay,
  TargetIdleReset,
  TargetCrashes,
  TargetLeaves,
  TargetFails,
  TargetRefuses,
  TargetBreaksOff,
  TargetIsMute,
  Publish,
  // Backpressure, see drawBackpressureFaults().
  TargetLimits,
  TargetTires,
  TargetSaysItLeaves,
  // See drawSkews().
  ConnectionSkew,
  // Of the link between callers and a gateway, see drawCallerLinkFaults().
  CallerLinkDelayed,
  CallerLinkReset,
  CallerLinkSilent,
  // See drawStalls().
  StarveGateway,
};
/// Number of kinds that drawFaults() uses.
inline constexpr std::uint64_t RandomFaultKindCount =
    static_cast<std::uint64_t>(FaultKind::Publish) + 1;
inline constexpr std::uint64_t BackpressureKindsEnd =
    static_cast<std::uint64_t>(FaultKind::TargetSaysItLeaves) + 1;
inline constexpr std::uint64_t FaultKindCount =
    static_cast<std::uint64_t>(FaultKind::StarveGateway) + 1;

const char *toString(FaultKind Kind);

/// One scheduled fault.
struct Fault {
  std::chrono::milliseconds m_At{}; ///< Time after the schedule's start.
  /// Kills, reloads, publications and TargetLeaves don't use it; a stop is
  /// repeated within it.
  std::chrono::milliseconds m_Length{};
  FaultKind m_Kind = FaultKind::Publish;
  /// Selects the gateway or target: its index, modulo their number. Also the
  /// source of the rate limit of TargetLimits.
  std::size_t m_Selector = 0;
};

/// Returns a random schedule in order of time, in which faults may overlap. It
/// depends only on the arguments. \param Length end of the schedule, which
/// shortens the faults that would last longer.
std::vector<Fault> drawFaults(std::uint64_t Seed,
                              std::chrono::milliseconds Length);

/// Returns the schedule of backpressure that targets state, in order of time.
/// It is drawn separately, so that a seed keeps its schedule from drawFaults().
std::vector<Fault> drawBackpressureFaults(std::uint64_t Seed,
                                          std::chrono::milliseconds Length);

/// Returns the times in which the balancer hands most new connections to one
/// gateway; drawn separately, for the same reason.
std::vector<Fault> drawSkews(std::uint64_t Seed,
                             std::chrono::milliseconds Length);

/// Returns the faults of the links between callers and gateways; drawn
/// separately, for the same reason.
std::vector<Fault> drawCallerLinkFaults(std::uint64_t Seed,
                                        std::chrono::milliseconds Length);

/// Returns times in which gateways stand still, or run for a small part of the
/// time only; drawn separately, for the same reason.
std::vector<Fault> drawStalls(std::uint64_t Seed,
                              std::chrono::milliseconds Length);

/// Returns times at which targets end, to start again at their addresses; drawn
/// separately, for the same reason.
std::vector<Fault> drawRestarts(std::uint64_t Seed,
                                std::chrono::milliseconds Length);

/// Injects a fault and removes it after its length, if it has one. Throws
/// core::Error when the store can't be reached.
void runFault(const Fault &Scheduled, Deployment &System, Callers &Sources,
              InvariantChecker &Checker, boost::asio::io_context &Context,
              boost::asio::yield_context Yield);

} // namespace yardrill::soak

#endif
