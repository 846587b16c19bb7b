//===-- GatewayPaths.cpp - Paths to targets and forwarded requests --------===//
#include "LibGateway/Gateway.h"

#include "LibCore/Error.h"
#include "LibGateway/GatewayRequest.h"

#include <algorithm>

namespace yardrill::gateway {

namespace asio = boost::asio;
using core::Error;

/// Time for which a probe's connection is kept. Its target has not yet stated
/// when it closes idle connections.
static constexpr std::chrono::seconds ProbedConnectionIdleTime{1};

bool Gateway::isExitConfirmed(const routing::Target &Refusing,
                              asio::yield_context Yield) {
  /// Others may have exited as well, such as those of the same host.
  static constexpr std::size_t MaxOthers = 3;
  std::vector<routing::Target> Others = usableTargets(Refusing.m_Pool);
  Others.erase(std::remove(Others.begin(), Others.end(), Refusing),
               Others.end());
  std::shuffle(Others.begin(), Others.end(), m_Random);
  if (Others.size() > MaxOthers)
    Others.resize(MaxOthers);
  return Others.empty() ||
         std::any_of(Others.begin(), Others.end(),
                     [&](const routing::Target &Each) {
                       return probe(Each, Yield) == ProbeResult::Listens;
                     });
}

PathMonitorHooks Gateway::pathMonitorHooks() {
  PathMonitorHooks Out;
  Out.m_Pools = [this] {
    std::vector<core::PoolName> Pools;
    if (m_Table)
      for (const auto &[Name, Pool] : m_Table->pools())
        Pools.push_back(Name);
    return Pools;
  };
  Out.m_Targets = [this](const core::PoolName &Pool) {
    return usableTargets(Pool);
  };
  Out.m_Connect = [this](const routing::Target &Target,
                         asio::yield_context Yield) {
    return probe(Target, Yield) == ProbeResult::Listens;
  };
  Out.m_Changed = [this](const core::PoolName &Pool, routing::PathState State) {
    handlePathChange(Pool, State);
  };
  return Out;
}

std::vector<routing::Target>
Gateway::usableTargets(const core::PoolName &Pool) {
  std::vector<routing::Target> Out;
  for (const routing::KnownTarget *Each : m_Targets.subsetOf(Pool))
    if (Each->acceptsRequests() && !Each->m_ExpiredAt)
      Out.push_back(Each->m_Target);
  return Out;
}

void Gateway::handlePathChange(const core::PoolName &Pool,
                               routing::PathState State) {
  if (State == routing::PathState::Open)
    m_Targets.forgetFailures(Pool);
  else
    for (const auto &[Id, Open] : m_OpenRequests)
      Open->handleLostPath(Pool);
  m_Peers->scheduleReport();
}

void Gateway::handleForwarded(http::Exchange &Call, asio::yield_context Yield) {
  http::HeaderList &Headers = Call.request().m_Headers;
  const std::string *Stated = Headers.find(peer::ForwardAttemptHeader);
  std::string Attempt = Stated ? *Stated : "";
  Headers.remove(peer::ForwardAttemptHeader);
  auto Ticket = m_Peers->readTicket(Call.request());
  if (!Ticket) {
    m_Metrics.count("yardrill_forwarded_requests_rejected_total");
    http::ResponseMessage Response = http::emptyResponse(403);
    Response.m_Head.m_Headers.set(peer::ForwardOutcomeHeader,
                                  peer::OutcomeNotTaken);
    Response.m_Head.m_Headers.set(peer::ForwardAttemptHeader, Attempt);
    return Call.sendResponse(std::move(Response), Yield);
  }
  Headers.remove(peer::ForwardTicketHeader);
  GatewayRequest Request(*this, Call,
                         ForwardedRequest{std::move(*Ticket), Attempt});
  Request.run(Yield);
}

std::map<core::PoolName, SilentRequests>
Gateway::silentRequests(core::TimePoint Now) const {
  std::map<core::PoolName, SilentRequests> Out;
  for (const auto &[Id, Open] : m_OpenRequests)
    Open->addIfSilent(Out, Now);
  return Out;
}

http::ServerProcess Gateway::serverOf(const routing::Target &Target) {
  return {Target.m_Address.toTcp(), Target.incarnation().text()};
}

ProbeResult Gateway::probe(const routing::Target &Target,
                           asio::yield_context Yield) {
  http::ServerProcess Server = serverOf(Target);
  try {
    m_Connections.release(Server, m_Connections.acquire(Server, true, Yield),
                          ProbedConnectionIdleTime);
  } catch (const Error &Failure) {
    return Failure.kind() == core::ErrorKind::Refused ? ProbeResult::Gone
                                                      : ProbeResult::Unknown;
  }
  return ProbeResult::Listens;
}

} // namespace yardrill::gateway
