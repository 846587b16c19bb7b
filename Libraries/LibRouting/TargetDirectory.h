//===-- TargetDirectory.h - The targets of all pools and their state ------===//
//
// Each instance knows all targets and sends requests to a subset of them. The
// cost of frequent operations (requests, load reports, expiry checks) depends
// on the subset and on the targets concerned, not on the size of the pool.
// Adding, moving or removing a target takes a number of comparisons that is
// logarithmic in the size of its pool, and a rebuild of the subset.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_TARGETDIRECTORY_H
#define YARDRILL_LIBROUTING_TARGETDIRECTORY_H

#include "LibRouting/FirstEventEstimate.h"
#include "LibRouting/FleetSubset.h"
#include "LibRouting/InterleavedTargets.h"
#include "LibRouting/KnownTarget.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetThrottleTable.h"
#include "LibRouting/VersionHistory.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// How a request failed at a target.
enum class TargetFailure {
  Unreachable, ///< No connection, or it closed before a response began.
  Refused,     ///< The target stated that it did not run the request.
  Failed,      ///< It ran, and ended in an error or an incomplete response.
};

/// How an announcement changed the directory.
enum class AnnouncementEffect {
  Nothing,        ///< It repeats the known state.
  Changed,        ///< It updates a known incarnation.
  NewIncarnation, ///< It adds an unknown incarnation.
};

/// Tracks announced targets with their load, speed, failures and throttles.
class TargetDirectory {
public:
  TargetDirectory();
  TargetDirectory(const TargetDirectory &) = delete;
  TargetDirectory &operator=(const TargetDirectory &) = delete;

  /// Adds or updates a target. State of an earlier incarnation under the same
  /// name is discarded.
  AnnouncementEffect announce(const Target &Announced);
  /// Marks a target as expired because its announcement is missing. It is still
  /// used for a grace period if no other target is free: announcements that
  /// expired during a store outage return within two seconds of its end.
  /// \param IsRestored whether the announcement is missing because the store
  /// has come back from an older copy; it then returns within the same time.
  void withdraw(const core::TargetName &Name, core::TimePoint Now,
                bool IsRestored = false);
  /// Removes targets whose grace period has passed, and versions that have had
  /// no target for the retention time. To be called a few times a second.
  void removeExpired(core::TimePoint Now);
  /// Sets the time for which versions() keeps a version without targets.
  void setVersionRetention(core::Duration Retention) {
    m_VersionRetention = Retention;
  }
  const VersionHistory &versions() const { return m_Versions; }
  /// Whether a target of the pool has that version and may get requests now or
  /// later. Takes a time linear in the size of the pool.
  bool hasVersion(const core::PoolName &Pool,
                  const core::TargetVersion &Version) const;

  // Warm-up: a target that has just started, or that has idled while its data
  // hall was drained, fails under more than its pool's warm-up rate.
  /// Sets the pools' warm-up rates and times.
  void setPools(const std::unordered_map<core::PoolName, Pool> &Pools,
                core::TimePoint Now);
  /// Sets the end of the warm-up that a target's announcement states; a time in
  /// the past: it is warm.
  void setStatedWarmUp(const core::TargetName &Name, core::TimePoint Until,
                       core::TimePoint Now);
  /// Assumes that a target begins to warm up now, whatever its announcement
  /// states.
  void assumeWarmUp(const core::TargetName &Name, core::TimePoint Now);

  // Data halls.
  /// Sets whether a data hall is drained, that is, its targets get no new
  /// requests. Afterwards they are assumed to warm up. \returns whether that
  /// changed.
  bool setDrained(const core::DataHallName &Hall, bool IsDrained,
                  core::TimePoint Now);
  const std::set<core::DataHallName> &drainedHalls() const {
    return m_DrainedHalls;
  }
  /// Sets the region of each data hall.
  void setRegions(std::map<core::DataHallName, core::RegionName> Regions) {
    m_Regions = std::move(Regions);
  }
  /// Whether a target is in one of the regions. A target whose region is
  /// unknown is in none.
  bool isInRegions(const KnownTarget &Known,
                   const AllowedRegions &Allowed) const;

