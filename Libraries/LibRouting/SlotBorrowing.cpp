#include "LibRouting/SlotBorrowing.h"

#include <algorithm>

namespace yardrill::routing {

/// Time for which the instances to ask are kept. Those that have left
/// meanwhile don't answer.
static constexpr std::chrono::seconds LenderListTime{1};
/// Time for which it is known that a request has asked.
static constexpr std::chrono::seconds DecisionMemory{1};

bool SlotBorrowing::isDue(const PlacementRequest &Request,
                          core::TimePoint Now) const {
  // A lender doesn't know which version a request needs.
  if (!Request.hasObjective() || Request.m_Version)
    return false;
  auto Decided = m_DecidedAt.find(Request.m_Request);
  return Decided == m_DecidedAt.end() || Now - Decided->second >= AnswerTimeout;
}

core::Duration SlotBorrowing::expectedTime(const PlacementRequest &Request,
                                           core::TimePoint Now) const {
  PoolDemand Own = m_Requests.demand().own(Request.m_Pool, Now);
  return std::min(Own[Request.m_Priority].meanSlotTime(),
                  Request.m_EndsAt - Now);
}

void SlotBorrowing::update(core::TimePoint Now) {
  expire(Now);
  if (!m_Requests.overload().m_SlotLending)
    return;
  // A request may also wait because its priority may not use what is free.
  for (const PlacementRequest *Each : m_Requests.waitingInOrder(Now))
    if (isDue(*Each, Now) && !m_Requests.hasFreeSlot(*Each, Now))
      askFor(*Each, Now);
}

bool SlotBorrowing::awaitSlotFor(const PlacementRequest &Request,
                                 core::TimePoint Now) {
  if (!m_Requests.overload().m_SlotLending)
    return false;
  expire(Now);
  bool IsAsked = std::any_of(
      m_Questions.begin(), m_Questions.end(), [&](const auto &Each) {
        return Each.second.m_Request == Request.m_Request;
      });
  // One whose question got no slot is refused.
  bool HasAsked = m_DecidedAt.count(Request.m_Request) != 0;
  return IsAsked || (!HasAsked && isDue(Request, Now) && askFor(Request, Now));
}

bool SlotBorrowing::askFor(const PlacementRequest &Request,
                           core::TimePoint Now) {
  const LenderList &Lenders = lendersOf(Request.m_Pool, Now);
  if (Lenders.m_All.empty())
    return false;
  m_DecidedAt[Request.m_Request] = Now;
  if (!m_Rates[Request.m_Pool].tryAsk(m_Hooks.m_Draw(), Now))
    return false;
  SlotQuestion Question;
  Question.m_Id = m_QuestionIds.next();
  Question.m_Pool = Request.m_Pool;
  Question.m_Priority = Request.m_Priority;
  Question.m_PromptTokens = Request.m_IsInference ? Request.m_PromptTokens : 0;
  Question.m_ExpectedTime = expectedTime(Request, Now);
  std::vector<config::Endpoint> To = drawLenders(Lenders);
  m_Questions[Question.m_Id] = {
      Request.m_Request, Request.m_Pool, Now, {To.begin(), To.end()}, false};
  ++m_QuestionCount;
  for (const config::Endpoint &Each : To)
    m_Hooks.m_Ask(Each, Question);
  return true;
}

const SlotBorrowing::LenderList &
SlotBorrowing::lendersOf(const core::PoolName &Pool, core::TimePoint Now) {
  auto [Entry, IsNew] = m_Lenders.try_emplace(Pool);
  LenderList &List = Entry->second;
  if (!IsNew && Now - List.m_UpdatedAt < LenderListTime)
    return List;
  List.m_UpdatedAt = Now;
  List.m_All.clear();
  List.m_InLocalHall.clear();
  for (const auto &[Address, Hall] : m_Hooks.m_InstancesOf(Pool)) {
    List.m_All.push_back(Address);
    if (Hall == m_LocalDataHall)
      List.m_InLocalHall.push_back(Address);
  }
  return List;
}

std::size_t SlotBorrowing::drawIndex(std::size_t Count) {
  auto Index =
      static_cast<std::size_t>(m_Hooks.m_Draw() * static_cast<double>(Count));
  return std::min(Index, Count - 1);
}

std::vector<config::Endpoint>
SlotBorrowing::drawLenders(const LenderList &From) {
  const std::vector<config::Endpoint> &All = From.m_All;
  const std::vector<config::Endpoint> &Preferred =
      From.m_InLocalHall.empty() ? All : From.m_InLocalHall;
  config::Endpoint First = Preferred[drawIndex(Preferred.size())];
  std::size_t Second = drawIndex(All.size());
  if (All[Second] == First)
    Second = (Second + 1) % All.size();
  if (All[Second] == First)
    return {First};
  return {First, All[Second]};
}

bool SlotBorrowing::isBorrowed(const config::Endpoint &From,
                               SlotLeaseId Lease) const {
  return std::any_of(
      m_Borrowed.begin(), m_Borrowed.end(), [&](const auto &Each) {
        return Each.second.m_Lease == Lease && Each.second.m_Lender == From;
      });
}

void SlotBorrowing::handleGrant(const config::Endpoint &From,
                                std::uint64_t Question, SlotLeaseId Lease,
                                const TargetIncarnation &Target,
                                core::TimePoint Now) {
  if (isBorrowed(From, Lease))
    return;
  std::optional<core::RequestId> User = m_Hooks.m_Use(Target, Now);
  if (User) {
    m_Borrowed[*User] = {From, Lease};
    ++m_BorrowedCount;
  } else {
    m_Hooks.m_Return(From, Lease);
  }
  recordAnswer(From, Question, true);
}

void SlotBorrowing::handleNoSlot(const config::Endpoint &From,
                                 std::uint64_t Question) {
  recordAnswer(From, Question, false);
}

void SlotBorrowing::recordAnswer(const config::Endpoint &From,
                                 std::uint64_t Question, bool IsGranted) {
  auto Asked = m_Questions.find(Question);
  if (Asked == m_Questions.end())
    return;
  Asked->second.m_IsGranted = Asked->second.m_IsGranted || IsGranted;
  Asked->second.m_Unanswered.erase(From);
  if (Asked->second.m_Unanswered.empty())
    close(Asked);
}

void SlotBorrowing::close(
    std::map<std::uint64_t, OpenQuestion>::iterator Question) {
  m_Rates[Question->second.m_Pool].record(Question->second.m_IsGranted);
  // A more urgent request may have used the slot: this one asks again.
  if (Question->second.m_IsGranted)
    m_DecidedAt.erase(Question->second.m_Request);
  m_Questions.erase(Question);
}

void SlotBorrowing::recordEnd(core::RequestId Id) {
  auto Found = m_Borrowed.find(Id);
  if (Found == m_Borrowed.end())
    return;
  m_Hooks.m_Return(Found->second.m_Lender, Found->second.m_Lease);
  m_Borrowed.erase(Found);
}

void SlotBorrowing::expire(core::TimePoint Now) {
  for (auto Each = m_Questions.begin(); Each != m_Questions.end();) {
    auto Current = Each++;
    if (Now - Current->second.m_AskedAt >= AnswerTimeout)
      close(Current);
  }
  for (auto Each = m_DecidedAt.begin(); Each != m_DecidedAt.end();)
    Each = Now - Each->second >= DecisionMemory ? m_DecidedAt.erase(Each)
                                                : std::next(Each);
}

} // namespace yardrill::routing
