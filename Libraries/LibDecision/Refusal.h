//===-- Refusal.h - Reasons for refusing a request ------------------------===//
#ifndef YARDRILL_LIBDECISION_REFUSAL_H
#define YARDRILL_LIBDECISION_REFUSAL_H

#include <cstdint>

namespace yardrill::decision {

/// Reason for which a request gets no response from a target. describe() gives
/// the status, the problem type and whether the request ran.
/// Brief: "When a caller is refused with 'not run', the request truly did not
/// run."
enum class RefusalKind : std::uint8_t {
  NotReady,           ///< This instance has no configuration in force.
  Stopping,           ///< This instance is stopping.
  UnknownPool,        ///< No such pool or model.
  QueueFull,          ///< The pool's queue is full.
  DeadlinePassed,     ///< No slot was free before the tier's deadline.
  TierShed,           ///< The tier is below the admission threshold.
  NoTarget,           ///< The pool has no target that takes new work.
  TargetUnreachable,  ///< No target could be connected to.
  AccountLimit,       ///< The client account has too many open requests.
  IdentityRequired,   ///< The route is not idempotent and no identity was sent.
  IdentityMismatch,   ///< The identity was used for a different request.
  IdentitiesFull,     ///< The identity table is full.
  IdentityExpired,    ///< The ticket has expired.
  ClaimUnavailable,   ///< The platform did not confirm the claim.
  ResponseNotStored,  ///< The request ran; its response is not stored.
  OwnerLost,          ///< The identity's owner is gone; outcome unknown.
  TargetDisconnected, ///< The connection to the target broke after dispatch.
  Evicted,            ///< Cancelled at the target in favour of a higher tier.
};

/// Statement to the caller on whether the refused request ran.
enum class RunState : std::uint8_t {
  NotRun,         ///< No byte of the request was sent to a target.
  OutcomeUnknown, ///< The request may have run, completely or in part.
  Ran,            ///< The request ran to completion.
};

/// Response to a refused request (RFC 9457 problem details).
struct RefusalDescription {
  unsigned m_Status;   ///< RFC 9110 status code.
  const char *m_Type;  ///< Last path segment of the RFC 9457 `type`.
  const char *m_Title; ///< RFC 9457 `title`.
  RunState m_RunState;
  bool m_IsRetryUseful; ///< Whether a Retry-After header is sent.
};

RefusalDescription describe(RefusalKind Kind);
/// Returns the name of \p State on the wire, such as "not-run".
const char *toString(RunState State);

} // namespace yardrill::decision

#endif
