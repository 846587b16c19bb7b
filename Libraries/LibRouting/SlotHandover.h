//===-- SlotHandover.h - Which instance gets a slot that comes free -------===//
//
// Load that it answers: a pool in which requests wait at several instances of a
// group for longer than their requests hold a slot. Without it, an instance
// that holds many slots keeps them for the requests that wait there, whatever
// their tier, while higher tiers are refused elsewhere.
//
// It needs no threshold: a tier is higher or it isn't.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SLOTHANDOVER_H
#define YARDRILL_LIBROUTING_SLOTHANDOVER_H

#include "LibRouting/DemandTable.h"

#include <map>
#include <optional>
#include <vector>

namespace yardrill::routing {

/// Decides whether a slot that came free goes to a request of this instance or
/// to a group peer, by the demand that the peers reported. What this instance
/// granted to a peer since is subtracted from that peer's demand, since several
/// slots come free between two of its reports. Does no I/O and reads no clock.
class SlotHandover {
public:
  using PeerDemand = std::map<config::Endpoint, ReportedDemand>;

  /// A peer, with the tier for which it gets the slot.
  struct Receiver {
    config::Endpoint m_Peer;
    Priority m_Tier;
  };

  /// Returns the peer that gets a slot of the pool: one whose highest waiting
  /// tier is above \p Local, or any with waiting requests if none waits here.
  /// Of several with the highest tier, one is chosen at random, weighted by the
  /// number of these requests, since other instances choose at the same time.
  /// \param Local tier of the most urgent request that waits here, if any.
  /// \param Random 0 to 1, exclusive.
  /// \returns none if the slot stays with this instance.
  std::optional<Receiver> choose(PoolHash Pool,
                                 const std::optional<Priority> &Local,
                                 const PeerDemand &Peers, double Random) const;

  void recordGrant(const Receiver &To, PoolHash Pool, core::TimePoint Now);
  /// Records that a peer had no use for a slot of the pool.
  void recordReturn(const config::Endpoint &Peer, PoolHash Pool,
                    core::TimePoint Now);
  /// Forgets grants and returns that the peer's latest report takes into
  /// account, which are those up to \p Until.
  void recordReport(const config::Endpoint &Peer, core::TimePoint Until);
  /// Forgets grants and returns up to \p Until, of peers that are silent or
  /// whose demand stays the same, so that they report nothing.
  void removeOld(core::TimePoint Until);

private:
  /// A grant, or the return of one, since the peer's latest report.
  struct Event {
    PoolHash m_Pool = 0;
    std::optional<Priority> m_Tier; ///< None: returned, so that none waits.
    core::TimePoint m_At{};
  };
  static void removeUntil(std::vector<Event> &Events, core::TimePoint Until);
  /// Returns the number of requests of a tier that wait at a peer and have got
  /// no grant.
  std::uint32_t unserved(const config::Endpoint &Peer, PoolHash Pool,
                         const Priority &Tier, std::uint32_t Waiting) const;

  std::map<config::Endpoint, std::vector<Event>> m_Events;
};

} // namespace yardrill::routing

#endif
