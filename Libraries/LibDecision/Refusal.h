//===-- Refusal.h - Why a request gets no answer from a target ------------===//
#ifndef YARDRILL_LIBDECISION_REFUSAL_H
#define YARDRILL_LIBDECISION_REFUSAL_H

#include <cstdint>

namespace yardrill::decision {

/// Each kind has a status, a problem type and a truth about whether the
/// request ran (describe()). Brief: "When a caller is refused with 'not run',
/// the request truly did not run."
enum class RefusalKind : std::uint8_t {
  NotReady,           ///< This instance has no configuration in force.
  Stopping,           ///< This instance accepts nothing new.
  UnknownPool,        ///< No such pool or model.
  QueueFull,          ///< The pool's queue has no room.
  DeadlinePassed,     ///< No place was free before the tier's deadline.
  TierShed,           ///< The tier is not served in this burst.
  NoTarget,           ///< The pool has no target that takes new work.
  TargetUnreachable,  ///< No target could be connected to.
  AccountLimit,       ///< The client account has too many open requests.
  IdentityRequired,   ///< The route may not be repeated; no identity came.
  IdentityMismatch,   ///< The identity came with another request before.
  IdentitiesFull,     ///< No room to remember one more identity.
  IdentityExpired,    ///< The ticket is past its expiry.
  ClaimUnavailable,   ///< The platform could not record the claim.
  ResponseNotStored,  ///< It ran; the answer is no longer kept.
  OwnerLost,          ///< The identity's home is gone; outcome unknown.
  TargetDisconnected, ///< The target's connection broke after dispatch.
  Evicted,            ///< Stopped at the target in favour of a higher tier.
};

/// What the caller may conclude.
enum class RunState : std::uint8_t {
  NotRun,         ///< No byte of the request went to a target.
  OutcomeUnknown, ///< It may have run, wholly or in part.
  Ran,            ///< It ran to its end.
};

struct RefusalDescription {
  unsigned m_Status;   ///< RFC 9110 status code.
  const char *m_Type;  ///< Last part of the RFC 9457 `type`.
  const char *m_Title; ///< RFC 9457 `title`.
  RunState m_RunState;
  bool m_IsRetryUseful; ///< Whether Retry-After is sent.
};

RefusalDescription describe(RefusalKind Kind);
const char *toString(RunState State);

} // namespace yardrill::decision

#endif
