//===-- FleetMessagesProgram.cpp - Control messages by size of the fleet --===//
//
// Usage: fleet_messages [INSTANCES...]
//
// Prints for each size of fleet, at rest, with changes of the store, with a
// third of the instances or all followers lost, and without the store: bytes a
// second of the middle and the busiest instance, bytes by purpose, and how long
// a change takes to reach the first, the middle and the last instance.
//
//===----------------------------------------------------------------------===//
#include "PeerSimulation.h"

#include <iostream>
#include <string>
#include <vector>

using namespace yardrill;
using namespace yardrill::tests;

static const std::size_t FleetSizes[] = {100, 300, 1000, 2000};
/// Targets of the largest pool for each instance.
static constexpr std::size_t TargetsPerInstance = 3;

static double toMs(core::Duration Time) { return core::toSeconds(Time) * 1000; }

static void print(const char *Name, const PeerScenario &Scenario) {
  PeerResult Result = simulatePeers(Scenario);
  std::cout << "instances=" << Scenario.m_Instances << " scenario=" << Name
            << " middle_bytes=" << Result.m_Middle.m_BytesPerSecond
            << " middle_messages=" << Result.m_Middle.m_MessagesPerSecond
            << " busiest_bytes=" << Result.m_Busiest.m_BytesPerSecond;
  for (const auto &[Purpose, Bytes] : Result.m_BytesByPurpose)
    std::cout << " " << Purpose << "=" << Bytes;
  std::cout << " first_ms=" << toMs(Result.m_FirstDelay)
            << " middle_ms=" << toMs(Result.m_MiddleDelay)
            << " last_ms=" << toMs(Result.m_LastDelay)
            << " max_without_evidence=" << Result.m_MaxWithoutEvidence
            << " max_followers=" << Result.m_MaxFollowers
            << " is_writer_list_right=" << Result.m_IsWriterListRight
            << std::endl;
}

int main(int Count, char **Arguments) {
  std::vector<std::size_t> Sizes(std::begin(FleetSizes), std::end(FleetSizes));
  if (Count > 1)
    Sizes.clear();
  for (int I = 1; I < Count; ++I)
    Sizes.push_back(std::stoul(Arguments[I]));
  for (std::size_t Size : Sizes) {
    PeerScenario Scenario;
    Scenario.m_Instances = Size;
    Scenario.m_Targets = Size * TargetsPerInstance;
    print("rest", Scenario);
    Scenario.m_ChangesPerSecond = 5;
    print("changes", Scenario);
    Scenario.m_Length = std::chrono::seconds(20);
    Scenario.m_KillAt = std::chrono::seconds(3);
    Scenario.m_KilledShare = 0.35;
    print("third-killed", Scenario);
    Scenario.m_KilledShare = 0;
    Scenario.m_AreFollowersKilled = true;
    print("followers-killed", Scenario);
    Scenario.m_KillAt.reset();
    Scenario.m_AreFollowersKilled = false;
    Scenario.m_ChangesPerSecond = 0;
    Scenario.m_StoreLostAt = std::chrono::seconds(3);
    print("store-lost", Scenario);
  }
}
