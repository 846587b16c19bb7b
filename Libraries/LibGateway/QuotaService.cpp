//===-- QuotaService.cpp - Quotas shared by all instances -----------------===//
#include "LibGateway/QuotaService.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"
#include "LibCore/Timer.h"

#include <memory>

namespace yardrill::gateway {

namespace asio = boost::asio;
using routing::QuotaStep;

QuotaService::QuotaService(asio::io_context &Context,
                           const GatewaySettings &Settings,
                           metrics::MetricsRegistry &Metrics,
                           QuotaProtocol::Sender Send)
    : m_Context(Context),
      m_Quota(Settings.m_PeerAddress, Settings.m_QuotaTolerance,
              Settings.m_IsFirstStart, core::randomBits()),
      m_Protocol(m_Quota, Metrics, core::randomBits(), std::move(Send)),
      m_Self(Settings.m_PeerAddress) {}

void QuotaService::setAccounts(const std::vector<routing::Account> &Accounts) {
  m_Quota.setAccounts(Accounts, core::steadyNow());
}

bool QuotaService::setOwners(const QuotaOwnerLists &Lists,
                             const FleetMembers &Members) {
  if (Lists.m_Owners == m_Lists.m_Owners &&
      Lists.m_Leaseholders == m_Lists.m_Leaseholders && Members == m_Members)
    return false;
  m_Lists = Lists;
  m_Members = Members;
  m_Quota.setRing(ringsOf(m_Self, Lists, Members), core::steadyNow());
  return true;
}

void QuotaService::handle(const peer::PeerMessage &Message) {
  core::TimePoint Now = core::steadyNow();
  const config::Endpoint &From = Message.m_From.m_Peer;
  if (const auto *Request = std::get_if<peer::QuotaRequest>(&Message.m_Body))
    return m_Protocol.handle(From, *Request, Now);
  if (const auto *Response = std::get_if<peer::QuotaResponse>(&Message.m_Body))
    m_Protocol.handle(From, *Response, Now);
}

void QuotaService::upkeep(routing::OwnershipEvidence Evidence, bool HasLease,
                          core::TimePoint Now) {
  m_Quota.setEvidence(Evidence);
  m_Quota.setLease(HasLease, Now);
  if (Evidence != m_Evidence || HasLease != m_HasLease)
    core::LogLine("quota-ownership-evidence", core::LogLevel::Warning)
        .add("evidence", routing::toString(Evidence))
        .add("has_lease", HasLease)
        .add("owners", m_Lists.m_Owners.size())
        .add("leaseholders", m_Lists.m_Leaseholders.size())
        .add("members", m_Members.size());
  m_Evidence = Evidence;
  m_HasLease = HasLease;
  m_Protocol.upkeep(Now);
}

bool QuotaService::acquire(routing::QuotaAcquisition &Acquisition,
                           asio::yield_context Yield) {
  QuotaStep Step = m_Quota.begin(Acquisition, core::steadyNow());
  while (Step == QuotaStep::Ask)
    Step = requestTokens(Acquisition, Yield);
  m_Protocol.sendCharges(core::steadyNow());
  return Step == QuotaStep::Granted;
}

namespace {

/// Response awaited by one request. Shared by the waiting coroutine and the
/// response handler, of which either can end first.
struct PendingResponse {
  explicit PendingResponse(asio::io_context &Context)
      : m_Timer(Context, routing::DistributedQuota::ResponseTimeout) {}

  core::Timer m_Timer;
  bool m_IsAbandoned = false;
  std::optional<routing::QuotaResponse> m_Response;
};

} // namespace

QuotaStep QuotaService::requestTokens(routing::QuotaAcquisition &Acquisition,
                                      asio::yield_context Yield) {
  auto Pending = std::make_shared<PendingResponse>(m_Context);
  m_Protocol.sendRequest(
      Acquisition,
      [Pending](const routing::QuotaResponse &Response) {
        if (Pending->m_IsAbandoned)
          return false;
        Pending->m_Response = Response;
        Pending->m_Timer.cancel();
        return true;
      },
      core::steadyNow());
  boost::system::error_code Ignored;
  if (!Pending->m_Response)
    Pending->m_Timer.async_wait(Yield[Ignored]);
  Pending->m_IsAbandoned = true;
  core::TimePoint Now = core::steadyNow();
  if (Pending->m_Response)
    return m_Quota.handleResponse(Acquisition, *Pending->m_Response, Now);
  return m_Quota.handleTimeout(Acquisition, Now);
}

void QuotaService::giveBack(const routing::QuotaAcquisition &Acquisition) {
  m_Quota.giveBack(Acquisition, core::steadyNow());
}

} // namespace yardrill::gateway
