//===-- MissingPeers.h - Peers that fell silent without stopping ----------===//
//
// Does no I/O. A silent peer may have exited, or be partitioned and still use
// its share of the retry allowance. The sides of a partition must not take over
// each other's share: the side without the store counts the other's instances
// as active while the partition lasts.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_MISSINGPEERS_H
#define YARDRILL_LIBGATEWAY_MISSINGPEERS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"

#include <map>

namespace yardrill::gateway {

/// Remembers when each missing peer was lost; used by PeerService.
class MissingPeers {
public:
  using Map = std::map<config::Endpoint, core::TimePoint>;

  /// Adds \p Peer, unless it is missing already.
  void add(const config::Endpoint &Peer, core::TimePoint Now) {
    m_LostAt.emplace(Peer, Now);
  }
  /// Removes \p Peer, which is live again.
  void remove(const config::Endpoint &Peer) { m_LostAt.erase(Peer); }
  /// Removes peers that have been missing for too long. Must be called only
  /// while the store is reachable, directly or through a peer.
  void forgetOld(core::TimePoint Now);
  /// Returns the time of loss of each missing peer.
  const Map &all() const { return m_LostAt; }

private:
  Map m_LostAt;
};

} // namespace yardrill::gateway

#endif
