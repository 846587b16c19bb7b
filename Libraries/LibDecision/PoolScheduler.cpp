#include "LibDecision/PoolScheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace yardrill::decision {

/// Part of its time limit after which a waiting request of a higher tier
/// preempts a running one of the lowest tier.
static const int PreemptNumerator = 1;
static const int PreemptDenominator = 2;
/// Limit on the time to drain the queue, before the spread is applied.
static const double MaxRetrySeconds = 120;
static const double MinRetrySpread = 0.75;
static const double MaxRetrySpread = 1.75;
static const double CompletionRateWeight = 0.1;
/// Limit on the waiting requests that one pass over the queue skips.
static const std::size_t MaxSkippedRequests = 16;
static const double ExpectedCostPerToken = 1.0 / 256;

PoolScheduler::PoolScheduler(const core::PoolName &Name,
                             const InstanceRef &Self, std::uint64_t Seed,
                             PoolHooks Hooks)
    : m_Name(Name), m_Self(Self), m_Hooks(std::move(Hooks)), m_Random(Seed),
      m_Member(Name, Self, m_ThresholdTimings) {}

void PoolScheduler::configure(const config::FleetConfiguration &Configuration,
                              const config::Pool &Pool, core::TimePoint Now) {
  m_QueueLimit = Pool.m_QueueLimit;
  m_Highest = Configuration.tiers().front().m_Number;
  m_Lowest = Configuration.tiers().back().m_Number;
  m_Member.setTiers(m_Highest, m_Lowest);
  if (m_Leader)
    m_Leader->setTiers(m_Highest, m_Lowest);
  m_Targets.configure(Pool, m_Highest);
  dispatchWaiting(Now);
}

void PoolScheduler::setInstances(std::uint32_t Count, core::TimePoint Now) {
  m_Targets.setInstances(std::max<std::uint32_t>(Count, 1));
  dispatchWaiting(Now);
}

void PoolScheduler::setLeavingTargets(
    const std::set<core::TargetName> &Leaving) {
  m_Targets.setLeaving(Leaving);
}

std::size_t PoolScheduler::running() const {
  std::size_t Count = 0;
  for (const auto &[Tier, Requests] : m_Running)
    Count += Requests.size();
  return Count;
}

//===----------------------------------------------------------------------===//
// Admission, queue and dispatch
//===----------------------------------------------------------------------===//

void PoolScheduler::admit(RequestState &Request, core::TimePoint Now) {
  if (m_Targets.all().empty())
    // Not load shedding: no tier can run in a pool without targets, so this
    // refusal needs no permit.
    return m_Hooks.m_Refuse(Request, RefusalKind::NoTarget, {});
  bool IsAdmitted = m_Member.mayAdmit(Request.tier());
  // Until a leader has set the threshold, lower tiers wait.
  if (!IsAdmitted && m_Member.hasThreshold() &&
      m_Member.mayShed(Request.tier(), Now))
    return m_Hooks.m_Refuse(Request, RefusalKind::TierShed,
                            validUntil(Request.tier()));
  bool IsFirst = !m_Queue.front(Request.tier());
  if (IsAdmitted && IsFirst && tryDispatch(Request, Now))
    return;
  enqueue(Request, false);
  // The requests ahead of it may be restricted to targets that are full.
  if (!IsFirst)
    dispatchWaiting(Now);
  enforceQueueLimit(Now);
}

bool PoolScheduler::tryDispatch(RequestState &Request, core::TimePoint Now) {
  ExpectedWork Work{Request.m_Arrival.m_PrefillTokens,
                    Request.m_Arrival.m_OutputTokens,
                    Request.m_Arrival.m_PrefixHash, &Request.m_Policy};
  auto Target = m_Targets.choose(Work, Request.tier(), Now, m_Random);
  if (!Target)
    return false;
  // A request is dispatched at most once (brief).
  assert(Request.m_Phase != RequestPhase::Dispatched);
  Request.m_Phase = RequestPhase::Dispatched;
  Request.m_Target = *Target;
  Request.m_DispatchedAt = Now;
  m_Targets.started(*Target, Request.tier());
  m_Running[Request.tier()].insert(Request.id());
  bool StoreResponse = Request.m_Arrival.m_Identity.has_value();
  m_Hooks.m_Emit(Dispatch{Request.id(), *Target,
                          m_Targets.find(*Target)->m_Target.m_Address,
                          StoreResponse});
  return true;
}

