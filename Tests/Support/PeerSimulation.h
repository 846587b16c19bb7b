//===-- PeerSimulation.h - Whole fleets that report to each other ---------===//
//
// Simulates the control messages of instances: the real PeerExchange,
// PeerTable, FollowerSelection, FleetSubset and StoreMirror in simulated time,
// over a network that delays and loses datagrams. Bytes are those of the
// encoded messages with IP and UDP headers; a transfer of changes by TCP counts
// with its packets. Used by PeerModelTest and the fleet_messages program.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_PEERSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_PEERSIMULATION_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::tests {

/// Input of one simulated run. All instances run and know the membership at
/// the start.
struct PeerScenario {
  std::size_t m_Instances = 100;
  std::size_t m_Targets = 300; ///< In the largest pool.
  std::size_t m_DataHalls = 5;
  core::Duration m_Length = std::chrono::seconds(10);
  /// Changes of the store a second, of about 300 bytes each.
  double m_ChangesPerSecond = 0;
  double m_LossShare = 0.001; ///< Of datagrams.
  /// Time at which some instances lose power, for good; none: never.
  std::optional<core::Duration> m_KillAt;
  double m_KilledShare = 0;
  /// Whether the killed instances include all followers of the store.
  bool m_AreFollowersKilled = false;
  /// Time from which no instance reaches the store; none: never.
  std::optional<core::Duration> m_StoreLostAt;
  std::uint64_t m_Seed = 1;
};

/// Bytes and messages that one instance sent and received, a second.
struct PeerTraffic {
  double m_BytesPerSecond = 0;
  double m_MessagesPerSecond = 0;
};

/// Measurements of one simulated run, after a settling time.
struct PeerResult {
  PeerTraffic m_Middle;  ///< Of the median instance by bytes.
  PeerTraffic m_Busiest; ///< Of the instance with the most bytes.
  /// Bytes a second of the mean instance by purpose, sent and received.
  std::map<std::string, double> m_BytesByPurpose;
  /// Times from a change of the store until the first, the middle and the last
  /// live instance has it; of each, the worst over all changes.
  core::Duration m_FirstDelay{};
  core::Duration m_MiddleDelay{};
  core::Duration m_LastDelay{};
  /// Largest number of instances that follow the store at a time.
  std::size_t m_MaxFollowers = 0;
  /// Largest share of live instances that may grant no quotas at a time,
  /// because they may have missed a change of the owners.
  double m_MaxWithoutEvidence = 0;
  /// Whether the record writer took all live instances for live at the end, and
  /// none of the killed ones.
  bool m_IsWriterListRight = false;
};

PeerResult simulatePeers(const PeerScenario &Scenario);

} // namespace yardrill::tests

#endif
