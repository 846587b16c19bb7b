#include "SimulatedCallers.h"

#include <algorithm>
#include <cmath>

namespace yardrill::tests {

/// Retry-After of the gateway's refusals, in seconds.
static constexpr double MinRetryAfterSeconds = 0.15;
static constexpr double MaxRetryAfterSeconds = 0.5;
/// Share of the remaining time that callers wait at the most to return.
static constexpr double MaxWaitShare = 1.0 / 3;
/// Standard deviation of the logarithm of a lognormal time in a slot.
static constexpr double LognormalDeviation = 1;
/// Time until a caller whose connection was refused or reset has another one.
static constexpr std::chrono::milliseconds ReconnectTime{6};
/// Ids of other requests of the simulation are lower.
static constexpr std::uint64_t FirstRequest = std::uint64_t{1} << 32;
/// Makes draws of returns independent of those of first arrivals.
static constexpr std::uint64_t ReturnSeed = 0x9e3779b97f4a7c15;

static double factorAt(const std::vector<LoadBurst> &Bursts,
                       core::Duration Since) {
  double Out = 1;
  for (const LoadBurst &Each : Bursts)
    if (Each.m_From <= Since && Since < Each.m_Until)
      Out *= Each.m_Factor;
  return Out;
}

SimulatedCallers::SimulatedCallers(std::vector<RequestKind> Kinds,
                                   const CallerSettings &Settings,
                                   std::size_t Instances, core::PoolName Pool,
                                   core::TimePoint Start, std::uint64_t Seed,
                                   SendHook Send)
    : m_Kinds(std::move(Kinds)), m_Settings(Settings), m_Pool(std::move(Pool)),
      m_Start(Start), m_Send(std::move(Send)), m_ArrivalRandom(Seed),
      m_ReturnRandom(Seed ^ ReturnSeed), m_NextRequest(FirstRequest) {
  std::vector<double> Weights;
  std::normal_distribution<double> Logarithm(0, 1);
  for (std::size_t I = 0; I < Instances; ++I)
    Weights.push_back(
        std::exp(m_Settings.m_InstanceSpread * Logarithm(m_ArrivalRandom)));
  m_Instances = {Weights.begin(), Weights.end()};
  for (const RequestKind &Each : m_Kinds)
    m_Result.m_Kinds.push_back({Each.m_Name, {}, {}});
}

//===----------------------------------------------------------------------===//
// Arrivals
//===----------------------------------------------------------------------===//

std::vector<double>
SimulatedCallers::accountWeights(const RequestKind &Kind,
                                 core::TimePoint Now) const {
  std::vector<double> Out;
  for (const CallerAccount &Each : Kind.m_Accounts)
    Out.push_back(Each.m_Weight * factorAt(Each.m_Bursts, Now - m_Start));
  return Out;
}

core::Duration SimulatedCallers::drawSlotTime(const RequestKind &Kind) {
  double Mean = core::toSeconds(Kind.m_MeanSlotTime);
  // Of a stream, only the time after the first event varies.
  double Fixed = Kind.m_IsStream ? core::toSeconds(Kind.m_FirstEventTime) : 0;
  double Varying = std::max(0.0, Mean - Fixed);
  switch (Kind.m_Spread) {
  case SlotTimeSpread::Fixed:
    break;
  case SlotTimeSpread::Exponential:
    Varying *= std::exponential_distribution<double>(1)(m_ArrivalRandom);
    break;
  case SlotTimeSpread::Lognormal:
    Varying *= std::lognormal_distribution<double>(
        -LognormalDeviation * LognormalDeviation / 2,
        LognormalDeviation)(m_ArrivalRandom);
    break;
  }
  return core::fromSeconds(Fixed + Varying);
}

void SimulatedCallers::sendFirst(core::TimePoint Now, core::Duration Step) {
  for (std::size_t I = 0; I < m_Kinds.size(); ++I) {
    const RequestKind &Kind = m_Kinds[I];
    double Factor = factorAt(Kind.m_Bursts, Now - m_Start);
    double Usual = 0;
    double Current = 0;
    for (const CallerAccount &Each : Kind.m_Accounts) {
      Usual += Each.m_Weight;
      Current += Each.m_Weight * factorAt(Each.m_Bursts, Now - m_Start);
    }
    if (Usual > 0)
      Factor *= Current / Usual;
    double Clumps = Kind.m_RequestsPerSecond * Factor * core::toSeconds(Step) /
                    static_cast<double>(Kind.m_ClumpSize);
    if (Clumps <= 0)
      continue;
    std::poisson_distribution<int> Count(Clumps);
    for (int Left = Count(m_ArrivalRandom); Left > 0; --Left)
      sendClump(I, Now);
  }
}

void SimulatedCallers::sendClump(std::size_t Kind, core::TimePoint Now) {
  const RequestKind &Sent = m_Kinds[Kind];
  OpenRequest Request;
  Request.m_Kind = Kind;
  Request.m_Instance = m_Instances(m_ArrivalRandom);
  if (m_Balance)
    Request.m_Instance = m_Balance(Request.m_Instance);
  Request.m_FirstArrivalAt = Now;
  Request.m_Deadline = Now + Sent.m_Deadline;
  routing::PlacementRequest &Placed = Request.m_Request;
  if (!Sent.m_Accounts.empty()) {
    std::vector<double> Weights = accountWeights(Sent, Now);
    std::discrete_distribution<std::size_t> Account(Weights.begin(),
                                                    Weights.end());
    Placed.m_Account = Sent.m_Accounts[Account(m_ArrivalRandom)].m_Name;
  }
  Placed.m_Pool = m_Pool;
  Placed.m_Priority = Sent.m_Priority;
  Placed.m_IsInference = Sent.m_IsStream;
  Placed.m_PromptTokens = Sent.m_PromptTokens;
  if (Sent.m_IsStream)
    Placed.m_ExpectedEvents =
        core::toSeconds(Sent.m_MeanSlotTime) / core::toSeconds(Sent.m_EventGap);
  for (std::size_t I = 0; I < Sent.m_ClumpSize; ++I) {
    Request.m_SlotTime = drawSlotTime(Sent);
    count(Request, [](CallerOutcomes &Each) { ++Each.m_Sent; });
    send(Request, Now);
  }
}

void SimulatedCallers::send(OpenRequest Sent, core::TimePoint Now) {
  const RequestKind &Kind = m_Kinds[Sent.m_Kind];
  routing::PlacementRequest &Placed = Sent.m_Request;
  Placed.m_Request = core::RequestId(m_NextRequest++);
  Sent.m_LastArrivalAt = Now;
  Placed.m_ArrivedAt = Now;
  if (m_Settings.m_IsFirstArrivalStated && Sent.m_IsReturn)
    Placed.m_FirstArrivedAt = Sent.m_FirstArrivalAt;
  Placed.m_EndsAt = Sent.m_Deadline;
  Placed.m_FirstByteDue = Placed.m_ArrivedAt + Kind.m_Objective;
  Placed.m_FirstEventDeadline = Sent.m_Deadline;
  // The dispatcher may refuse it at once, which ends it.
  routing::PlacementRequest Copy = Placed;
  std::size_t Instance = Sent.m_Instance;
  m_Open.emplace(Placed.m_Request, std::move(Sent));
  m_Send(Instance, Copy);
}

void SimulatedCallers::sendReturns(core::TimePoint Now) {
  while (!m_Returns.empty() && m_Returns.begin()->first <= Now) {
    OpenRequest Due = std::move(m_Returns.begin()->second);
    m_Returns.erase(m_Returns.begin());
    count(Due, [](CallerOutcomes &Each) { ++Each.m_Returned; });
    send(std::move(Due), Now);
  }
}

//===----------------------------------------------------------------------===//
// Outcomes
//===----------------------------------------------------------------------===//

void SimulatedCallers::count(
    const OpenRequest &Request,
    const std::function<void(CallerOutcomes &)> &Change) {
  KindResult &Kind = m_Result.m_Kinds[Request.m_Kind];
  Change(Kind.m_All);
  Change(Kind.m_Accounts[Request.m_Request.m_Account]);
}

void SimulatedCallers::recordRead(core::RequestId Id) {
  m_Open.at(Id).m_IsRead = true;
}

void SimulatedCallers::recordFirstRead(const OpenRequest &Ended, bool IsServed,
                                       core::TimePoint At) {
  if (Ended.m_IsRead && !Ended.m_WasRead)
    m_Result.m_FirstReads.push_back({Ended.m_Kind,
                                     Ended.m_FirstArrivalAt - m_Start, IsServed,
                                     At - Ended.m_FirstArrivalAt});
}

void SimulatedCallers::scheduleReturn(OpenRequest Returning,
                                      core::TimePoint At) {
  std::size_t Instance = m_Instances(m_ReturnRandom);
  std::size_t InstanceCount = m_Instances.probabilities().size();
  if (Instance == Returning.m_Instance)
    Instance = (Instance + 1) % InstanceCount;
  Returning.m_Instance = Instance;
  Returning.m_IsReturn = true;
  Returning.m_IsSent = false;
  Returning.m_WasRead = Returning.m_WasRead || Returning.m_IsRead;
  Returning.m_IsRead = false;
  m_Returns.emplace(At, std::move(Returning));
}

void SimulatedCallers::recordUnread(core::RequestId Id, core::TimePoint Now) {
  auto Found = m_Open.find(Id);
  if (Found == m_Open.end())
    return;
  OpenRequest Unread = std::move(Found->second);
  m_Open.erase(Found);
  if (!Unread.m_IsReturn)
    return scheduleReturn(std::move(Unread), Now + ReconnectTime);
  count(Unread, [](CallerOutcomes &Each) {
    ++Each.m_Refused;
    ++Each.m_RefusedTwice;
  });
}

void SimulatedCallers::recordSent(core::RequestId Id) {
  OpenRequest &Sent = m_Open.at(Id);
  if (Sent.m_IsSent)
    count(Sent, [](CallerOutcomes &Each) { ++Each.m_BrokenPromises; });
  Sent.m_IsSent = true;
}

std::vector<std::pair<core::RequestId, std::size_t>>
SimulatedCallers::overdue(core::TimePoint Now) const {
  std::vector<std::pair<core::RequestId, std::size_t>> Out;
  for (const auto &[Id, Each] : m_Open)
    if (!Each.m_IsSent && Each.m_Deadline <= Now)
      Out.emplace_back(Id, Each.m_Instance);
  std::sort(Out.begin(), Out.end());
  return Out;
}

void SimulatedCallers::recordFirstEvent(core::RequestId Id,
                                        core::TimePoint Now) {
  auto Found = m_Open.find(Id);
  if (Found != m_Open.end() && !Found->second.m_FirstEventAt)
    Found->second.m_FirstEventAt = Now;
}

void SimulatedCallers::recordEnd(core::RequestId Id, core::TimePoint Now) {
  auto Found = m_Open.find(Id);
  if (Found == m_Open.end())
    return;
  OpenRequest Ended = std::move(Found->second);
  m_Open.erase(Found);
  core::TimePoint At = Ended.m_FirstEventAt.value_or(Now);
  core::TimePoint Due =
      Ended.m_FirstArrivalAt + m_Kinds[Ended.m_Kind].m_Objective;
  recordFirstRead(Ended, At <= Ended.m_Deadline, At);
  count(Ended, [&](CallerOutcomes &Each) {
    if (At <= Due)
      ++Each.m_InTime;
    else if (At <= Ended.m_Deadline)
      ++Each.m_Late;
    else
      ++Each.m_Expired;
    if (Ended.m_IsReturn && At <= Ended.m_Deadline)
      ++Each.m_ReturnersServed;
  });
}

void SimulatedCallers::recordRefusal(core::RequestId Id,
                                     std::optional<core::Duration> RetryAfter,
                                     core::TimePoint Now) {
  auto Found = m_Open.find(Id);
  if (Found == m_Open.end())
    return;
  OpenRequest Refused = std::move(Found->second);
  m_Open.erase(Found);
  recordFirstRead(Refused, false, Now);
  const RequestKind &Kind = m_Kinds[Refused.m_Kind];
  double Share = core::toSeconds(Now - Refused.m_LastArrivalAt) /
                 core::toSeconds(Kind.m_Objective);
  bool IsLast = Refused.m_IsReturn || Refused.m_Deadline <= Now;
  count(Refused, [&](CallerOutcomes &Each) {
    Each.m_RefusalTimes.push_back(Share);
    if (Refused.m_IsSent)
      ++Each.m_BrokenPromises;
    if (Refused.m_IsReturn)
      ++Each.m_RefusedTwice;
    if (IsLast)
      ++Each.m_Refused;
  });
  if (IsLast)
    return;
  std::uniform_real_distribution<double> Default(MinRetryAfterSeconds,
                                                 MaxRetryAfterSeconds);
  // Drawn in any case, so that a stated time changes no later draw.
  core::Duration Drawn = core::fromSeconds(Default(m_ReturnRandom));
  core::Duration Longest = std::chrono::duration_cast<core::Duration>(
      (Refused.m_Deadline - Now) * MaxWaitShare);
  core::Duration Wait = std::min(RetryAfter.value_or(Drawn), Longest);
  scheduleReturn(std::move(Refused), Now + Wait);
}

void SimulatedCallers::recordExit(std::size_t Instance) {
  for (auto Each = m_Open.begin(); Each != m_Open.end();) {
    if (Each->second.m_Instance != Instance) {
      ++Each;
      continue;
    }
    recordFirstRead(Each->second, false, m_Start);
    count(Each->second, [](CallerOutcomes &Out) { ++Out.m_Lost; });
    Each = m_Open.erase(Each);
  }
}

CallerResult SimulatedCallers::finish() {
  auto CountUnfinished = [this](const OpenRequest &Each) {
    count(Each, [](CallerOutcomes &Out) { ++Out.m_Unfinished; });
  };
  for (const auto &[Id, Request] : m_Open)
    CountUnfinished(Request);
  for (const auto &[At, Request] : m_Returns)
    CountUnfinished(Request);
  m_Open.clear();
  m_Returns.clear();
  return std::move(m_Result);
}

} // namespace yardrill::tests