void PoolScheduler::enqueue(RequestState &Request, bool IsFront) {
  Request.m_Phase = RequestPhase::Queued;
  PoolQueue::Entry Entry;
  Entry.m_Request = Request.id();
  Entry.m_Tier = Request.tier();
  Entry.m_Account = Request.m_Arrival.m_Account;
  Entry.m_Cost = 1 + ExpectedCostPerToken * (Request.m_Arrival.m_PrefillTokens +
                                             Request.m_Arrival.m_OutputTokens);
  Entry.m_Order = Request.m_Policy.m_Order;
  Entry.m_IsSheddable = Request.m_Policy.m_IsSheddable;
  Entry.m_Weight = Request.m_Weight;
  if (IsFront)
    m_Queue.pushFront(Entry);
  else
    m_Queue.push(Entry);
  if (Request.m_Policy.m_IsSheddable)
    m_Deadlines[Request.tier()].emplace(Request.m_Deadline, Request.id());
}

bool PoolScheduler::withdraw(RequestState &Request) {
  if (!m_Queue.remove(Request.id()))
    return false;
  removeDeadline(Request);
  return true;
}

void PoolScheduler::removeDeadline(const RequestState &Request) {
  m_Deadlines[Request.tier()].erase({Request.m_Deadline, Request.id()});
}

void PoolScheduler::dispatchWaiting(core::TimePoint Now) {
  // Skipped requests, whose policy allows only targets without a free slot.
  std::vector<core::RequestId> Restricted;
  while (auto Next = m_Queue.front(m_Member.threshold())) {
    RequestState &Request = m_Hooks.m_Find(*Next);
    if (tryDispatch(Request, Now)) {
      m_Queue.dequeue(*Next);
      removeDeadline(Request);
      continue;
    }
    const auto &Policy = Request.m_Policy;
    bool IsRestricted =
        !Policy.m_DataHalls.empty() || !Policy.m_Targets.empty();
    // If an unrestricted request finds no slot, no later one does, since its
    // tier is the same or a lower one.
    if (!IsRestricted || Restricted.size() >= MaxSkippedRequests)
      break;
    withdraw(Request);
    Restricted.push_back(*Next);
  }
  for (auto Id = Restricted.rbegin(); Id != Restricted.rend(); ++Id)
    enqueue(m_Hooks.m_Find(*Id), true);
}

core::TimePoint PoolScheduler::validUntil(core::TierNumber Tier) const {
  return Tier < m_Lowest ? m_Member.shedPermitUntil() : core::TimePoint();
}

void PoolScheduler::enforceQueueLimit(core::TimePoint Now) {
  while (m_Queue.size() > m_QueueLimit) {
    auto Candidate = m_Queue.shedCandidate();
    if (!Candidate)
      return;
    // Without a permit, a tier above the lowest keeps waiting. The open
    // connections bound the excess.
    if (!m_Member.mayShed(Candidate->m_Tier, Now))
      return;
    RequestState &Request = m_Hooks.m_Find(Candidate->m_Request);
    withdraw(Request);
    m_Hooks.m_Refuse(Request, RefusalKind::QueueFull,
                     validUntil(Candidate->m_Tier));
  }
}

void PoolScheduler::refuseOverdue(core::TimePoint Now) {
  // Starts with the lowest tier, so that no higher one is refused before it.
  for (auto Tier = m_Deadlines.rbegin(); Tier != m_Deadlines.rend(); ++Tier) {
    auto &Waiting = Tier->second;
    while (!Waiting.empty() && Waiting.begin()->first <= Now) {
      if (!m_Member.mayShed(Tier->first, Now))
        break;
      RequestState &Request = m_Hooks.m_Find(Waiting.begin()->second);
      withdraw(Request);
      RefusalKind Kind = Request.m_HasFailedConnect
                             ? RefusalKind::TargetUnreachable
                             : RefusalKind::DeadlinePassed;
      m_Hooks.m_Refuse(Request, Kind, validUntil(Tier->first));
    }
  }
}

