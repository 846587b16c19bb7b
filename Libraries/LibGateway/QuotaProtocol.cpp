#include "LibGateway/QuotaProtocol.h"

namespace yardrill::gateway {

using routing::QuotaVerdict;

/// An answer that has not come by then never comes.
static constexpr std::chrono::seconds MaxResponseDelay{2};

std::uint64_t QuotaProtocol::expect(const config::Endpoint &Owner,
                                    routing::AccountHash Account,
                                    ResponseHandler OnResponse,
                                    core::TimePoint Now) {
  std::uint64_t Number = m_NextRequestId++;
  m_Pending[Number] = {Owner, Account, Now, std::move(OnResponse)};
  return Number;
}

void QuotaProtocol::sendCharges(core::TimePoint Now) {
  for (const routing::QuotaCharge &Each : m_Quota.takeCharges()) {
    auto Taken = [this, Each](const routing::QuotaResponse &Response) {
      if (Response.m_Verdict == QuotaVerdict::Granted)
        m_Quota.settleCharge(Each.m_Account, Each.m_Tokens, core::steadyNow());
      return true;
    };
    std::uint64_t Number = expect(Each.m_Owner, Each.m_Account, Taken, Now);
    m_Metrics.count("yardrill_quota_charges_total");
    m_Send(Each.m_Owner,
           peer::QuotaRequest{Number, Each.m_Account, Each.m_Tokens, 0, true});
  }
}

void QuotaProtocol::ask(const routing::QuotaAcquisition &Draw,
                        ResponseHandler OnResponse, core::TimePoint Now) {
  const config::Endpoint &Owner = Draw.m_RemainingOwners.back();
  std::uint64_t Number =
      expect(Owner, Draw.m_Account, std::move(OnResponse), Now);
  m_Metrics.count("yardrill_quota_asks_total");
  m_Send(Owner,
         peer::QuotaRequest{Number, Draw.m_Account, Draw.m_Tokens, 0, false});
}

routing::QuotaResponse QuotaProtocol::responseTo(const peer::QuotaRequest &Ask,
                                                 core::TimePoint Now) {
  if (!Ask.m_IsCharge)
    return m_Quota.handleRequest({Ask.m_Account, Ask.m_Tokens, Ask.m_Returned},
                                 Now);
  routing::QuotaResponse Out;
  if (m_Quota.charge(Ask.m_Account, Ask.m_Tokens, Now))
    Out.m_Verdict = QuotaVerdict::Granted;
  return Out;
}

void QuotaProtocol::handle(const config::Endpoint &From,
                           const peer::QuotaRequest &Ask, core::TimePoint Now) {
  routing::QuotaResponse Says = responseTo(Ask, Now);
  sendCharges(Now);
  if (Ask.m_Tokens == 0)
    return;
  if (Says.m_Verdict == QuotaVerdict::Refused)
    m_Metrics.count("yardrill_quota_refused_as_owner_total");
  peer::QuotaResponse Response;
  Response.m_RequestId = Ask.m_RequestId;
  Response.m_Verdict = static_cast<std::uint8_t>(Says.m_Verdict);
  Response.m_Tokens = Says.m_Tokens;
  Response.m_RetryAfterUs =
      static_cast<std::uint64_t>(Says.m_RetryAfter.count());
  m_Send(From, Response);
}

void QuotaProtocol::handle(const config::Endpoint &From,
                           const peer::QuotaResponse &Response,
                           core::TimePoint Now) {
  auto Found = m_Pending.find(Response.m_RequestId);
  // An owner that has started anew may still be asked by its address.
  if (Found == m_Pending.end() || !(Found->second.m_Owner == From))
    return;
  Pending Asked = std::move(Found->second);
  m_Pending.erase(Found);
  routing::QuotaResponse Says;
  if (Response.m_Verdict <= static_cast<std::uint8_t>(QuotaVerdict::NotOwner))
    Says.m_Verdict = static_cast<QuotaVerdict>(Response.m_Verdict);
  Says.m_Tokens = Response.m_Tokens;
  Says.m_RetryAfter =
      core::Duration(static_cast<std::int64_t>(Response.m_RetryAfterUs));
  if (!Asked.m_OnResponse(Says))
    m_Quota.cacheGrant(From, Asked.m_Account, Says.m_Tokens, Now);
}

void QuotaProtocol::upkeep(core::TimePoint Now) {
  for (const routing::QuotaReturn &Each : m_Quota.takeUnusedGrants(Now))
    m_Send(Each.m_Owner,
           peer::QuotaRequest{0, Each.m_Account, 0, Each.m_Tokens, false});
  for (auto Each = m_Pending.begin(); Each != m_Pending.end();) {
    if (Now - Each->second.m_AskedAt <= MaxResponseDelay) {
      ++Each;
      continue;
    }
    m_Metrics.count("yardrill_quota_asks_unanswered_total");
    Each = m_Pending.erase(Each);
  }
}

} // namespace yardrill::gateway
