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
static constexpr double OtherHallCostMs = 2;
/// Penalty for a target with a failure rate of 1.
static constexpr double FailureCostMs = 2000;
/// Weight of each millisecond by which a response would miss its deadline.
static constexpr double OverrunWeight = 3;
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
/// Time for which a priority counts as present after its last request.
static constexpr std::chrono::seconds PriorityMemory{10};

double Dispatcher::cost(const KnownTarget &Known, const PlacementRequest &What,
                        core::TimePoint Now) const {
  double HallCost =
      Known.m_Target.m_DataHall == m_LocalDataHall ? 0 : OtherHallCostMs;
  if (m_Policy == PlacementPolicy::LeastOutstanding)
    return static_cast<double>(Known.m_LocalLoad.m_Running) /
               static_cast<double>(Known.m_Target.m_Slots) +
           HallCost / 1000;
  double Running = static_cast<double>(Known.running());
  double Slots = static_cast<double>(Known.m_Target.m_Slots);
  double Queued = Running >= Slots ? Running - Slots + 1 : 0;
  double Prompt = 0;
  if (What.m_IsInference)
    Prompt = static_cast<double>(Known.m_LocalLoad.m_PendingPromptTokens +
                                 Known.m_RemoteLoad.m_PendingPromptTokens +
                                 What.m_PromptTokens) /
             PromptTokensPerMs;
  double Start =
      (Prompt + Running * RunningCostMs + Queued * QueuedCostMs + 1) *
      Known.m_Slowness;
  double Finish = Start + What.m_ExpectedEvents * Known.m_ServiceTimeMs;
  double TimeLeft =
      core::toSeconds(What.m_EndsAt - Now) * 1000 * UsableTimeShare;
  double Overrun = std::max(0.0, Finish - TimeLeft);
  return Start + HallCost + Known.m_FailureRate * FailureCostMs +
         Overrun * OverrunWeight;
}

//===----------------------------------------------------------------------===//
// Order of requests
//===----------------------------------------------------------------------===//

void Dispatcher::recordPriority(const PlacementRequest &What,
                                core::TimePoint Now) {
  auto &LastSeen = m_PriorityLastSeen[What.m_Pool];
  LastSeen[What.m_Priority] = Now;
  for (auto Each = LastSeen.begin(); Each != LastSeen.end();)
    Each = Now - Each->second > PriorityMemory ? LastSeen.erase(Each)
                                               : std::next(Each);
}

bool Dispatcher::isLowestPriority(const PlacementRequest &What) const {
  auto Found = m_PriorityLastSeen.find(What.m_Pool);
  return Found != m_PriorityLastSeen.end() && Found->second.size() > 1 &&
         Found->second.rbegin()->first == What.m_Priority;
}

Dispatcher::Urgency Dispatcher::urgencyOf(const PlacementRequest &What,
                                          core::TimePoint Now) const {
  bool IsLate = What.m_FirstByteDue <= Now;
  if (isLowestPriority(What))
    return IsLate ? Urgency::LowestLate : Urgency::LowestInTime;
  return IsLate ? Urgency::Late : Urgency::InTime;
}

bool Dispatcher::precedes(const PlacementRequest &A, const PlacementRequest &B,
                          core::TimePoint Now) const {
  return std::make_tuple(urgencyOf(A, Now), A.m_Priority, A.m_FirstByteDue,
                         A.m_Request) <
         std::make_tuple(urgencyOf(B, Now), B.m_Priority, B.m_FirstByteDue,
                         B.m_Request);
}

core::TimePoint Dispatcher::queueDeadline(const PlacementRequest &What) const {
  if (m_Policy == PlacementPolicy::LeastOutstanding)
    return What.m_ArrivedAt;
  // A stream that is sent late takes the slot of one that could begin in time.
  if (What.m_IsInference)
    return std::min(What.m_FirstByteDue, What.m_FirstEventDeadline) -
           m_Targets.expectedFirstEventTime(What.m_Pool);
  core::Duration All = What.m_EndsAt - What.m_ArrivedAt;
  return What.m_ArrivedAt +
         std::chrono::duration_cast<core::Duration>(All * MaxWaitShare);
}

//===----------------------------------------------------------------------===//
// Choice of a target
//===----------------------------------------------------------------------===//

double Dispatcher::prefillTimeMs(const KnownTarget &Known,
                                 std::uint32_t Tokens) {
  return static_cast<double>(Tokens) / PromptTokensPerMs * Known.m_Slowness;
}

