#include "LibGateway/RolloutService.h"

#include "LibCore/Log.h"
#include "LibPeer/RolloutMessages.h"

#include <algorithm>

namespace yardrill::gateway {

using rollout::State;

static const std::string RecordPrefix = "yardrill/rollout/";
/// Between two tries to write: the store's word of the first one takes some
/// tens of milliseconds.
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
// What the store says
//===----------------------------------------------------------------------===//

void RolloutService::setOrder(const core::PoolName &Name,
                              std::optional<rollout::Order> Order) {
  core::LogLine Line("rollout-ordered");
  Line.add("pool", Name).add("is_withdrawn", !Order);
  if (Order)
    Line.add("version", Order->m_Version)
        .add("order", Order->m_Id)
        .add("bake_us", Order->m_BakeTime);
  Pool &Which = poolOf(Name);
  Which.m_State.setOrder(std::move(Order), core::steadyNow());
  Which.m_Coordinator.reset();
}

static const char *toString(State What) {
  switch (What) {
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

bool RolloutService::takeRecord(const platform::Entry &Change) {
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
// Requests
//===----------------------------------------------------------------------===//

const routing::VersionGate *
RolloutService::gateOf(const core::PoolName &Name) const {
  if (m_Pools.empty())
    return nullptr;
  auto Found = m_Pools.find(Name);
  bool IsOpen = Found != m_Pools.end() && Found->second.m_State.isOpen();
  return IsOpen ? &Found->second.m_State : nullptr;
}

RolloutService::Pool *RolloutService::findActive(const core::PoolName &Name) {
  auto Found = m_Pools.find(Name);
  bool IsActive = Found != m_Pools.end() && Found->second.m_State.isActive();
  return IsActive ? &Found->second : nullptr;
}

void RolloutService::recordSent(std::uint32_t Route,
                                const routing::Target &Where) {
  Pool *Which = findActive(Where.m_Pool);
  if (!Which)
    return;
  PoolRollout &State = Which->m_State;
  State.participant().recordSent(Route, State.isCanary(Where),
                                 core::steadyNow());
}

void RolloutService::recordResponse(std::uint32_t Route,
                                    const routing::Target &Where,
                                    rollout::ResponseQuality How,
                                    core::Duration Time) {
  Pool *Which = findActive(Where.m_Pool);
  if (!Which)
    return;
  PoolRollout &State = Which->m_State;
  rollout::ResponseCountsKey Key;
  Key.m_Side = State.isCanary(Where) ? rollout::Side::New : rollout::Side::Old;
  Key.m_Target = Where.run().hash();
  Key.m_Route = Route;
  State.participant().recordResponse(Key, How, Time, core::steadyNow());
}

//===----------------------------------------------------------------------===//
// With the others
//===----------------------------------------------------------------------===//

bool RolloutService::isCoordinator() const {
  auto Who = m_Hooks.m_Coordinator();
  return Who && *Who == m_Self;
}

rollout::Coordinator &RolloutService::coordinatorOf(Pool &Which,
                                                    core::TimePoint Now) {
  if (!Which.m_Coordinator)
    Which.m_Coordinator = std::make_unique<rollout::Coordinator>(
        *Which.m_State.order(), m_Limits, Now);
  return *Which.m_Coordinator;
}

void RolloutService::handle(const peer::PeerMessage &Message) {
  core::TimePoint Now = core::steadyNow();
  if (const auto *Told = std::get_if<peer::RolloutReport>(&Message.m_Body)) {
    Pool *Active = findActive(Told->m_Pool);
    if (!Active || Told->m_Order != Active->m_State.order()->m_Id.value() ||
        !isCoordinator())
      return;
    Pool &Which = *Active;
    rollout::Report Report = peer::toReport(*Told);
    Which.m_State.participant().raiseAge(Report.m_Age, Now);
    rollout::Permit Given =
        coordinatorOf(Which, Now)
            .handleReport(Message.m_From.m_Incarnation, Report, Now);
    if (Told->m_WantsPermit)
      m_Hooks.m_Send(Message.m_From.m_Peer,
                     peer::toMessage(Given, Told->m_Pool));
    return;
  }
  if (const auto *Given = std::get_if<peer::RolloutPermit>(&Message.m_Body)) {
    if (Pool *Which = findActive(Given->m_Pool))
      Which->m_State.participant().applyPermit(peer::toPermit(*Given), Now);
  }
}

bool RolloutService::isBusy() const {
  return std::any_of(m_Pools.begin(), m_Pools.end(), [](const auto &Each) {
    return Each.second.m_State.isActive() || Each.second.m_State.mustWrite();
  });
}

void RolloutService::upkeep(core::TimePoint Now) {
  bool IsOwn = isCoordinator();
  for (auto &[Name, Which] : m_Pools) {
    if (IsOwn)
      coordinate(Which, Now);
    else
      Which.m_Coordinator.reset();
    if (Which.m_State.isActive())
      report(Which, Now);
  }
}

void RolloutService::report(Pool &Which, core::TimePoint Now) {
  core::Duration Period = rollout::reportPeriod(m_Hooks.m_FleetSize());
  if (Now - Which.m_ReportedAt < Period)
    return;
  auto To = m_Hooks.m_Coordinator();
  if (!To)
    return;
  Which.m_ReportedAt = Now;
  rollout::Participant &Participant = Which.m_State.participant();
  rollout::Report Report = Participant.report(runningOld(Which), Now);
  if (*To == m_Self)
    return Participant.applyPermit(
        coordinatorOf(Which, Now).handleReport(m_Incarnation, Report, Now),
        Now);
  for (const peer::RolloutReport &Part :
       peer::toMessages(Report, Which.m_State.pool()))
    m_Hooks.m_Send(*To, Part);
}

//===----------------------------------------------------------------------===//
// As coordinator
//===----------------------------------------------------------------------===//

void RolloutService::write(Pool &Which, const RolloutWrite &What,
                           core::TimePoint Now) {
  if (Now - Which.m_WroteAt < WriteRetryPeriod)
    return;
  Which.m_WroteAt = Now;
  m_Hooks.m_Write(What);
}

void RolloutService::coordinate(Pool &Which, core::TimePoint Now) {
  const PoolRollout &State = Which.m_State;
  if (State.mustWrite())
    return write(Which,
                 {State.pool(), State.statusRevision(), State.nextStatus(),
                  State.nextRecord(core::wallSeconds().count())},
                 Now);
  if (!State.isActive() ||
      Now - Which.m_EvaluatedAt < rollout::EvaluationPeriod)
    return;
  Which.m_EvaluatedAt = Now;
  rollout::PoolCapacity Targets = poolCapacity(Which);
  auto End = coordinatorOf(Which, Now)
                 .decide(Targets, Which.m_State.participant().age(Now), Now);
  logJudgement(Which, Targets, Now);
  if (!End)
    return;
  core::LogLine("rollout-decided")
      .add("pool", State.pool())
      .add("version", State.order()->m_Version)
      .add("state", toString(End->m_State))
      .add("reason", End->m_Reason)
      .add("age_us", Which.m_State.participant().age(Now));
  write(Which,
        {State.pool(),
         State.statusRevision(),
         {End->m_State, State.order()->m_Version},
         State.finalRecord(*End, oldVersions(Which))},
        Now);
}

void RolloutService::logJudgement(Pool &Which,
                                  const rollout::PoolCapacity &Targets,
                                  core::TimePoint Now) const {
  if (Now - Which.m_LoggedAt < LogPeriod)
    return;
  Which.m_LoggedAt = Now;
  const rollout::Judgement &Says = Which.m_Coordinator->judgement();
  core::LogLine("rollout-judged")
      .add("pool", Which.m_State.pool())
      .add("version", Which.m_State.order()->m_Version)
      .add("age_us", Which.m_State.participant().age(Now))
      .add("worst", Says.m_Worst.m_Kind)
      .add("worst_score", Says.m_Worst.m_Score)
      .add("worst_route", Says.m_Worst.m_Route)
      .add("least_good", Says.m_MinGoodScore)
      .add("new_answers", Says.m_NewResponses)
      .add("new_failures", Says.m_NewFailures)
      .add("new_targets", Says.m_NewTargets)
      .add("old_answers", Says.m_OldResponses)
      .add("old_failures", Says.m_OldFailures)
      .add("new_places", Targets.m_NewSlots)
      .add("old_places", Targets.m_OldSlots)
      .add("traffic", static_cast<int>(Which.m_Coordinator->traffic()))
      .add("reporters", Which.m_Coordinator->reporters());
}

rollout::PoolCapacity RolloutService::poolCapacity(const Pool &Which) const {
  rollout::PoolCapacity Out;
  for (const routing::KnownTarget *Known :
       m_Targets.allTargetsOf(Which.m_State.pool())) {
    if (!Known->isOpen() || Known->m_ExpiredAt)
      continue;
    const routing::Target &Each = Known->m_Target;
    if (Which.m_State.isCanary(Each))
      Out.m_NewSlots += Each.m_Slots;
    else
      Out.m_OldSlots += Each.m_Slots;
  }
  return Out;
}

std::set<core::TargetVersion>
RolloutService::oldVersions(const Pool &Which) const {
  std::set<core::TargetVersion> Out;
  for (const routing::KnownTarget *Each :
       m_Targets.allTargetsOf(Which.m_State.pool()))
    if (!Which.m_State.isCanary(Each->m_Target))
      Out.insert(Each->m_Target.m_Version);
  return Out;
}

std::uint32_t RolloutService::runningOld(const Pool &Which) const {
  std::size_t Out = 0;
  for (const routing::KnownTarget *Each : m_Targets.busyTargets())
    if (Each->m_Target.m_Pool == Which.m_State.pool() &&
        !Which.m_State.isCanary(Each->m_Target))
      Out += Each->m_LocalLoad.m_Running;
  return static_cast<std::uint32_t>(Out);
}

} // namespace yardrill::gateway