  // Outcomes of requests. Those of an incarnation that has ended are ignored,
  // because requests may outlast their target.
  /// Counts a request that is about to be sent, if the target accepts it. Must
  /// precede every send. \returns whether the request may be sent.
  bool tryStartRequest(const TargetIncarnation &Incarnation,
                       std::uint32_t PromptTokens, core::TimePoint Now);
  /// Removes a started prompt from the pending load, and ends a probation.
  void recordFirstEvent(const TargetIncarnation &Incarnation,
                        std::uint32_t PromptTokens);
  /// Removes a request from the load.
  /// \param PendingPromptTokens prompt tokens still without a first event.
  void recordEnd(const TargetIncarnation &Incarnation,
                 std::uint32_t PendingPromptTokens);
  /// Counts a slot that another instance may use as one that runs a request of
  /// this instance. \returns false if the incarnation is unknown or has ended.
  bool reserveSlot(const TargetIncarnation &Incarnation);
  /// Undoes reserveSlot().
  void releaseSlot(const TargetIncarnation &Incarnation);
  /// Sets the rejections a second, of requests of all instances together, above
  /// which a target fails; none if it bears any number.
  void setMaxRejections(const TargetIncarnation &Incarnation,
                        std::optional<double> PerSecond);
  /// Raises the failure rate and starts a cooldown, unless the request ran
  /// (TargetFailure::Failed) and no other failure directly precedes it.
  void recordFailure(const TargetIncarnation &Incarnation,
                     TargetFailure Failure, core::TimePoint Now);
  /// Forgets the failures of a pool's targets, because the path to them was
  /// lost meanwhile.
  void forgetFailures(const core::PoolName &Pool);
  /// Excludes an incarnation because another one responded at its address.
  void recordReplacement(const TargetIncarnation &Incarnation);
  /// Lowers the failure rate and ends a probation.
  void recordSuccess(const TargetIncarnation &Incarnation);
  /// Records the time between two events of a stream, or the duration of one
  /// short response.
  void recordServiceTime(const TargetIncarnation &Incarnation,
                         core::Duration ServiceTime);
  /// Records the time from the dispatch of a stream to its first event.
  void recordFirstEventTime(const core::PoolName &Pool, core::Duration Time);
  /// Returns the time within which nearly every new stream begins.
  core::Duration expectedFirstEventTime(const core::PoolName &Pool) const;
  /// Replaces the load that other instances of the group put on targets, keyed
  /// by KnownTarget::m_Hash; missing targets have none. The load of other
  /// groups on shared targets is unknown and counts as zero.
  void setRemoteLoad(const std::unordered_map<std::uint32_t, TargetLoad> &Sums);

  /// Returns the throttles from backpressure that targets stated.
  TargetThrottleTable &throttles() { return m_Throttles; }
  const TargetThrottleTable &throttles() const { return m_Throttles; }
  /// Whether a request may be sent now according to the target's announcement
  /// and backpressure. Cooldown and free slots are not considered.
  bool acceptsRequests(const KnownTarget &Known, core::TimePoint Now);
  /// Returns when the first throttled target of the subset accepts a request;
  /// none if a target accepts one now or no target will.
  /// \param Ahead number of requests to be served first by limited targets.
  /// \param MayUse whether to consider a target; empty: all of the subset.
  std::optional<core::TimePoint>
  availableAt(const core::PoolName &Pool, std::size_t Ahead,
              core::TimePoint Now,
              const std::function<bool(const KnownTarget &)> &MayUse = nullptr);
  /// Returns all instances that share this instance's subset of the pool,
  /// including itself.
  std::vector<config::Endpoint>
  subsetInstances(const core::PoolName &Pool) const {
    return m_FleetSubset.subsetInstances(targetCount(Pool));
  }

  /// Returns the instances whose subset of the pool is another one, with their
  /// data halls.
  FleetSubset::Fleet instancesOutsideSubset(const core::PoolName &Pool) const {
    return m_FleetSubset.instancesOutsideSubset(targetCount(Pool));
  }

  /// Returns the data hall of an instance; empty if it is unknown.
  core::DataHallName dataHallOf(const config::Endpoint &Instance) const {
    return m_FleetSubset.dataHallOf(Instance);
  }
  /// Returns the number of targets in the pool, of any subset.
  std::size_t targetCount(const core::PoolName &Pool) const;
  /// Sets the partitioning that determines this instance's subsets.
  void setSubset(const FleetSubset &Subset);

