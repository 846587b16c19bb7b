//===-- QuarantineSearchProgram.cpp - Random quarantine scenarios ---------===//
//
// Usage: quarantine_search
//   [DAYS [INSTANCES [TARGETS [THRESHOLD [RETRY_SUSPECTS [PARTS [TRIALS]]]]]]].
// Simulates DAYS random scenarios of that fleet size and prints their sums.
// THRESHOLD is the number of incarnations that exit before a content is
// refused; RETRY_SUSPECTS other than 0 retries an attempt immediately after its
// target exited, even if others exited under its content before. With PARTS
// other than 0 the bad contents are parts of prompts; with TRIALS 0 no
// quarantined content is tried again. Exits with 1
// if a scenario has more than 3 late sends (see QuarantineResult).
//
//===----------------------------------------------------------------------===//
#include "QuarantineSimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace yardrill::tests;

int main(int Count, char **Arguments) {
  auto Number = [&](int Index, std::size_t Default) -> std::size_t {
    return Index < Count ? std::strtoul(Arguments[Index], nullptr, 10)
                         : Default;
  };
  std::size_t Days = Number(1, 100);
  QuarantineResult Sum;
  std::size_t Worst = 0;
  std::size_t Violations = 0;
  std::size_t Bad = 0;
  for (std::size_t Seed = 1; Seed <= Days; ++Seed) {
    QuarantineScenario Scenario =
        randomQuarantineScenario(Seed, Number(2, 7), Number(3, 9));
    Scenario.m_QuarantineThreshold = Number(4, Scenario.m_QuarantineThreshold);
    Scenario.m_RetriesSuspects = Number(5, 0) != 0;
    Scenario.m_AreParts = Number(6, 0) != 0;
    Scenario.m_HasTrials = Number(7, 1) != 0;
    QuarantineResult Result = simulate(Scenario);
    Bad += Scenario.m_BadContents;
    Violations += Result.m_LateSends > 3;
    if (Result.m_LateSends > Worst)
      std::printf("seed %zu: %zu late sends\n", Seed, Result.m_LateSends);
    Worst = std::max(Worst, Result.m_LateSends);
    Sum.m_ExitsUnderBad += Result.m_ExitsUnderBad;
    Sum.m_HarmlessAttempts += Result.m_HarmlessAttempts;
    Sum.m_HarmlessInterrupted += Result.m_HarmlessInterrupted;
    Sum.m_HarmlessLost += Result.m_HarmlessLost;
    Sum.m_WronglyRefused += Result.m_WronglyRefused;
    Sum.m_PopularRefused += Result.m_PopularRefused;
    Sum.m_CompanionAttempts += Result.m_CompanionAttempts;
    Sum.m_CompanionRefused += Result.m_CompanionRefused;
    Sum.m_StoreWrites += Result.m_StoreWrites;
    Sum.m_Datagrams += Result.m_Datagrams;
  }
  auto Ratio = [](std::size_t Part, std::size_t Whole) {
    return static_cast<double>(Part) / static_cast<double>(Whole);
  };
  std::printf("%zu days: %zu with more than 3 late sends, at most %zu\n", Days,
              Violations, Worst);
  std::printf("%.2f targets exited per bad content\n",
              Ratio(Sum.m_ExitsUnderBad, Bad));
  std::printf(
      "of %zu harmless attempts %.3f %% interrupted, %zu lost, of them %zu "
      "wrongly refused (%zu popular)\n",
      Sum.m_HarmlessAttempts,
      100 * Ratio(Sum.m_HarmlessInterrupted, Sum.m_HarmlessAttempts),
      Sum.m_HarmlessLost, Sum.m_WronglyRefused, Sum.m_PopularRefused);
  std::printf("per day %.1f writes to the store, %.0f datagrams\n",
              Ratio(Sum.m_StoreWrites, Days), Ratio(Sum.m_Datagrams, Days));
  std::printf("of %zu attempts with a companion of a bad part %zu refused\n",
              Sum.m_CompanionAttempts, Sum.m_CompanionRefused);
  return Violations == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
