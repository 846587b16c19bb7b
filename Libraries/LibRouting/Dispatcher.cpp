#include "LibRouting/Dispatcher.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

namespace yardrill::routing {

/// Prompt tokens that a target of median speed processes in a millisecond. An
/// order of magnitude is enough, because costs scale with the learned slowness.
static constexpr double PromptTokensPerMs = 50;
/// Delay that each running request adds to a new one: events arrive more slowly
/// and the response ends later.
static constexpr double RunningCostMs = 12;
/// Wait behind each request that exceeds the target's slots.
static constexpr double QueuedCostMs = 150;
/// Penalty for a target in another data hall: round trip and traffic cost.
static constexpr double OtherHallCostMs = 5;
/// Penalty for a target with a failure rate of 1.
static constexpr double FailureCostMs = 2000;
/// Weight of each millisecond by which a response would miss its deadline.
static constexpr double OverrunWeight = 3;
/// Difference below which costs count as equal; such targets are used in turn.
/// Otherwise one that is slightly faster gets all requests while the load is
/// low, and the learned speeds of the others become outdated.
static constexpr double EqualCostMs = 3;
/// Additional wait accepted to use the turn of a limited target, about the
/// difference between idle targets of different speeds.
static constexpr double TurnCreditMs = 25;
/// The same if the target must be probed: less than most objectives.
static constexpr double ProbeCreditMs = 250;
/// Share of the remaining time that a response may be expected to take. The
/// margin covers errors in its expected length and in the service time.
static constexpr double UsableTimeShare = 0.8;
/// Share of a short request's time after which it is sent without a free slot.
static constexpr double MaxWaitShare = 0.35;
/// Prefill time below which concurrent streams stall for less than the
/// shortest event gap that routes allow (200 ms).
static constexpr double ShortPrefillMs = 100;
/// Share of a pool's slots that the lowest priority leaves free. About as many
/// requests of other priorities arrive before all instances know of a dispatch.
static constexpr double ReservedSlotShare = 0.05;
/// Share of a pool's slots, as this instance sees them, below which free slots
/// are scarce. Peers learn of the demand before the last slot is taken.
static constexpr double ScarceFreeShare = 0.25;
/// Time for which a priority counts as present after its last request.
static constexpr std::chrono::seconds PriorityMemory{10};

double Dispatcher::cost(const KnownTarget &Known,
                        const PlacementRequest &Request,
                        const core::DataHallName &From,
                        core::TimePoint Now) const {
  double HallCost = Known.m_Target.m_DataHall == From ? 0 : OtherHallCostMs;
  if (m_Policy == PlacementPolicy::LeastOutstanding)
    return static_cast<double>(Known.m_LocalLoad.m_Running) /
               static_cast<double>(Known.m_Target.m_Slots) +
           HallCost / 1000;
  double Running = static_cast<double>(Known.running());
  double Slots = static_cast<double>(Known.m_Target.m_Slots);
  double Queued = Running >= Slots ? Running - Slots + 1 : 0;
  double Prompt = 0;
  if (Request.m_IsInference)
    Prompt = static_cast<double>(Known.m_LocalLoad.m_PendingPromptTokens +
                                 Known.m_RemoteLoad.m_PendingPromptTokens +
                                 Request.m_PromptTokens) /
             PromptTokensPerMs;
  double Start =
      (Prompt + Running * RunningCostMs + Queued * QueuedCostMs + 1) *
      Known.m_Slowness;
  double Finish = Start + Request.m_ExpectedEvents * Known.m_ServiceTimeMs;
  double TimeLeft =
      core::toSeconds(Request.m_EndsAt - Now) * 1000 * UsableTimeShare;
  double Overrun = std::max(0.0, Finish - TimeLeft);
  return Start + HallCost + Known.m_FailureRate * FailureCostMs +
         Overrun * OverrunWeight;
}

double Dispatcher::turnCredit(const KnownTarget &Known,
                              const PlacementRequest &Request,
                              core::TimePoint Now) const {
  if (m_Targets.throttles().isEmpty() || Known.isOnProbation())
    return 0;
  // Idle targets differ slightly in learned speed, so that without the credit
  // one of them gets all requests. An unused turn is lost, and only a response
  // can raise or end the limit.
  switch (m_Targets.throttles().turnOf(Known.m_Target.incarnation(), Now)) {
  case LimitedTurn::None:
    return 0;
  case LimitedTurn::Due:
    return TurnCreditMs;
  case LimitedTurn::Overdue:
    // A request that has failed before is not delayed for a probe.
    return Request.m_TriedTargets.empty() ? ProbeCreditMs : TurnCreditMs;
  }
  return 0;
}

//===----------------------------------------------------------------------===//
// Order of requests
//===----------------------------------------------------------------------===//

void Dispatcher::recordPriority(const PlacementRequest &Request,
                                core::TimePoint Now) {
  auto &LastSeen = m_PriorityLastSeen[Request.m_Pool];
  LastSeen[Request.m_Priority] = Now;
  for (auto Each = LastSeen.begin(); Each != LastSeen.end();)
    Each = Now - Each->second > PriorityMemory ? LastSeen.erase(Each)
                                               : std::next(Each);
}

bool Dispatcher::isLowestPriority(const PlacementRequest &Request) const {
  auto Found = m_PriorityLastSeen.find(Request.m_Pool);
  return Found != m_PriorityLastSeen.end() && Found->second.size() > 1 &&
         Found->second.rbegin()->first == Request.m_Priority;
}

Dispatcher::Urgency Dispatcher::urgencyOf(const PlacementRequest &Request,
                                          core::TimePoint Now) const {
  bool IsLate = Request.m_FirstByteDue <= Now;
  if (isLowestPriority(Request))
    return IsLate ? Urgency::LowestLate : Urgency::LowestInTime;
  return IsLate ? Urgency::Late : Urgency::InTime;
}

bool Dispatcher::precedes(const PlacementRequest &A, const PlacementRequest &B,
                          core::TimePoint Now) const {
  auto KeyOf = [&](const PlacementRequest &Each) {
    core::TimePoint Due = firstAttemptDue(Each);
    return std::make_tuple(urgencyOf(Each, Now), Each.m_Priority, Due <= Now,
                           m_Fairness.startTag(Each.m_Request), Due,
                           Each.m_Request);
  };
  return KeyOf(A) < KeyOf(B);
}

core::TimePoint Dispatcher::firstAttemptDue(const PlacementRequest &Request) {
  return Request.m_FirstByteDue -
         (Request.m_ArrivedAt -
          Request.m_FirstArrivedAt.value_or(Request.m_ArrivedAt));
}

core::TimePoint
Dispatcher::queueDeadline(const PlacementRequest &Request) const {
  if (m_Policy == PlacementPolicy::LeastOutstanding)
    return Request.m_ArrivedAt;
  // A returned caller is refused for good, so that late is better than never.
  if (Request.m_IsInference && Request.m_FirstArrivedAt)
    return std::min(Request.m_FirstByteDue,
                    Request.m_FirstEventDeadline -
                        m_Targets.expectedFirstEventTime(Request.m_Pool));
  // A stream that is sent late takes the slot of one that could begin in time.
  if (Request.m_IsInference)
    return std::min(Request.m_FirstByteDue, Request.m_FirstEventDeadline) -
           m_Targets.expectedFirstEventTime(Request.m_Pool);
  core::Duration TotalTime = Request.m_EndsAt - Request.m_ArrivedAt;
  return Request.m_ArrivedAt +
         std::chrono::duration_cast<core::Duration>(TotalTime * MaxWaitShare);
}

//===----------------------------------------------------------------------===//
// Choice of a target
//===----------------------------------------------------------------------===//

double Dispatcher::prefillTimeMs(const KnownTarget &Known,
                                 std::uint32_t Tokens) {
  return static_cast<double>(Tokens) / PromptTokensPerMs * Known.m_Slowness;
}

std::size_t Dispatcher::slotsFor(const KnownTarget &Known,
                                 const PlacementRequest &Request) {
  auto Slots = static_cast<double>(Known.m_Target.m_Slots);
  if (!Request.m_IsInference ||
      prefillTimeMs(Known, Request.m_PromptTokens) < ShortPrefillMs)
    return Known.m_Target.m_Slots;
  // A long prompt stalls concurrent streams, the longer the slower the target.
  // Short prompts are not limited, or slow targets would stay mostly idle.
  Slots = std::max(1.0, std::round(Slots / std::max(1.0, Known.m_Slowness)));
  return static_cast<std::size_t>(Slots);
}

Dispatcher::SlotCount Dispatcher::countSlots(const PlacementRequest &Request,
                                             core::TimePoint Now) const {
  const VersionGate *Gate = gateOf(Request.m_Pool);
  SlotCount Out;
  for (const KnownTarget *Each : m_Targets.subsetOf(Request.m_Pool)) {
    if (!m_Targets.acceptsRequests(*Each, Now) ||
        (Gate && !Gate->mayServe(Each->m_Target, Now)))
      continue;
    double Slots = static_cast<double>(slotsFor(*Each, Request));
    Out.m_Total += Slots;
    Out.m_Free += std::max(0.0, Slots - static_cast<double>(Each->running()));
    if (Each->m_CooldownUntil <= Now)
      Out.m_Usable += static_cast<double>(Each->m_Target.m_Slots);
  }
  return Out;
}

bool Dispatcher::leavesReservedSlots(const PlacementRequest &Request,
                                     const SlotCount &Slots) const {
  return !isLowestPriority(Request) ||
         Slots.m_Free - 1 >= Slots.m_Total * ReservedSlotShare;
}

bool Dispatcher::mayTakeSlot(const PlacementRequest &Request, bool IsTimeUp,
                             std::size_t GrantedSlots, core::TimePoint Now) {
  // A request that has run before is not refused because of the bound.
  bool IsBounded = m_Overload.m_TierConcurrency &&
                   (!IsTimeUp || Request.m_TriedTargets.empty());
  if (!IsBounded && (IsTimeUp || !isLowestPriority(Request)))
    return true;
  SlotCount Slots = countSlots(Request, Now);
  Slots.m_Free += static_cast<double>(GrantedSlots);
  if (IsBounded) {
    auto MayStart =
        m_TierBounds.mayStart(Request.m_Pool, Request.m_Priority, m_Demand,
                              Slots.m_Usable, Slots.m_Free, Now);
    if (MayStart)
      return *MayStart;
  }
  // The lowest priority uses a reserved slot only after its queue deadline.
  return IsTimeUp || leavesReservedSlots(Request, Slots);
}

const VersionGate *Dispatcher::gateOf(const core::PoolName &Pool) const {
  return m_Hooks.m_GateOf ? m_Hooks.m_GateOf(Pool) : nullptr;
}

std::vector<KnownTarget *>
Dispatcher::canaryCandidates(const VersionGate &Gate,
                             const PlacementRequest &Request,
                             core::TimePoint Now) const {
  // A request that has already failed once is not used as a sample.
  if (!Request.m_TriedTargets.empty() ||
      !Gate.isCanaryDue(Request.m_Route, Now))
    return {};
  std::vector<KnownTarget *> Canaries;
  for (KnownTarget *Each : m_Targets.subsetOf(Request.m_Pool))
    if (m_Targets.acceptsRequests(*Each, Now) && mayUse(*Each, Request) &&
        Gate.isCanary(Each->m_Target))
      Canaries.push_back(Each);
  if (Canaries.empty())
    return {};
  std::sort(Canaries.begin(), Canaries.end(), KnownTarget::ByHash());
  double Share = Gate.canaryShare() * static_cast<double>(Canaries.size());
  auto Count = static_cast<std::size_t>(std::max(1.0, std::round(Share)));
  std::size_t First = Gate.canaryTurn(Now) * Count;
  std::vector<KnownTarget *> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    KnownTarget *Each = Canaries[(First + I) % Canaries.size()];
    if (Each->m_CooldownUntil <= Now && hasFreeSlot(*Each, Request))
      Out.push_back(Each);
  }
  return Out;
}

