//===-- QuotaProtocol.cpp - Quota messages between peers ------------------===//
#include "LibGateway/QuotaProtocol.h"

namespace yardrill::gateway {

using routing::QuotaVerdict;

/// Time after which a response is no longer expected.
static constexpr std::chrono::seconds MaxResponseDelay{2};

std::uint64_t QuotaProtocol::addPending(const config::Endpoint &Owner,
                                        routing::AccountHash Account,
                                        ResponseHandler OnResponse,
                                        core::TimePoint Now) {
  std::uint64_t RequestId = m_RequestIds.next();
  m_Pending[RequestId] = {Owner, Account, Now, std::move(OnResponse)};
  return RequestId;
}

void QuotaProtocol::sendCharges(core::TimePoint Now) {
  for (const routing::QuotaCharge &Each : m_Quota.takeCharges()) {
    auto OnChargeResponse = [this,
                             Each](const routing::QuotaResponse &Response) {
      if (Response.m_Verdict == QuotaVerdict::Granted)
        m_Quota.settleCharge(Each.m_Account, Each.m_Tokens, core::steadyNow());
      return true;
    };
    std::uint64_t RequestId =
        addPending(Each.m_Owner, Each.m_Account, OnChargeResponse, Now);
    m_Metrics.count("yardrill_quota_charges_total");
    m_Send(Each.m_Owner, peer::QuotaRequest{RequestId, Each.m_Account,
                                            Each.m_Tokens, 0, true});
  }
}

void QuotaProtocol::sendRequest(const routing::QuotaAcquisition &Acquisition,
                                ResponseHandler OnResponse,
                                core::TimePoint Now) {
  const config::Endpoint &Owner = Acquisition.m_RemainingOwners.back();
  std::uint64_t RequestId =
      addPending(Owner, Acquisition.m_Account, std::move(OnResponse), Now);
  m_Metrics.count("yardrill_quota_asks_total");
  m_Send(Owner, peer::QuotaRequest{RequestId, Acquisition.m_Account,
                                   Acquisition.partTokens(), 0, false});
}

routing::QuotaResponse
QuotaProtocol::responseTo(const peer::QuotaRequest &Request,
                          core::TimePoint Now) {
  if (!Request.m_IsCharge)
    return m_Quota.handleRequest(
        {Request.m_Account, Request.m_Tokens, Request.m_Returned}, Now);
  routing::QuotaResponse Out;
  if (m_Quota.charge(Request.m_Account, Request.m_Tokens, Now))
    Out.m_Verdict = QuotaVerdict::Granted;
  return Out;
}

void QuotaProtocol::handle(const config::Endpoint &From,
                           const peer::QuotaRequest &Request,
                           core::TimePoint Now) {
  routing::QuotaResponse Result = responseTo(Request, Now);
  sendCharges(Now);
  if (Request.m_Tokens == 0)
    return;
  if (Result.m_Verdict == QuotaVerdict::Refused)
    m_Metrics.count("yardrill_quota_refused_as_owner_total");
  peer::QuotaResponse Response;
  Response.m_RequestId = Request.m_RequestId;
  Response.m_Verdict = static_cast<std::uint8_t>(Result.m_Verdict);
  Response.m_Tokens = Result.m_Tokens;
  Response.m_RetryAfterUs =
      static_cast<std::uint64_t>(Result.m_RetryAfter.count());
  m_Send(From, Response);
}

void QuotaProtocol::handle(const config::Endpoint &From,
                           const peer::QuotaResponse &Response,
                           core::TimePoint Now) {
  auto Found = m_Pending.find(Response.m_RequestId);
  // Owners are compared by address, which a restart does not change.
  if (Found == m_Pending.end() || !(Found->second.m_Owner == From))
    return;
  Pending Answered = std::move(Found->second);
  m_Pending.erase(Found);
  routing::QuotaResponse Result;
  if (Response.m_Verdict <= static_cast<std::uint8_t>(QuotaVerdict::NotOwner))
    Result.m_Verdict = static_cast<QuotaVerdict>(Response.m_Verdict);
  Result.m_Tokens = Response.m_Tokens;
  Result.m_RetryAfter =
      core::Duration(static_cast<std::int64_t>(Response.m_RetryAfterUs));
  if (!Answered.m_OnResponse(Result))
    m_Quota.cacheGrant(From, Answered.m_Account, Result.m_Tokens, Now);
}

void QuotaProtocol::upkeep(core::TimePoint Now) {
  for (const routing::QuotaReturn &Each : m_Quota.takeUnusedGrants(Now))
    m_Send(Each.m_Owner,
           peer::QuotaRequest{0, Each.m_Account, 0, Each.m_Tokens, false});
  for (auto Each = m_Pending.begin(); Each != m_Pending.end();) {
    if (Now - Each->second.m_SentAt <= MaxResponseDelay) {
      ++Each;
      continue;
    }
    m_Metrics.count("yardrill_quota_asks_unanswered_total");
    Each = m_Pending.erase(Each);
  }
}

} // namespace yardrill::gateway
