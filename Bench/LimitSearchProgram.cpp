//===-- LimitSearchProgram.cpp - Rate limits by strategy and fleet size ---===//
//
// Usage: limit_search [DAYS]. Simulates DAYS scenarios for each rate limit
// strategy and fleet. Prints the worst ratio of received to allowed requests,
// the most reports that an instance received per second, and without faults:
// the share of their limit that targets received, and the time until no
// instance applies an ended limit.
//
//===----------------------------------------------------------------------===//
#include "RateLimitSimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace yardrill;
using namespace yardrill::tests;

struct FleetShape {
  std::size_t m_Instances;
  std::size_t m_Targets;
  double m_RequestsPerSecond; ///< To all targets, from all instances.
  double m_Limit;             ///< Of one target, in requests per second.
};

static void simulateScenarios(const FleetShape &Shape,
                              RateLimitStrategy Strategy, std::uint64_t Days) {
  double MaxRatio = 0;
  double ServedShare = 0;
  double MaxDatagrams = 0;
  double MaxLimitEndDelay = 0;
  std::uint64_t Violations = 0;
  for (std::uint64_t Seed = 1; Seed <= Days; ++Seed) {
    RateLimitScenario Scenario{Shape.m_Instances, Shape.m_Targets,
                               Shape.m_RequestsPerSecond, Shape.m_Limit};
    Scenario.m_Seed = Seed;
    RateLimitResult Faulty = simulateRateLimit(Scenario, Strategy);
    MaxRatio = std::max(MaxRatio, Faulty.m_MaxWindowRatio);
    Violations += Faulty.m_MaxWindowRatio > 1 ? 1 : 0;
    MaxDatagrams = std::max(MaxDatagrams, Faulty.m_DatagramsPerSecond);
    Scenario.m_HasFaults = false;
    RateLimitResult FaultFree = simulateRateLimit(Scenario, Strategy);
    ServedShare += FaultFree.m_ServedShare / static_cast<double>(Days);
    MaxLimitEndDelay =
        std::max(MaxLimitEndDelay, FaultFree.m_LimitEndDelaySeconds);
  }
  std::printf("instances=%zu targets=%zu limit=%.2f way=%s days=%llu "
              "broken=%llu worst=%.2f served_calm=%.2f datagrams=%.1f "
              "end_known_s=%.2f\n",
              Shape.m_Instances, Shape.m_Targets, Shape.m_Limit,
              toString(Strategy), static_cast<unsigned long long>(Days),
              static_cast<unsigned long long>(Violations), MaxRatio,
              ServedShare, MaxDatagrams, MaxLimitEndDelay);
}

int main(int Count, char **Arguments) {
  std::uint64_t Days =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 20;
  const FleetShape Sizes[] = {{6, 3, 25, 2},        {7, 9, 38, 1.4},
                              {7, 9, 38, 0.3},      {74, 90, 570, 3},
                              {295, 168, 900, 3},   {295, 3, 100, 2},
                              {440, 900, 1000, 0.5}};
  for (const FleetShape &Each : Sizes)
    for (RateLimitStrategy Strategy :
         {RateLimitStrategy::Senders, RateLimitStrategy::OneSender,
          RateLimitStrategy::EqualParts, RateLimitStrategy::Alone})
      simulateScenarios(Each, Strategy, Days);
  return 0;
}
