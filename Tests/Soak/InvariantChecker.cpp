#include "InvariantChecker.h"

#include "ServedShare.h"

#include <algorithm>
#include <sstream>

namespace yardrill::soak {

/// Returns whether the status guarantees that the request is never executed.
static bool isRefusal(unsigned Status) {
  return Status == 429 || Status == 503 || Status == 408 || Status == 421;
}

//===----------------------------------------------------------------------===//
// Disturbances
//===----------------------------------------------------------------------===//

void InvariantChecker::Disturbance::change(bool Begins, TimePoint Now) {
  m_ActiveCount += Begins ? 1 : -1;
  m_EndedAt = Now;
}

void InvariantChecker::noteProcessDisturbance(std::size_t Gateway,
                                              bool Begins) {
  m_Gateways[Gateway].m_Process.change(Begins, m_Now());
}

void InvariantChecker::noteStorePathDisturbance(std::size_t Gateway,
                                                bool Begins) {
  m_Gateways[Gateway].m_StorePath.change(Begins, m_Now());
}

void InvariantChecker::noteStoreDisturbance(bool Begins) {
  m_Store.change(Begins, m_Now());
}

void InvariantChecker::noteCallerLinkDisturbance(std::size_t Gateway,
                                                 bool Begins) {
  m_Gateways[Gateway].m_CallerLink.change(Begins, m_Now());
}

void InvariantChecker::noteCallerLinkReset(std::size_t Gateway) {
  m_Gateways[Gateway].m_CallerLinkResetAt = m_Now();
}

bool InvariantChecker::hasLinkFailed(const SentRequest &Request) const {
  const Gateway &At = m_Gateways[Request.m_Gateway];
  return Request.m_IsProxied && (At.m_CallerLink.m_ActiveCount > 0 ||
                                 At.m_CallerLink.m_EndedAt > Request.m_SentAt ||
                                 At.m_CallerLinkResetAt > Request.m_SentAt);
}

void InvariantChecker::setStopping(std::size_t Gateway, bool IsStopping) {
  m_Gateways[Gateway].m_IsStopping = IsStopping;
}

bool InvariantChecker::isUndisturbedSince(std::size_t GatewayIndex,
                                          TimePoint Since) const {
  const Gateway &State = m_Gateways[GatewayIndex];
  return !State.m_IsStopping && State.m_Process.hasEndedBefore(Since) &&
         State.m_StorePath.hasEndedBefore(Since) &&
         m_Store.hasEndedBefore(Since);
}

//===----------------------------------------------------------------------===//
// Observations
//===----------------------------------------------------------------------===//

SentRequest *InvariantChecker::findRequest(const std::string &Id) {
  auto Found = m_SentRequests.find(Id);
  return Found == m_SentRequests.end() ? nullptr : &Found->second;
}

void InvariantChecker::addViolation(const std::string &Rule,
                                    const std::string &Description) {
  m_Violations.push_back(Rule + ": " + Description);
}

void InvariantChecker::requestSent(SentRequest Request) {
  m_Requests.push_back({Request.m_SentAt});
  Request.m_IsGatewayUndisturbed =
      isUndisturbedSince(Request.m_Gateway, Request.m_SentAt);
  if (m_SkewedSince) {
    Request.m_SkewAge = Request.m_SentAt - *m_SkewedSince;
    Request.m_IsAtSkewedGateway = Request.m_Gateway == m_SkewedGateway;
  }
  std::string Id = Request.m_Id;
  if (Request.m_Identity.empty())
    Request.m_Identity = Id;
  m_SentRequests.emplace(std::move(Id), std::move(Request));
}

void InvariantChecker::requestArrived(const std::string &Id,
                                      const std::string &Target,
                                      std::optional<TimePoint> LeavingSince) {
  SentRequest *Request = findRequest(Id);
  if (!Request)
    return addViolation("unasked", "no caller sent " + Id);
  if (++Request->m_Arrivals > 1)
    m_Repeats.push_back({m_Now()});
  if (!Request->m_Content.empty() &&
      isUndisturbedSince(Request->m_Gateway, m_Now()))
    m_BadContents[Request->m_Content].m_Arrivals.push_back(m_Now());
  if (!LeavingSince || m_Now() <= *LeavingSince + bounds::LeavingGracePeriod)
    return;
  if (isUndisturbedSince(Request->m_Gateway, *LeavingSince))
    addViolation(
        "leaving",
        Id + " arrived at target " + Target +
            " more than the grace period after it announced that it leaves");
}

void InvariantChecker::arrivedAtIncarnation(const std::string &Id,
                                            const std::string &Incarnation) {
  const SentRequest *Request = findRequest(Id);
  if (!Request)
    return;
  const Gateway &Sender = m_Gateways[Request->m_Gateway];
  m_Backpressure.requestArrived(
      Id, Incarnation, Request->m_Gateway, Request->m_SentAt, m_Now(),
      !Sender.m_Process.hasEndedBefore(m_Now()) || mayBeForwarded(*Request));
}

void InvariantChecker::backpressureStated(
    const std::string &Id, const std::string &Incarnation,
    const ResponseBackpressure &Backpressure, TimePoint SentAt) {
  const SentRequest *Request = findRequest(Id);
  if (Request && !mayBeForwarded(*Request))
    m_Backpressure.backpressureStated(Id, Incarnation, Request->m_Gateway,
                                      Backpressure, SentAt, m_Now());
}

void InvariantChecker::noteLinkDisturbance(const void *Target, bool Begins) {
  m_TargetLinks[Target].change(Begins, m_Now());
}

bool InvariantChecker::mayBeForwarded(const SentRequest &Request) const {
  TimePoint Since = Request.m_SentAt - bounds::UnreachableMemory;
  auto Count = std::count_if(
      m_TargetLinks.begin(), m_TargetLinks.end(), [Since](const auto &Each) {
        return Each.second.m_ActiveCount > 0 || Each.second.m_EndedAt >= Since;
      });
  return static_cast<std::size_t>(Count) >= bounds::MinUnreachableTargets;
}

void InvariantChecker::requestExecuted(const std::string &Id) {
  SentRequest *Request = findRequest(Id);
  if (!Request)
    return;
  m_ExecutedTokens[Request->m_Account].push_back({m_Now(), Request->m_Tokens});
  if (++Request->m_Executions > 1 && !Request->isRetryable())
    addViolation("once", Id + " was executed again, but is not idempotent");
  else if (!Request->isRetryable() && ++m_Executions[Request->m_Identity] > 1)
    addViolation("once", Id + " was executed, but also " + Request->m_Identity +
                             " or a later attempt of the same request");
  if (!Request->isRetryable() && Request->m_LooksUnread)
    addViolation("once", Id + " was executed after its connection had ended as "
                              "if it had not been read");
  if (Request->m_Status && isRefusal(*Request->m_Status) &&
      !Request->isRetryable())
    addViolation("refusal", Id + " was executed after it was refused");
}

void InvariantChecker::noteTargetDisturbance(const std::string &Id) {
  if (SentRequest *Request = findRequest(Id))
    Request->m_IsTargetDisturbed = true;
}

void InvariantChecker::targetExited(const std::string &Content) {
  m_BadContents[Content].m_Exits.push_back(m_Now());
}

void InvariantChecker::arrivedAtVersion(const std::string &Id,
                                        const std::string &Pool,
                                        const std::string &Version) {
  const SentRequest *Request = findRequest(Id);
  bool IsUndisturbed =
      Request && isUndisturbedSince(Request->m_Gateway, m_Now());
  m_VersionArrivals.push_back({m_Now(), Pool, Version, IsUndisturbed});
}

void InvariantChecker::badResponseSent(const std::string &Pool,
                                       const std::string &Version) {
  m_BadResponses.push_back({m_Now(), Pool, Version});
}

bool InvariantChecker::isFleetUndisturbedSince(TimePoint Since) const {
  for (std::size_t I = 0; I < m_Gateways.size(); ++I)
    if (!isUndisturbedSince(I, Since))
      return false;
  return true;
}

void InvariantChecker::checkRollout(const RolloutOrder &Order) {
  if (!Order.m_IsBad)
    return;
  double PoolRequests = 0;
  double CanaryRequests = 0;
  for (const VersionArrival &Each : m_VersionArrivals) {
    bool IsWithin = Each.m_Pool == Order.m_Pool &&
                    Each.m_At >= Order.m_OrderedAt &&
                    Each.m_At <= Order.m_Deadline;
    PoolRequests += IsWithin ? 1 : 0;
    CanaryRequests += IsWithin && Each.m_IsGatewayUndisturbed &&
                              Each.m_Version == Order.m_Version
                          ? 1
                          : 0;
  }
  if (CanaryRequests >
      bounds::CanaryShare * PoolRequests + bounds::CanarySlack) {
    std::ostringstream Text;
    Text << Order.m_Version << " received " << CanaryRequests << " requests of "
         << PoolRequests;
    addViolation("exposure", Text.str());
  }
  // Bad responses count only from SettleTime after the store's last disturbance
  // on.
  std::size_t BadResponses = 0;
  std::optional<TimePoint> RollbackDueAt;
  for (const BadResponse &Each : m_BadResponses)
    if (Each.m_Pool == Order.m_Pool && Each.m_Version == Order.m_Version &&
        m_Store.hasEndedBefore(Each.m_At) &&
        ++BadResponses == bounds::BadResponsesForRollback)
      RollbackDueAt = Each.m_At + bounds::RollbackTime;
  for (const VersionArrival &Each : m_VersionArrivals)
    if (RollbackDueAt && Each.m_At > *RollbackDueAt &&
        Each.m_IsGatewayUndisturbed && Each.m_Pool == Order.m_Pool &&
        Each.m_Version == Order.m_Version)
      return addViolation("exposure",
                          Order.m_Version +
                              " received requests after its rollback was due");
}

void InvariantChecker::responseReceived(const std::string &Id,
                                        unsigned Status) {
  SentRequest &Request = m_SentRequests.at(Id);
  Request.m_Status = Status;
  if (isRefusal(Status) && Request.m_Executions > 0 && !Request.isRetryable())
    addViolation("refusal", Id + " was refused after it was executed");
  if (!Request.m_IsProbe && (Status == 401 || Status == 404))
    addViolation("denied", Id + " got status " + std::to_string(Status));
}

static std::string describePath(const SentRequest &Request) {
  return ", at gateway " + std::to_string(Request.m_Gateway) +
         (Request.m_IsProxied ? " by way of the proxy" : "");
}

void InvariantChecker::responseLost(const std::string &Id,
                                    const std::string &Error) {
  SentRequest &Request = m_SentRequests.at(Id);
  if (hasLinkFailed(Request))
    Request.m_HasCallerLeft = true;
  if (Request.m_HasCallerLeft)
    return;
  ++m_LostResponses;
  const Gateway &Sender = m_Gateways[Request.m_Gateway];
  auto Elapsed = m_Now() - Request.m_SentAt;
  if (!Sender.m_Process.hasEndedBefore(Request.m_SentAt))
    return;
  if (Elapsed > Request.m_TimeLimit + bounds::ResponseSlack)
    return addViolation("held", Id + " had no response at its time limit: " +
                                    Error + describePath(Request));
  // A response that is incomplete at its time limit may be aborted.
  bool IsOver = Elapsed >= Request.m_TimeLimit;
  bool IsGatewayFault =
      !IsOver && (Request.m_Executions > 0 || Elapsed > bounds::EarlyLossSlack);
  if (IsGatewayFault && !Request.m_IsTargetDisturbed)
    addViolation(Sender.m_IsStopping ? "stop" : "lost",
                 Id + " lost its response: " + Error + describePath(Request));
}

void InvariantChecker::noteUnreadEnd(const std::string &Id, bool IsReset) {
  ++(IsReset ? m_ResetEnds : m_EmptyEnds);
  SentRequest &Request = m_SentRequests.at(Id);
  Request.m_LooksUnread = true;
  if (Request.m_Executions > 0 && !Request.isRetryable())
    addViolation("once", Id +
                             " was executed, but its connection ended as if it "
                             "had not been read");
}

void InvariantChecker::callerLeft(const std::string &Id) {
  SentRequest &Request = m_SentRequests.at(Id);
  Request.m_HasCallerLeft = true;
  Request.m_LeftAt = m_Now();
}

void InvariantChecker::noteLeftUnread(const std::string &Id) {
  ++m_LeftUnread;
  m_SentRequests.at(Id).m_LooksUnread = true;
}

void InvariantChecker::arrivedOverLink(const std::string &Id,
                                       const void *Target) {
  const SentRequest *Request = findRequest(Id);
  // A proxy may hold back the end of its caller's connection, and a link the
  // request itself.
  if (!Request || !Request->m_LeftAt || Request->m_IsProxied ||
      m_Now() <= *Request->m_LeftAt + bounds::AbandonedSlack ||
      !m_TargetLinks[Target].hasEndedBefore(m_Now()))
    return;
  addViolation("abandoned", Id + " arrived after its caller had left");
}

void InvariantChecker::excuseDisturbed(std::vector<StreamRun> &Runs) {
  for (StreamRun &Each : Runs)
    if (!Each.m_EndedAt &&
        (!m_Gateways[Each.m_Gateway].m_Process.hasEndedBefore(m_Now()) ||
         !m_Gateways[Each.m_Gateway].m_CallerLink.hasEndedBefore(m_Now()) ||
         !m_TargetLinks[Each.m_Target].hasEndedBefore(m_Now())))
      Each.m_IsExcused = true;
}

void InvariantChecker::streamBegan(const std::string &Id, const void *Target) {
  const SentRequest *Request = findRequest(Id);
  if (!Request)
    return;
  std::vector<StreamRun> &Runs = m_StreamRuns[Request->m_Identity];
  excuseDisturbed(Runs);
  m_ResumedStreams += Runs.empty() ? 0 : 1;
  Runs.push_back(
      {Id, Target, Request->m_Gateway, m_Now(), std::nullopt, false});
}

void InvariantChecker::streamAtVersion(const std::string &Id,
                                       const std::string &Version,
                                       bool IsResumed) {
  const SentRequest *Request = findRequest(Id);
  if (!Request)
    return;
  std::string &Known = m_StreamVersions[Request->m_Identity];
  if (IsResumed && Known != Version)
    addViolation("order", "stream " + Request->m_Identity + " of version " +
                              Known + " went on as " + Id + " at version " +
                              Version);
  Known = Version;
}

void InvariantChecker::streamEnded(const std::string &Id, const void *Target) {
  const SentRequest *Request = findRequest(Id);
  if (!Request)
    return;
  std::vector<StreamRun> &Runs = m_StreamRuns[Request->m_Identity];
  excuseDisturbed(Runs);
  for (StreamRun &Each : Runs)
    if (Each.m_Id == Id && Each.m_Target == Target && !Each.m_EndedAt)
      Each.m_EndedAt = m_Now();
}

void InvariantChecker::checkStreams() {
  for (const auto &[Identity, Runs] : m_StreamRuns)
    for (std::size_t I = 0; I + 1 < Runs.size(); ++I) {
      const StreamRun &First = Runs[I];
      const StreamRun &Next = Runs[I + 1];
      TimePoint End = First.m_EndedAt.value_or(TimePoint::max());
      if (First.m_IsExcused || First.m_Target == Next.m_Target ||
          End <= Next.m_BeganAt + bounds::StreamEndTime)
        continue;
      addViolation("once", "stream " + Identity + " went on as " + Next.m_Id +
                               " while a target still worked on " + First.m_Id);
    }
}

void InvariantChecker::wrongResponse(const std::string &Id,
                                     const std::string &Problem) {
  addViolation("answer", Id + ": " + Problem);
}

//===----------------------------------------------------------------------===//
// Windows
//===----------------------------------------------------------------------===//

/// Returns the sum of the amounts from point \p First on, over \p Length.
static double sumFrom(const std::vector<DataPoint> &Points, std::size_t First,
                      Clock::duration Length) {
  double Sum = 0;
  TimePoint End = Points[First].m_At + Length;
  for (std::size_t I = First; I < Points.size() && Points[I].m_At < End; ++I)
    Sum += Points[I].m_Amount;
  return Sum;
}

void InvariantChecker::checkQuotas() {
  auto Window = std::chrono::duration<double>(bounds::QuotaWindow).count();
  for (const auto &[Account, Quota] : m_Quotas) {
    double MaxTokens = (Quota.m_TokensPerSecond * Window + Quota.m_Burst) *
                           (1 + bounds::QuotaOvershoot) +
                       bounds::QuotaSlack;
    const TimeSeries &Executed = m_ExecutedTokens[Account];
    for (std::size_t I = 0; I < Executed.size(); ++I) {
      double Sum = sumFrom(Executed, I, bounds::QuotaWindow);
      if (Sum <= MaxTokens)
        continue;
      std::ostringstream Text;
      Text << Account << " executed " << Sum << " tokens in a window, allowed "
           << MaxTokens;
      return addViolation("quota", Text.str());
    }
  }
}

void InvariantChecker::checkRetries() {
  for (std::size_t I = 0; I < m_Repeats.size(); ++I) {
    double Repeats = sumFrom(m_Repeats, I, bounds::RetryWindow);
    auto First = std::lower_bound(
        m_Requests.begin(), m_Requests.end(), m_Repeats[I].m_At,
        [](const DataPoint &Each, TimePoint At) { return Each.m_At < At; });
    double Sent =
        First == m_Requests.end()
            ? 0
            : sumFrom(m_Requests,
                      static_cast<std::size_t>(First - m_Requests.begin()),
                      bounds::RetryWindow);
    if (Repeats <= bounds::RetryRatio * Sent + bounds::RetrySlack)
      continue;
    std::ostringstream Text;
    Text << Repeats << " repeats of " << Sent << " requests in a window";
    return addViolation("retries", Text.str());
  }
}

void InvariantChecker::checkRecovery(TimePoint RecoveredAt) {
  std::size_t Sent = 0;
  std::size_t Served = 0;
  for (const auto &[Id, Request] : m_SentRequests) {
    bool IsLimited = m_Quotas.count(Request.m_Account) != 0;
    if (Request.m_SentAt < RecoveredAt + bounds::SettleTime || IsLimited ||
        !Request.m_Content.empty() || Request.m_HasCallerLeft)
      continue;
    ++Sent;
    Served += Request.isServed() ? 1 : 0;
  }
  if (static_cast<double>(Served) >=
      bounds::MinServedAfterRecovery * static_cast<double>(Sent))
    return;
  std::ostringstream Text;
  Text << Served << " of " << Sent
       << " requests served after the last disturbance";
  addViolation("recovery", Text.str());
}

void InvariantChecker::noteSkew(std::optional<std::size_t> Gateway) {
  m_SkewedSince.reset();
  if (!Gateway)
    return;
  m_SkewedSince = m_Now();
  m_SkewedGateway = *Gateway;
}

void InvariantChecker::noteTargetShortage(const std::string &Pool,
                                          bool Begins) {
  if (Begins)
    m_Shortages[Pool].push_back({m_Now()});
  else
    m_Shortages[Pool].back().m_EndedAt = m_Now();
}

bool InvariantChecker::hadEnoughTargets(const SentRequest &Request) const {
  auto Found = m_Shortages.find(Request.pool());
  if (Found == m_Shortages.end())
    return true;
  return std::none_of(
      Found->second.begin(), Found->second.end(),
      [&Request](const Period &Each) {
        return Each.m_BeganAt < Request.m_SentAt + Request.m_TimeLimit &&
               Each.m_EndedAt > Request.m_SentAt - bounds::SettleTime;
      });
}

void InvariantChecker::checkSkews() {
  ServedShare Usual;
  ServedShare Skewed;
  ServedShare AtOthers;
  ServedShare AtSkewed;
  for (const auto &[Id, Request] : m_SentRequests) {
    if (!Request.m_IsGatewayUndisturbed || Request.m_IsTargetDisturbed ||
        Request.m_IsProbe || !Request.m_Content.empty() ||
        Request.m_HasCallerLeft || Request.m_LooksUnread ||
        Request.m_Identity != Id || m_Quotas.count(Request.m_Account) != 0)
      continue;
    // Neither counts while instances adapt.
    if (Request.m_SkewAge && *Request.m_SkewAge < bounds::SkewAdaptationTime)
      continue;
    if (Request.m_SkewAge)
      (Request.m_IsAtSkewedGateway ? AtSkewed : AtOthers)
          .add(Request.isServed());
    if (hadEnoughTargets(Request))
      (Request.m_SkewAge ? Skewed : Usual).add(Request.isServed());
  }
  m_ComparedByTime = std::min(Skewed.sent(), Usual.sent());
  m_ComparedByGateway = std::min(AtSkewed.sent(), AtOthers.sent());
  std::ostringstream Text;
  if (Skewed.isTooSmallBeside(Usual)) {
    Text << Skewed.share() << " of the requests served while connections were "
         << "skewed, " << Usual.share() << " else";
    addViolation("recovery", Text.str());
  } else if (AtSkewed.isClearlyTooSmallBeside(AtOthers)) {
    Text << AtSkewed.share() << " of the requests served where most "
         << "connections went, " << AtOthers.share() << " at other gateways";
    addViolation("recovery", Text.str());
  }
}

void InvariantChecker::checkQuarantine() {
  for (const auto &[Content, Observed] : m_BadContents) {
    if (Observed.m_Exits.size() < bounds::ExitsForQuarantine)
      continue;
    TimePoint QuarantineDueAt =
        Observed.m_Exits[bounds::ExitsForQuarantine - 1] + bounds::SettleTime;
    auto LateArrivals = std::count_if(
        Observed.m_Arrivals.begin(), Observed.m_Arrivals.end(),
        [QuarantineDueAt](TimePoint At) { return At > QuarantineDueAt; });
    if (static_cast<std::size_t>(LateArrivals) <= bounds::MaxSendsInQuarantine)
      continue;
    std::ostringstream Text;
    Text << Content << " arrived " << LateArrivals
         << " times after its quarantine was due, " << Observed.m_Exits.size()
         << " targets exited";
    addViolation("quarantine", Text.str());
  }
}

void InvariantChecker::finish(TimePoint RecoveredAt) {
  m_Backpressure.finish();
  checkStreams();
  checkQuarantine();
  checkQuotas();
  checkRetries();
  checkRecovery(RecoveredAt);
  checkSkews();
}

std::string InvariantChecker::summary() const {
  std::size_t Served = 0;
  std::size_t Refused = 0;
  for (const auto &[Id, Request] : m_SentRequests) {
    Served += Request.isServed() ? 1 : 0;
    Refused += Request.m_Status && isRefusal(*Request.m_Status) ? 1 : 0;
  }
  std::ostringstream Out;
  Out << "requests=" << m_SentRequests.size() << " served=" << Served
      << " refused=" << Refused << " unanswered=" << m_LostResponses
      << " reset_ends=" << m_ResetEnds << " empty_ends=" << m_EmptyEnds
      << " left_unread=" << m_LeftUnread
      << " resumed_streams=" << m_ResumedStreams
      << " repeats=" << m_Repeats.size()
      << " bad_contents=" << m_BadContents.size()
      << " skewed_by_time=" << m_ComparedByTime
      << " skewed_by_gateway=" << m_ComparedByGateway
      << " limits=" << m_Backpressure.limits()
      << " rests=" << m_Backpressure.backoffs()
      << " violations=" << m_Violations.size();
  return Out.str();
}

} // namespace yardrill::soak
