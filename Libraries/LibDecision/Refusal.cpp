#include "LibDecision/Refusal.h"

namespace yardrill::decision {

RefusalDescription describe(RefusalKind Kind) {
  using State = RunState;
  switch (Kind) {
  case RefusalKind::NotReady:
    return {503, "not-ready", "No configuration is in force here yet",
            State::NotRun, true};
  case RefusalKind::Stopping:
    return {503, "stopping", "This instance is stopping", State::NotRun, true};
  case RefusalKind::UnknownPool:
    return {404, "unknown-pool", "No such pool or model", State::NotRun, false};
  case RefusalKind::QueueFull:
    return {503, "queue-full", "Too many requests are waiting", State::NotRun,
            true};
  case RefusalKind::DeadlinePassed:
    return {503, "deadline-passed", "No place was free in time", State::NotRun,
            true};
  case RefusalKind::TierShed:
    return {503, "tier-shed", "This tier is not served at the moment",
            State::NotRun, true};
  case RefusalKind::NoTarget:
    return {503, "no-target", "No target takes new work", State::NotRun, true};
  case RefusalKind::TargetUnreachable:
    return {503, "target-unreachable", "No target could be reached",
            State::NotRun, true};
  case RefusalKind::AccountLimit:
    return {429, "account-limit", "Too many open requests of this account",
            State::NotRun, true};
  case RefusalKind::IdentityRequired:
    return {428, "identity-required",
            "This route needs a Yardrill-Ticket or an Idempotency-Key",
            State::NotRun, false};
  case RefusalKind::IdentityMismatch:
    return {422, "identity-mismatch",
            "This identity came with another request before", State::NotRun,
            false};
  case RefusalKind::IdentitiesFull:
    return {429, "identities-full", "No room for one more identity",
            State::NotRun, true};
  case RefusalKind::IdentityExpired:
    return {410, "identity-expired", "This ticket is past its expiry",
            State::OutcomeUnknown, false};
  case RefusalKind::ClaimUnavailable:
    return {503, "claim-unavailable", "The claim could not be recorded",
            State::NotRun, true};
  case RefusalKind::ResponseNotStored:
    return {409, "answer-not-kept", "It ran; its answer is not kept",
            State::Ran, false};
  case RefusalKind::OwnerLost:
    return {502, "home-lost", "The instance that may have run it is gone",
            State::OutcomeUnknown, false};
  case RefusalKind::TargetDisconnected:
    return {502, "target-broke", "The target's answer broke off",
            State::OutcomeUnknown, false};
  case RefusalKind::Evicted:
    return {503, "evicted", "Stopped in favour of a higher tier",
            State::OutcomeUnknown, true};
  }
  return {500, "unknown", "Unknown", State::OutcomeUnknown, false};
}

const char *toString(RunState State) {
  switch (State) {
  case RunState::NotRun:
    return "not-run";
  case RunState::OutcomeUnknown:
    return "outcome-unknown";
  case RunState::Ran:
    return "ran";
  }
  return "outcome-unknown";
}

} // namespace yardrill::decision
