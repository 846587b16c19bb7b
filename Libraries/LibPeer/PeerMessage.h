//===-- PeerMessage.h - What instances tell each other by UDP -------------===//
#ifndef YARDRILL_LIBPEER_PEERMESSAGE_H
#define YARDRILL_LIBPEER_PEERMESSAGE_H

#include "LibCore/StrongType.h"
#include "LibDecision/Identity.h"
#include "LibDecision/ThresholdMessages.h"
#include "LibPeer/QuarantineMessages.h"
#include "LibPeer/RolloutMessages.h"
#include "LibPeer/TargetMessages.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <variant>
#include <vector>

namespace yardrill::peer {

/// Says that the sender lives and what configuration it has in force.
struct Heartbeat {
  core::InstanceName m_Name;
  core::ConfigurationVersion m_Version; ///< 0: none yet.
  std::uint64_t m_Digest = 0;           ///< Of the configuration's text.
  bool m_IsStopping = false;
  /// Some other instances that the sender heard from lately.
  std::vector<decision::InstanceRef> m_RecentPeers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Name, m_Version, m_Digest, m_IsStopping, m_RecentPeers);
  }
};

/// Work under way at one target, sent by the reporting instance.
struct TargetLoadEntry {
  std::uint32_t m_Target = 0; ///< routing::TargetIncarnation::hash().
  std::uint16_t m_Running = 0;
  std::uint32_t m_PendingPromptTokens =
      0; ///< Prompt tokens without a first event.

  bool operator==(const TargetLoadEntry &Other) const {
    return m_Target == Other.m_Target && m_Running == Other.m_Running &&
           m_PendingPromptTokens == Other.m_PendingPromptTokens;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_Running, m_PendingPromptTokens);
  }
};

/// What the sender has under way, and how far it follows the store. Each
/// report replaces the last: a lost one costs only its delay.
struct LoadReport {
  /// False: the name and the data hall are left out, which are as in the
  /// report before. The targets are always complete.
  bool m_IsFull = true;
  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  std::int64_t m_StoreRevision = 0; ///< 0: knows nothing yet.
  /// Up to which the sender also has all values.
  std::int64_t m_CompleteRevision = 0;
  bool m_IsStoreConnected = false; ///< Follows the store itself, and hears it.
  bool m_IsStopping = false;
  /// Whether requests wait there for a free place.
  bool m_HasWaitingRequests = false;
  std::vector<TargetLoadEntry> m_Targets; ///< Only those with work.
  /// Some other instances that the sender heard from lately.
  std::vector<decision::InstanceRef> m_RecentPeers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_IsFull, m_Name, m_DataHall, m_StoreRevision, m_CompleteRevision,
       m_IsStoreConnected, m_IsStopping, m_HasWaitingRequests, m_Targets,
       m_RecentPeers);
  }
};

/// Leaves out of \p Full what never changes.
LoadReport shortened(const LoadReport &Full);
/// Completes \p Short by what was left out. \p Before is a complete one.
LoadReport completed(const LoadReport &Short, const LoadReport &Previous);

/// Asks an owner of an account's quota for tokens, or gives some back.
struct QuotaRequest {
  std::uint64_t m_RequestId = 0; ///< The asker's number for it.
  std::uint32_t m_Account = 0;   ///< Low half of stableHash() of its name.
  std::uint32_t m_Tokens = 0;    ///< 0: no answer is wanted.
  std::uint32_t m_Returned = 0;
  /// The tokens are a part of the asker's debt, to be taken over.
  bool m_IsCharge = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Account, m_Tokens, m_Returned, m_IsCharge);
  }
};

struct QuotaResponse {
  std::uint64_t m_RequestId = 0;
  std::uint8_t m_Verdict = 0; ///< A routing::QuotaVerdict.
  std::uint32_t m_Tokens = 0; ///< Granted.
  std::uint64_t m_RetryAfterUs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Verdict, m_Tokens, m_RetryAfterUs);
  }
};

using PeerBody =
    std::variant<Heartbeat, decision::ThresholdCommand,
                 decision::ThresholdReport, LoadReport, QuotaRequest,
                 QuotaResponse, RolloutReport, RolloutPermit, QuarantineUpdate,
                 BackpressureUpdate>;

struct PeerMessage {
  decision::InstanceRef m_From;
  std::uint64_t m_Sequence = 0; ///< Grows with each message of the sender.
  std::int64_t m_WallSeconds = 0;
  PeerBody m_Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_Sequence, m_WallSeconds, m_Body);
  }
};

} // namespace yardrill::peer

#endif
