//===-- StreamOriginSimulation.h - Fleets whose streams are resumed -------===//
//
// Simulates instances with the real gateway::StreamOriginExchange and
// routing::VersionHistory in simulated time, before targets of several
// versions. Instances are killed or cut off, the store is away, and datagrams
// are lost. Used by StreamOriginModelTest and the stream_origins program.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_STREAMORIGINSIMULATION_H
#define YARDRILL_TESTS_SUPPORT_STREAMORIGINSIMULATION_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace yardrill::tests {

enum class StreamFaultKind {
  Kill,      ///< Instances are killed and restart after 0.7 s.
  Cut,       ///< Instances reach neither others nor the store; callers do.
  StoreDown, ///< No instance reaches the store.
};

struct StreamFault {
  std::chrono::milliseconds m_At{};
  std::chrono::milliseconds m_Length{}; ///< Of a cut or an outage.
  StreamFaultKind m_Kind = StreamFaultKind::Kill;
  double m_Share = 1; ///< Average share of the instances.
};

/// Which instances hold the origin of a stream beside the instance that relays
/// it.
enum class OriginReplication {
  Selected, ///< Instances selected by its key.
  Group,    ///< The instance's group of 16; two of each group are asked.
  None,     ///< Nobody; all instances are asked.
};

/// Input of one simulated run.
struct StreamScenario {
  std::uint64_t m_Seed = 1;
  std::size_t m_Instances = 7;
  std::size_t m_Targets = 9;
  std::chrono::milliseconds m_Length{40000};
  double m_StreamsPerSecond = 5; ///< Of one instance.
  /// Times at which a new version begins to replace the previous one, target by
  /// target, in ReleaseTime.
  std::vector<std::chrono::milliseconds> m_Releases;
  std::vector<StreamFault> m_Faults;
  double m_DatagramLoss = 0.01; ///< Share of lost datagrams, 0 to 1.
  OriginReplication m_Replication = OriginReplication::Selected;
  std::size_t m_Replicas = 3; ///< If selected.
  /// Whether the instances have run for longer than streams are kept.
  bool m_IsOldFleet = true;
};

/// Measurements of one simulated run.
struct StreamResult {
  std::size_t m_Begun = 0;
  std::size_t m_Resumed = 0; ///< Attempts that resume a stream.
  std::size_t m_GoneOn = 0;
  std::size_t m_Unknown = 0;       ///< Refused, as nobody told the origin.
  std::size_t m_WithoutTarget = 0; ///< No target of their version was left.
  std::size_t m_Changed = 0;       ///< Gone on at another version.
  /// Of m_Resumed, those at instances in touch, with a target of the version.
  std::size_t m_ResumedInTouch = 0;
  std::size_t m_GoneOnInTouch = 0;
  std::size_t m_Datagrams = 0;
  std::size_t m_Bytes = 0; ///< With IP and UDP headers.
  std::chrono::microseconds m_LongestLookup{};
  std::chrono::microseconds m_AllLookups{};
};

StreamResult simulate(const StreamScenario &Scenario);

/// Returns a scenario of the given size with random releases and faults.
StreamScenario randomStreamScenario(std::uint64_t Seed, std::size_t Instances,
                                    std::size_t Targets);

} // namespace yardrill::tests

#endif