bool Dispatcher::mayUse(const KnownTarget &Known,
                        const PlacementRequest &Request) const {
  return Request.m_TriedTargets.count(Known.m_Target.incarnation()) == 0 &&
         (!Request.m_Version ||
          *Request.m_Version == Known.m_Target.m_Version) &&
         m_Targets.isInRegions(Known, Request.m_Regions);
}

bool Dispatcher::holdsBack(const PlacementRequest &Waiting,
                           const PlacementRequest &Other) {
  return Waiting.m_Pool == Other.m_Pool &&
         (!Waiting.m_Version || Waiting.m_Version == Other.m_Version);
}

std::vector<KnownTarget *>
Dispatcher::candidates(const PlacementRequest &Request,
                       core::TimePoint Now) const {
  const VersionGate *Gate = gateOf(Request.m_Pool);
  if (Gate) {
    std::vector<KnownTarget *> Canaries = canaryCandidates(*Gate, Request, Now);
    if (!Canaries.empty())
      return Canaries;
  }
  std::vector<KnownTarget *> Out;
  auto AddCandidates = [&](const std::vector<KnownTarget *> &From) {
    for (KnownTarget *Each : From)
      if (m_Targets.acceptsRequests(*Each, Now) && mayUse(*Each, Request) &&
          (!Gate || Gate->mayServe(Each->m_Target, Now)))
        Out.push_back(Each);
  };
  AddCandidates(m_Targets.subsetOf(Request.m_Pool));
  // The subset may contain no target of a version that takes requests during a
  // rollout or that the request needs, none in the request's regions, or only
  // drained data halls.
  bool IsRestricted = Gate || Request.m_Regions || Request.m_Version ||
                      !m_Targets.drainedHalls().empty();
  if (IsRestricted && Out.empty())
    AddCandidates(m_Targets.allTargetsOf(Request.m_Pool));
  // A failing target always has free slots. Without this it would receive the
  // whole queue whenever the others are full.
  auto IsCoolingDown = [Now](const KnownTarget *Each) {
    return Each->m_CooldownUntil > Now;
  };
  if (!std::all_of(Out.begin(), Out.end(), IsCoolingDown))
    Out.erase(std::remove_if(Out.begin(), Out.end(), IsCoolingDown), Out.end());
  return Out;
}

