//===-- FaultPlan.h - The faults of a soak, drawn from its seed -----------===//
#ifndef YARDRILL_TESTS_SOAK_FAULTPLAN_H
#define YARDRILL_TESTS_SOAK_FAULTPLAN_H

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
  // Drawn apart from those above.
  TargetLimits,
  TargetTires,
  TargetSaysItLeaves,
};
inline constexpr std::uint64_t RandomFaultKindCount =
    static_cast<std::uint64_t>(FaultKind::Publish) + 1;
inline constexpr std::uint64_t FaultKindCount =
    static_cast<std::uint64_t>(FaultKind::TargetSaysItLeaves) + 1;

const char *toString(FaultKind Kind);

struct Fault {
  std::chrono::milliseconds m_At{}; ///< After the soak's start.
  std::chrono::milliseconds m_Length{};
  FaultKind m_Kind = FaultKind::Publish;
  std::size_t m_Selector = 0; ///< Gateway or target, modulo their number.
};

/// Faults in series that also overlap; the same for the same seed.
/// \param Length when the last one has ended.
std::vector<Fault> drawFaults(std::uint64_t Seed,
                              std::chrono::milliseconds Length);

/// Terms that targets state beside them, drawn apart, so that a seed's faults
/// stay what they were. In the order of their beginnings.
std::vector<Fault> drawBackpressureFaults(std::uint64_t Seed,
                                          std::chrono::milliseconds Length);

/// Brings about one fault, waits, and ends it.
void runFault(const Fault &What, Deployment &System, InvariantChecker &Checker,
              boost::asio::io_context &Context,
              boost::asio::yield_context Yield);

} // namespace yardrill::soak

#endif