  /// Whether the incarnation may end at any time for reasons unrelated to its
  /// requests: it is leaving, has ended, or its announcement is missing while
  /// most others are not.
  bool isLeaving(const TargetIncarnation &Incarnation) const;
  KnownTarget *find(const core::TargetName &Name);
  /// Returns the target, or null if the incarnation is unknown or known to have
  /// ended.
  KnownTarget *findByIncarnation(const TargetIncarnation &Incarnation);
  /// Returns the targets of this instance's subset of a pool.
  const std::vector<KnownTarget *> &subsetOf(const core::PoolName &Pool);
  /// Returns all targets of a pool, in time linear in their number.
  std::vector<KnownTarget *> allTargetsOf(const core::PoolName &Pool) const;
  const std::unordered_map<core::TargetName, KnownTarget> &all() const {
    return m_Targets;
  }
  /// Returns the targets that run requests of this instance, ordered by hash.
  const std::set<const KnownTarget *, KnownTarget::ByHash> &
  busyTargets() const {
    return m_Busy;
  }
  /// Returns how many pool members were visited since the start; lets tests
  /// check complexity.
  std::size_t visitCount() const;

private:
  struct PoolState {
    InterleavedTargets m_Order;
    std::vector<KnownTarget *> m_SubsetTargets; ///< This instance's subset.
    /// Whether m_SubsetTargets matches m_Order and m_FleetSubset. It is rebuilt
    /// on access, so that announcing many targets costs one rebuild.
    bool m_IsSubsetValid = false;
    FirstEventEstimate m_FirstEventEstimate;
  };

  /// Whether a target may receive requests now or later, by its announcement
  /// and by the state of its data hall.
  bool isOpen(const KnownTarget &Known) const {
    return Known.acceptsRequests() &&
           m_DrainedHalls.count(Known.m_Target.m_DataHall) == 0;
  }
  /// Sets the target's limit by the later one of its warm-ups.
  void applyWarmUp(const KnownTarget &Known, core::TimePoint Now);
  void assumeWarmUp(KnownTarget &Known, core::TimePoint Now);
  /// Keeps a target that fails under rejections from further ones: each
  /// instance that shares it may cause an equal part of them.
  void pauseAfterRejection(KnownTarget &Known, core::TimePoint Now);
  /// Whether most targets of all pools are missing, which indicates a store
  /// outage.
  bool areMostExpired() const;
  /// Returns how many instances may send to a limited target; 0 if this one may
  /// not.
  std::size_t senderCount(const TargetIncarnation &Incarnation);
  /// Schedules a rebuild of the subset and of the senders of limited targets.
  void invalidateSubset(PoolState &Pool);
  void updateSlowness(const core::PoolName &Pool);
  void rebuildSubset(PoolState &Pool) const;
  /// Removes a target from its pool and from all indexes.
  void detach(KnownTarget &Known);
  /// Returns how long a target is kept without its announcement.
  static core::Duration gracePeriod(const KnownTarget &Known,
                                    bool AreMostExpired);
  /// Adds a target to its pool and to the hash index.
  void attach(KnownTarget &Known);

  std::unordered_map<core::TargetName, KnownTarget> m_Targets;
  std::unordered_multimap<std::uint32_t, KnownTarget *> m_ByHash;
  std::unordered_map<core::PoolName, PoolState> m_Pools;
  std::set<const KnownTarget *, KnownTarget::ByHash> m_Busy;
  std::vector<KnownTarget *> m_RemotelyBusy; ///< Targets with remote load.
  std::set<core::TargetName> m_Expired;
  VersionHistory m_Versions;
  core::Duration m_VersionRetention{};
  /// Pools whose targets need a warm-up.
  std::map<core::PoolName, Pool> m_WarmUpPools;
  std::set<core::DataHallName> m_DrainedHalls;
  std::map<core::DataHallName, core::RegionName> m_Regions;
  FleetSubset m_FleetSubset;
  /// Whether any target has ever stated how many rejections it bears.
  bool m_HasMaxRejections = false;
  TargetThrottleTable m_Throttles;
};

} // namespace yardrill::routing

#endif