void PoolScheduler::connectFailed(RequestState &Request, core::TimePoint Now) {
  assert(Request.m_Phase == RequestPhase::Dispatched);
  m_Running[Request.tier()].erase(Request.id());
  m_Targets.connectFailed(Request.m_Target, Request.tier(), Now);
  Request.m_HasFailedConnect = true;
  enqueue(Request, true);
  dispatchWaiting(Now);
}

void PoolScheduler::requestEnded(RequestState &Request,
                                 const ResponseEnded &End,
                                 core::TimePoint Now) {
  assert(Request.m_Phase == RequestPhase::Dispatched);
  m_Running[Request.tier()].erase(Request.id());
  m_Targets.finished(Request.m_Target, Request.tier());
  updateCompletionRate(Now);
  if (End.m_Outcome == ResponseOutcome::Complete &&
      Request.m_ResponseStartedAt) {
    ExpectedWork Work{Request.m_Arrival.m_PrefillTokens,
                      Request.m_Arrival.m_OutputTokens, 0, nullptr};
    m_Targets.updateRates(Request.m_Target, Work,
                          *Request.m_ResponseStartedAt - Request.m_DispatchedAt,
                          Now - *Request.m_ResponseStartedAt,
                          End.m_OutputTokens);
  }
  dispatchWaiting(Now);
}

void PoolScheduler::readmit(RequestState &Request, core::TimePoint Now) {
  enqueue(Request, true);
  dispatchWaiting(Now);
}

void PoolScheduler::updateCompletionRate(core::TimePoint Now) {
  if (m_LastCompletionAt != core::TimePoint()) {
    double Gap = std::max(core::toSeconds(Now - m_LastCompletionAt), 1e-4);
    m_CompletionRate += CompletionRateWeight * (1 / Gap - m_CompletionRate);
  }
  m_LastCompletionAt = Now;
}

std::uint32_t PoolScheduler::retryAfterSeconds() {
  double Waiting = static_cast<double>(m_Queue.size() + 1);
  double Seconds = m_CompletionRate > 0 ? Waiting / m_CompletionRate : 1;
  std::uniform_real_distribution<double> Spread(MinRetrySpread, MaxRetrySpread);
  Seconds = std::min(std::max(Seconds, 1.0), MaxRetrySeconds);
  return static_cast<std::uint32_t>(std::ceil(Seconds * Spread(m_Random)));
}

std::size_t PoolScheduler::countUrgent(core::TimePoint Now) const {
  std::size_t Count = 0;
  for (const auto &[Tier, Waiting] : m_Deadlines) {
    if (!(Tier < m_Lowest))
      continue;
    for (const auto &[Deadline, Id] : Waiting) {
      const RequestState &Request = m_Hooks.m_Find(Id);
      core::Duration Allowed = Deadline - Request.m_ArrivedAt;
      if (Now <
          Request.m_ArrivedAt + Allowed * PreemptNumerator / PreemptDenominator)
        break;
      ++Count;
    }
  }
  return Count;
}

void PoolScheduler::preemptLowestTier(core::TimePoint Now) {
  auto Lowest = m_Running.find(m_Lowest);
  if (Lowest == m_Running.end() || Lowest->second.empty())
    return;
  std::size_t Remaining = countUrgent(Now);
  // The newest requests lose the least work.
  for (auto Id = Lowest->second.rbegin();
       Id != Lowest->second.rend() && Remaining > 0; ++Id) {
    RequestState &Request = m_Hooks.m_Find(*Id);
    if (!Request.m_Arrival.m_IsEvictable)
      continue;
    --Remaining;
    if (Request.m_IsCancelled)
      continue;
    Request.m_IsCancelled = true;
    m_Hooks.m_Emit(Cancel{*Id});
  }
}

