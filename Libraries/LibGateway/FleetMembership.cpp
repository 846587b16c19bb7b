//===-- FleetMembership.cpp - Instances that belong to the fleet ----------===//
#include "LibGateway/FleetMembership.h"

namespace yardrill::gateway {

/// Time without a report after which a recorded instance is removed. Exceeds a
/// restart and the window of the quota tolerance (8 s), so that an instance
/// which returns or is partitioned keeps the quotas it owns. Until then, one of
/// the three owners of each of these accounts is absent, which leaves two
/// thirds of its limit.
static constexpr std::chrono::seconds RemovalDelay{12};
/// The same for an instance that has announced its stop. With the time for
/// which a peer counts as live without a report (10 s), it exceeds a restart.
static constexpr std::chrono::seconds DepartureDelay{2};

std::optional<FleetMembers>
FleetMembership::proposeUpdate(const FleetMembers &Live, core::TimePoint Now,
                               core::Duration ReportLifetime) {
  std::map<config::Endpoint, Silence> Silent;
  FleetMembers Next = Live;
  m_Retained.clear();
  for (const auto &[Address, Hall] : m_Recorded) {
    if (Live.count(Address) != 0)
      continue;
    auto Known = m_Silent.find(Address);
    Silence Each = Known == m_Silent.end() ? Silence{Now, {}} : Known->second;
    if (m_Live.count(Address) != 0)
      Each = {Now, ReportLifetime};
    Silent.emplace(Address, Each);
    bool HasDeparted = m_Departed.count(Address) != 0;
    if (Now - Each.m_Since >= (HasDeparted ? core::Duration(DepartureDelay)
                                           : RemovalDelay - Each.m_ReportAge))
      continue;
    Next.emplace(Address, Hall);
    m_Retained.emplace(Address, RetentionReason::RecentlySilent);
  }
  m_Silent = std::move(Silent);
  m_Live = Live;
  if (Next == m_Recorded)
    return std::nullopt;
  return Next;
}

std::optional<FleetMembers> FleetMembership::proposeDepartures(
    const MemberReports &Live,
    const std::function<bool(const config::Endpoint &)> &OwnsQuotas) const {
  FleetMembers Next;
  for (const auto &[Address, Hall] : m_Departed) {
    auto Report = Live.find(Address);
    bool IsBack = Report != Live.end() && !Report->second.m_IsStopping;
    bool IsListed = m_Recorded.count(Address) != 0 || OwnsQuotas(Address);
    if (!IsBack && IsListed)
      Next.emplace(Address, Hall);
  }
  for (const auto &[Address, Report] : Live) {
    auto Member = m_Recorded.find(Address);
    if (Report.m_IsStopping && Member != m_Recorded.end())
      Next.insert(*Member);
  }
  if (Next == m_Departed)
    return std::nullopt;
  return Next;
}

} // namespace yardrill::gateway
