//===-- QuarantineSimulation.h - A model of a fleet that meets bad requests
//---===//
//
// Instances with their members of the quarantine, targets that end under some
// requests and by themselves, messages that are lost, a store that is away; all
// in simulated time, and the same for the same plan.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_QUARANTINESIMULATION_H
#define YARDRILL_TESTS_SUPPORT_QUARANTINESIMULATION_H

#include "LibQuarantine/Gossip.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace yardrill::tests {

enum class QuarantineFaultKind {
  Kill,       ///< Instances end, and start anew half a second later.
  Cut,        ///< Instances reach neither each other nor the store.
  StoreDown,  ///< The store answers nobody.
  ExitTargets ///< Targets end by themselves.
};

struct QuarantineFaultEvent {
  std::chrono::milliseconds m_At{};
  std::chrono::milliseconds m_Length{};
  QuarantineFaultKind m_Kind = QuarantineFaultKind::Kill;
  double m_Share = 1; ///< Of the instances or targets, 0 to 1.
};

struct QuarantineScenario {
  std::uint64_t m_Seed = 1;
  std::size_t m_Instances = 6;
  std::size_t m_Targets = 9;
  std::size_t m_Slots = 6; ///< Of a target.
  std::chrono::milliseconds m_Length{60000};
  /// Requests a second for each target.
  double m_RequestRate = 5;
  /// Of the requests: those that many callers make alike.
  double m_PopularShare = 0.1;
  std::size_t m_BadContents = 3;
  double m_BadRate = 2; ///< Attempts a second of each bad content.
  /// From its beginning at a target to the target's end.
  std::chrono::milliseconds m_TimeToExit{100};
  std::chrono::milliseconds m_DownTime{3500};
  std::chrono::milliseconds m_ContactTime{3000};
  double m_DatagramLoss = 0.01; ///< Of datagrams.
  std::vector<QuarantineFaultEvent> m_Faults;
  // Ways that are compared.
  std::size_t m_QuarantineThreshold =
      quarantine::QuarantineTable::IncarnationsToQuarantine;
  /// Whether an attempt is sent on at once after its target ended, although
  /// another target ended under the content before.
  bool m_RetriesSuspects = false;
};

struct QuarantineResult {
  /// Of the worst bad content: sends later than the contact time after the end
  /// of the third target, by instances in touch.
  std::size_t m_LateSends = 0;
  std::size_t m_ExitsUnderBad = 0;    ///< Of targets.
  std::size_t m_HarmlessAttempts = 0; ///< Attempts that were sent or refused.
  std::size_t m_HarmlessInterrupted = 0; ///< Under which a target ended.
  /// Of innocent requests: those that were never answered, because targets
  /// ended under them or they were refused as if they were bad.
  std::size_t m_HarmlessLost = 0;
  std::size_t m_WronglyRefused = 0; ///< As if they were bad.
  std::size_t m_PopularRefused = 0; ///< Of them, the popular ones.
  std::size_t m_StoreWrites = 0;
  std::size_t m_Datagrams = 0;
};

QuarantineResult simulate(const QuarantineScenario &Scenario);

/// A day of that size with faults drawn from the seed.
QuarantineScenario randomQuarantineScenario(std::uint64_t Seed,
                                            std::size_t Instances,
                                            std::size_t Targets);

} // namespace yardrill::tests

#endif