void PoolScheduler::timePassed(core::TimePoint Now) {
  refuseOverdue(Now);
  preemptLowestTier(Now);
  enforceQueueLimit(Now);
  // The connect back-off of a target may have ended.
  dispatchWaiting(Now);
  maintainTierOrder(Now);
}

//===----------------------------------------------------------------------===//
// Threshold protocol between instances
//===----------------------------------------------------------------------===//

/// Period of reports and commands under load, and while isQuiet(). A change
/// ends the idle period early.
static const std::chrono::milliseconds ActiveReportPeriod(200);
static const std::chrono::milliseconds IdleReportPeriod(1500);
static const std::chrono::seconds LeaderTimeout(5);
static const std::chrono::seconds RecordReadPeriod(1);
static const std::chrono::milliseconds MaxCampaignDelay(500);

const char *PoolScheduler::leaderPhase() const {
  if (!m_Leader)
    return "";
  switch (m_Leader->phase()) {
  case ThresholdPhase::Adopt:
    return "adopt";
  case ThresholdPhase::Hold:
    return "hold";
  case ThresholdPhase::Shed:
    return "shed";
  }
  return "";
}

bool PoolScheduler::runsBelowThreshold() const {
  auto Below = m_Running.upper_bound(m_Member.threshold());
  return std::any_of(Below, m_Running.end(),
                     [](const auto &Tier) { return !Tier.second.empty(); });
}

core::TierNumber PoolScheduler::tierUnderPressure(core::TimePoint Now) const {
  bool IsQueueFull = m_Queue.size() >= m_QueueLimit;
  for (const auto &[Tier, Waiting] : m_Deadlines) {
    if (Waiting.empty() || !(Tier < m_Lowest))
      continue;
    auto Candidate = m_Queue.shedCandidate();
    bool IsCandidateTier = Candidate && Candidate->m_Tier == Tier;
    if (Waiting.begin()->first <= Now || (IsQueueFull && IsCandidateTier))
      return Tier;
  }
  return core::TierNumber(0);
}

void PoolScheduler::evictBelowThreshold() {
  auto Below = m_Running.upper_bound(m_Member.threshold());
  for (; Below != m_Running.end(); ++Below) {
    for (core::RequestId Id : Below->second) {
      RequestState &Request = m_Hooks.m_Find(Id);
      // Requests that may not be evicted run to their end.
      if (Request.m_IsCancelled || !Request.m_Arrival.m_IsEvictable)
        continue;
      Request.m_IsCancelled = true;
      m_Hooks.m_Emit(Cancel{Id});
    }
  }
}

bool PoolScheduler::isQuiet(core::TimePoint Now) const {
  bool IsMemberQuiet =
      m_Member.leader() && !m_IsStopping &&
      m_ReportedStamp == m_Member.stamp() && m_Member.shedPermitUntil() < Now &&
      !runsBelowThreshold() && tierUnderPressure(Now).value() == 0;
  return IsMemberQuiet && (!m_Leader || m_Leader->isQuiet());
}

void PoolScheduler::maintainTierOrder(core::TimePoint Now) {
  core::Duration Period = isQuiet(Now) ? IdleReportPeriod : ActiveReportPeriod;
  if (Now < m_LastReportAt + Period)
    return;
  m_LastReportAt = Now;
  m_ReportedStamp = m_Member.stamp();
  if (m_Leader)
    leadPool(Now);
  sendReport(Now);
  seekLeader(Now);
}

void PoolScheduler::sendReport(core::TimePoint Now) {
  if (!m_Member.leader())
    return;
  ThresholdReport Report =
      m_Member.report(!runsBelowThreshold(), tierUnderPressure(Now), Now);
  Report.m_IsLeaving = m_IsStopping && m_Queue.isEmpty() && running() == 0;
  if (m_Leader && *m_Member.leader() == m_Self)
    handleReport(Report, Now);
  else
    m_Hooks.m_Emit(SendThresholdReport{*m_Member.leader(), Report});
}