std::size_t Dispatcher::slotsFor(const KnownTarget &Known,
                                 const PlacementRequest &What) {
  auto Slots = static_cast<double>(Known.m_Target.m_Slots);
  if (!What.m_IsInference ||
      prefillTimeMs(Known, What.m_PromptTokens) < ShortPrefillMs)
    return Known.m_Target.m_Slots;
  // A long prompt stalls concurrent streams, the longer the slower the target.
  // Short prompts are not limited, or slow targets would stay mostly idle.
  Slots = std::max(1.0, std::round(Slots / std::max(1.0, Known.m_Slowness)));
  return static_cast<std::size_t>(Slots);
}

bool Dispatcher::leavesReservedSlots(const PlacementRequest &What,
                                     core::TimePoint Now) const {
  if (!isLowestPriority(What))
    return true;
  const VersionGate *Gate = gateOf(What.m_Pool);
  double All = 0;
  double Free = 0;
  for (const KnownTarget *Each : m_Targets.subsetOf(What.m_Pool)) {
    if (!m_Targets.acceptsRequests(*Each, Now) ||
        (Gate && !Gate->mayServe(Each->m_Target, Now)))
      continue;
    double Slots = static_cast<double>(slotsFor(*Each, What));
    All += Slots;
    Free += std::max(0.0, Slots - static_cast<double>(Each->running()));
  }
  return Free - 1 >= All * ReservedSlotShare;
}

const VersionGate *Dispatcher::gateOf(const core::PoolName &Pool) const {
  return m_Hooks.m_GateOf ? m_Hooks.m_GateOf(Pool) : nullptr;
}

std::vector<KnownTarget *>
Dispatcher::canaryCandidates(const VersionGate &Gate,
                             const PlacementRequest &What,
                             core::TimePoint Now) const {
  // A request that has already failed once is not used as a sample.
  if (!What.m_TriedTargets.empty() || !Gate.isCanaryDue(What.m_Route, Now))
    return {};
  std::vector<KnownTarget *> All;
  for (KnownTarget *Each : m_Targets.subsetOf(What.m_Pool))
    if (m_Targets.acceptsRequests(*Each, Now) && Gate.isCanary(Each->m_Target))
      All.push_back(Each);
  if (All.empty())
    return {};
  std::sort(All.begin(), All.end(), KnownTarget::ByHash());
  double Share = Gate.canaryShare() * static_cast<double>(All.size());
  auto Count = static_cast<std::size_t>(std::max(1.0, std::round(Share)));
  std::size_t First = Gate.canaryTurn(Now) * Count;
  std::vector<KnownTarget *> Out;
  for (std::size_t I = 0; I < Count; ++I) {
    KnownTarget *Each = All[(First + I) % All.size()];
    if (Each->m_CooldownUntil <= Now && hasFreeSlot(*Each, What))
      Out.push_back(Each);
  }
  return Out;
}

std::vector<KnownTarget *> Dispatcher::candidates(const PlacementRequest &What,
                                                  core::TimePoint Now) const {
  const VersionGate *Gate = gateOf(What.m_Pool);
  if (Gate) {
    std::vector<KnownTarget *> Canaries = canaryCandidates(*Gate, What, Now);
    if (!Canaries.empty())
      return Canaries;
  }
  std::vector<KnownTarget *> Out;
  auto AddCandidates = [&](const std::vector<KnownTarget *> &From) {
    for (KnownTarget *Each : From)
      if (m_Targets.acceptsRequests(*Each, Now) &&
          What.m_TriedTargets.count(Each->m_Target.incarnation()) == 0 &&
          (!Gate || Gate->mayServe(Each->m_Target, Now)))
        Out.push_back(Each);
  };
  AddCandidates(m_Targets.subsetOf(What.m_Pool));
  // During a rollout, this instance's subset may contain no target of a version
  // that takes requests.
  if (Gate && Out.empty())
    AddCandidates(m_Targets.allTargetsOf(What.m_Pool));
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
                             const PlacementRequest &What) const {
  if (Known.isOnProbation())
    return Known.m_LocalLoad.m_Running == 0;
  return Known.running() < slotsFor(Known, What);
}

