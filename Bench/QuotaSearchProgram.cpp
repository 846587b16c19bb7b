//===-- QuotaSearchProgram.cpp - Breeds days towards a quota's bound ------===//
//
// Usage: quota_search [DAYS [GENERATIONS [SEED [DEPLOYMENT]]]]
//
// Plays DAYS random days on each deployment, and breeds the fullest of them for
// GENERATIONS more. Prints of each the part of the tolerance that was used; a
// quota is broken above 1.
//
//===----------------------------------------------------------------------===//
#include "QuotaScenario.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

using namespace yardrill::tests;

namespace {

/// One day in so many has nothing but the largest requests.
constexpr int LargestEvery = 4;

struct PlayedDay {
  QuotaScenario m_Day;
  QuotaScenarioResult m_Result;
};

PlayedDay playDay(QuotaScenario Day) {
  QuotaScenarioResult Result = simulate(Day);
  return {std::move(Day), Result};
}

void search(const QuotaDeployment &Deployment, int Days, int Generations,
            std::uint64_t Seed) {
  PlayedDay Fullest;
  int Broken = 0;
  double Sum = 0;
  for (int I = 0; I < Days; ++I) {
    QuotaScenario Day = QuotaScenario::random(
        Deployment, Seed * 1000003 + static_cast<std::uint64_t>(I));
    Day.m_HasOnlyLargestRequests = I % LargestEvery == 0;
    PlayedDay One = playDay(std::move(Day));
    Broken += One.m_Result.isWithinTolerance() ? 0 : 1;
    Sum += One.m_Result.usedTolerance();
    if (I == 0 ||
        One.m_Result.usedTolerance() > Fullest.m_Result.usedTolerance())
      Fullest = std::move(One);
  }
  double Random = Fullest.m_Result.usedTolerance();
  std::mt19937_64 Luck(Seed);
  for (int I = 0; I < Generations; ++I) {
    PlayedDay One = playDay(Fullest.m_Day.mutated(Luck));
    if (One.m_Result.usedTolerance() > Fullest.m_Result.usedTolerance())
      Fullest = std::move(One);
  }
  std::cout << Deployment.m_Name << " instances=" << Deployment.m_Size
            << " days=" << Days << " broken=" << Broken
            << " mean_of_tolerance=" << Sum / Days
            << " most_of_tolerance=" << Random
            << " bred=" << Fullest.m_Result.usedTolerance() << "\n    "
            << Fullest.m_Day.describe() << std::endl;
}

} // namespace

int main(int Count, char **Arguments) {
  auto Number = [Count, Arguments](int Which, int Default) {
    return Count > Which ? std::atoi(Arguments[Which]) : Default;
  };
  std::string Only = Count > 4 ? Arguments[4] : "";
  for (const QuotaDeployment &Each : QuotaDeployment::all())
    if (Only.empty() || Each.m_Name == Only)
      search(Each, Number(1, 50), Number(2, 50),
             static_cast<std::uint64_t>(Number(3, 1)));
  return 0;
}