void PoolScheduler::leadPool(core::TimePoint Now) {
  if (auto Record = m_Leader->recordToWrite())
    m_Hooks.m_Emit(WriteThresholdRecord{m_Name, m_Leader->revision(), *Record});
  for (auto &[Member, Command] : m_Leader->step(Now)) {
    if (Member == m_Self)
      applyCommand(Command, Now);
    else
      m_Hooks.m_Emit(SendThresholdCommand{Member, Command});
  }
}

void PoolScheduler::applyCommand(const ThresholdCommand &Command,
                                 core::TimePoint Now) {
  if (m_Leader && m_Leader->epoch() < Command.m_Stamp.m_Epoch)
    m_Leader.reset();
  if (!m_Member.applyCommand(Command, Now))
    return;
  m_CampaignAt = core::TimePoint();
  evictBelowThreshold();
  dispatchWaiting(Now);
}

void PoolScheduler::handleReport(const ThresholdReport &Report,
                                 core::TimePoint Now) {
  if (m_Leader && !m_Leader->handleReport(Report, Now))
    m_Leader.reset();
}

void PoolScheduler::seekLeader(core::TimePoint Now) {
  if (m_Leader || m_IsStopping)
    return;
  if (m_CampaignAt != core::TimePoint() && m_CampaignAt <= Now) {
    m_CampaignAt = core::TimePoint();
    ThresholdRecord Next = m_LastRecord->m_Record;
    ++Next.m_Epoch;
    Next.m_Leader = m_Self;
    auto &Members = Next.m_Members;
    if (std::find(Members.begin(), Members.end(), m_Self) == Members.end())
      Members.push_back(m_Self);
    m_LastRecord->m_Record = Next;
    m_Hooks.m_Emit(
        WriteThresholdRecord{m_Name, m_LastRecord->m_Revision, Next});
    return;
  }
  bool IsSilent = Now - m_Member.lastCommandAt() > LeaderTimeout;
  if (!IsSilent || Now < m_NextRecordReadAt)
    return;
  m_NextRecordReadAt = Now + RecordReadPeriod;
  m_Hooks.m_Emit(ReadThresholdRecord{m_Name});
}

void PoolScheduler::recordRead(const ThresholdRecordRead &Read,
                               core::TimePoint Now) {
  m_LastRecord = Read;
  if (Read.m_IsLeaderLive && !(Read.m_Record.m_Leader == m_Self))
    return m_Member.setLeader(Read.m_Record.m_Leader, Read.m_Record.m_Epoch);
  if (m_Leader || m_IsStopping)
    return;
  // Random delays make it likely that one candidate writes first.
  std::uniform_int_distribution<std::int64_t> Delay(
      0, core::Duration(MaxCampaignDelay).count());
  m_CampaignAt = Now + core::Duration(Delay(m_Random));
}

void PoolScheduler::recordWritten(const ThresholdRecordWritten &Written,
                                  core::TimePoint Now) {
  if (m_Leader) {
    if (!m_Leader->recordWritten(Written.m_IsWritten, Written.m_Revision))
      m_Leader.reset();
    // The record no longer names this instance, so no member waits for it.
    else if (m_IsStopping && !m_Leader->hasMember(m_Self)) {
      m_Leader.reset();
      m_Hooks.m_Emit(ResignLeadership{m_Name});
    }
    return;
  }
  if (!Written.m_IsWritten || !m_LastRecord || m_IsStopping)
    return;
  m_Leader = std::make_unique<ThresholdLeader>(
      m_Name, m_Self, m_LastRecord->m_Record, Written.m_Revision,
      m_ThresholdTimings, Now);
  m_Leader->setTiers(m_Highest, m_Lowest);
  m_Member.setLeader(m_Self, m_Leader->epoch());
}

void PoolScheduler::memberGone(core::IncarnationId Incarnation) {
  if (m_Leader)
    m_Leader->memberGone(Incarnation);
}

} // namespace yardrill::decision
