//===-- RequestState.h - One open request ---------------------------------===//
#ifndef YARDRILL_LIBDECISION_REQUESTSTATE_H
#define YARDRILL_LIBDECISION_REQUESTSTATE_H

#include "LibDecision/Event.h"
#include "LibPolicy/PolicyProgram.h"

#include <optional>

namespace yardrill::decision {

enum class RequestPhase : std::uint8_t {
  New,        ///< Not placed yet.
  Claiming,   ///< Its identity is being claimed.
  Joined,     ///< Waits for another request of the same identity.
  Queued,     ///< Waits for a place.
  Dispatched, ///< Given to a target, for good unless the connect fails.
  Refusing,   ///< Its refusal is being written, under a permission.
};

struct RequestState {
  RequestArrived m_Arrival;
  core::TimePoint m_ArrivedAt;
  core::TimePoint m_Deadline;
  RequestPhase m_Phase = RequestPhase::New;
  policy::PolicyDecision m_Policy;
  double m_Weight = 1; ///< Of its client account.
  core::TargetName m_Target;
  core::TimePoint m_DispatchedAt;
  std::optional<core::TimePoint> m_BeganAt;
  bool m_HasFailedConnect = false;
  bool m_IsCancelled = false;

  core::RequestId id() const { return m_Arrival.m_Request; }
  core::TierNumber tier() const { return m_Arrival.m_Tier; }
};

} // namespace yardrill::decision

#endif
