//===-- Gossip.h - One instance's part in what all know of bad requests ---===//
//
// Pure: time is handed in, and what is to be sent comes out through hooks. What
// an instance sees of targets that end goes to all others at once, several
// times, since datagrams are lost. What stands against a content belongs into
// the store, where it outlasts a restart of all instances; until it stands
// there, every instance goes on telling a few others of it.
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

struct GossipHooks {
  /// Sends to all other instances; any of it may be lost.
  std::function<void(const std::vector<Observation> &)> m_Broadcast;
  /// Sends to a few others, other ones each time.
  std::function<void(const std::vector<Observation> &)> m_SendToSample;
  /// A content is quarantined, or is not any more.
  QuarantineTable::Hook m_Changed;
};

class Gossip {
public:
  explicit Gossip(GossipHooks Hooks)
      : m_Hooks(std::move(Hooks)), m_Table(m_Hooks.m_Changed) {}

  // What is seen here, as in QuarantineTable.
  void noteTargetExit(const ContentDigest &Content, IncarnationHash Incarnation,
                      core::TimePoint Now);
  void noteSuccess(const ContentDigest &Content, core::TimePoint Now);
  /// Takes what another instance tells.
  void merge(const std::vector<Observation> &Observed, core::TimePoint Now);
  /// Takes what the store holds. \returns false when it can't be read.
  bool mergeStored(const std::string &Text, core::TimePoint Now);
  /// What the store should hold.
  std::string storedText() const;
  /// Tells again what is due. To be called a few times a second.
  void upkeep(core::TimePoint Now);

  const QuarantineTable &table() const { return m_Table; }

private:
  /// Observations on their way to all others.
  struct PendingBroadcast {
    std::vector<Observation> m_Observations;
    std::size_t m_RepeatCount = 0; ///< Told again so far.
    core::TimePoint m_NextAt{};
  };

  void broadcastUpdates(core::TimePoint Now);
  void rebroadcast(core::TimePoint Now);
  void gossipUnstored(core::TimePoint Now);

  GossipHooks m_Hooks;
  QuarantineTable m_Table;
  std::set<Observation> m_Stored; ///< In the store's entry.
  std::deque<PendingBroadcast> m_PendingBroadcasts;
  core::TimePoint m_LastGossipAt{};
};

} // namespace yardrill::quarantine

#endif
