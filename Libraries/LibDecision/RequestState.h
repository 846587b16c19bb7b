//===-- RequestState.h - One open request ---------------------------------===//
#ifndef YARDRILL_LIBDECISION_REQUESTSTATE_H
#define YARDRILL_LIBDECISION_REQUESTSTATE_H

#include "LibDecision/Event.h"
#include "LibPolicy/PolicyProgram.h"

#include <optional>

namespace yardrill::decision {

/// Position of a request on its way through the core.
enum class RequestPhase : std::uint8_t {
  New,        ///< Not queued or dispatched yet.
  Claiming,   ///< Its identity is being claimed.
  Joined,     ///< Waits for the runner of the same identity.
  Queued,     ///< Waits for a free slot.
  Dispatched, ///< Sent to a target; queued again only if connecting fails.
  Refusing,   ///< A refusal that is valid for a limited time is being sent.
};

/// A request between its arrival and its end. Owned by DecisionCore.
struct RequestState {
  RequestArrived m_Arrival;
  core::TimePoint m_ArrivedAt;
  core::TimePoint m_Deadline;
  RequestPhase m_Phase = RequestPhase::New;
  policy::PolicyDecision m_Policy;
  double m_Weight = 1; ///< Weight of the client account in fair queueing.
  core::TargetName m_Target;
  core::TimePoint m_DispatchedAt;
  std::optional<core::TimePoint> m_ResponseStartedAt;
  bool m_HasFailedConnect = false;
  bool m_IsCancelled = false;

  core::RequestId id() const { return m_Arrival.m_Request; }
  core::TierNumber tier() const { return m_Arrival.m_Tier; }
};

} // namespace yardrill::decision

#endif
