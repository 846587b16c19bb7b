//===-- DecisionCostProgram.cpp - Latency of single decisions -------------===//
//
// Prints the median and 99th percentile of the time to handle an arriving
// request and a finished one (which dispatches the next from the queue), by
// number of queued requests and targets.
//
//===----------------------------------------------------------------------===//
#include "LibDecision/DecisionCore.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(policy, false, "configure a policy program");

using namespace yardrill;
using namespace yardrill::decision;

static const int Decisions = 20000;

static std::string configuration(int Targets) {
  std::string Text = "tiers: [{name: a, tier: 1, deadline_ms: 86400000}, "
                     "{name: b, tier: 2, deadline_ms: 86400000}]\n"
                     "pools:\n  - name: p\n    kind: model\n    models: [m]\n"
                     "    queue_limit: 1000000\n    targets:\n";
  for (int I = 0; I < Targets; ++I)
    Text += "      - {name: t" + std::to_string(I) +
            ", address: 127.0.0.1:1, data_hall: h, places: 8}\n";
  if (FLAGS_policy)
    Text += "policy: |\n  function decide(r) return {order = r.output_tokens, "
            "sheddable = r.tier > 1} end\n";
  return Text;
}

namespace {

/// A decision core with all slots taken and a queue of a given length.
class LoadedCore {
public:
  LoadedCore(int Targets, int Queued) {
    handleEvent(InstanceStarted{});
    handleEvent(ConfigurationAccepted{config::FleetConfiguration::parse(
        configuration(Targets), "bench", core::ConfigurationVersion(1))});
    for (int I = 0; I < Targets * 8 + Queued; ++I)
      handleArrival();
  }

  /// Returns the time taken in nanoseconds, as handleEnd() does.
  std::int64_t handleArrival() {
    RequestArrived Arrival;
    Arrival.m_Request = core::RequestId(++m_LastId);
    Arrival.m_Tier = core::TierNumber(1);
    Arrival.m_Account = core::AccountName("a" + std::to_string(m_LastId % 50));
    Arrival.m_Pool = core::PoolName("p");
    Arrival.m_PrefillTokens = 500;
    Arrival.m_OutputTokens = 100;
    Arrival.m_PrefixHash = m_LastId % 100;
    return handleEvent(Arrival);
  }

  std::int64_t handleEnd() {
    core::RequestId Id = m_Running.front();
    m_Running.pop_front();
    return handleEvent(
        ResponseEnded{Id, ResponseOutcome::Complete, false, 100});
  }

private:
  std::int64_t handleEvent(const Event &Input) {
    m_Now += std::chrono::microseconds(50);
    auto Start = std::chrono::steady_clock::now();
    std::vector<Action> Actions = m_Core.handle(Input, m_Now);
    auto Elapsed = std::chrono::steady_clock::now() - Start;
    for (const Action &Each : Actions)
      if (const auto *Assignment = std::get_if<Dispatch>(&Each))
        m_Running.push_back(Assignment->m_Request);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(Elapsed)
        .count();
  }

  DecisionCore m_Core;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_LastId = 0;
  std::deque<core::RequestId> m_Running;
};

} // namespace

static void print(const char *Decision, int Targets, int Queued,
                  std::vector<std::int64_t> Times) {
  std::sort(Times.begin(), Times.end());
  std::cout << "decision=" << Decision << " targets=" << Targets
            << " queued=" << Queued << " p50_ns=" << Times[Times.size() / 2]
            << " p99_ns=" << Times[Times.size() * 99 / 100] << std::endl;
}

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  for (int Targets : {16, 64, 256})
    for (int Queued : {100, 1000, 10000, 100000}) {
      LoadedCore Core(Targets, Queued);
      std::vector<std::int64_t> Arrivals;
      std::vector<std::int64_t> Ends;
      for (int I = 0; I < Decisions; ++I) {
        Arrivals.push_back(Core.handleArrival());
        Ends.push_back(Core.handleEnd());
      }
      print("arrival", Targets, Queued, Arrivals);
      print("end-and-dispatch", Targets, Queued, Ends);
    }
}
