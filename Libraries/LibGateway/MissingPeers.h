//===-- MissingPeers.h - Peers that fell silent without stopping ----------===//
//
// Pure. A silent peer may have died, or be cut off and still at work with its
// part of the quotas. Both sides of a cut must not take each other's part:
// the side without the store keeps the other's for as long as it is cut off.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_MISSINGPEERS_H
#define YARDRILL_LIBGATEWAY_MISSINGPEERS_H

#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"

#include <map>

namespace yardrill::gateway {

class MissingPeers {
public:
  using Map = std::map<config::Endpoint, core::TimePoint>;

  void lost(const config::Endpoint &Peer, core::TimePoint Now) {
    m_LostAt.emplace(Peer, Now);
  }
  void heard(const config::Endpoint &Peer) { m_LostAt.erase(Peer); }
  /// Gives up those that have been silent for long. To be called only while
  /// the store is heard.
  void forgetOld(core::TimePoint Now);
  /// Since when each is missing.
  const Map &all() const { return m_LostAt; }

private:
  Map m_LostAt;
};

} // namespace yardrill::gateway

#endif
