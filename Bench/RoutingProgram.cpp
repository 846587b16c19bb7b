//===-- RoutingProgram.cpp - Compares schedulers on simulated engines -----===//
//
// Runs yardrill's decision cores and baseline load balancers on the same
// simulated workloads and engines. Prints a line of key=value per scheduler,
// summed over the seeds: the share answered in time by tier, wasted prefill,
// time to first token and refusals. Simulation.h lists the simulated faults.
//
//===----------------------------------------------------------------------===//
#include "Baseline.h"
#include "CoreScheduler.h"
#include "Simulation.h"
#include "Workload.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_uint32(seeds, 6, "number of seeds per workload");
DEFINE_string(workload, "", "trust-sale or club-evening; empty: both");
DEFINE_double(load, 1, "factor on the workload's rate");
DEFINE_uint32(kept_places, 1,
              "yardrill: slots of each engine reserved for tier 1");
DEFINE_double(prefill_weight, 25, "yardrill: weight of a prefill token");
DEFINE_string(write_workload, "", "file to write the first workload to");
DEFINE_string(only, "", "run this scheduler only");

using namespace yardrill;
using namespace yardrill::bench;

static double percentile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Quantile * static_cast<double>(Values.size() - 1))];
}

static void print(const std::string &Workload, const std::string &Policy,
                  const SimulationResult &Sum) {
  std::cout << "workload=" << Workload << " way=" << Policy;
  for (int T = 1; T < 4; ++T)
    std::cout << " in_time_" << T << '='
              << std::round(1000 * Sum.m_InTime[T] / Sum.m_Arrived[T]) / 1000;
  for (int T = 1; T < 4; ++T)
    std::cout << " burst_in_time_" << T << '='
              << std::round(1000 * Sum.m_InTimeInBurst[T] /
                            Sum.m_ArrivedInBurst[T]) /
                     1000;
  std::cout << " wasted_prefill="
            << std::round(1000 * Sum.m_WastedTokens /
                          std::max(Sum.m_PrefilledTokens, 1.0)) /
                   1000
            << " read_tokens_m=" << std::round(Sum.m_PrefilledTokens / 1e5) / 10
            << " wasted_tokens_m=" << std::round(Sum.m_WastedTokens / 1e5) / 10
            << " first_token_p95_s="
            << std::round(100 * percentile(Sum.m_FirstToken[1], 0.95)) / 100
            << " refused=" << Sum.m_Refused << " evicted=" << Sum.m_Evicted
            << std::endl;
}

static void compare(const WorkloadShape &Shape) {
  std::vector<std::pair<std::string,
                        std::function<Simulation::SchedulerFactory(unsigned)>>>
      Schedulers;
  for (auto [Name, Policy] :
       {std::make_pair("random", BaselinePolicy::Random),
        std::make_pair("least-reported", BaselinePolicy::LeastReported),
        std::make_pair("two-choices", BaselinePolicy::TwoChoices),
        std::make_pair("least-own", BaselinePolicy::LeastOwn)})
    Schedulers.emplace_back(
        Name, [Policy = Policy](unsigned Seed) -> Simulation::SchedulerFactory {
          return [Policy, Seed](Simulation &Owner) {
            return std::make_unique<Baseline>(Owner, Policy, Seed);
          };
        });
  Schedulers.emplace_back(
      "yardrill", [&](unsigned Seed) -> Simulation::SchedulerFactory {
        return [&Shape, Seed](Simulation &Owner) {
          CoreSchedulerSettings Settings{Shape.m_Instances, FLAGS_kept_places,
                                         FLAGS_prefill_weight};
          return makeCoreScheduler(Owner, Settings, Seed);
        };
      });
  for (const auto &[Name, SchedulerFactory] : Schedulers) {
    if (!FLAGS_only.empty() && FLAGS_only != Name)
      continue;
    SimulationResult Sum;
    for (unsigned Seed = 1; Seed <= FLAGS_seeds; ++Seed)
      Sum.add(
          Simulation(makeWorkload(Shape, Seed), Seed, SchedulerFactory(Seed))
              .run());
    print(Shape.m_Name, Name, Sum);
  }
}

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  for (WorkloadShape Shape : {trustSale(), clubEvening()}) {
    if (!FLAGS_workload.empty() && FLAGS_workload != Shape.m_Name)
      continue;
    Shape.m_Rate *= FLAGS_load;
    if (!FLAGS_write_workload.empty()) {
      std::ofstream Out(FLAGS_write_workload);
      writeWorkload(Out, makeWorkload(Shape, 1));
    }
    compare(Shape);
  }
}
