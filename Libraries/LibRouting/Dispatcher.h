//===-- Dispatcher.h - Queues requests and assigns them to targets --------===//
//
// The gateway passes each request to the Dispatcher, which sends, queues or
// refuses it. It performs no I/O and reads no clock: callers pass the time, and
// decisions are reported through DispatcherHooks.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_DISPATCHER_H
#define YARDRILL_LIBROUTING_DISPATCHER_H

#include "LibRouting/AccountFairness.h"
#include "LibRouting/DemandTable.h"
#include "LibRouting/OverloadSettings.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/SlotRate.h"
#include "LibRouting/TargetDirectory.h"
#include "LibRouting/TierConcurrencyTable.h"
#include "LibRouting/VersionGate.h"
#include "LibRouting/WaitPrediction.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace yardrill::routing {

/// A request to be assigned to a target, with its deadlines.
struct PlacementRequest {
  core::RequestId m_Request;
  core::PoolName m_Pool;
  core::AccountName m_Account; ///< Empty: no client account.
  std::uint32_t m_Route = 0;   ///< Route::m_Hash.
  Priority m_Priority;
  bool m_IsInference = false;
  std::uint32_t m_PromptTokens = 0;
  /// Expected length of a stream in events; 0 if unknown or not a stream.
  double m_ExpectedEvents = 0;
  core::TimePoint m_ArrivedAt{};
  /// Arrival of the first attempt of a caller that was refused and has
  /// returned; none for other callers.
  std::optional<core::TimePoint> m_FirstArrivedAt;
  /// Time after which a first byte is late. A stream that can no longer begin
  /// by then is refused unless a slot is free; a short request is still served.
  core::TimePoint m_FirstByteDue{};
  /// Time at which the caller abandons a stream that has sent no event, or no
  /// further one if it has begun; m_EndsAt for other requests.
  core::TimePoint m_FirstEventDeadline{};
  /// Time by which the response must be complete.
  core::TimePoint m_EndsAt{};
  std::set<TargetIncarnation> m_TriedTargets; ///< Excluded from assignment.
  AllowedRegions m_Regions; ///< Targets elsewhere must not receive it.
  /// Version of the only targets that may receive it; none: of all.
  std::optional<core::TargetVersion> m_Version;

  /// Whether the first byte has an objective. Without one, it is due when the
  /// caller gives up.
  bool hasObjective() const { return m_FirstByteDue < m_FirstEventDeadline; }
};

/// Reports the decisions of a Dispatcher and supplies version gates.
struct DispatcherHooks {
  /// Sends the request to the target.
  std::function<void(core::RequestId, const Target &)> m_Send;
  /// Refuses a request that no target of the pool can serve in time.
  std::function<void(core::RequestId)> m_Refuse;
  /// Returns the version gate of a pool, or null if all versions take requests
  /// alike. May be empty, which means no pool has a gate.
  std::function<const VersionGate *(const core::PoolName &)> m_GateOf;
  /// Called when a request that was sent no longer holds its slot. May be
  /// empty.
  std::function<void(core::RequestId)> m_Ended;
  /// Asks other instances for a slot for a request that is about to be refused.
  /// Returns whether an answer is awaited, during which the request waits. May
  /// be empty.
  std::function<bool(const PlacementRequest &, core::TimePoint)> m_Borrow;
};

enum class PlacementPolicy {
  LeastPredictedWait, ///< Uses load from all instances and learned speeds.
  LeastOutstanding,   ///< Baseline: counts local requests only, never queues.
};

/// Assigns requests to targets, and queues them while all slots are taken.
///
/// Requests wait here rather than at a target, because targets serve in order
/// of arrival and ignore priorities.
class Dispatcher {
public:
  Dispatcher(TargetDirectory &Targets, core::DataHallName LocalDataHall,
             PlacementPolicy Policy, DispatcherHooks Hooks)
      : m_Targets(Targets), m_LocalDataHall(std::move(LocalDataHall)),
        m_Policy(Policy), m_Hooks(std::move(Hooks)) {}

