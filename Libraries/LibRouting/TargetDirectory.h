//===-- TargetDirectory.h - The targets of all pools and their state ------===//
//
// Each instance knows all targets and works with a few. What it does often (a
// request, a report, a look at what lapsed) costs by those few; a target that
// comes, changes or goes costs by the logarithm of its pool.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETDIRECTORY_H
#define YARDRILL_LIBROUTING_TARGETDIRECTORY_H

#include "LibRouting/FirstEventEstimate.h"
#include "LibRouting/FleetSubset.h"
#include "LibRouting/InterleavedTargets.h"
#include "LibRouting/KnownTarget.h"
#include "LibRouting/TargetThrottleTable.h"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// How a request failed at a target.
enum class TargetFailure {
  Unreachable, ///< No connection, or it ended before an answer began.
  Refused,     ///< The target said that it did not run the request.
  Failed,      ///< It ran: an error, or an answer that broke off.
};

/// What an announcement changed.
enum class AnnouncementEffect {
  Nothing, ///< It says what is known.
  Changed, ///< Something of a run that is known.
  NewRun,  ///< A run that was not known.
};

/// Takes announcements in and remembers what was learned about each target.
class TargetDirectory {
public:
  TargetDirectory();
  TargetDirectory(const TargetDirectory &) = delete;
  TargetDirectory &operator=(const TargetDirectory &) = delete;

  /// A target was announced or changed. What is counted and was learned of an
  /// earlier run under the same name is forgotten.
  AnnouncementEffect announce(const Target &What);
  /// Its announcement is gone. It is used for a little longer if nothing else
  /// is there: announcements that ran out while the store was away come back
  /// within two seconds of its return.
  void withdraw(const core::TargetName &Name, core::TimePoint Now);
  /// Forgets targets whose announcements did not come back.
  void removeExpired(core::TimePoint Now);

  // What became of requests at a run. Of a run that has ended nothing is taken
  // in: its requests may outlast it.
  /// Counts a request that is about to be sent there, unless the target does
  /// not take it: nothing may be sent without this. \returns whether it does.
  bool tryStartRequest(const TargetIncarnation &Incarnation,
                       std::uint32_t PromptTokens, core::TimePoint Now);
  void recordFirstEvent(const TargetIncarnation &Incarnation,
                        std::uint32_t PromptTokens);
  void recordEnd(const TargetIncarnation &Incarnation,
                 std::uint32_t PendingPromptTokens);
  void recordFailure(const TargetIncarnation &Incarnation, TargetFailure How,
                     core::TimePoint Now);
  /// Another target answered at its address.
  void recordReplacement(const TargetIncarnation &Incarnation);
  void recordSuccess(const TargetIncarnation &Incarnation);
  /// Time between two events of a stream, or of a whole short answer.
  void recordServiceTime(const TargetIncarnation &Incarnation,
                         core::Duration ServiceTime);
  /// Time from the dispatch of a stream to its first event.
  void recordFirstEventTime(const core::PoolName &Pool, core::Duration Time);
  /// By when nearly every stream that is sent now has begun.
  core::Duration expectedFirstEventTime(const core::PoolName &Pool) const;
  /// Sums over the other instances of the group, by KnownTarget::m_Hash; a
  /// target that is not named has no work of theirs. What other groups do at
  /// targets that all groups share is not known, and not guessed.
  void setRemoteLoad(const std::unordered_map<std::uint32_t, TargetLoad> &Sums);

  /// What targets have said of themselves.
  TargetThrottleTable &throttles() { return m_Throttles; }
  const TargetThrottleTable &throttles() const { return m_Throttles; }
  /// Whether a request may be sent there now, as far as the target and its
  /// announcement say.
  bool isOpen(const KnownTarget &Which, core::TimePoint Now);
  /// From when a target of the pool takes a request again that takes none now;
  /// none: one takes them now, or none will.
  /// \param Ahead requests that go before, where targets are limited.
  /// \param Except targets that do not count.
  std::optional<core::TimePoint>
  availableAt(const core::PoolName &Pool, std::size_t Ahead,
              core::TimePoint Now,
              const std::set<TargetIncarnation> &Except = {});
  /// All instances that work with the same targets of the pool as this one.
  std::vector<config::Endpoint>
  subsetInstances(const core::PoolName &Pool) const {
    return m_FleetSubset.subsetInstances(targetCount(Pool));
  }

  /// How many targets the pool has.
  std::size_t targetCount(const core::PoolName &Pool) const;
  /// The part of the targets that this instance works with.
  void setSubset(const FleetSubset &Subset);

  /// Whether the run may end any time, and not for what it runs: it has said
  /// that it leaves, or its announcement is gone while others are there.
  bool isLeaving(const TargetIncarnation &Incarnation) const;
  KnownTarget *find(const core::TargetName &Name);
  /// \returns null when the run has ended, as far as is known.
  KnownTarget *findByIncarnation(const TargetIncarnation &Incarnation);
  /// Targets of a pool that this instance works with.
  const std::vector<KnownTarget *> &subsetOf(const core::PoolName &Pool);
  /// All targets of a pool; costs by how many there are.
  std::vector<KnownTarget *> allTargetsOf(const core::PoolName &Pool) const;
  const std::unordered_map<core::TargetName, KnownTarget> &all() const {
    return m_Targets;
  }
  /// Targets where requests of this instance are under way, by their hashes.
  const std::set<const KnownTarget *, KnownTarget::ByHash> &
  busyTargets() const {
    return m_Busy;
  }
  /// Members of pools looked at since the start. Tests hold it against sizes.
  std::size_t visitCount() const;

private:
  struct PoolState {
    InterleavedTargets m_Order;
    std::vector<KnownTarget *> m_SubsetTargets; ///< This instance's part.
    /// Whether m_SubsetTargets is as m_Order and m_FleetSubset say; worked out
    /// when it is asked for, so that a thousand targets that come at once cost
    /// one cut.
    bool m_IsSubsetValid = false;
    FirstEventEstimate m_FirstEventEstimate;
  };

  bool areMostExpired() const;
  /// How many instances may send to a limited target; 0: this one may not.
  std::size_t senderCount(const TargetIncarnation &Incarnation);
  /// Its instances' parts are to be worked out anew.
  void invalidateSubset(PoolState &Which);
  void updateSlowness(const core::PoolName &Pool);
  void rebuildSubset(PoolState &Which) const;
  /// Takes it out of its pool and of what is counted.
  void detach(KnownTarget &Known);
  void attach(KnownTarget &Known);

  std::unordered_map<core::TargetName, KnownTarget> m_Targets;
  std::unordered_multimap<std::uint32_t, KnownTarget *> m_ByHash;
  std::unordered_map<core::PoolName, PoolState> m_Pools;
  std::set<const KnownTarget *, KnownTarget::ByHash> m_Busy;
  std::vector<KnownTarget *> m_RemotelyBusy; ///< Where others have work.
  std::set<core::TargetName> m_Expired;
  FleetSubset m_FleetSubset;
  TargetThrottleTable m_Throttles;
};

} // namespace yardrill::routing

#endif
