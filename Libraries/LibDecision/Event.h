//===-- Event.h - Events that the decision core handles -------------------===//
//
// Every struct is plain data that a trace can record, so that replaying the
// trace gives the same actions.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBDECISION_EVENT_H
#define YARDRILL_LIBDECISION_EVENT_H

#include "LibConfig/FleetConfiguration.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibDecision/Identity.h"
#include "LibDecision/ThresholdMessages.h"

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace yardrill::decision {

/// First event of a process; sets what does not change while it runs.
struct InstanceStarted {
  InstanceRef m_Self;
  std::uint64_t m_Seed = 0;       ///< Seed of the core's random numbers.
  std::uint64_t m_Identities = 0; ///< Capacity of the identity table.
  /// Time for which the identity of an Idempotency-Key is remembered.
  std::int64_t m_RetentionMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Self, m_Seed, m_Identities, m_RetentionMicros);
  }
};

/// A new configuration is in force. The core ignores it unless its version is
/// higher than the current one.
struct ConfigurationAccepted {
  config::ConfigurationHandle m_Configuration;

  template <class Archive> void save(Archive &Ar) const {
    Ar(m_Configuration->version(), m_Configuration->text());
  }
  template <class Archive> void load(Archive &Ar) {
    core::ConfigurationVersion Version;
    std::string Text;
    Ar(Version, Text);
    m_Configuration = config::FleetConfiguration::parse(Text, "trace", Version);
  }
};

/// A caller or another instance sent a request.
struct RequestArrived {
  core::RequestId m_Request; ///< Never reused.
  core::AccountName m_Account;
  core::TierNumber m_Tier;
  core::PoolName m_Pool;
  std::uint32_t m_PrefillTokens = 0; ///< Estimate from the prompt's size.
  std::uint32_t m_OutputTokens = 0;  ///< Upper limit, by the caller or default.
  std::uint64_t m_PrefixHash = 0;    ///< Hash of the prompt's prefix; 0: none.
  bool m_IsIdentityRequired = false;
  bool m_IsForwarded = false; ///< Forwarded to this instance as the owner.
  bool m_IsEvictable = true;  ///< False: not cancelled once dispatched.
  std::optional<Identity> m_Identity;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Account, m_Tier, m_Pool, m_PrefillTokens, m_OutputTokens,
       m_PrefixHash, m_IsIdentityRequired, m_IsForwarded, m_IsEvictable,
       m_Identity);
  }
};

/// The caller closed its connection before the request was sent to a target.
/// If it closed while the target was being connected to and connecting fails,
/// this event follows ConnectFailed once more.
struct CallerDisconnected {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// Connecting to the dispatched target failed; no byte was sent to it.
struct ConnectFailed {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// The first byte of the response body arrived from the target.
struct ResponseStarted {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

enum class ResponseOutcome : std::uint8_t {
  Complete,           ///< The complete response arrived.
  Broken,             ///< The target failed after bytes were sent to it.
  CallerDisconnected, ///< Cancelled because the caller disconnected.
  Evicted,            ///< Cancelled by a Cancel action.
};

/// A dispatched request no longer runs at its target.
struct ResponseEnded {
  core::RequestId m_Request;
  ResponseOutcome m_Outcome = ResponseOutcome::Complete;
  bool m_IsStored = false; ///< Whether the response is stored for repeats.
  std::uint32_t m_OutputTokens = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Outcome, m_IsStored, m_OutputTokens);
  }
};

/// A refusal with a time limit was sent, or dropped because the limit passed.
struct RefusalSettled {
  core::RequestId m_Request;
  bool m_IsSent = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_IsSent);
  }
};

enum class ClaimOutcome : std::uint8_t {
  Won,         ///< This instance is the key's owner.
  Held,        ///< Another claim of the key exists.
  Unavailable, ///< The claim was not made, or its outcome is unknown.
};

/// The outcome of a Claim action.
struct ClaimCompleted {
  core::RequestId m_Request;
  ClaimOutcome m_Outcome = ClaimOutcome::Unavailable;
  InstanceRef m_Owner; ///< Instance that holds the key if the outcome is Held.
  /// Whether the write may still take effect at the platform.
  bool m_MayTakeEffect = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Outcome, m_Owner, m_MayTakeEffect);
  }
};

/// The instance list shows a target as leaving, or as taking new work again.
struct TargetStateChanged {
  core::TargetName m_Target;
  bool m_IsLeaving = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_IsLeaving);
  }
};

/// The number of instances that share the targets, including this one, has
/// changed: the larger of the live and the listed ones, so that an instance
/// that is only silent keeps its share.
struct InstanceCountChanged {
  std::uint32_t m_Count = 1;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Count); }
};

/// Timer tick: runs what is due at the time given with the event.
struct TimePassed {
  template <class Archive> void serialize(Archive &) {}
};

/// The process is to stop: no new request is accepted from here on.
struct StopRequested {
  template <class Archive> void serialize(Archive &) {}
};

using Event =
    std::variant<InstanceStarted, ConfigurationAccepted, RequestArrived,
                 CallerDisconnected, ConnectFailed, ResponseStarted,
                 ResponseEnded, RefusalSettled, ClaimCompleted,
                 TargetStateChanged, InstanceCountChanged, TimePassed,
                 StopRequested, ThresholdCommand, ThresholdReport,
                 ThresholdRecordRead, ThresholdRecordWritten, MemberGone>;

} // namespace yardrill::decision

#endif
