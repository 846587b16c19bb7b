#include "LibRouting/SlotLending.h"

#include <algorithm>
#include <cmath>

namespace yardrill::routing {

/// Lower bound of a lease: several round trips.
static constexpr std::chrono::milliseconds MinLeaseTime{200};
/// Time for which arrivals are served from the reserve: until the group knows
/// of the lent slot, and the next of its own requests have ended.
static constexpr double ReserveSeconds = 0.1;
/// Standard deviations of the number of arrivals that the reserve covers.
static constexpr double ReserveDeviations = 2;

static TierDemand sumOf(const PoolDemand &Demand) {
  TierDemand Out;
  for (const auto &[Tier, Each] : Demand)
    Out += Each;
  return Out;
}

bool SlotLending::isAnyWaiting(const core::PoolName &Pool,
                               core::TimePoint Now) const {
  return m_Requests.waitingFor(Pool) > 0 ||
         sumOf(m_Requests.demand().group(Pool, Now)).m_Waiting > 0;
}

double SlotLending::reservedSlots(const core::PoolName &Pool,
                                  core::TimePoint Now) const {
  TierDemand Demand = sumOf(m_Requests.demand().group(Pool, Now));
  // Peers report their demand only while slots are scarce; what runs at the
  // targets is known at any time. Lent slots are no demand of this group.
  double Offered = Demand.m_OfferedSlots;
  double Running = 0;
  for (const KnownTarget *Each : m_Targets.subsetOf(Pool))
    Running += static_cast<double>(Each->running() - Each->m_ReservedSlots);
  Offered = std::max(Offered, Running);
  // The number of busy slots varies by the root of the offered load (Poisson
  // arrivals, any slot time). If slots are held for long, only the arrivals
  // within ReserveSeconds matter.
  double Deviation = ReserveDeviations * std::sqrt(Offered);
  double SlotSeconds = core::toSeconds(Demand.meanSlotTime());
  if (SlotSeconds > 0) {
    double Arrivals = Offered / SlotSeconds * ReserveSeconds;
    Deviation =
        std::min(Deviation, Arrivals + ReserveDeviations * std::sqrt(Arrivals));
  }
  return std::max(1.0, std::ceil(Deviation));
}

bool SlotLending::isLendable(const KnownTarget &Known,
                             core::TimePoint Now) const {
  if (!m_Targets.acceptsRequests(Known, Now) || Known.m_ExpiredAt ||
      Known.m_CooldownUntil > Now || Known.isOnProbation())
    return false;
  // Only its senders may send to a limited target.
  TargetIncarnation Incarnation = Known.m_Target.incarnation();
  auto Next = m_Targets.throttles().availability(Incarnation, Now);
  if (!Next || Next->m_PerSecond)
    return false;
  const VersionGate *Gate = m_Requests.gateOf(Known.m_Target.m_Pool);
  return !Gate || Gate->mayServe(Known.m_Target, Now);
}

const KnownTarget *SlotLending::choose(const PlacementRequest &Request,
                                       const core::DataHallName &BorrowerHall,
                                       core::TimePoint Now) const {
  double Free = 0;
  const KnownTarget *Best = nullptr;
  double BestCost = 0;
  for (const KnownTarget *Each : m_Targets.subsetOf(Request.m_Pool)) {
    if (!isLendable(*Each, Now) || !m_Requests.hasFreeSlot(*Each, Request))
      continue;
    Free += static_cast<double>(Dispatcher::slotsFor(*Each, Request) -
                                Each->running());
    double Cost = m_Requests.cost(*Each, Request, BorrowerHall, Now);
    if (!Best || Cost < BestCost) {
      Best = Each;
      BestCost = Cost;
    }
  }
  return Free - 1 >= reservedSlots(Request.m_Pool, Now) ? Best : nullptr;
}

std::optional<SlotLease> SlotLending::grant(const SlotQuestion &Question,
                                            const OtherInstance &Borrower,
                                            core::TimePoint Now) {
  if (!m_Requests.overload().m_SlotLending)
    return std::nullopt;
  if (isAnyWaiting(Question.m_Pool, Now)) {
    ++m_RefusedForWaiting;
    return std::nullopt;
  }
  PlacementRequest Request;
  Request.m_Pool = Question.m_Pool;
  Request.m_Priority = Question.m_Priority;
  Request.m_IsInference = Question.m_PromptTokens > 0;
  Request.m_PromptTokens = Question.m_PromptTokens;
  Request.m_EndsAt = Now + MaxLeaseTime;
  const KnownTarget *Chosen = choose(Request, Borrower.m_DataHall, Now);
  if (!Chosen) {
    ++m_RefusedForReserve;
    return std::nullopt;
  }
  core::Duration HeldTime = std::clamp<core::Duration>(
      2 * Question.m_ExpectedTime, MinLeaseTime, MaxLeaseTime);
  if (Question.m_ExpectedTime == core::Duration::zero())
    HeldTime = MaxLeaseTime;
  auto Lease =
      m_Leases.grant(Chosen->m_Target.incarnation(), Borrower.m_Address,
                     HeldTime, Now, LeaseScope::OtherGroup);
  if (Lease)
    ++m_LentCount;
  return Lease;
}

} // namespace yardrill::routing