bool Dispatcher::hasFreeSlot(const KnownTarget &Known,
                             const PlacementRequest &Request) const {
  if (Known.isOnProbation())
    return Known.m_LocalLoad.m_Running == 0;
  return Known.running() < slotsFor(Known, Request);
}

bool Dispatcher::hasFreeSlot(const PlacementRequest &Request,
                             core::TimePoint Now) const {
  std::vector<KnownTarget *> From = candidates(Request, Now);
  return std::any_of(From.begin(), From.end(), [&](const KnownTarget *Each) {
    return hasFreeSlot(*Each, Request);
  });
}

KnownTarget *Dispatcher::choose(const PlacementRequest &Request, bool MustSend,
                                core::TimePoint Now, bool &HasCandidate) {
  struct Choice {
    KnownTarget *m_Known;
    double m_Cost;
  };
  std::vector<Choice> Choices;
  bool AreExpired = true;
  double BestCost = 0;
  for (KnownTarget *Each : candidates(Request, Now)) {
    HasCandidate = true;
    // A target that fails under rejections must not be filled beyond its slots.
    bool NeedsFreeSlot = !MustSend || Each->m_MaxRejectionsPerSecond;
    if (NeedsFreeSlot && !hasFreeSlot(*Each, Request))
      continue;
    // Targets with an expired announcement are used when the others are full.
    bool IsExpired = Each->m_ExpiredAt.has_value();
    if (IsExpired && !AreExpired)
      continue;
    if (!IsExpired && AreExpired)
      Choices.clear();
    AreExpired = IsExpired;
    double Cost = cost(*Each, Request, m_LocalDataHall, Now) -
                  turnCredit(*Each, Request, Now);
    BestCost = Choices.empty() ? Cost : std::min(BestCost, Cost);
    Choices.push_back({Each, Cost});
  }
  Choices.erase(std::remove_if(Choices.begin(), Choices.end(),
                               [BestCost](const Choice &Each) {
                                 return Each.m_Cost > BestCost + EqualCostMs;
                               }),
                Choices.end());
  if (Choices.empty())
    return nullptr;
  return Choices[m_NextChoice++ % Choices.size()].m_Known;
}

