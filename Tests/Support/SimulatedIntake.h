//===-- SimulatedIntake.h - Link and event loop of a simulated instance ---===//
//
// Models what an instance does with a request before and after it is placed: it
// reads one request after the other, and sends one after the other to targets,
// with their responses to the callers. Used by DispatchFleet.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SIMULATEDINTAKE_H
#define YARDRILL_TESTS_SUPPORT_SIMULATEDINTAKE_H

#include "LibCore/Time.h"

#include <algorithm>

namespace yardrill::tests {

class SimulatedIntake {
public:
  /// Time after which a caller gives up a request that is not read.
  static constexpr std::chrono::seconds CallerPatience{1};

  /// \param RequestsPerSecond requests and responses that the instance sends.
  explicit SimulatedIntake(double RequestsPerSecond)
      : m_SendTime(core::fromSeconds(1 / RequestsPerSecond)),
        m_ReadTime(core::fromSeconds(1 / (RequestsPerSecond * ReadFactor))) {}

  /// Whether the instance accepts another connection.
  bool mayAccept(core::TimePoint) const { return true; }
  /// \returns when a request that arrives now is read.
  core::TimePoint read(core::TimePoint Now) {
    return m_ReadBy = std::max(m_ReadBy, Now) + m_ReadTime;
  }
  /// \returns when a request that is sent now arrives at its target.
  core::TimePoint send(core::TimePoint Now) {
    return m_SentBy = std::max(m_SentBy, Now) + m_SendTime;
  }

private:
  /// Requests are read faster than they are sent, since callers' responses are
  /// sent over the same link.
  static constexpr double ReadFactor = 1.4;

  core::Duration m_SendTime;
  core::Duration m_ReadTime;
  core::TimePoint m_ReadBy{}; ///< When all that has arrived is read.
  core::TimePoint m_SentBy{}; ///< When all that was placed is sent.
};

} // namespace yardrill::tests

#endif
