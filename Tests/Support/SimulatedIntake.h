//===-- SimulatedIntake.h - Link and event loop of a simulated instance ---===//
//
// Models what an instance does with a request before and after it is placed: it
// reads one request after the other, and sends one after the other to targets,
// with their responses to the callers. Used by DispatchFleet.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SIMULATEDINTAKE_H
#define YARDRILL_TESTS_SUPPORT_SIMULATEDINTAKE_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibHTTP/IntakeLimiter.h"

#include <algorithm>
#include <unordered_map>

namespace yardrill::tests {

/// Requests a second that an instance bears, each with its response.
struct IntakeCapacity {
  double m_LoopPerSecond = 0;
  double m_LinkPerSecond = 0;
};

class SimulatedIntake {
public:
  /// Time after which a caller gives up a request that is not read.
  static constexpr std::chrono::seconds CallerPatience{1};

  explicit SimulatedIntake(const IntakeCapacity &Capacity)
      : m_SendTime(core::fromSeconds(1 / Capacity.m_LinkPerSecond)),
        m_ReadTime(core::fromSeconds(
            1 / std::min(Capacity.m_LoopPerSecond,
                         Capacity.m_LinkPerSecond * ReadFactor))),
        m_Limiter(Capacity.m_LinkPerSecond * (RequestBytes + ResponseBytes)) {}

  /// Whether the instance accepts another connection.
  bool mayAccept(core::TimePoint Now) const { return m_Limiter.mayAccept(Now); }
  /// \returns when a request that arrives now is read.
  core::TimePoint beginRead(core::RequestId Id, core::TimePoint Now) {
    m_Reading.try_emplace(Id, m_Limiter.transfers()).first->second.begin(Now);
    return m_ReadBy = std::max(m_ReadBy, Now) + m_ReadTime;
  }
  void endRead(core::RequestId Id, core::TimePoint Now) {
    m_Reading.at(Id).complete(Now);
    m_Reading.erase(Id);
    m_Limiter.link().recordRequestHead(Now);
    m_Limiter.link().recordRequestBody(RequestBytes, Now);
  }
  /// \returns when a request that is sent now arrives at its target.
  core::TimePoint send(core::TimePoint Now) {
    m_Limiter.link().recordRequestSent(RequestBytes, Now);
    m_Limiter.link().recordResponse(ResponseBytes, Now);
    return m_SentBy = std::max(m_SentBy, Now) + m_SendTime;
  }

private:
  /// Requests are read faster than they are sent, since callers' responses are
  /// sent over the same link.
  static constexpr double ReadFactor = 1.4;
  static constexpr std::size_t RequestBytes = 7000;
  static constexpr std::size_t ResponseBytes = 3000;

  core::Duration m_SendTime;
  core::Duration m_ReadTime;
  core::TimePoint m_ReadBy{}; ///< When all that has arrived is read.
  core::TimePoint m_SentBy{}; ///< When all that was placed is sent.
  http::IntakeLimiter m_Limiter;
  std::unordered_map<core::RequestId, http::TransferMeter::Transfer> m_Reading;
};

} // namespace yardrill::tests

#endif