std::optional<core::TimePoint>
Dispatcher::nextAvailability(const PlacementRequest &Request,
                             core::TimePoint Now) const {
  if (m_Targets.throttles().isEmpty())
    return std::nullopt;
  auto Ahead =
      std::count_if(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return Each.second.m_Pool == Request.m_Pool &&
               precedes(Each.second, Request, Now);
      });
  return m_Targets.availableAt(
      Request.m_Pool, static_cast<std::size_t>(Ahead), Now,
      [&](const KnownTarget &Each) { return mayUse(Each, Request); });
}

bool Dispatcher::trySend(const PlacementRequest &Request, core::TimePoint Now) {
  bool HasCandidate = false;
  bool IsTimeUp = queueDeadline(Request) <= Now;
  // A stream that queues at a full target delays all streams there, so it is
  // refused instead; its caller can retry.
  bool MustSend = IsTimeUp && (!Request.m_IsInference ||
                               m_Policy == PlacementPolicy::LeastOutstanding);
  KnownTarget *Best = choose(Request, MustSend, Now, HasCandidate);
  if (Best && !MustSend && !mayTakeSlot(Request, IsTimeUp, 0, Now)) {
    if (!IsTimeUp)
      return false;
    Best = nullptr;
  }
  if (!HasCandidate && !IsTimeUp) {
    auto AvailableAt = nextAvailability(Request, Now);
    if (AvailableAt && *AvailableAt <= queueDeadline(Request))
      return false;
  }
  if (!HasCandidate || (IsTimeUp && !Best && !tryAwaitSlot(Request, Now))) {
    refuse(Request, Now);
    return true;
  }
  if (!Best)
    return false;
  Target Chosen = Best->m_Target;
  if (!m_Targets.tryStartRequest(Chosen.incarnation(), Request.m_PromptTokens,
                                 Now))
    return false;
  send(Request, Chosen, Now);
  return true;
}

