//===-- SimulatedNetwork.h - Delayed messages and events of a simulation --===//
//
// Delivers messages between the instances of a DispatchSimulation after a
// random delay, loses a share of them, and cuts off instances that are silent.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SIMULATEDNETWORK_H
#define YARDRILL_TESTS_SUPPORT_SIMULATEDNETWORK_H

#include "LibCore/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>

namespace yardrill::tests {

struct NetworkSettings {
  core::Duration m_MinDelay = std::chrono::milliseconds(1);
  core::Duration m_MaxDelay = std::chrono::milliseconds(3);
  double m_LossShare = 0; ///< Of messages.
};

class SimulatedNetwork {
public:
  SimulatedNetwork(const NetworkSettings &Settings, std::uint64_t Seed)
      : m_Settings(Settings), m_Random(Seed) {}

  /// Sends a message, which calls \p Receive when it arrives. It is lost if
  /// the sender or the receiver is silent.
  void post(std::size_t From, std::size_t To, core::TimePoint Now,
            std::function<void()> Receive);
  /// Calls a function at a time, reliably.
  void callAt(core::TimePoint At, std::function<void()> Call) {
    m_Calls.emplace(At, std::move(Call));
  }
  /// Makes the calls that are due, in the order of their times.
  void run(core::TimePoint Now);
  /// Cuts off an instance from all others, or connects it again.
  void setSilent(std::size_t Instance, bool IsSilent);

private:
  NetworkSettings m_Settings;
  std::mt19937_64 m_Random;
  std::multimap<core::TimePoint, std::function<void()>> m_Calls;
  std::set<std::size_t> m_Silent;
};

} // namespace yardrill::tests

#endif