  /// Sends, queues or refuses a request.
  void place(const PlacementRequest &Request, core::TimePoint Now);
  /// Removes a request from the queue. \returns false if it was not queued.
  bool withdraw(core::RequestId Id);
  /// Sends queued requests for which a slot is free. Sends or refuses those
  /// whose queue deadline has passed, and refuses those that no target can
  /// serve any more.
  void dispatchWaiting(core::TimePoint Now);
  /// Records that a request that was sent no longer holds its slot.
  void recordEnd(core::RequestId Id, core::TimePoint Now);
  std::size_t waiting() const { return m_Waiting.size(); }
  std::size_t waitingFor(const core::PoolName &Pool) const;
  /// Switches the decisions under overload on or off; all are off by default.
  void setOverload(const OverloadSettings &Settings) { m_Overload = Settings; }
  const OverloadSettings &overload() const { return m_Overload; }
  /// Returns the priority of the most urgent waiting request that may be sent
  /// to the target, whatever its load; none if there is no such request.
  std::optional<Priority> mostUrgentFor(const KnownTarget &Known,
                                        core::TimePoint Now) const;
  /// Sends the most urgent waiting request that may be sent to the target, in a
  /// slot that another instance has granted. \returns false if there is none,
  /// or the target takes no request.
  bool sendWaitingTo(const TargetIncarnation &Incarnation, core::TimePoint Now);
  /// Sends the most urgent waiting request that may be sent to the target, in a
  /// slot that another group has lent. What each priority may hold of the slots
  /// of this group doesn't apply. \returns the request; none if there is none,
  /// or the target takes no request.
  std::optional<core::RequestId>
  sendWaitingToLent(const TargetIncarnation &Incarnation, core::TimePoint Now);
  /// Whether a request of this tier may take a free slot that others may need
  /// more, as far as this instance knows the group.
  bool mayTakeSlot(const core::PoolName &Pool, const Priority &Tier,
                   core::TimePoint Now);
  /// Demand of this instance and its group peers.
  DemandTable &demand() { return m_Demand; }
  const DemandTable &demand() const { return m_Demand; }
  /// Returns the demand of the group without the request \p Except for a pool
  /// whose slots are scarce; nothing for other pools.
  PoolDemand scarceGroupDemand(const core::PoolName &Pool,
                               core::RequestId Except,
                               core::TimePoint Now) const;
  /// Returns the demand of this instance for pools whose slots are scarce: few
  /// of the subset's are free, or requests wait here.
  std::map<core::PoolName, PoolDemand> scarceDemand(core::TimePoint Now) const;
  /// Returns the wait that was predicted for a request when it began to wait,
  /// while it waits and while its decision is reported; none if unknown.
  std::optional<core::Duration> predictedWait(core::RequestId Id) const;
  /// Returns the time after which the caller of a stream that was refused for
  /// want of a slot should return; none without a shortage.
  /// \param Random uniformly distributed, 0 to 1.
  std::optional<core::Duration> returnDelay(const PlacementRequest &Refused,
                                            double Random,
                                            core::TimePoint Now) const;

  /// Time until which a first byte is in time, counted from the first attempt
  /// of a returned caller. One that is late goes behind those of its priority
  /// that can still be in time, since a response is worth more to them.
  static core::TimePoint firstAttemptDue(const PlacementRequest &Request);

  /// Returns the queued requests, the most urgent one first; valid until the
  /// queue changes.
  std::vector<const PlacementRequest *>
  waitingInOrder(core::TimePoint Now) const;