void Dispatcher::send(const PlacementRequest &Request, const Target &Chosen,
                      core::TimePoint Now) {
  m_Running[Request.m_Request] = {Request.m_Pool, Request.m_Priority, Now};
  m_Demand.recordStart(Request.m_Pool, Request.m_Priority);
  m_TierBounds.recordStart(Request.m_Pool, Request.m_Priority);
  m_Fairness.recordSent(Request);
  auto Wait = m_PredictedWaits.find(Request.m_Request);
  if (Wait != m_PredictedWaits.end())
    m_WaitPrediction.recordWait(Request.m_Pool, Request.m_Priority,
                                Wait->second, Now);
  m_Hooks.m_Send(Request.m_Request, Chosen);
}

void Dispatcher::recordEnd(core::RequestId Id, core::TimePoint Now) {
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  const RunningRequest &Ended = Found->second;
  m_Demand.recordEnd(Ended.m_Pool, Ended.m_Priority, Now - Ended.m_SentAt);
  m_TierBounds.recordEnd(Ended.m_Pool, Ended.m_Priority);
  m_SlotRate.recordEnd(Ended.m_Pool, Now);
  m_Running.erase(Found);
  if (m_Hooks.m_Ended)
    m_Hooks.m_Ended(Id);
}

void Dispatcher::place(const PlacementRequest &Request, core::TimePoint Now) {
  recordPriority(Request, Now);
  m_Demand.recordArrival(Request.m_Pool, Request.m_Priority, Now);
  m_TierBounds.recordArrival(Request.m_Pool, Request.m_Priority,
                             queueDeadline(Request) - Now);
  if (m_Overload.m_AccountFairness)
    m_Fairness.add(Request);
  bool IsBehindOthers =
      std::any_of(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return holdsBack(Each.second, Request) &&
               precedes(Each.second, Request, Now);
      });
  if (!IsBehindOthers && trySend(Request, Now))
    return;
  // Refuse now what throttled targets would accept only after the deadline.
  auto AvailableAt = nextAvailability(Request, Now);
  if (AvailableAt && *AvailableAt > queueDeadline(Request))
    return refuse(Request, Now);
  if (!tryRefuseOnArrival(Request, Now))
    enqueue(Request);
}

