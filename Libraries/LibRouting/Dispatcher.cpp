#include "LibRouting/Dispatcher.h"

#include <limits>

namespace yardrill::routing {

/// Prompt tokens that a target of ordinary speed reads in a millisecond; the
/// order of size matters, the learned slowness does the rest.
static constexpr double PromptTokensPerMs = 50;
/// What one running request adds to the next one's time: its tokens come
/// slower, and its end is further away.
static constexpr double RunningCostMs = 12;
/// Wait behind each request that has no place at the target yet.
static constexpr double QueuedCostMs = 150;
/// Way to another data hall and back, and the price of its bytes.
static constexpr double OtherHallCostMs = 2;
/// A target that fails every request costs as much as this wait.
static constexpr double FailureCostMs = 2000;

double Dispatcher::cost(const KnownTarget &At,
                        const PlacementRequest &What) const {
  double HallCost = At.m_Target.m_DataHall == m_Home ? 0 : OtherHallCostMs;
  if (m_Policy == PlacementPolicy::LeastOutstanding)
    return static_cast<double>(At.m_Own.m_Running) /
               static_cast<double>(At.m_Target.m_Places) +
           HallCost / 1000;
  double Running = static_cast<double>(At.running());
  double Places = static_cast<double>(At.m_Target.m_Places);
  double Queued = Running >= Places ? Running - Places + 1 : 0;
  double Prompt = 0;
  if (What.m_IsModel)
    Prompt =
        static_cast<double>(At.m_Own.m_PendingPrompt +
                            At.m_Others.m_PendingPrompt + What.m_PromptTokens) /
        PromptTokensPerMs;
  double Time = Prompt + Running * RunningCostMs + Queued * QueuedCostMs;
  return (Time + 1) * At.m_Slowness + HallCost +
         At.m_FailureShare * FailureCostMs;
}

KnownTarget *Dispatcher::choose(const PlacementRequest &What,
                                core::TimePoint Now) {
  KnownTarget *Best = nullptr;
  int BestClass = std::numeric_limits<int>::max();
  double BestCost = 0;
  for (KnownTarget *Each : m_Targets.of(What.m_Pool)) {
    if (Each->m_Target.m_IsLeaving || What.m_Tried.count(Each->m_Target.m_Name))
      continue;
    // Worse classes are used only when a better one is empty.
    int Class = Each->m_LapsedAt ? 2 : Each->m_RestsUntil > Now ? 1 : 0;
    double Cost = cost(*Each, What);
    if (Class > BestClass || (Class == BestClass && Cost >= BestCost))
      continue;
    Best = Each;
    BestClass = Class;
    BestCost = Cost;
  }
  return Best;
}

bool Dispatcher::trySend(const PlacementRequest &What, bool MustSend,
                         core::TimePoint Now) {
  KnownTarget *Best = choose(What, Now);
  if (!Best) {
    m_Hooks.m_Refuse(What.m_Request);
    return true;
  }
  bool IsBaseline = m_Policy == PlacementPolicy::LeastOutstanding;
  if (!MustSend && !IsBaseline && !Best->hasFreePlace())
    return false;
  Target Where = Best->m_Target;
  m_Targets.started(Where.m_Name, What.m_PromptTokens);
  m_Hooks.m_Send(What.m_Request, Where);
  return true;
}

void Dispatcher::place(const PlacementRequest &What, core::TimePoint Now) {
  auto &Queue = m_Queues[What.m_Pool];
  // Those of the same or a higher tier who wait already go first.
  bool IsBehindOthers =
      !Queue.empty() && !(What.m_Tier < std::get<0>(Queue.begin()->first));
  if (!IsBehindOthers && trySend(What, What.m_OfferBy <= Now, Now))
    return;
  QueueKey Key(What.m_Tier, What.m_OfferBy, What.m_Request);
  Queue.emplace(Key, What);
  m_Waiting.emplace(What.m_Request, std::make_pair(What.m_Pool, Key));
}

bool Dispatcher::withdraw(core::RequestId Request) {
  auto Found = m_Waiting.find(Request);
  if (Found == m_Waiting.end())
    return false;
  m_Queues[Found->second.first].erase(Found->second.second);
  m_Waiting.erase(Found);
  return true;
}

void Dispatcher::dispatchWaiting(core::TimePoint Now) {
  for (auto &[Pool, Queue] : m_Queues) {
    bool HasPlaces = true;
    for (auto Place = Queue.begin(); Place != Queue.end();) {
      const PlacementRequest &What = Place->second;
      bool MustSend = What.m_OfferBy <= Now;
      if ((!HasPlaces && !MustSend) || !trySend(What, MustSend, Now)) {
        HasPlaces = false;
        ++Place;
        continue;
      }
      m_Waiting.erase(What.m_Request);
      Place = Queue.erase(Place);
    }
  }
}

} // namespace yardrill::routing