  // For requests of other instances that may get a slot here (SlotLending).
  /// Returns the predicted wait at a target plus penalties, in milliseconds;
  /// under LeastOutstanding, the share of its slots that local requests use,
  /// plus a small penalty for another data hall.
  /// \param From data hall of the instance that sends the request.
  double cost(const KnownTarget &Known, const PlacementRequest &Request,
              const core::DataHallName &From, core::TimePoint Now) const;
  /// Returns how many slots of a target a request may use: fewer than all if
  /// the target is slow and the prompt is long.
  static std::size_t slotsFor(const KnownTarget &Known,
                              const PlacementRequest &Request);
  /// Returns the version gate of a pool, or null if it has none.
  const VersionGate *gateOf(const core::PoolName &Pool) const;
  bool hasFreeSlot(const KnownTarget &Known,
                   const PlacementRequest &Request) const;
  /// Whether a target that may receive the request has a free slot.
  bool hasFreeSlot(const PlacementRequest &Request, core::TimePoint Now) const;

private:
  /// Order of service while slots are scarce. Requests of the lowest of several
  /// priorities wait for all others, even for those that are already late.
  enum class Urgency { InTime, Late, LowestInTime, LowestLate };

  Urgency urgencyOf(const PlacementRequest &Request, core::TimePoint Now) const;
  /// Whether the pool has recently had requests of several priorities, and this
  /// request has the lowest of them.
  bool isLowestPriority(const PlacementRequest &Request) const;
  /// Time until which a request waits for a free slot. If there is none by
  /// then, a stream is refused, and a short request is sent without a slot.
  /// Under LeastOutstanding, no request waits.
  core::TimePoint queueDeadline(const PlacementRequest &Request) const;
  bool precedes(const PlacementRequest &A, const PlacementRequest &B,
                core::TimePoint Now) const;
  /// Sends or refuses a request. \returns false if it has to wait.
  bool trySend(const PlacementRequest &Request, core::TimePoint Now);
  /// Returns when a throttled target accepts this request, after those that
  /// precede it; none if a target accepts one now or no target will.
  std::optional<core::TimePoint>
  nextAvailability(const PlacementRequest &Request, core::TimePoint Now) const;
  /// Whether \p Other must not be sent before \p Waiting. Not so while
  /// \p Waiting can use only targets of a version to which \p Other isn't
  /// bound.
  static bool holdsBack(const PlacementRequest &Waiting,
                        const PlacementRequest &Other);
  /// Whether the request may be sent to the target, by its regions, its version
  /// and its earlier attempts.
  bool mayUse(const KnownTarget &Known, const PlacementRequest &Request) const;
  /// Returns the targets that may receive a request. Targets in cooldown are
  /// included only if all targets are.
  std::vector<KnownTarget *> candidates(const PlacementRequest &Request,
                                        core::TimePoint Now) const;
  /// Returns the canary targets to send this request to; empty unless the
  /// request is due as a sample.
  std::vector<KnownTarget *> canaryCandidates(const VersionGate &Gate,
                                              const PlacementRequest &Request,
                                              core::TimePoint Now) const;
  /// Returns the most urgent waiting request that may be sent to the target, or
  /// null.
  const PlacementRequest *mostUrgentRequestFor(const KnownTarget &Known,
                                               core::TimePoint Now) const;
  /// Whether a request may use a slot of the target that was granted for it.
  /// The slot counts as used, and thereby once more than it is.
  bool mayUseGrantedSlot(const KnownTarget &Known,
                         const PlacementRequest &Request,
                         core::TimePoint Now) const;
  /// Sends a waiting request in a slot that another instance has granted or
  /// lent. \returns the request; none if the target takes no request.
  std::optional<core::RequestId> sendGranted(const PlacementRequest &Waiting,
                                             const KnownTarget &Known,
                                             core::TimePoint Now);
  /// Returns the cheapest candidate, or one of several equal ones in turn; null
  /// if none has a free slot.
  /// \param MustSend whether to ignore free slots.
  /// \param HasCandidate set to true if there is any candidate.
  KnownTarget *choose(const PlacementRequest &Request, bool MustSend,
                      core::TimePoint Now, bool &HasCandidate);
  /// Returns how much more the wait at a limited target may cost than
  /// elsewhere, in milliseconds, to use its limit; 0 for other targets.
  double turnCredit(const KnownTarget &Known, const PlacementRequest &Request,
                    core::TimePoint Now) const;
  /// Returns the expected time to process a prompt on an idle target.
  static double prefillTimeMs(const KnownTarget &Known, std::uint32_t Tokens);
  /// Slots of a pool's subset that a request may count on.
  struct SlotCount {
    double m_Usable = 0; ///< All slots of targets that are not in cooldown.
    double m_Total = 0;  ///< As slotsFor() limits them for the request.
    double m_Free = 0;   ///< Of m_Total.
  };
  SlotCount countSlots(const PlacementRequest &Request,
                       core::TimePoint Now) const;
  /// Whether the request may take a free slot that others may need more.
  /// \param GrantedSlots free slots that count as used, since others have
  /// granted them to this instance.
  bool mayTakeSlot(const PlacementRequest &Request, bool IsTimeUp,
                   std::size_t GrantedSlots, core::TimePoint Now);
  /// Whether the reserved slots stay free if this request takes one more slot.
  /// True for all requests that do not have the lowest priority.
  bool leavesReservedSlots(const PlacementRequest &Request,
                           const SlotCount &Slots) const;
  void recordPriority(const PlacementRequest &Request, core::TimePoint Now);
  bool isScarce(const core::PoolName &Pool, core::TimePoint Now) const;
  /// Whether few of the subset's slots are free.
  bool hasFewFreeSlots(const core::PoolName &Pool, core::TimePoint Now) const;
  /// Returns the wait of a request behind \p Ahead others of this instance;
  /// none if it is not known or not predicted for such requests.
  /// \param TierAhead those of its priority.
  /// \param TierWaiting requests of its priority that wait here, with itself.
  std::optional<PredictedWait> predictWait(const PlacementRequest &Request,
                                           std::size_t Ahead,
                                           std::size_t TierAhead,
                                           std::size_t TierWaiting,
                                           core::TimePoint Now) const;
  /// Refuses an arriving request that can't begin in time. \returns whether it
  /// was refused.
  bool tryRefuseOnArrival(const PlacementRequest &Request, core::TimePoint Now);
  /// Refuses waiting requests that can't begin in time any more.
  void refuseHopeless(core::TimePoint Now);
  /// Asks for a slot of another group. \returns whether an answer is awaited.
  bool tryAwaitSlot(const PlacementRequest &Request,
                    core::TimePoint Now) const {
    return m_Hooks.m_Borrow && m_Hooks.m_Borrow(Request, Now);
  }
  /// Whether a request may be refused before its queue deadline.
  bool mayRefuseEarly(const PlacementRequest &Request,
                      core::TimePoint Now) const;
  /// Refuses a request and learns from its wait.
  void refuse(const PlacementRequest &Request, core::TimePoint Now);
  /// Adds a request to the queue.
  void enqueue(const PlacementRequest &Request);
  /// Sends a request to a target that has accepted it.
  void send(const PlacementRequest &Request, const Target &Chosen,
            core::TimePoint Now);

  TargetDirectory &m_Targets;
  core::DataHallName m_LocalDataHall;
  PlacementPolicy m_Policy;
  DispatcherHooks m_Hooks;
  std::size_t m_NextChoice = 0; ///< Turn among equal candidates.
  std::unordered_map<core::RequestId, PlacementRequest> m_Waiting;
  /// A request that holds a slot.
  struct RunningRequest {
    core::PoolName m_Pool;
    Priority m_Priority;
    core::TimePoint m_SentAt;
  };
  std::unordered_map<core::RequestId, RunningRequest> m_Running;
  OverloadSettings m_Overload{false, false, false, false, false, false};
  DemandTable m_Demand;
  TierConcurrencyTable m_TierBounds;
  AccountFairness m_Fairness;
  SlotRate m_SlotRate;
  WaitPrediction m_WaitPrediction;
  /// Waits that are predicted, of m_Waiting.
  std::unordered_map<core::RequestId, StartedWait> m_PredictedWaits;
  core::TimePoint m_NextReviewAt{}; ///< Of waiting requests.
  /// Time of the last request of each priority, by pool.
  std::map<core::PoolName, std::map<Priority, core::TimePoint>>
      m_PriorityLastSeen;
};

} // namespace yardrill::routing

#endif
