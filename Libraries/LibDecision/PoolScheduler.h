//===-- PoolScheduler.h - Who runs, where and when, in one pool -----------===//
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

/// What the scheduler asks of its owner. The owner keeps the requests.
struct PoolHooks {
  std::function<void(Action)> m_Emit;
  std::function<RequestState &(core::RequestId)> m_Find;
  /// Refuses for good, and tells everyone who waits for the same answer.
  std::function<void(RequestState &, RefusalKind, core::TimePoint ValidUntil)>
      m_Refuse;
};

/// One pool at this instance: its queue, its targets and its tier order.
class PoolScheduler {
public:
  PoolScheduler(const core::PoolName &Name, const InstanceRef &Self,
                std::uint64_t Seed, PoolHooks Hooks);

  void configure(const config::FleetConfiguration &Configuration,
                 const config::Pool &Pool, core::TimePoint Now);
  void setInstances(std::uint32_t Count, core::TimePoint Now);
  /// Targets that get no new work, by the instance list.
  void setLeavingTargets(const std::set<core::TargetName> &Leaving);
  /// Some of them take work again.
  void targetsReturned(core::TimePoint Now) { dispatchWaiting(Now); }
  /// Takes part in the tier order until nothing runs here; a leader then
  /// writes itself out of the record and resigns.
  void setStopping() { m_IsStopping = true; }

  /// Dispatches, queues or refuses a new request.
  void admit(RequestState &Request, core::TimePoint Now);
  /// Takes a waiting request out. \returns false when it does not wait here.
  bool withdraw(RequestState &Request);
  void connectFailed(RequestState &Request, core::TimePoint Now);
  /// The dispatched request no longer runs at its target.
  void requestEnded(RequestState &Request, const ResponseEnded &End,
                    core::TimePoint Now);
  /// Puts a request back whose refusal came too late to be sent.
  void readmit(RequestState &Request, core::TimePoint Now);
  void timePassed(core::TimePoint Now);

  void applyCommand(const ThresholdCommand &Command, core::TimePoint Now);
  void handleReport(const ThresholdReport &Report, core::TimePoint Now);
  void recordRead(const ThresholdRecordRead &Read, core::TimePoint Now);
  void recordWritten(const ThresholdRecordWritten &Written,
                     core::TimePoint Now);
  void memberGone(core::IncarnationId Incarnation);

  /// When to come back, from the queue and the pace at which it empties, with
  /// a spread so that those who were refused together do not return together.
  std::uint32_t retryAfterSeconds();

  std::size_t queued() const { return m_Queue.size(); }
  std::size_t running() const;
  const TargetTable &targets() const { return m_Targets; }
  const ThresholdMember &member() const { return m_Member; }
  bool isLeader() const { return m_Leader != nullptr; }
  /// "adopt", "hold" or "shed" at the leader; "" elsewhere.
  const char *leaderPhase() const;

private:
  bool tryDispatch(RequestState &Request, core::TimePoint Now);
  void enqueue(RequestState &Request, bool IsFront);
  void removeDeadline(const RequestState &Request);
  void dispatchWaiting(core::TimePoint Now);
  void enforceQueueLimit(core::TimePoint Now);
  void refuseOverdue(core::TimePoint Now);
  /// Waiting requests above the lowest tier that have waited for long.
  std::size_t countUrgent(core::TimePoint Now) const;
  /// Cancels one running request of the lowest tier for each of those: that
  /// tier may always be shed, and the floor need not move for a few.
  void preemptLowestTier(core::TimePoint Now);
  void evictBelowThreshold();
  void updateCompletionRate(core::TimePoint Now);
  bool runsBelowThreshold() const;
  core::TierNumber tierUnderPressure(core::TimePoint Now) const;
  core::TimePoint validUntil(core::TierNumber Tier) const;
  void maintainTierOrder(core::TimePoint Now);
  /// Nothing to tell the pool's leader or members soon.
  bool isQuiet(core::TimePoint Now) const;
  void sendReport(core::TimePoint Now);
  void leadPool(core::TimePoint Now);
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
  /// Waiting requests of each tier, by deadline.
  std::map<core::TierNumber,
           std::set<std::pair<core::TimePoint, core::RequestId>>>
      m_Deadlines;
  std::map<core::TierNumber, std::set<core::RequestId>> m_Running;
  double m_CompletionRate = 0; ///< Requests ended, a second, smoothed.
  core::TimePoint m_LastCompletionAt{};
  core::TimePoint m_LastReportAt{};
  ThresholdStamp m_ReportedStamp;
  core::TimePoint m_NextRecordReadAt{};
  core::TimePoint m_CampaignAt{}; ///< Zero: not a candidate.
  std::optional<ThresholdRecordRead> m_LastRecord;
};

} // namespace yardrill::decision

#endif
