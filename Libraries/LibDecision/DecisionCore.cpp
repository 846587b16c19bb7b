#include "LibDecision/DecisionCore.h"

#include "LibCore/Digest.h"
#include "LibCore/Error.h"

#include <algorithm>
#include <cassert>

namespace yardrill::decision {

std::vector<Action> DecisionCore::handle(const Event &What,
                                         core::TimePoint Now) {
  m_Actions.clear();
  std::visit([&](const auto &Event) { on(Event, Now); }, What);
  return std::move(m_Actions);
}

void DecisionCore::on(const InstanceStarted &What, core::TimePoint) {
  m_Self = What.m_Self;
  m_Seed = What.m_Seed;
  m_Retention = core::Duration(What.m_RetentionMicros);
  m_Identities.setCapacity(What.m_Identities);
}

PoolScheduler *DecisionCore::findPool(const core::PoolName &Name) {
  auto Found = m_Pools.find(Name);
  return Found == m_Pools.end() ? nullptr : Found->second.get();
}

void DecisionCore::addPool(const config::Pool &Pool) {
  PoolHooks Hooks;
  Hooks.m_Emit = [this](Action What) { emit(std::move(What)); };
  Hooks.m_Find = [this](core::RequestId Id) -> RequestState & {
    return m_Requests.at(Id);
  };
  Hooks.m_Refuse = [this](RequestState &Request, RefusalKind Kind,
                          core::TimePoint ValidUntil) {
    refuse(Request, Kind, ValidUntil);
  };
  std::uint64_t Seed = m_Seed ^ core::stableHash(Pool.m_Name.value());
  m_Pools.emplace(Pool.m_Name, std::make_unique<PoolScheduler>(
                                   Pool.m_Name, m_Self, Seed, Hooks));
}

void DecisionCore::on(const ConfigurationAccepted &What, core::TimePoint Now) {
  // An accepted configuration never reverts (brief, "What must always hold").
  if (m_Configuration &&
      !(m_Configuration->version() < What.m_Configuration->version()))
    return;
  m_Configuration = What.m_Configuration;
  m_Policy.reset();
  try {
    if (!m_Configuration->policy().empty())
      m_Policy = policy::PolicyProgram::compile(m_Configuration->policy());
  } catch (const core::Error &) {
    // Publishing compiles the program first, so this is unexpected. Requests
    // get the default decision.
    ++m_PolicyFailures;
  }
  for (const config::Pool &Pool : m_Configuration->pools()) {
    if (!findPool(Pool.m_Name))
      addPool(Pool);
    PoolScheduler &Scheduler = *findPool(Pool.m_Name);
    // Must precede configure(), which dispatches waiting requests.
    Scheduler.setLeavingTargets(m_LeavingTargets);
    Scheduler.configure(*m_Configuration, Pool, Now);
    Scheduler.setInstances(m_InstanceCount, Now);
    if (m_IsStopping)
      Scheduler.setStopping();
  }
  // A removed pool keeps its scheduler, without targets, until its requests
  // have ended.
  for (auto &[Name, Scheduler] : m_Pools) {
    if (m_Configuration->findPool(Name))
      continue;
    config::Pool Removed;
    Removed.m_Name = Name;
    Scheduler->configure(*m_Configuration, Removed, Now);
  }
}

//===----------------------------------------------------------------------===//
// Arrival and end of requests
//===----------------------------------------------------------------------===//

void DecisionCore::on(const RequestArrived &What, core::TimePoint Now) {
  auto [Inserted, IsNew] = m_Requests.emplace(What.m_Request, RequestState());
  assert(IsNew && "request ids are never used again");
  RequestState &Request = Inserted->second;
  Request.m_Arrival = What;
  Request.m_ArrivedAt = Now;
  ++m_OpenByAccount[What.m_Account];
  if (m_IsStopping)
    return refuse(Request, RefusalKind::Stopping);
  if (!m_Configuration)
    return refuse(Request, RefusalKind::NotReady);
  const config::Tier *Tier = m_Configuration->findTier(What.m_Tier);
  if (!Tier || !m_Configuration->findPool(What.m_Pool))
    return refuse(Request, RefusalKind::UnknownPool);
  Request.m_Deadline = Now + Tier->m_Deadline;
  const auto *Account = m_Configuration->findAccount(What.m_Account);
  if (Account && m_OpenByAccount[What.m_Account] > Account->m_MaxOpenRequests)
    return refuse(Request, RefusalKind::AccountLimit);
  Request.m_Weight = Account ? Account->m_Weight : 1;
  if (What.m_Identity)
    return admitWithIdentity(Request, Now);
  if (What.m_IsIdentityRequired)
    return refuse(Request, RefusalKind::IdentityRequired);
  admit(Request, Now);
}

void DecisionCore::admit(RequestState &Request, core::TimePoint Now) {
  PoolScheduler *Pool = findPool(Request.m_Arrival.m_Pool);
  if (!Pool)
    return refuse(Request, RefusalKind::UnknownPool);
  applyPolicy(Request, *Pool);
  Pool->admit(Request, Now);
}

void DecisionCore::applyPolicy(RequestState &Request,
                               const PoolScheduler &Pool) {
  if (!m_Policy)
    return;
  const RequestArrived &Arrival = Request.m_Arrival;
  policy::PolicyRequest PolicyInput;
  PolicyInput.m_Account = Arrival.m_Account.value();
  PolicyInput.m_Tier = Arrival.m_Tier.value();
  PolicyInput.m_Pool = Arrival.m_Pool.value();
  PolicyInput.m_PrefillTokens = Arrival.m_PrefillTokens;
  PolicyInput.m_OutputTokens = Arrival.m_OutputTokens;
  PolicyInput.m_IsIdempotent = !Arrival.m_IsIdentityRequired;
  PolicyInput.m_Queued = Pool.queued();
  PolicyInput.m_Running = Pool.running();
  policy::PolicyOutcome Outcome = m_Policy->decide(PolicyInput);
  if (Outcome.m_Failure != policy::PolicyFailure::None)
    ++m_PolicyFailures;
  Request.m_Policy = std::move(Outcome.m_Decision);
}

void DecisionCore::refuse(RequestState &Request, RefusalKind Kind,
                          core::TimePoint ValidUntil) {
  Refuse Out{Request.id(), Kind, 0, ValidUntil.time_since_epoch().count()};
  if (describe(Kind).m_IsRetryUseful) {
    PoolScheduler *Pool = findPool(Request.m_Arrival.m_Pool);
    Out.m_RetryAfterSeconds = Pool ? Pool->retryAfterSeconds() : 1;
  }
  emit(Out);
  if (Out.m_ValidUntil != 0) {
    Request.m_Phase = RequestPhase::Refusing;
    return;
  }
  abandonRunner(Request, Kind);
  forget(Request.id());
}

void DecisionCore::forget(core::RequestId Id) {
  auto Found = m_Requests.find(Id);
  assert(Found != m_Requests.end());
  auto Open = m_OpenByAccount.find(Found->second.m_Arrival.m_Account);
  assert(Open != m_OpenByAccount.end() && Open->second > 0);
  if (--Open->second == 0)
    m_OpenByAccount.erase(Open);
  m_Requests.erase(Found);
}

void DecisionCore::on(const RefusalSettled &What, core::TimePoint Now) {
  auto Found = m_Requests.find(What.m_Request);
  if (Found == m_Requests.end() ||
      Found->second.m_Phase != RequestPhase::Refusing)
    return;
  RequestState &Request = Found->second;
  if (What.m_IsSent) {
    // Stands for the kind that was sent, which is not kept. All kinds with a
    // time limit state "not run".
    abandonRunner(Request, RefusalKind::TierShed);
    return forget(What.m_Request);
  }
  findPool(Request.m_Arrival.m_Pool)->readmit(Request, Now);
}

void DecisionCore::on(const CallerDisconnected &What, core::TimePoint Now) {
  auto Found = m_Requests.find(What.m_Request);
  if (Found == m_Requests.end())
    return;
  RequestState &Request = Found->second;
  switch (Request.m_Phase) {
  case RequestPhase::Dispatched:
    // ResponseEnded ends the request. If connecting fails instead, this event
    // comes again after ConnectFailed.
    return;
  case RequestPhase::Queued:
    findPool(Request.m_Arrival.m_Pool)->withdraw(Request);
    break;
  case RequestPhase::New:
  case RequestPhase::Claiming:
  case RequestPhase::Joined:
  case RequestPhase::Refusing:
    break;
  }
  promoteWaiting(Request, Now);
  emit(Drop{What.m_Request});
  forget(What.m_Request);
}

void DecisionCore::on(const ConnectFailed &What, core::TimePoint Now) {
  RequestState &Request = m_Requests.at(What.m_Request);
  PoolScheduler *Pool = findPool(Request.m_Arrival.m_Pool);
  Pool->connectFailed(Request, Now);
}

void DecisionCore::on(const ResponseStarted &What, core::TimePoint Now) {
  m_Requests.at(What.m_Request).m_ResponseStartedAt = Now;
}

void DecisionCore::on(const ResponseEnded &What, core::TimePoint Now) {
  RequestState Request = m_Requests.at(What.m_Request);
  finishIdentity(Request, What);
  forget(What.m_Request);
  findPool(Request.m_Arrival.m_Pool)->requestEnded(Request, What, Now);
}

//===----------------------------------------------------------------------===//
// Requests with an identity run at most once over a caller's retries
//===----------------------------------------------------------------------===//

IdentityRecord *DecisionCore::findRecord(const RequestState &Request) {
  if (!Request.m_Arrival.m_Identity)
    return nullptr;
  return m_Identities.find(Request.m_Arrival.m_Identity->m_Name);
}

void DecisionCore::admitWithIdentity(RequestState &Request,
                                     core::TimePoint Now) {
  const Identity &Id = *Request.m_Arrival.m_Identity;
  bool IsTicket = Id.m_Kind == IdentityKind::Ticket;
  if (IsTicket && !(Id.m_Owner == m_Self)) {
    // Forwarded for an earlier process at this address.
    if (Request.m_Arrival.m_IsForwarded)
      return refuse(Request, RefusalKind::OwnerLost);
    emit(Forward{Request.id(), Id.m_Owner});
    return forget(Request.id());
  }
  if (IsTicket && Id.m_ExpiresAt <= Now.time_since_epoch().count())
    return refuse(Request, RefusalKind::IdentityExpired);
  if (IdentityRecord *Record = findRecord(Request))
    return handleRepeat(Request, *Record, Now);
  // The sender found a claim of this instance, but there is no record of it.
  if (!IsTicket && Request.m_Arrival.m_IsForwarded)
    return refuse(Request, RefusalKind::OwnerLost);
  if (m_Identities.isFull())
    return refuse(Request, RefusalKind::IdentitiesFull);
  core::TimePoint ForgetAt = Now + m_Retention;
  if (IsTicket)
    ForgetAt = core::TimePoint(core::Duration(Id.m_ExpiresAt));
  startRunner(Request, m_Identities.insert(Id, Request.id(), ForgetAt), Now);
}

void DecisionCore::startRunner(RequestState &Request, IdentityRecord &Record,
                               core::TimePoint Now) {
  Record.m_Runner = Request.id();
  if (Record.m_Kind == IdentityKind::Key &&
      Record.m_State == IdentityState::Claiming) {
    Request.m_Phase = RequestPhase::Claiming;
    return emit(Claim{Request.id(), Request.m_Arrival.m_Identity->m_Name});
  }
  Record.m_State = IdentityState::Running;
  admit(Request, Now);
}

void DecisionCore::handleRepeat(RequestState &Request, IdentityRecord &Record,
                                core::TimePoint Now) {
  if (Record.m_BodyDigest != Request.m_Arrival.m_Identity->m_BodyDigest)
    return refuse(Request, RefusalKind::IdentityMismatch);
  switch (Record.m_State) {
  case IdentityState::Claiming:
  case IdentityState::Running:
    Request.m_Phase = RequestPhase::Joined;
    Record.m_Waiting.push_back(Request.id());
    return;
  case IdentityState::Stored:
    emit(SendStoredResponse{Request.id(), Record.m_Runner});
    return forget(Request.id());
  case IdentityState::Ended:
    return refuse(Request, Record.m_FinalRefusal);
  case IdentityState::NotRun:
    // An unconfirmed claim must be confirmed before the request runs.
    Record.m_State = Record.m_MayHoldClaim ? IdentityState::Claiming
                                           : IdentityState::Running;
    return startRunner(Request, Record, Now);
  }
}

void DecisionCore::on(const ClaimCompleted &What, core::TimePoint Now) {
  auto Found = m_Requests.find(What.m_Request);
  if (Found == m_Requests.end())
    return;
  RequestState &Request = Found->second;
  if (Request.m_Phase != RequestPhase::Claiming)
    return;
  IdentityRecord &Record = *findRecord(Request);
  bool IsOwnClaim = What.m_Outcome == ClaimOutcome::Held &&
                    What.m_Owner == m_Self && Record.m_MayHoldClaim;
  Record.m_MayHoldClaim = Record.m_MayHoldClaim || What.m_MayTakeEffect;
  if (What.m_Outcome == ClaimOutcome::Won || IsOwnClaim) {
    Record.m_State = IdentityState::Running;
    Record.m_MayHoldClaim = false;
    return admit(Request, Now);
  }
  if (What.m_Outcome == ClaimOutcome::Unavailable)
    return refuse(Request, RefusalKind::ClaimUnavailable);
  // This process claimed the key, but the earlier record is gone: the request
  // may have run.
  if (What.m_Owner == m_Self)
    return refuse(Request, RefusalKind::OwnerLost);
  std::vector<core::RequestId> ToForward = Record.m_Waiting;
  ToForward.push_back(Request.id());
  m_Identities.erase(Request.m_Arrival.m_Identity->m_Name);
  for (core::RequestId Id : ToForward) {
    emit(Forward{Id, What.m_Owner});
    forget(Id);
  }
}

void DecisionCore::finishIdentity(const RequestState &Request,
                                  const ResponseEnded &End) {
  IdentityRecord *Record = findRecord(Request);
  if (!Record)
    return;
  bool IsComplete = End.m_Outcome == ResponseOutcome::Complete;
  Record->m_State = IsComplete && End.m_IsStored ? IdentityState::Stored
                                                 : IdentityState::Ended;
  Record->m_FinalRefusal = IsComplete ? RefusalKind::ResponseNotStored
                                      : RefusalKind::TargetDisconnected;
  std::vector<core::RequestId> Waiting;
  Waiting.swap(Record->m_Waiting);
  for (core::RequestId Id : Waiting) {
    if (Record->m_State != IdentityState::Stored) {
      refuse(m_Requests.at(Id), Record->m_FinalRefusal);
      continue;
    }
    emit(SendStoredResponse{Id, Request.id()});
    forget(Id);
  }
}

void DecisionCore::abandonRunner(const RequestState &Request,
                                 RefusalKind Kind) {
  IdentityRecord *Record = findRecord(Request);
  if (!Record || Record->m_Runner != Request.id() ||
      Request.m_Phase == RequestPhase::Joined)
    return;
  bool IsBusy = Record->m_State == IdentityState::Running ||
                Record->m_State == IdentityState::Claiming;
  if (!IsBusy)
    return;
  bool IsNotRun = describe(Kind).m_RunState == RunState::NotRun;
  Record->m_State = IsNotRun ? IdentityState::NotRun : IdentityState::Ended;
  Record->m_FinalRefusal = Kind;
  std::vector<core::RequestId> Waiting;
  Waiting.swap(Record->m_Waiting);
  for (core::RequestId Id : Waiting)
    refuse(m_Requests.at(Id), Kind);
}

void DecisionCore::promoteWaiting(const RequestState &Request,
                                  core::TimePoint Now) {
  IdentityRecord *Record = findRecord(Request);
  if (!Record)
    return;
  auto &Waiting = Record->m_Waiting;
  auto Own = std::find(Waiting.begin(), Waiting.end(), Request.id());
  if (Own != Waiting.end()) {
    Waiting.erase(Own);
    return;
  }
  if (Record->m_Runner != Request.id())
    return;
  bool WasClaiming = Record->m_State == IdentityState::Claiming;
  Record->m_State = IdentityState::NotRun;
  // The pending claim may still succeed.
  Record->m_MayHoldClaim = Record->m_MayHoldClaim || WasClaiming;
  if (Waiting.empty())
    return;
  RequestState &Next = m_Requests.at(Waiting.front());
  Waiting.erase(Waiting.begin());
  handleRepeat(Next, *Record, Now);
}

//===----------------------------------------------------------------------===//
// Time, targets, instances and the admission threshold
//===----------------------------------------------------------------------===//

void DecisionCore::on(const TimePassed &, core::TimePoint Now) {
  for (core::RequestId Stored : m_Identities.expire(Now))
    emit(DiscardStoredResponse{Stored});
  for (auto &[Name, Pool] : m_Pools)
    Pool->timePassed(Now);
}

void DecisionCore::on(const TargetStateChanged &What, core::TimePoint Now) {
  if (What.m_IsLeaving)
    m_LeavingTargets.insert(What.m_Target);
  else
    m_LeavingTargets.erase(What.m_Target);
  for (auto &[Name, Pool] : m_Pools)
    Pool->setLeavingTargets(m_LeavingTargets);
  if (What.m_IsLeaving)
    return;
  for (auto &[Name, Pool] : m_Pools)
    Pool->targetsReturned(Now);
}

void DecisionCore::on(const InstanceCountChanged &What, core::TimePoint Now) {
  m_InstanceCount = What.m_Count;
  for (auto &[Name, Pool] : m_Pools)
    Pool->setInstances(What.m_Count, Now);
}

void DecisionCore::on(const StopRequested &, core::TimePoint) {
  m_IsStopping = true;
  for (auto &[Name, Pool] : m_Pools)
    Pool->setStopping();
}

void DecisionCore::on(const ThresholdCommand &What, core::TimePoint Now) {
  if (PoolScheduler *Pool = findPool(What.m_Pool))
    Pool->applyCommand(What, Now);
}

void DecisionCore::on(const ThresholdReport &What, core::TimePoint Now) {
  if (PoolScheduler *Pool = findPool(What.m_Pool))
    Pool->handleReport(What, Now);
}

void DecisionCore::on(const ThresholdRecordRead &What, core::TimePoint Now) {
  if (PoolScheduler *Pool = findPool(What.m_Pool))
    Pool->recordRead(What, Now);
}

void DecisionCore::on(const ThresholdRecordWritten &What, core::TimePoint Now) {
  if (PoolScheduler *Pool = findPool(What.m_Pool))
    Pool->recordWritten(What, Now);
}

void DecisionCore::on(const MemberGone &What, core::TimePoint) {
  for (auto &[Name, Pool] : m_Pools)
    Pool->memberGone(What.m_Incarnation);
}

} // namespace yardrill::decision
