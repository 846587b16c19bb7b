//===-- Gossip.h - Replication of the quarantine between instances --------===//
//
// Updates of an instance are broadcast to all others at once and repeated a few
// times, since datagrams get lost. Observations of suspect contents are also
// written to the store, where they survive a restart of all instances; until
// the store holds them, each instance keeps sending them to a few random
// others.
//
// Uses no clock or I/O: the time is a parameter, and messages are sent through
// hooks.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBQUARANTINE_GOSSIP_H
#define YARDRILL_LIBQUARANTINE_GOSSIP_H

#include "LibQuarantine/QuarantineTable.h"

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace yardrill::quarantine {

/// Callbacks through which Gossip sends and reports changes.
struct GossipHooks {
  /// Sends to all other instances. Messages may be lost.
  std::function<void(const std::vector<Observation> &)> m_Broadcast;
  /// Sends to a few randomly chosen other instances.
  std::function<void(const std::vector<Observation> &)> m_SendToSample;
  /// Called when a content is quarantined or released.
  QuarantineTable::Hook m_Changed;
};

/// Keeps the QuarantineTable of this instance in sync with those of the others
/// and with the store. Used by QuarantineService.
class Gossip {
public:
  explicit Gossip(GossipHooks Hooks)
      : m_Hooks(std::move(Hooks)), m_Table(m_Hooks.m_Changed) {}

  // Records an observation of this instance for each content of a request, or
  // of several, and broadcasts the changes; see QuarantineTable.
  void noteTargetExit(const std::vector<ContentDigest> &Contents,
                      IncarnationHash Incarnation, core::TimePoint Now);
  void noteSuccess(const std::vector<ContentDigest> &Contents,
                   core::TimePoint Now);
  /// Merges observations received from another instance.
  void merge(const std::vector<Observation> &Observed, core::TimePoint Now);
  /// Merges the text of the store's entry. \returns false if it is malformed.
  bool mergeStored(const std::string &Text, core::TimePoint Now);
  /// Returns the text that the store's entry should have.
  std::string storedText() const;
  /// Sends due repeats and gossip. Must be called a few times per second.
  void upkeep(core::TimePoint Now);

  const QuarantineTable &table() const { return m_Table; }

private:
  /// A broadcast that is to be repeated.
  struct PendingBroadcast {
    std::vector<Observation> m_Observations;
    std::size_t m_RepeatCount = 0; ///< Number of repeats sent so far.
    core::TimePoint m_NextAt{};
  };

  void broadcastUpdates(core::TimePoint Now);
  void rebroadcast(core::TimePoint Now);
  void gossipUnstored(core::TimePoint Now);

  GossipHooks m_Hooks;
  QuarantineTable m_Table;
  std::set<Observation> m_Stored; ///< Observations in the store's entry.
  std::deque<PendingBroadcast> m_PendingBroadcasts;
  core::TimePoint m_LastGossipAt{};
};

} // namespace yardrill::quarantine

#endif
