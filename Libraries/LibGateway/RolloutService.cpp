//===-- RolloutService.cpp - Roll-outs of all pools -----------------------===//
#include "LibGateway/RolloutService.h"

#include "LibCore/Log.h"
#include "LibPeer/RolloutMessages.h"

#include <algorithm>

namespace yardrill::gateway {

using rollout::State;

static const std::string RecordPrefix = "yardrill/rollout/";
/// Minimum time between two writes; the change made by a write arrives from the
/// store within tens of milliseconds.
static constexpr std::chrono::milliseconds WriteRetryPeriod{400};
static constexpr std::chrono::seconds LogPeriod{1};

RolloutService::RolloutService(config::Endpoint Self,
                               core::IncarnationId Incarnation,
                               rollout::ExposureLimits Limits,
                               const routing::TargetDirectory &Targets,
                               RolloutHooks Hooks)
    : m_Self(std::move(Self)), m_Incarnation(Incarnation), m_Limits(Limits),
      m_Targets(Targets), m_Hooks(std::move(Hooks)) {}

RolloutService::Pool &RolloutService::poolOf(const core::PoolName &Name) {
  return m_Pools.try_emplace(Name, Name).first->second;
}

//===----------------------------------------------------------------------===//
// Changes of the store
//===----------------------------------------------------------------------===//

void RolloutService::setOrder(const core::PoolName &Name,
                              std::optional<rollout::Order> Order) {
  Pool &Rollout = poolOf(Name);
  // As in a store that has come back from a copy.
  const std::optional<rollout::Order> &Current = Rollout.m_State.order();
  if (Order && Current && *Order == *Current)
    return;
  core::LogLine Line("rollout-ordered");
  Line.add("pool", Name).add("is_withdrawn", !Order);
  if (Order)
    Line.add("version", Order->m_Version)
        .add("order", Order->m_Id)
        .add("bake_us", Order->m_BakeTime);
  Rollout.m_State.setOrder(std::move(Order), core::steadyNow());
  Rollout.m_Coordinator.reset();
}

static const char *toString(State Value) {
  switch (Value) {
  case State::InProgress:
    return "in-progress";
  case State::Completed:
    return "completed";
  case State::RolledBack:
    return "rolled-back";
  }
  return "unknown";
}

void RolloutService::setStatus(const core::PoolName &Name,
                               std::optional<rollout::Status> Status,
                               platform::Revision At) {
  core::LogLine Line("rollout-status");
  Line.add("pool", Name).add("revision", At);
  if (Status)
    Line.add("state", toString(Status->m_State))
        .add("version", Status->m_Version);
  poolOf(Name).m_State.setStatus(std::move(Status), At);
}

std::string RolloutService::recordKey(const core::PoolName &Pool) {
  return RecordPrefix + Pool.value();
}

bool RolloutService::applyRecord(const platform::Entry &Change) {
  if (Change.m_Key.compare(0, RecordPrefix.size(), RecordPrefix) != 0)
    return false;
  std::optional<rollout::Record> Record;
  if (!Change.m_IsDeleted)
    Record = rollout::Record::parse(Change.m_Value);
  if (!Record && !Change.m_IsDeleted)
    core::LogLine("store-entry-unreadable", core::LogLevel::Error)
        .add("key", Change.m_Key)
        .add("revision", Change.m_ModRevision);
  core::PoolName Name(Change.m_Key.substr(RecordPrefix.size()));
  poolOf(Name).m_State.setRecord(std::move(Record), core::wallSeconds().count(),
                                 core::steadyNow());
  return true;
}

//===----------------------------------------------------------------------===//
// Requests of callers
//===----------------------------------------------------------------------===//

const routing::VersionGate *
RolloutService::gateOf(const core::PoolName &Name) const {
  if (m_Pools.empty())
    return nullptr;
  auto Found = m_Pools.find(Name);
  bool HasRestrictions =
      Found != m_Pools.end() && Found->second.m_State.hasRestrictions();
  return HasRestrictions ? &Found->second.m_State : nullptr;
}

RolloutService::Pool *RolloutService::findActive(const core::PoolName &Name) {
  auto Found = m_Pools.find(Name);
  bool IsActive = Found != m_Pools.end() && Found->second.m_State.isActive();
  return IsActive ? &Found->second : nullptr;
}

void RolloutService::recordSent(std::uint32_t Route,
                                const routing::Target &Destination) {
  Pool *Rollout = findActive(Destination.m_Pool);
  if (!Rollout)
    return;
  PoolRollout &State = Rollout->m_State;
  State.participant().recordSent(Route, State.isCanary(Destination),
                                 core::steadyNow());
}

void RolloutService::recordResponse(std::uint32_t Route,
                                    const routing::Target &Destination,
                                    rollout::ResponseQuality Quality,
                                    core::Duration Time) {
  Pool *Rollout = findActive(Destination.m_Pool);
  if (!Rollout)
    return;
  PoolRollout &State = Rollout->m_State;
  rollout::ResponseCountsKey Key;
  Key.m_Side =
      State.isCanary(Destination) ? rollout::Side::New : rollout::Side::Old;
  Key.m_Target = Destination.incarnation().hash();
  Key.m_Route = Route;
  State.participant().recordResponse(Key, Quality, Time, core::steadyNow());
}

//===----------------------------------------------------------------------===//
// Reports and permits
//===----------------------------------------------------------------------===//

bool RolloutService::isCoordinator() const {
  auto Address = m_Hooks.m_Coordinator();
  return Address && *Address == m_Self;
}

rollout::Coordinator &RolloutService::coordinatorOf(Pool &Rollout,
                                                    core::TimePoint Now) {
  if (!Rollout.m_Coordinator)
    Rollout.m_Coordinator = std::make_unique<rollout::Coordinator>(
        *Rollout.m_State.order(), m_Limits, Now);
  return *Rollout.m_Coordinator;
}

void RolloutService::handle(const peer::PeerMessage &Message) {
  core::TimePoint Now = core::steadyNow();
  if (const auto *ReportMessage =
          std::get_if<peer::RolloutReport>(&Message.m_Body)) {
    Pool *Active = findActive(ReportMessage->m_Pool);
    if (!Active ||
        ReportMessage->m_Order != Active->m_State.order()->m_Id.value() ||
        !isCoordinator())
      return;
    Pool &Rollout = *Active;
    rollout::Report Report = peer::toReport(*ReportMessage);
    Rollout.m_State.participant().raiseAge(Report.m_Age, Now);
    rollout::Permit GrantedPermit =
        coordinatorOf(Rollout, Now)
            .handleReport(Message.m_From.m_Incarnation, Report, Now);
    if (ReportMessage->m_WantsPermit)
      m_Hooks.m_Send(Message.m_From.m_Peer,
                     peer::toMessage(GrantedPermit, ReportMessage->m_Pool));
    return;
  }
  if (const auto *GrantedPermit =
          std::get_if<peer::RolloutPermit>(&Message.m_Body)) {
    if (Pool *Rollout = findActive(GrantedPermit->m_Pool))
      Rollout->m_State.participant().applyPermit(peer::toPermit(*GrantedPermit),
                                                 Now);
  }
}

bool RolloutService::isBusy() const {
  return std::any_of(m_Pools.begin(), m_Pools.end(), [](const auto &Each) {
    return Each.second.m_State.isActive() || Each.second.m_State.mustWrite();
  });
}

void RolloutService::upkeep(core::TimePoint Now) {
  bool IsCoordinating = isCoordinator();
  for (auto &[Name, Rollout] : m_Pools) {
    if (IsCoordinating)
      coordinate(Rollout, Now);
    else
      Rollout.m_Coordinator.reset();
    if (Rollout.m_State.isActive())
      report(Rollout, Now);
  }
}

void RolloutService::report(Pool &Rollout, core::TimePoint Now) {
  core::Duration Period = rollout::reportPeriod(m_Hooks.m_FleetSize());
  if (Now - Rollout.m_LastReportAt < Period)
    return;
  auto To = m_Hooks.m_Coordinator();
  if (!To)
    return;
  Rollout.m_LastReportAt = Now;
  rollout::Participant &Participant = Rollout.m_State.participant();
  rollout::Report Report = Participant.report(runningOld(Rollout), Now);
  if (*To == m_Self)
    return Participant.applyPermit(
        coordinatorOf(Rollout, Now).handleReport(m_Incarnation, Report, Now),
        Now);
  for (const peer::RolloutReport &Part :
       peer::toMessages(Report, Rollout.m_State.pool()))
    m_Hooks.m_Send(*To, Part);
}

//===----------------------------------------------------------------------===//
// Coordinator
//===----------------------------------------------------------------------===//

void RolloutService::write(Pool &Rollout, const RolloutWrite &Write,
                           core::TimePoint Now) {
  if (Now - Rollout.m_LastWriteAt < WriteRetryPeriod)
    return;
  Rollout.m_LastWriteAt = Now;
  m_Hooks.m_Write(Write);
}

void RolloutService::coordinate(Pool &Rollout, core::TimePoint Now) {
  const PoolRollout &State = Rollout.m_State;
  if (State.mustWrite())
    return write(Rollout,
                 {State.pool(), State.statusRevision(), State.nextStatus(),
                  State.nextRecord(core::wallSeconds().count())},
                 Now);
  if (!State.isActive() ||
      Now - Rollout.m_LastEvaluationAt < rollout::EvaluationPeriod)
    return;
  Rollout.m_LastEvaluationAt = Now;
  rollout::PoolCapacity Targets = poolCapacity(Rollout);
  auto End = coordinatorOf(Rollout, Now)
                 .decide(Targets, Rollout.m_State.participant().age(Now), Now);
  logJudgement(Rollout, Targets, Now);
  if (!End)
    return;
  core::LogLine("rollout-decided")
      .add("pool", State.pool())
      .add("version", State.order()->m_Version)
      .add("state", toString(End->m_State))
      .add("reason", End->m_Reason)
      .add("age_us", Rollout.m_State.participant().age(Now));
  write(Rollout,
        {State.pool(),
         State.statusRevision(),
         {End->m_State, State.order()->m_Version},
         State.finalRecord(*End, oldVersions(Rollout))},
        Now);
}

void RolloutService::logJudgement(Pool &Rollout,
                                  const rollout::PoolCapacity &Targets,
                                  core::TimePoint Now) const {
  if (Now - Rollout.m_LastLogAt < LogPeriod)
    return;
  Rollout.m_LastLogAt = Now;
  const rollout::Judgement &Verdict = Rollout.m_Coordinator->judgement();
  core::LogLine("rollout-judged")
      .add("pool", Rollout.m_State.pool())
      .add("version", Rollout.m_State.order()->m_Version)
      .add("age_us", Rollout.m_State.participant().age(Now))
      .add("worst", Verdict.m_Worst.m_Kind)
      .add("worst_score", Verdict.m_Worst.m_Score)
      .add("worst_route", Verdict.m_Worst.m_Route)
      .add("least_good", Verdict.m_MinGoodScore)
      .add("new_answers", Verdict.m_NewResponses)
      .add("new_failures", Verdict.m_NewFailures)
      .add("new_targets", Verdict.m_NewTargets)
      .add("old_answers", Verdict.m_OldResponses)
      .add("old_failures", Verdict.m_OldFailures)
      .add("new_places", Targets.m_NewSlots)
      .add("old_places", Targets.m_OldSlots)
      .add("traffic", static_cast<int>(Rollout.m_Coordinator->traffic()))
      .add("reporters", Rollout.m_Coordinator->reporters());
}

rollout::PoolCapacity RolloutService::poolCapacity(const Pool &Rollout) const {
  rollout::PoolCapacity Out;
  for (const routing::KnownTarget *Known :
       m_Targets.allTargetsOf(Rollout.m_State.pool())) {
    if (!Known->acceptsRequests() || Known->m_ExpiredAt)
      continue;
    const routing::Target &Each = Known->m_Target;
    if (Rollout.m_State.isCanary(Each))
      Out.m_NewSlots += Each.m_Slots;
    else
      Out.m_OldSlots += Each.m_Slots;
  }
  return Out;
}

std::set<core::TargetVersion>
RolloutService::oldVersions(const Pool &Rollout) const {
  std::set<core::TargetVersion> Out;
  for (const routing::KnownTarget *Each :
       m_Targets.allTargetsOf(Rollout.m_State.pool()))
    if (!Rollout.m_State.isCanary(Each->m_Target))
      Out.insert(Each->m_Target.m_Version);
  return Out;
}

std::uint32_t RolloutService::runningOld(const Pool &Rollout) const {
  std::size_t Out = 0;
  for (const routing::KnownTarget *Each : m_Targets.busyTargets())
    if (Each->m_Target.m_Pool == Rollout.m_State.pool() &&
        !Rollout.m_State.isCanary(Each->m_Target))
      Out += Each->m_LocalLoad.m_Running;
  return static_cast<std::uint32_t>(Out);
}

} // namespace yardrill::gateway
