//===-- PeerDirectory.h - Table of peers seen recently --------------------===//
#ifndef YARDRILL_LIBPEER_PEERDIRECTORY_H
#define YARDRILL_LIBPEER_PEERDIRECTORY_H

#include "LibCore/Time.h"
#include "LibPeer/PeerCodec.h"
#include "LibPeer/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace yardrill::peer {

/// Last message received from one incarnation of a peer.
struct KnownPeer {
  decision::InstanceRef m_Instance;
  core::TimePoint m_LastSeenAt{};
  std::uint64_t m_Sequence = 0;
  Heartbeat m_LastHeartbeat; ///< Default until the first heartbeat.
};

/// Tracks live peers by incarnation and rejects stale and replayed messages.
/// Bounded in size. Not thread-safe.
class PeerDirectory {
public:
  /// \param SilenceTimeout time without a message after which a peer expires.
  PeerDirectory(std::size_t Capacity, core::Duration SilenceTimeout)
      : m_Capacity(Capacity), m_SilenceTimeout(SilenceTimeout) {}

  /// Records the sender of an authenticated message.
  /// \returns why \p Message must be dropped; none if it is valid.
  std::optional<DropReason> accept(const PeerMessage &Message,
                                   core::TimePoint Now,
                                   std::int64_t NowWallSeconds);
  /// Removes peers that exceeded the silence timeout, and \returns them.
  std::vector<KnownPeer> expire(core::TimePoint Now);

  const std::map<core::IncarnationId, KnownPeer> &all() const {
    return m_Peers;
  }

private:
  std::size_t m_Capacity;
  core::Duration m_SilenceTimeout;
  std::map<core::IncarnationId, KnownPeer> m_Peers;
};

} // namespace yardrill::peer

#endif
