//===-- StoreMessages.h - Followers and state of the store, sent to peers -===//
#ifndef YARDRILL_LIBPEER_STOREMESSAGES_H
#define YARDRILL_LIBPEER_STOREMESSAGES_H

#include "LibConfig/Endpoint.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yardrill::peer {

/// That the sender knows of an instance that follows the store.
struct FollowerSighting {
  std::uint64_t m_Order = 0; ///< gateway::PeerTable::followerOrder().
  /// Time since the follower was last known to follow it, in milliseconds.
  std::uint16_t m_AgeMs = 0;

  bool operator==(const FollowerSighting &Other) const {
    return m_Order == Other.m_Order && m_AgeMs == Other.m_AgeMs;
  }
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Order, m_AgeMs); }
};

/// How far a StoreNews is passed on by its receiver.
enum class NewsScope : std::uint8_t {
  Member,  ///< Not at all.
  Group,   ///< To the receiver's group.
  Section, ///< To the receiver's group, and to all groups of its section.
};

/// State of the store that the sender has, with the changes that lead to it if
/// they fit a datagram. A lost one only adds delay: load reports also state the
/// revision, and changes can be fetched.
struct StoreNews {
  NewsScope m_Scope = NewsScope::Member;
  std::int64_t m_StoreRevision = 0;
  /// Revision up to which the sender also has all values.
  std::int64_t m_CompleteRevision = 0;
  std::int64_t m_BaseRevision = 0; ///< Revision that m_Changes apply to.
  std::string m_Changes; ///< gateway::MirrorUpdate::encode(); empty: none.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Scope, m_StoreRevision, m_CompleteRevision, m_BaseRevision, m_Changes);
  }
};

/// Followers that the sender knows of, with its revision of the store. Each
/// follower sends it to all groups periodically; each names all followers, so
/// that a lost one changes nothing.
struct FollowerHeartbeat {
  NewsScope m_Scope = NewsScope::Group;
  std::int64_t m_StoreRevision = 0;
  std::int64_t m_CompleteRevision = 0;
  std::vector<FollowerSighting> m_Followers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Scope, m_StoreRevision, m_CompleteRevision, m_Followers);
  }
};

/// Members of the sender's group that are live. One member of each group
/// reports it to the record writer.
struct GroupStatus {
  std::vector<config::Endpoint> m_LiveMembers;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_LiveMembers); }
};

} // namespace yardrill::peer

#endif