KnownTarget *Dispatcher::choose(const PlacementRequest &What, bool MustSend,
                                core::TimePoint Now, bool &HasCandidate) {
  KnownTarget *Best = nullptr;
  bool IsBestExpired = false;
  double BestCost = 0;
  for (KnownTarget *Each : candidates(What, Now)) {
    HasCandidate = true;
    if (!MustSend && !hasFreeSlot(*Each, What))
      continue;
    // Targets with an expired announcement are used when the others are full.
    bool IsExpired = Each->m_ExpiredAt.has_value();
    double Cost = cost(*Each, What, Now);
    if (Best && std::tie(IsExpired, Cost) >= std::tie(IsBestExpired, BestCost))
      continue;
    Best = Each;
    IsBestExpired = IsExpired;
    BestCost = Cost;
  }
  return Best;
}

std::optional<core::TimePoint>
Dispatcher::nextAvailability(const PlacementRequest &What,
                             core::TimePoint Now) const {
  if (m_Targets.throttles().isEmpty())
    return std::nullopt;
  auto Ahead =
      std::count_if(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return Each.second.m_Pool == What.m_Pool &&
               precedes(Each.second, What, Now);
      });
  return m_Targets.availableAt(What.m_Pool, static_cast<std::size_t>(Ahead),
                               Now, What.m_TriedTargets);
}

bool Dispatcher::trySend(const PlacementRequest &What, core::TimePoint Now) {
  bool HasCandidate = false;
  bool IsTimeUp = queueDeadline(What) <= Now;
  // A stream that queues at a full target delays all streams there, so it is
  // refused instead; its caller can retry.
  bool MustSend = IsTimeUp && (!What.m_IsInference ||
                               m_Policy == PlacementPolicy::LeastOutstanding);
  KnownTarget *Best = choose(What, MustSend, Now, HasCandidate);
  // The lowest priority uses a reserved slot only after its queue deadline.
  if (Best && !IsTimeUp && !leavesReservedSlots(What, Now))
    return false;
  if (!HasCandidate && !IsTimeUp) {
    auto AvailableAt = nextAvailability(What, Now);
    if (AvailableAt && *AvailableAt <= queueDeadline(What))
      return false;
  }
  if (!HasCandidate || (IsTimeUp && !Best)) {
    m_Hooks.m_Refuse(What.m_Request);
    return true;
  }
  if (!Best)
    return false;
  Target Chosen = Best->m_Target;
  if (!m_Targets.tryStartRequest(Chosen.incarnation(), What.m_PromptTokens,
                                 Now))
    return false;
  m_Hooks.m_Send(What.m_Request, Chosen);
  return true;
}

void Dispatcher::place(const PlacementRequest &What, core::TimePoint Now) {
  recordPriority(What, Now);
  bool IsBehindOthers =
      std::any_of(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return Each.second.m_Pool == What.m_Pool &&
               precedes(Each.second, What, Now);
      });
  if (!IsBehindOthers && trySend(What, Now))
    return;
  // Refuse now what throttled targets would accept only after the deadline.
  auto AvailableAt = nextAvailability(What, Now);
  if (AvailableAt && *AvailableAt > queueDeadline(What))
    return m_Hooks.m_Refuse(What.m_Request);
  m_Waiting.emplace(What.m_Request, What);
}

std::size_t Dispatcher::waitingFor(const core::PoolName &Pool) const {
  return static_cast<std::size_t>(
      std::count_if(m_Waiting.begin(), m_Waiting.end(), [&](const auto &Each) {
        return Each.second.m_Pool == Pool;
      }));
}

bool Dispatcher::withdraw(core::RequestId Request) {
  return m_Waiting.erase(Request) != 0;
}

void Dispatcher::dispatchWaiting(core::TimePoint Now) {
  std::vector<const PlacementRequest *> Order;
  Order.reserve(m_Waiting.size());
  for (const auto &[Request, What] : m_Waiting)
    Order.push_back(&What);
  std::sort(Order.begin(), Order.end(),
            [&](const PlacementRequest *A, const PlacementRequest *B) {
              return precedes(*A, *B, Now);
            });
  // Once a request has to wait, later ones of its pool must not overtake it.
  // Those whose queue deadline has passed are still sent or refused.
  std::set<core::PoolName> Full;
  for (const PlacementRequest *What : Order) {
    if (Full.count(What->m_Pool) != 0 && Now < queueDeadline(*What))
      continue;
    if (trySend(*What, Now))
      m_Waiting.erase(core::RequestId(What->m_Request));
    else
      Full.insert(What->m_Pool);
  }
}

} // namespace yardrill::routing
