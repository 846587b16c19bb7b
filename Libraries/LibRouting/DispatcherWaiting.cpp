//===-- DispatcherWaiting.cpp - Early refusals and returns ----------------===//
#include "LibRouting/Dispatcher.h"
#include "LibRouting/ReturnSchedule.h"

#include <utility>

namespace yardrill::routing {

/// Period in which waiting requests are reviewed.
static constexpr std::chrono::milliseconds ReviewPeriod{20};

std::optional<PredictedWait>
Dispatcher::predictWait(const PlacementRequest &Request, std::size_t Ahead,
                        std::size_t TierAhead, std::size_t TierWaiting,
                        core::TimePoint Now) const {
  // Without an objective, a request waits as long as its caller does.
  if (!Request.m_IsInference || !Request.hasObjective())
    return std::nullopt;
  PoolDemand Own = m_Demand.own(Request.m_Pool, Now);
  PoolDemand Group = m_Demand.group(Request.m_Pool, Now);
  WaitOutlook Outlook;
  Outlook.m_Ahead = static_cast<double>(Ahead);
  Outlook.m_SlotsPerSecond =
      m_SlotRate.rates(Request.m_Pool, Group, Request.m_Priority, Now).m_OfTier;
  // Peers serve their own requests of this priority first. They are taken to
  // have as many ahead of this one, in proportion, as this instance.
  double AheadShare =
      static_cast<double>(TierAhead) / static_cast<double>(TierWaiting);
  for (const auto &[Tier, Demand] : Group) {
    double PeersWaiting = Demand.m_Waiting - Own[Tier].m_Waiting;
    if (Tier < Request.m_Priority)
      Outlook.m_Ahead += PeersWaiting;
    else if (Tier == Request.m_Priority)
      Outlook.m_Ahead += PeersWaiting * AheadShare;
  }
  return m_WaitPrediction.predict(Request.m_Pool, Request.m_Priority, Outlook);
}

bool Dispatcher::mayRefuseEarly(const PlacementRequest &Request,
                                core::TimePoint Now) const {
  // A returned caller does not return again, and one whose target failed may
  // have been run. Predictions are about targets of all versions.
  if (!m_Overload.m_WaitPrediction || Request.m_FirstArrivedAt ||
      Request.m_Version || !Request.m_TriedTargets.empty() ||
      !hasFewFreeSlots(Request.m_Pool, Now))
    return false;
  auto AvailableAt = nextAvailability(Request, Now);
  return !AvailableAt || queueDeadline(Request) < *AvailableAt;
}

bool Dispatcher::tryRefuseOnArrival(const PlacementRequest &Request,
                                    core::TimePoint Now) {
  if (!m_Overload.m_WaitPrediction || Request.m_Version)
    return false;
  std::size_t Ahead = 0;
  std::size_t TierAhead = 0;
  std::size_t TierWaiting = 1;
  for (const auto &[Id, Each] : m_Waiting) {
    if (Each.m_Pool != Request.m_Pool)
      continue;
    bool IsOfTier = Each.m_Priority == Request.m_Priority;
    bool IsAhead = precedes(Each, Request, Now);
    TierWaiting += IsOfTier ? 1 : 0;
    Ahead += IsAhead ? 1 : 0;
    TierAhead += IsAhead && IsOfTier ? 1 : 0;
  }
  auto Predicted = predictWait(Request, Ahead, TierAhead, TierWaiting, Now);
  if (!Predicted)
    return false;
  m_PredictedWaits[Request.m_Request] = {*Predicted, Now, Ahead, 0};
  if (!WaitPrediction::refusesOnArrival(*Predicted,
                                        queueDeadline(Request) - Now) ||
      !mayRefuseEarly(Request, Now) || tryAwaitSlot(Request, Now))
    return false;
  refuse(Request, Now);
  m_PredictedWaits.erase(Request.m_Request);
  return true;
}

void Dispatcher::refuseHopeless(core::TimePoint Now) {
  if (!m_Overload.m_WaitPrediction || m_Waiting.empty() || Now < m_NextReviewAt)
    return;
  m_NextReviewAt = Now + ReviewPeriod;
  struct TierCount {
    std::size_t m_Waiting = 0;
    std::size_t m_Ahead = 0; ///< Of the request that is reviewed.
  };
  std::map<std::pair<core::PoolName, Priority>, TierCount> Tiers;
  for (const auto &[Id, Request] : m_Waiting)
    ++Tiers[{Request.m_Pool, Request.m_Priority}].m_Waiting;
  std::map<core::PoolName, std::size_t> PoolAhead;
  for (const PlacementRequest *Request : waitingInOrder(Now)) {
    TierCount &Tier = Tiers[{Request->m_Pool, Request->m_Priority}];
    std::size_t &Ahead = PoolAhead[Request->m_Pool];
    auto Predicted =
        predictWait(*Request, Ahead, Tier.m_Ahead, Tier.m_Waiting, Now);
    if (Predicted &&
        WaitPrediction::refusesWaiting(*Predicted,
                                       queueDeadline(*Request) - Now) &&
        mayRefuseEarly(*Request, Now) && !tryAwaitSlot(*Request, Now)) {
      refuse(*Request, Now);
      // Copies the key, because withdraw() destroys the request.
      withdraw(core::RequestId(Request->m_Request));
      --Tier.m_Waiting;
      continue;
    }
    ++Ahead;
    ++Tier.m_Ahead;
  }
}

void Dispatcher::refuse(const PlacementRequest &Request, core::TimePoint Now) {
  auto Wait = m_PredictedWaits.find(Request.m_Request);
  if (Wait != m_PredictedWaits.end())
    m_WaitPrediction.recordRefusal(Request.m_Pool, Request.m_Priority,
                                   Wait->second, Now);
  if (m_Waiting.count(Request.m_Request) != 0)
    for (auto &[Id, Each] : m_PredictedWaits)
      if (auto Other = m_Waiting.find(Id);
          Other != m_Waiting.end() && Other->second.m_Pool == Request.m_Pool &&
          Each.m_AheadRefused < Each.m_Ahead &&
          precedes(Request, Other->second, Now))
        ++Each.m_AheadRefused;
  m_Fairness.remove(Request);
  m_Hooks.m_Refuse(Request.m_Request);
}

std::optional<core::Duration>
Dispatcher::predictedWait(core::RequestId Id) const {
  auto Found = m_PredictedWaits.find(Id);
  if (Found == m_PredictedWaits.end())
    return std::nullopt;
  return Found->second.m_Predicted.m_Expected;
}

std::optional<core::Duration>
Dispatcher::returnDelay(const PlacementRequest &Refused, double Random,
                        core::TimePoint Now) const {
  if (!m_Overload.m_ReturnSchedule || !hasFewFreeSlots(Refused.m_Pool, Now))
    return std::nullopt;
  PoolDemand Group = m_Demand.group(Refused.m_Pool, Now);
  return ReturnSchedule::delay({Refused.m_FirstByteDue, Refused.m_EndsAt,
                                Group[Refused.m_Priority].meanSlotTime()},
                               Random, Now);
}

} // namespace yardrill::routing
