//===-- PeerDirectory.h - Instances that were heard from ------------------===//
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

struct KnownPeer {
  decision::InstanceRef m_Instance;
  core::TimePoint m_HeardAt{};
  std::uint64_t m_Sequence = 0;
  Heartbeat m_LastHeartbeat; ///< Empty until a heartbeat came.
};

/// A bounded table of live instances. Not thread-safe.
class PeerDirectory {
public:
  PeerDirectory(std::size_t Capacity, core::Duration SilenceTimeout)
      : m_Capacity(Capacity), m_SilenceTimeout(SilenceTimeout) {}

  /// Takes note of an authenticated message.
  /// \returns why it has to be dropped, if it has.
  std::optional<DropReason> accept(const PeerMessage &Message,
                                   core::TimePoint Now,
                                   std::int64_t NowWallSeconds);
  /// Removes those that were silent for too long, and \returns them.
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
