//===-- PoolScheduler.h - Scheduling of one pool at one instance ----------===//
#ifndef YARDRILL_LIBDECISION_POOLSCHEDULER_H
#define YARDRILL_LIBDECISION_POOLSCHEDULER_H

#include "LibDecision/Action.h"
#include "LibDecision/PoolQueue.h"
#include "LibDecision/RequestState.h"
#include "LibDecision/TargetTable.h"
#include "LibDecision/ThresholdLeader.h"
#include "LibDecision/ThresholdMember.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace yardrill::decision {

/// Callbacks of a scheduler into DecisionCore, which owns the requests.
struct PoolHooks {
  std::function<void(Action)> m_Emit;
  std::function<RequestState &(core::RequestId)> m_Find;
  /// Refuses a request, and the repeats that wait for its response. With a
  /// ValidUntil, the request stays open until RefusalSettled.
  std::function<void(RequestState &, RefusalKind, core::TimePoint ValidUntil)>
      m_Refuse;
};

/// Schedules the requests of one pool at this instance: admits, queues,
/// dispatches, sheds and evicts them, and takes part in the pool's threshold
/// protocol as a member and, if elected, as the leader. Owned by DecisionCore.
class PoolScheduler {
public:
  PoolScheduler(const core::PoolName &Name, const InstanceRef &Self,
                std::uint64_t Seed, PoolHooks Hooks);

  void configure(const config::FleetConfiguration &Configuration,
                 const config::Pool &Pool, core::TimePoint Now);
  void setInstances(std::uint32_t Count, core::TimePoint Now);
  /// Sets the targets that the instance list shows as leaving. They get no new
  /// requests.
  void setLeavingTargets(const std::set<core::TargetName> &Leaving);
  /// Dispatches waiting requests after a target takes new work again.
  void targetsReturned(core::TimePoint Now) { dispatchWaiting(Now); }
  /// Starts leaving the threshold protocol: the member leaves once no request
  /// is waiting or running here, and a leader resigns after it has removed
  /// itself from the record.
  void setStopping() { m_IsStopping = true; }

  /// Dispatches, queues or refuses a new request.
  void admit(RequestState &Request, core::TimePoint Now);
  /// Removes a waiting request. \returns false if it is not in the queue.
  bool withdraw(RequestState &Request);
  void connectFailed(RequestState &Request, core::TimePoint Now);
  /// Handles the end of a dispatched request.
  void requestEnded(RequestState &Request, const ResponseEnded &End,
                    core::TimePoint Now);
  /// Queues a request again whose refusal expired before it was sent.
  void readmit(RequestState &Request, core::TimePoint Now);
  void timePassed(core::TimePoint Now);

  void applyCommand(const ThresholdCommand &Command, core::TimePoint Now);
  void handleReport(const ThresholdReport &Report, core::TimePoint Now);
  void recordRead(const ThresholdRecordRead &Read, core::TimePoint Now);
  void recordWritten(const ThresholdRecordWritten &Written,
                     core::TimePoint Now);
  void memberGone(core::IncarnationId Incarnation);

  /// Returns a Retry-After value in seconds: the time to drain the queue at the
  /// recent completion rate, limited to 1 to 120 s, with random jitter so that
  /// callers who were refused together do not retry together.
  std::uint32_t retryAfterSeconds();

  std::size_t queued() const { return m_Queue.size(); }
  std::size_t running() const;
  const TargetTable &targets() const { return m_Targets; }
  const ThresholdMember &member() const { return m_Member; }
  bool isLeader() const { return m_Leader != nullptr; }
  /// Returns "adopt", "hold" or "shed" at the leader, "" at other instances.
  const char *leaderPhase() const;

private:
  bool tryDispatch(RequestState &Request, core::TimePoint Now);
  void enqueue(RequestState &Request, bool IsFront);
  void removeDeadline(const RequestState &Request);
  void dispatchWaiting(core::TimePoint Now);
  void enforceQueueLimit(core::TimePoint Now);
  void refuseOverdue(core::TimePoint Now);
  /// Counts sheddable waiting requests above the lowest tier that have used up
  /// the part of their deadline after which they preempt.
  std::size_t countUrgent(core::TimePoint Now) const;
  /// Cancels one running request of the lowest tier for each urgent one. That
  /// tier may always be shed, so the threshold need not be raised for a few
  /// requests.
  void preemptLowestTier(core::TimePoint Now);
  void evictBelowThreshold();
  void updateCompletionRate(core::TimePoint Now);
  bool runsBelowThreshold() const;
  /// Returns the highest tier whose sheddable waiting requests are overdue or
  /// would have to be shed from a full queue, leaving out the lowest; 0 if
  /// there is none.
  core::TierNumber tierUnderPressure(core::TimePoint Now) const;
  /// Returns the time until which a refusal of \p Tier may be sent: the
  /// permit's expiry, or 0 (no limit) for the lowest tier.
  core::TimePoint validUntil(core::TierNumber Tier) const;
  /// Sends due reports and commands, and looks for a leader.
  void maintainTierOrder(core::TimePoint Now);
  /// Whether the pool's leader and members need no update soon.
  bool isQuiet(core::TimePoint Now) const;
  void sendReport(core::TimePoint Now);
  void leadPool(core::TimePoint Now);
  /// Campaigns for the leadership if due, or reads the pool's record when the
  /// leader has been silent.
  void seekLeader(core::TimePoint Now);

  core::PoolName m_Name;
  InstanceRef m_Self;
  PoolHooks m_Hooks;
  std::mt19937_64 m_Random;
  PoolQueue m_Queue;
  TargetTable m_Targets;
  ThresholdTimings m_ThresholdTimings;
  ThresholdMember m_Member;
  std::unique_ptr<ThresholdLeader> m_Leader;
  std::size_t m_QueueLimit = 0;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  bool m_IsStopping = false;
  /// Sheddable waiting requests of each tier, by deadline.
  std::map<core::TierNumber,
           std::set<std::pair<core::TimePoint, core::RequestId>>>
      m_Deadlines;
  std::map<core::TierNumber, std::set<core::RequestId>> m_Running;
  double m_CompletionRate = 0; ///< Smoothed, in requests per second.
  core::TimePoint m_LastCompletionAt{};
  core::TimePoint m_LastReportAt{};
  ThresholdStamp m_ReportedStamp;
  core::TimePoint m_NextRecordReadAt{};
  core::TimePoint m_CampaignAt{}; ///< Time of the campaign; 0: none planned.
  std::optional<ThresholdRecordRead> m_LastRecord;
};

} // namespace yardrill::decision

#endif