void Dispatcher::enqueue(const PlacementRequest &Request) {
  if (m_Waiting.emplace(Request.m_Request, Request).second)
    m_Demand.recordWaiting(Request.m_Pool, Request.m_Priority);
}

std::size_t Dispatcher::waitingFor(const core::PoolName &Pool) const {
  return static_cast<std::size_t>(
      std::count_if(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return Each.second.m_Pool == Pool;
      }));
}

bool Dispatcher::withdraw(core::RequestId Id) {
  m_PredictedWaits.erase(Id);
  auto Found = m_Waiting.find(Id);
  if (Found == m_Waiting.end())
    return false;
  m_Demand.recordWaitEnd(Found->second.m_Pool, Found->second.m_Priority);
  m_Fairness.remove(Found->second);
  m_Waiting.erase(Found);
  return true;
}

bool Dispatcher::isScarce(const core::PoolName &Pool,
                          core::TimePoint Now) const {
  return waitingFor(Pool) > 0 || hasFewFreeSlots(Pool, Now);
}

bool Dispatcher::hasFewFreeSlots(const core::PoolName &Pool,
                                 core::TimePoint Now) const {
  double Total = 0;
  double Free = 0;
  for (const KnownTarget *Each : m_Targets.subsetOf(Pool)) {
    if (!m_Targets.acceptsRequests(*Each, Now))
      continue;
    Total += static_cast<double>(Each->m_Target.m_Slots);
    if (Each->running() < Each->m_Target.m_Slots)
      Free += static_cast<double>(Each->m_Target.m_Slots - Each->running());
  }
  return Free < Total * ScarceFreeShare;
}

PoolDemand Dispatcher::scarceGroupDemand(const core::PoolName &Pool,
                                         core::RequestId Except,
                                         core::TimePoint Now) const {
  if (!isScarce(Pool, Now))
    return {};
  PoolDemand Out = m_Demand.group(Pool, Now);
  auto Found = m_Waiting.find(Except);
  if (Found != m_Waiting.end())
    --Out[Found->second.m_Priority].m_Waiting;
  return Out;
}

std::map<core::PoolName, PoolDemand>
Dispatcher::scarceDemand(core::TimePoint Now) const {
  std::map<core::PoolName, PoolDemand> Out;
  for (const auto &[Pool, LastSeen] : m_PriorityLastSeen)
    if (isScarce(Pool, Now))
      Out.emplace(Pool, m_Demand.own(Pool, Now));
  return Out;
}

std::vector<const PlacementRequest *>
Dispatcher::waitingInOrder(core::TimePoint Now) const {
  std::vector<const PlacementRequest *> Order;
  Order.reserve(m_Waiting.size());
  for (const auto &[Id, Request] : m_Waiting)
    Order.push_back(&Request);
  std::sort(Order.begin(), Order.end(),
            [&](const PlacementRequest *A, const PlacementRequest *B) {
              return precedes(*A, *B, Now);
            });
  return Order;
}

void Dispatcher::dispatchWaiting(core::TimePoint Now) {
  // Once a request has to wait, later ones of its pool must not overtake it.
  // Those whose queue deadline has passed are still sent or refused.
  std::vector<const PlacementRequest *> Blocked;
  for (const PlacementRequest *Request : waitingInOrder(Now)) {
    bool IsHeldBack = std::any_of(Blocked.begin(), Blocked.end(),
                                  [Request](const PlacementRequest *Each) {
                                    return holdsBack(*Each, *Request);
                                  });
    if (IsHeldBack && Now < queueDeadline(*Request))
      continue;
    if (trySend(*Request, Now))
      // Copies the key, because withdraw() destroys the request.
      withdraw(core::RequestId(Request->m_Request));
    else if (!IsHeldBack && Now < queueDeadline(*Request))
      Blocked.push_back(Request);
  }
  refuseHopeless(Now);
}

} // namespace yardrill::routing
