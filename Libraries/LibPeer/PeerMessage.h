//===-- PeerMessage.h - Messages that instances exchange by UDP -----------===//
#ifndef YARDRILL_LIBPEER_PEERMESSAGE_H
#define YARDRILL_LIBPEER_PEERMESSAGE_H

#include "LibCore/StrongType.h"
#include "LibDecision/Identity.h"
#include "LibDecision/ThresholdMessages.h"
#include "LibPeer/QuarantineMessages.h"
#include "LibPeer/RolloutMessages.h"
#include "LibPeer/SlotMessages.h"
#include "LibPeer/StreamMessages.h"
#include "LibPeer/TargetMessages.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <variant>
#include <vector>

namespace yardrill::peer {

/// Announces that the sender is alive, and the configuration it has in force.
struct Heartbeat {
  core::InstanceName m_Name;
  core::ConfigurationVersion m_Version; ///< 0: none yet
  std::uint64_t m_Digest = 0;           ///< Digest of the configuration's text
  bool m_IsStopping = false;
  /// Some of the peers that the sender received messages from recently.
  std::vector<decision::InstanceRef> m_RecentPeers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Name, m_Version, m_Digest, m_IsStopping, m_RecentPeers);
  }
};

/// Requests of the reporting instance that are in progress at one target.
struct TargetLoadEntry {
  std::uint32_t m_Target = 0; ///< routing::TargetIncarnation::hash().
  std::uint16_t m_Running = 0;
  /// Prompt tokens of requests without a first event in the response.
  std::uint32_t m_PendingPromptTokens = 0;

  bool operator==(const TargetLoadEntry &Other) const {
    return m_Target == Other.m_Target && m_Running == Other.m_Running &&
           m_PendingPromptTokens == Other.m_PendingPromptTokens;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_Running, m_PendingPromptTokens);
  }
};

/// Requests that the sender has in progress, and its revision of the store.
/// Each report replaces the previous one, so that a lost report only adds
/// delay.
struct LoadReport {
  /// Whether the report has the name and the data hall, which a short one omits
  /// because they do not change. Both kinds list the targets.
  bool m_IsFull = true;
  core::InstanceName m_Name;
  core::DataHallName m_DataHall;
  std::int64_t m_StoreRevision = 0; ///< 0: no state yet
  /// Revision up to which the sender also has all values.
  std::int64_t m_CompleteRevision = 0;
  bool m_IsStoreConnected = false; ///< Follows the store and is connected
  bool m_IsStopping = false;
  /// Whether requests wait at the sender for a free slot.
  bool m_HasWaitingRequests = false;
  std::vector<TargetLoadEntry> m_Targets; ///< Only targets with requests
  /// Demand for pools whose slots are scarce as the sender sees it.
  std::vector<TierDemandEntry> m_Demand;
  /// Some of the peers that the sender received messages from recently.
  std::vector<decision::InstanceRef> m_RecentPeers;
  /// Hashes of the pools that the sender has no path to; nearly always empty.
  std::vector<std::uint32_t> m_LostPools;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_IsFull, m_Name, m_DataHall, m_StoreRevision, m_CompleteRevision,
       m_IsStoreConnected, m_IsStopping, m_HasWaitingRequests, m_Targets,
       m_Demand, m_RecentPeers);
    // Takes one byte while it is empty, instead of eight.
    bool HasLostPools = !m_LostPools.empty();
    Ar(HasLostPools);
    if (HasLostPools)
      Ar(m_LostPools);
  }
};

/// Returns \p Full without the fields that never change.
LoadReport shortened(const LoadReport &Full);
/// Returns \p Short with its omitted fields taken from \p Previous, which is
/// full.
LoadReport completed(const LoadReport &Short, const LoadReport &Previous);

/// Requests tokens from an owner of an account's quota, or returns some.
struct QuotaRequest {
  std::uint64_t m_RequestId = 0; ///< Chosen by the sender
  std::uint32_t m_Account = 0;   ///< Low half of the name's stableHash()
  std::uint32_t m_Tokens = 0;    ///< 0: no response expected
  std::uint32_t m_Returned = 0;
  /// Whether the tokens are a part of the sender's debt that the receiver is to
  /// take over.
  bool m_IsCharge = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Account, m_Tokens, m_Returned, m_IsCharge);
  }
};

/// Response to a QuotaRequest with tokens.
struct QuotaResponse {
  std::uint64_t m_RequestId = 0;
  std::uint8_t m_Verdict = 0; ///< routing::QuotaVerdict
  std::uint32_t m_Tokens = 0; ///< Granted tokens
  std::uint64_t m_RetryAfterUs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Verdict, m_Tokens, m_RetryAfterUs);
  }
};

using PeerBody =
    std::variant<Heartbeat, decision::ThresholdCommand,
                 decision::ThresholdReport, LoadReport, QuotaRequest,
                 QuotaResponse, RolloutReport, RolloutPermit, QuarantineUpdate,
                 BackpressureUpdate, SlotRequest, SlotGrant, SlotReturn,
                 StreamOriginUpdate, StreamOriginQuery, StreamOriginResponse>;

/// Envelope of each datagram between peers.
struct PeerMessage {
  decision::InstanceRef m_From;
  std::uint64_t m_Sequence = 0;   ///< Increases with each message
  std::int64_t m_WallSeconds = 0; ///< Time of sending, in Unix seconds
  PeerBody m_Body;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_From, m_Sequence, m_WallSeconds, m_Body);
  }
};

} // namespace yardrill::peer

#endif
