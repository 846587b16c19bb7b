//===-- Event.h - All that the decision core is told ----------------------===//
//
// Every struct is plain data and can be recorded, so that a trace replays to
// the same actions.
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

/// The first event of a process.
struct InstanceStarted {
  InstanceRef m_Self;
  std::uint64_t m_Seed = 0; ///< Of the core's random numbers.
  std::uint64_t m_Identities = 0;
  std::int64_t m_RetentionMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Self, m_Seed, m_Identities, m_RetentionMicros);
  }
};

/// A configuration was accepted; its version is above every earlier one.
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

struct RequestArrived {
  core::RequestId m_Request;
  core::AccountName m_Account;
  core::TierNumber m_Tier;
  core::PoolName m_Pool;
  std::uint32_t m_PrefillTokens = 0; ///< Estimated.
  std::uint32_t m_OutputTokens = 0;  ///< The caller's limit.
  std::uint64_t m_PrefixHash = 0;    ///< 0: no prefix to share.
  bool m_IsIdentityRequired = false;
  bool m_IsForwarded = false; ///< By another instance, to this home.
  bool m_IsEvictable = true;  ///< False: never evicted once dispatched.
  std::optional<Identity> m_Identity;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Account, m_Tier, m_Pool, m_PrefillTokens, m_OutputTokens,
       m_PrefixHash, m_IsIdentityRequired, m_IsForwarded, m_IsEvictable,
       m_Identity);
  }
};

/// The caller hung up before its answer began.
struct CallerDisconnected {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// The dispatched target could not be connected to: no byte was sent.
struct ConnectFailed {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

/// First byte of the answer's body.
struct ResponseStarted {
  core::RequestId m_Request;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Request); }
};

enum class ResponseOutcome : std::uint8_t {
  Complete,           ///< The whole answer came.
  Broken,             ///< The target broke off after bytes were sent.
  CallerDisconnected, ///< Cancelled because the caller hung up.
  Evicted,            ///< Cancelled by Cancel.
};

struct ResponseEnded {
  core::RequestId m_Request;
  ResponseOutcome m_Outcome = ResponseOutcome::Complete;
  bool m_IsStored = false; ///< The answer is stored for a repeated identity.
  std::uint32_t m_OutputTokens = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Outcome, m_IsStored, m_OutputTokens);
  }
};

/// A refusal with a time limit was written, or not because the limit passed.
struct RefusalSettled {
  core::RequestId m_Request;
  bool m_IsSent = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_IsSent);
  }
};

enum class ClaimOutcome : std::uint8_t {
  Won,         ///< Ours: this instance is the key's home.
  Held,        ///< Another claim stands.
  Unavailable, ///< Not made, or perhaps made without our knowing.
};

struct ClaimCompleted {
  core::RequestId m_Request;
  ClaimOutcome m_Outcome = ClaimOutcome::Unavailable;
  InstanceRef m_Owner; ///< Of a held claim.
  /// The claim may yet take effect at the platform.
  bool m_MayTakeEffect = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Request, m_Outcome, m_Owner, m_MayTakeEffect);
  }
};

/// The instance list or the target itself says whether it takes new work.
struct TargetStateChanged {
  core::TargetName m_Target;
  bool m_IsLeaving = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_IsLeaving);
  }
};

/// How many live instances share the targets, this one included.
struct InstanceCountChanged {
  std::uint32_t m_Count = 1;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Count); }
};

struct TimePassed {
  template <class Archive> void serialize(Archive &) {}
};

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
