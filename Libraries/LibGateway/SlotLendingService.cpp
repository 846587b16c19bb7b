#include "LibGateway/SlotLendingService.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <algorithm>

namespace yardrill::gateway {

/// Minimum time between two log events.
static constexpr std::chrono::seconds LogPeriod{1};

static peer::SlotRequest toMessage(const routing::SlotQuestion &Question) {
  peer::SlotRequest Out;
  Out.m_RequestId = Question.m_Id;
  Out.m_Pool = Question.m_Pool.value();
  Out.m_AccountTier = Question.m_Priority.m_Account.value();
  Out.m_RouteTier = Question.m_Priority.m_Route.value();
  Out.m_PromptTokens = Question.m_PromptTokens;
  Out.m_ExpectedUs = static_cast<std::uint64_t>(std::max<std::int64_t>(
      0, static_cast<std::int64_t>(Question.m_ExpectedTime.count())));
  return Out;
}

static routing::SlotQuestion fromMessage(const peer::SlotRequest &Asked) {
  routing::SlotQuestion Out;
  Out.m_Id = Asked.m_RequestId;
  Out.m_Pool = core::PoolName(Asked.m_Pool);
  Out.m_Priority = {core::TierNumber(Asked.m_AccountTier),
                    core::TierNumber(Asked.m_RouteTier)};
  Out.m_PromptTokens = Asked.m_PromptTokens;
  // Bounds what a later multiplication could overflow.
  constexpr std::uint64_t MaxUs =
      core::Duration(routing::SlotLending::MaxLeaseTime).count();
  Out.m_ExpectedTime = core::Duration(
      static_cast<std::int64_t>(std::min(Asked.m_ExpectedUs, MaxUs)));
  return Out;
}

SlotLendingService::SlotLendingService(routing::Dispatcher &Dispatcher,
                                       routing::TargetDirectory &Targets,
                                       routing::SlotLeases &Leases,
                                       const core::DataHallName &LocalDataHall,
                                       metrics::MetricsRegistry &Metrics,
                                       SlotLendingServiceHooks Hooks)
    : m_Targets(Targets), m_Metrics(Metrics), m_Hooks(std::move(Hooks)),
      m_Random(core::randomBits()), m_Lending(Targets, Dispatcher, Leases),
      m_Borrowing(Dispatcher, LocalDataHall, core::randomBits(),
                  borrowingHooks(Dispatcher, Targets)) {}

routing::SlotBorrowingHooks
SlotLendingService::borrowingHooks(routing::Dispatcher &Dispatcher,
                                   routing::TargetDirectory &Targets) {
  routing::SlotBorrowingHooks Out;
  Out.m_InstancesOf = [&Targets](const core::PoolName &Pool) {
    return Targets.instancesOutsideSubset(Pool);
  };
  Out.m_Ask = [this](const config::Endpoint &To,
                     const routing::SlotQuestion &Question) {
    m_Hooks.m_Send(To, toMessage(Question));
  };
  Out.m_Use = [&Dispatcher](const routing::TargetIncarnation &Target,
                            core::TimePoint Now) {
    return Dispatcher.sendWaitingToLent(Target, Now);
  };
  Out.m_Return = [this](const config::Endpoint &To,
                        routing::SlotLeaseId Lease) {
    peer::SlotReturn Returned;
    Returned.m_Lease = Lease;
    m_Hooks.m_Send(To, Returned);
  };
  Out.m_Draw = [this] {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  };
  return Out;
}

void SlotLendingService::answer(const config::Endpoint &From,
                                const peer::SlotRequest &Asked,
                                core::TimePoint Now) {
  peer::SlotGrant Answer;
  Answer.m_RequestId = Asked.m_RequestId;
  std::optional<routing::SlotLease> Lease;
  if (!m_IsStopping)
    Lease = m_Lending.grant(fromMessage(Asked),
                            {From, m_Targets.dataHallOf(From)}, Now);
  if (Lease) {
    Answer.m_Lease = Lease->m_Id;
    Answer.m_Target = Lease->m_Target.m_Name.value();
    Answer.m_StartTime = Lease->m_Target.m_StartTime.value();
    Answer.m_HeldUs =
        static_cast<std::uint64_t>((Lease->m_ExpiresAt - Now).count());
    m_Hooks.m_ReportSoon();
  }
  m_Hooks.m_Send(From, Answer);
}

void SlotLendingService::handleAnswer(const config::Endpoint &From,
                                      const peer::SlotGrant &Answer,
                                      core::TimePoint Now) {
  if (Answer.m_Lease == 0)
    return m_Borrowing.handleNoSlot(From, Answer.m_RequestId);
  m_Borrowing.handleGrant(From, Answer.m_RequestId, Answer.m_Lease,
                          {core::TargetName(Answer.m_Target),
                           core::TargetStartTime(Answer.m_StartTime)},
                          Now);
}

void SlotLendingService::handle(const peer::PeerMessage &Message,
                                core::TimePoint Now) {
  const config::Endpoint &From = Message.m_From.m_Peer;
  if (const auto *Asked = std::get_if<peer::SlotRequest>(&Message.m_Body))
    answer(From, *Asked, Now);
  else if (const auto *Answer = std::get_if<peer::SlotGrant>(&Message.m_Body);
           Answer && Answer->m_RequestId != 0)
    handleAnswer(From, *Answer, Now);
  else
    return;
  countProgress(Now);
}

void SlotLendingService::update(core::TimePoint Now) {
  m_Borrowing.update(Now);
  countProgress(Now);
}

void SlotLendingService::countProgress(core::TimePoint Now) {
  Totals Next{m_Lending.lentCount(), m_Borrowing.borrowedCount(),
              m_Borrowing.questionCount(), m_Lending.refusedForWaiting(),
              m_Lending.refusedForReserve()};
  auto Count = [this](const char *Name, std::uint64_t Before,
                      std::uint64_t After) {
    if (After > Before)
      m_Metrics.count(Name, After - Before);
  };
  Count("yardrill_slots_lent_total", m_Counted.m_Lent, Next.m_Lent);
  Count("yardrill_slots_borrowed_total", m_Counted.m_Borrowed, Next.m_Borrowed);
  Count("yardrill_borrow_questions_total", m_Counted.m_Questions,
        Next.m_Questions);
  m_Counted = Next;
  bool IsNew = Next.m_Lent > m_Logged.m_Lent ||
               Next.m_Borrowed > m_Logged.m_Borrowed ||
               Next.m_Questions > m_Logged.m_Questions ||
               Next.m_RefusedForWaiting > m_Logged.m_RefusedForWaiting ||
               Next.m_RefusedForReserve > m_Logged.m_RefusedForReserve;
  if (!IsNew || Now - m_LoggedAt < LogPeriod)
    return;
  core::LogLine("slots-lent")
      .add("lent", Next.m_Lent - m_Logged.m_Lent)
      .add("borrowed", Next.m_Borrowed - m_Logged.m_Borrowed)
      .add("questions", Next.m_Questions - m_Logged.m_Questions)
      .add("refused_waiting",
           Next.m_RefusedForWaiting - m_Logged.m_RefusedForWaiting)
      .add("refused_reserve",
           Next.m_RefusedForReserve - m_Logged.m_RefusedForReserve);
  m_Logged = Next;
  m_LoggedAt = Now;
}

} // namespace yardrill::gateway
