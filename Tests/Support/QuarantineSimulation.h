//===-- QuarantineSimulation.h - Fleets with harmful requests -------------===//
//
// Simulates instances with the real quarantine::Gossip in simulated time.
// Targets exit because of bad requests and for other reasons, datagrams are
// lost, and the store is unavailable at times. Runs of the same scenario are
// identical. Used by QuarantineModelTest and the quarantine_search program.
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
  Kill,       ///< Instances are killed and restart after 0.5 s.
  Cut,        ///< Instances reach neither other instances nor the store.
  StoreDown,  ///< The store is unavailable.
  ExitTargets ///< Targets exit for reasons unrelated to requests.
};

struct QuarantineFaultEvent {
  std::chrono::milliseconds m_At{};
  std::chrono::milliseconds m_Length{};
  QuarantineFaultKind m_Kind = QuarantineFaultKind::Kill;
  double m_Share = 1; ///< Average share of the instances or targets.
};

/// Input of one simulated run.
struct QuarantineScenario {
  std::uint64_t m_Seed = 1;
  std::size_t m_Instances = 6;
  std::size_t m_Targets = 9;
  std::size_t m_Slots = 6; ///< Slots of each target.
  std::chrono::milliseconds m_Length{60000};
  /// Harmless requests per second and target.
  double m_RequestRate = 5;
  /// Share of the harmless requests whose content many callers send, 0 to 1.
  double m_PopularShare = 0.1;
  std::size_t m_BadContents = 3;
  /// Whether the bad contents are parts of prompts. Each request then has
  /// shared parts, and no two requests with a bad one are alike. Beside a bad
  /// part there is always the same other one, its companion, which harmless
  /// requests have as well.
  bool m_AreParts = false;
  /// Whether a quarantined content may be tried again.
  bool m_HasTrials = true;
  double m_BadRate = 2; ///< Attempts per second with each bad content.
  /// Time from the start of a bad request at a target to the target's exit.
  std::chrono::milliseconds m_TimeToExit{100};
  /// Time from the exit of a target until it runs again.
  std::chrono::milliseconds m_DownTime{3500};
  /// Time after a fault from which an instance counts as connected.
  std::chrono::milliseconds m_ContactTime{3000};
  double m_DatagramLoss = 0.01; ///< Share of lost datagrams, 0 to 1.
  std::vector<QuarantineFaultEvent> m_Faults;
  /// Incriminating incarnations from which a content is refused.
  std::size_t m_QuarantineThreshold =
      quarantine::QuarantineTable::IncarnationsToQuarantine;
  /// Whether an attempt whose target exited is retried at once although its
  /// content is suspect.
  bool m_RetriesSuspects = false;
};

/// Measurements of one simulated run.
struct QuarantineResult {
  /// Maximum, over all bad contents, of the sends by connected instances later
  /// than the contact time after the exit of the third target, or of the fifth
  /// under a part.
  std::size_t m_LateSends = 0;
  /// Harmless attempts with a companion later than twice the contact time after
  /// the third exit under its bad part, and those refused.
  std::size_t m_CompanionAttempts = 0;
  std::size_t m_CompanionRefused = 0;
  /// Target exits caused by bad requests.
  std::size_t m_ExitsUnderBad = 0;
  /// Harmless attempts that reached a running instance.
  std::size_t m_HarmlessAttempts = 0;
  /// Harmless sends interrupted by an exit.
  std::size_t m_HarmlessInterrupted = 0;
  /// Harmless requests that got no response, because their targets exited or
  /// they were refused as quarantined.
  std::size_t m_HarmlessLost = 0;
  /// Harmless requests that were refused as quarantined.
  std::size_t m_WronglyRefused = 0;
  /// Popular requests among them.
  std::size_t m_PopularRefused = 0;
  std::size_t m_StoreWrites = 0;
  std::size_t m_Datagrams = 0;
};

QuarantineResult simulate(const QuarantineScenario &Scenario);

/// Returns a scenario of the given size with random rates and faults.
QuarantineScenario randomQuarantineScenario(std::uint64_t Seed,
                                            std::size_t Instances,
                                            std::size_t Targets);

} // namespace yardrill::tests

#endif
