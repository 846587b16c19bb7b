#include "LibGateway/SlotService.h"

#include "LibCore/Digest.h"
#include "LibCore/Log.h"

namespace yardrill::gateway {

/// Minimum time between two log events for granted slots.
static constexpr std::chrono::seconds LogPeriod{1};

static peer::SlotGrant toMessage(const routing::SlotGrant &Granted) {
  peer::SlotGrant Out;
  Out.m_Lease = Granted.m_Lease;
  Out.m_Target = Granted.m_Target.m_Name.value();
  Out.m_StartTime = Granted.m_Target.m_StartTime.value();
  Out.m_HeldUs = static_cast<std::uint64_t>(Granted.m_HeldTime.count());
  return Out;
}

static routing::SlotGrant fromMessage(const peer::SlotGrant &Received) {
  routing::SlotGrant Out;
  Out.m_Lease = Received.m_Lease;
  Out.m_Target = {core::TargetName(Received.m_Target),
                  core::TargetStartTime(Received.m_StartTime)};
  Out.m_HeldTime = core::Duration(static_cast<std::int64_t>(Received.m_HeldUs));
  return Out;
}

SlotService::SlotService(routing::Dispatcher &Dispatcher,
                         routing::TargetDirectory &Targets,
                         metrics::MetricsRegistry &Metrics, Send Hook)
    : m_Metrics(Metrics), m_Send(std::move(Hook)), m_Random(core::randomBits()),
      m_Exchange(Dispatcher, Targets, core::randomBits(), exchangeHooks()) {}

routing::SlotExchangeHooks SlotService::exchangeHooks() {
  routing::SlotExchangeHooks Out;
  Out.m_Grant = [this](const config::Endpoint &To,
                       const routing::SlotGrant &Granted) {
    sendGrant(To, Granted);
  };
  Out.m_Return = [this](const config::Endpoint &To,
                        routing::SlotLeaseId Lease) { sendReturn(To, Lease); };
  Out.m_Random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(m_Random);
  };
  return Out;
}

void SlotService::sendGrant(const config::Endpoint &To,
                            const routing::SlotGrant &Granted) {
  m_Send(To, toMessage(Granted));
  m_Metrics.count("yardrill_slots_granted_total");
  ++m_GrantsSinceLog;
  core::TimePoint Now = core::steadyNow();
  if (Now - m_LoggedAt < LogPeriod)
    return;
  core::LogLine("slots-granted")
      .add("grants", m_GrantsSinceLog)
      .add("last_target", Granted.m_Target.m_Name)
      .add("last_receiver", To.toString());
  m_LoggedAt = Now;
  m_GrantsSinceLog = 0;
}

void SlotService::sendReturn(const config::Endpoint &To,
                             routing::SlotLeaseId Lease) {
  peer::SlotReturn Returned;
  Returned.m_Lease = Lease;
  m_Send(To, Returned);
}

void SlotService::handle(const peer::PeerMessage &Message,
                         core::TimePoint Now) {
  const config::Endpoint &From = Message.m_From.m_Peer;
  if (const auto *Grant = std::get_if<peer::SlotGrant>(&Message.m_Body)) {
    if (Grant->m_RequestId != 0 || Grant->m_Lease == 0)
      return;
    m_Metrics.count("yardrill_slots_received_total");
    m_Exchange.handleGrant(From, fromMessage(*Grant), Now);
  } else if (const auto *Returned =
                 std::get_if<peer::SlotReturn>(&Message.m_Body)) {
    const routing::SlotLease *Lease =
        m_Exchange.leases().find(Returned->m_Lease);
    bool IsOfPeer = Lease && Lease->m_Scope == routing::LeaseScope::GroupPeer;
    if (m_Exchange.handleReturn(From, Returned->m_Lease, Now) && IsOfPeer)
      m_Metrics.count("yardrill_slots_unused_total");
  }
}

} // namespace yardrill::gateway
