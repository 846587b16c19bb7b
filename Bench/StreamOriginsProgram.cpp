//===-- StreamOriginsProgram.cpp - Random schedules of resumed streams ----===//
//
// Usage: stream_origins [DAYS [INSTANCES [TARGETS]]].
// Simulates DAYS random scenarios of that fleet size with each way to replicate
// the origins of streams, and prints their sums. Exits with 1 if a stream went
// on at another version.
//
//===----------------------------------------------------------------------===//
#include "StreamOriginSimulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace yardrill::tests;

/// Streams resumed on a day from which their share counts.
static constexpr std::size_t MinResumed = 12;

int main(int Count, char **Arguments) {
  auto Number = [&](int Index, std::size_t Default) -> std::size_t {
    return Index < Count ? std::strtoul(Arguments[Index], nullptr, 10)
                         : Default;
  };
  struct Way {
    const char *m_Name;
    OriginReplication m_Replication;
    std::size_t m_Replicas;
  };
  const Way Ways[] = {{"selected-1", OriginReplication::Selected, 1},
                      {"selected-2", OriginReplication::Selected, 2},
                      {"selected-3", OriginReplication::Selected, 3},
                      {"group", OriginReplication::Group, 0},
                      {"first-only", OriginReplication::None, 0}};
  std::size_t Days = Number(1, 100);
  std::size_t Changed = 0;
  for (const Way &Each : Ways) {
    StreamResult Sum;
    double WorstShare = 1;
    std::size_t Below = 0;
    for (std::size_t Seed = 1; Seed <= Days; ++Seed) {
      StreamScenario Scenario =
          randomStreamScenario(Seed, Number(2, 7), Number(3, 9));
      Scenario.m_Replication = Each.m_Replication;
      Scenario.m_Replicas = Each.m_Replicas;
      StreamResult Result = simulate(Scenario);
      if (Result.m_ResumedInTouch >= MinResumed) {
        double Share = static_cast<double>(Result.m_GoneOnInTouch) /
                       static_cast<double>(Result.m_ResumedInTouch);
        WorstShare = std::min(WorstShare, Share);
        Below += Share < 0.5 ? 1 : 0;
      }
      Sum.m_Begun += Result.m_Begun;
      Sum.m_Resumed += Result.m_Resumed;
      Sum.m_GoneOn += Result.m_GoneOn;
      Sum.m_ResumedInTouch += Result.m_ResumedInTouch;
      Sum.m_GoneOnInTouch += Result.m_GoneOnInTouch;
      Sum.m_Unknown += Result.m_Unknown;
      Sum.m_WithoutTarget += Result.m_WithoutTarget;
      Sum.m_Changed += Result.m_Changed;
      Sum.m_Datagrams += Result.m_Datagrams;
      Sum.m_Bytes += Result.m_Bytes;
      Sum.m_AllLookups += Result.m_AllLookups;
      Sum.m_LongestLookup =
          std::max(Sum.m_LongestLookup, Result.m_LongestLookup);
    }
    Changed += Sum.m_Changed;
    std::printf(
        "way=%s days=%zu begun=%zu resumed=%zu gone_on=%zu unknown=%zu "
        "without_target=%zu changed=%zu in_touch=%zu gone_on_in_touch=%zu "
        "days_below_half=%zu "
        "worst_day=%.3f datagrams=%zu bytes_per_begun=%.0f "
        "mean_lookup_us=%.0f longest_lookup_ms=%.1f\n",
        Each.m_Name, Days, Sum.m_Begun, Sum.m_Resumed, Sum.m_GoneOn,
        Sum.m_Unknown, Sum.m_WithoutTarget, Sum.m_Changed, Sum.m_ResumedInTouch,
        Sum.m_GoneOnInTouch, Below, WorstShare, Sum.m_Datagrams,
        static_cast<double>(Sum.m_Bytes) /
            static_cast<double>(std::max<std::size_t>(1, Sum.m_Begun)),
        static_cast<double>(Sum.m_AllLookups.count()) /
            static_cast<double>(std::max<std::size_t>(1, Sum.m_Resumed)),
        static_cast<double>(Sum.m_LongestLookup.count()) / 1000);
  }
  return Changed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
