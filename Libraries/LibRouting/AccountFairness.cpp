#include "LibRouting/AccountFairness.h"

#include "LibRouting/Dispatcher.h"

#include <algorithm>
#include <tuple>

namespace yardrill::routing {

/// Weight of the newest request in the mean sizes of its tier.
static constexpr double SizeWeight = 0.05;
/// Bounds of a request's cost in mean slot times. An expected size can be
/// wrong; a single request should neither be free nor block its account.
static constexpr double MinCost = 0.25;
static constexpr double MaxCost = 8;
/// Number of accounts that are kept before idle ones are removed.
static constexpr std::size_t MinRemovalSize = 64;

/// Returns a figure relative to its mean, and learns the mean; 0 if unknown.
static double relativeSize(double Value, double &Mean) {
  if (Value <= 0)
    return 0;
  Mean = Mean == 0 ? Value : Mean + SizeWeight * (Value - Mean);
  return Value / Mean;
}

double AccountFairness::costOf(const PlacementRequest &Request) {
  MeanSize &Mean = m_MeanSizes[{Request.m_Pool, Request.m_Priority}];
  double Prompt = relativeSize(Request.m_PromptTokens, Mean.m_PromptTokens);
  double Events = relativeSize(Request.m_ExpectedEvents, Mean.m_Events);
  int KnownFigures = (Prompt > 0 ? 1 : 0) + (Events > 0 ? 1 : 0);
  if (KnownFigures == 0)
    return 1;
  return std::clamp((Prompt + Events) / KnownFigures, MinCost, MaxCost);
}

void AccountFairness::updateTags(const AccountState &Account) {
  double Previous = Account.m_FinishTag;
  for (const QueuedRequest &Each : Account.m_Queued) {
    double Start = std::max(Previous, Each.m_ArrivalTag);
    m_StartTags[Each.m_Id] = Start;
    Previous = Start + Each.m_Cost;
  }
}

void AccountFairness::add(const PlacementRequest &Request) {
  // A request is placed again after an attempt that failed.
  remove(Request);
  Queue &Known = m_Queues[{Request.m_Pool, Request.m_Priority}];
  AccountState &Account = Known.m_Accounts[Request.m_Account];
  QueuedRequest Added{Request.m_Request, Dispatcher::firstAttemptDue(Request),
                      costOf(Request), Known.m_VirtualTime};
  auto Place = std::upper_bound(
      Account.m_Queued.begin(), Account.m_Queued.end(), Added,
      [](const QueuedRequest &A, const QueuedRequest &B) {
        return std::tie(A.m_Due, A.m_Id) < std::tie(B.m_Due, B.m_Id);
      });
  Account.m_Queued.insert(Place, Added);
  ++Known.m_Waiting;
  updateTags(Account);
}

void AccountFairness::erase(const PlacementRequest &Request, bool IsSent) {
  if (m_StartTags.erase(Request.m_Request) == 0)
    return;
  auto Found = m_Queues.find({Request.m_Pool, Request.m_Priority});
  Queue &Known = Found->second;
  AccountState &Account = Known.m_Accounts[Request.m_Account];
  auto Erased = std::find_if(Account.m_Queued.begin(), Account.m_Queued.end(),
                             [&](const QueuedRequest &Each) {
                               return Each.m_Id == Request.m_Request;
                             });
  // A request that overtakes earlier ones of its account is charged as if it
  // had been the first.
  double Start = std::max(Account.m_FinishTag, Erased->m_ArrivalTag);
  if (IsSent) {
    Account.m_FinishTag = Start + Erased->m_Cost;
    Known.m_VirtualTime = std::max(Known.m_VirtualTime, Start);
  }
  Account.m_Queued.erase(Erased);
  updateTags(Account);
  if (--Known.m_Waiting == 0)
    m_Queues.erase(Found);
  else
    removeIdle(Known);
}

void AccountFairness::removeIdle(Queue &Known) {
  if (Known.m_Accounts.size() < std::max(Known.m_RemovalSize, MinRemovalSize))
    return;
  for (auto Each = Known.m_Accounts.begin(); Each != Known.m_Accounts.end();) {
    bool IsIdle = Each->second.m_Queued.empty() &&
                  Each->second.m_FinishTag <= Known.m_VirtualTime;
    Each = IsIdle ? Known.m_Accounts.erase(Each) : std::next(Each);
  }
  Known.m_RemovalSize = Known.m_Accounts.size() * 2;
}

void AccountFairness::recordSent(const PlacementRequest &Request) {
  erase(Request, true);
}

void AccountFairness::remove(const PlacementRequest &Request) {
  erase(Request, false);
}

double AccountFairness::startTag(core::RequestId Id) const {
  auto Found = m_StartTags.find(Id);
  return Found == m_StartTags.end() ? 0 : Found->second;
}

std::size_t AccountFairness::accountCount() const {
  std::size_t Out = 0;
  for (const auto &[Key, Known] : m_Queues)
    Out += Known.m_Accounts.size();
  return Out;
}

} // namespace yardrill::routing
