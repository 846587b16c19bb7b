//===-- SlotMessages.h - Slots that instances hand to each other ----------===//
//
// A slot of a target belongs to no instance. Each instance counts the requests
// that it runs there, and reports them within its group. A grant moves the
// right to send one request to a target that the sender has counted as used
// until the receiver has returned it or its time is over. All of these
// datagrams can be lost; the grant's time bounds what that costs.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBPEER_SLOTMESSAGES_H
#define YARDRILL_LIBPEER_SLOTMESSAGES_H

#include <cereal/types/string.hpp>
#include <cstdint>
#include <string>

namespace yardrill::peer {

/// Demand of one priority for one pool; wire form of routing::TierDemand.
struct TierDemandEntry {
  std::uint32_t m_Pool = 0; ///< routing::hashOf() of its name
  std::uint32_t m_AccountTier = 0;
  std::uint32_t m_RouteTier = 0;
  std::uint16_t m_Waiting = 0;
  std::uint16_t m_Running = 0;
  float m_ArrivalsPerSecond = 0;
  float m_OfferedSlots = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_AccountTier, m_RouteTier, m_Waiting, m_Running,
       m_ArrivalsPerSecond, m_OfferedSlots);
  }
};

/// Asks an instance of another group for a free slot of its subset.
struct SlotRequest {
  std::uint64_t m_RequestId = 0; ///< Chosen by the sender
  std::string m_Pool;
  std::uint32_t m_AccountTier = 0;
  std::uint32_t m_RouteTier = 0;
  std::uint32_t m_PromptTokens = 0;
  /// Time for which the slot is expected to be needed, in microseconds.
  std::uint64_t m_ExpectedUs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Pool, m_AccountTier, m_RouteTier, m_PromptTokens,
       m_ExpectedUs);
  }
};

/// Grants one slot of a target: to a group peer without a request, or to an
/// instance of another group in response to its SlotRequest.
struct SlotGrant {
  std::uint64_t m_RequestId = 0; ///< 0: to a group peer, not requested
  std::uint64_t m_Lease = 0;     ///< Chosen by the sender; 0: no slot is free
  std::string m_Target;
  std::int64_t m_StartTime = 0; ///< With m_Target: the target's incarnation
  /// Time for which the sender keeps the slot for the receiver, in
  /// microseconds.
  std::uint64_t m_HeldUs = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_RequestId, m_Lease, m_Target, m_StartTime, m_HeldUs);
  }
};

/// Returns a granted slot that is not needed, or no longer.
struct SlotReturn {
  std::uint64_t m_Lease = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Lease); }
};

} // namespace yardrill::peer

#endif
