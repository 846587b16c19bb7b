//===-- QuotaSearchProgram.cpp - Searches for the worst quota scenario ----===//
//
// Usage: quota_search [DAYS [GENERATIONS [SEED [DEPLOYMENT [TIME_FACTOR]]]]]
//
// Simulates DAYS random scenarios for each deployment and mutates the worst one
// for GENERATIONS. Prints the used share of the tolerance; a share above 1
// violates the quota. With a TIME_FACTOR of 8 or so, scenarios are long enough
// for several changes of owners.
//
//===----------------------------------------------------------------------===//
#include "QuotaScenario.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace yardrill::tests;

namespace {

/// One in this many scenarios has the largest requests only.
constexpr int LargestOnlyPeriod = 4;

struct SimulatedScenario {
  QuotaScenario m_Scenario;
  QuotaScenarioResult m_Result;
};

SimulatedScenario simulateScenario(QuotaScenario Scenario) {
  QuotaScenarioResult Result = simulate(Scenario);
  return {std::move(Scenario), Result};
}

void search(const QuotaDeployment &Deployment, int Days, int Generations,
            std::uint64_t Seed, int TimeFactor) {
  SimulatedScenario Worst;
  int Violations = 0;
  double Sum = 0;
  double Refused = 0;
  for (int I = 0; I < Days; ++I) {
    QuotaScenario Scenario = QuotaScenario::random(
        Deployment, Seed * 1000003 + static_cast<std::uint64_t>(I));
    Scenario.m_TimeFactor = TimeFactor;
    Scenario.m_HasOnlyLargestRequests = I % LargestOnlyPeriod == 0;
    SimulatedScenario Candidate = simulateScenario(std::move(Scenario));
    Violations += Candidate.m_Result.isWithinTolerance() ? 0 : 1;
    Sum += Candidate.m_Result.usedTolerance();
    Refused += Candidate.m_Result.m_RefusedShare;
    if (I == 0 ||
        Candidate.m_Result.usedTolerance() > Worst.m_Result.usedTolerance())
      Worst = std::move(Candidate);
  }
  double Random = Worst.m_Result.usedTolerance();
  std::mt19937_64 Generator(Seed);
  for (int I = 0; I < Generations; ++I) {
    SimulatedScenario Candidate =
        simulateScenario(Worst.m_Scenario.mutated(Generator));
    if (Candidate.m_Result.usedTolerance() > Worst.m_Result.usedTolerance())
      Worst = std::move(Candidate);
  }
  std::cout << Deployment.m_Name << " instances=" << Deployment.m_Size
            << " days=" << Days << " broken=" << Violations
            << " mean_of_tolerance=" << Sum / Days
            << " mean_refused=" << Refused / Days
            << " most_of_tolerance=" << Random
            << " bred=" << Worst.m_Result.usedTolerance() << "\n    "
            << Worst.m_Scenario.describe() << "\n    "
            << Worst.m_Result.describeFullestWindow() << std::endl;
}

} // namespace

int main(int Count, char **Arguments) {
  auto Number = [Count, Arguments](int Index, int Default) {
    return Count > Index ? std::atoi(Arguments[Index]) : Default;
  };
  std::string Only = Count > 4 ? Arguments[4] : "";
  for (const QuotaDeployment &Each : QuotaDeployment::all())
    if (Only.empty() || Each.m_Name == Only)
      search(Each, Number(1, 50), Number(2, 50),
             static_cast<std::uint64_t>(Number(3, 1)), Number(5, 1));
  return 0;
}
