//===-- GatewayMembership.cpp - Members of the fleet and owners of quotas -===//
#include "LibGateway/Gateway.h"

#include "LibCore/Log.h"

#include <boost/asio/post.hpp>

namespace yardrill::gateway {

bool Gateway::applyMembershipRecord(const platform::Entry &Change) {
  if (m_MembershipRecord.isRecordKey(Change.m_Key)) {
    m_Membership.setRecorded(m_MembershipRecord.read(Change));
    m_QuotaOwnership.setMembers(m_Membership.recorded(), Change.m_ModRevision);
    m_Peers->setRecorded(m_Membership.recorded());
  } else if (m_OwnersRecord.isRecordKey(Change.m_Key)) {
    FleetMembers Owners = m_OwnersRecord.read(Change);
    if (Change.m_IsRestored)
      m_QuotaOwnership.setRestoredOwners(Owners, Change.m_ModRevision);
    else
      m_QuotaOwnership.setOwners(std::move(Owners), Change.m_ModRevision);
  } else if (m_LeaseholdersRecord.isRecordKey(Change.m_Key)) {
    FleetMembers Leaseholders = m_LeaseholdersRecord.read(Change);
    if (Change.m_IsRestored)
      m_QuotaOwnership.setRestoredLeaseholders(Leaseholders);
    else
      m_QuotaOwnership.setLeaseholders(std::move(Leaseholders));
  } else if (m_DeparturesRecord.isRecordKey(Change.m_Key)) {
    m_Membership.setDeparted(m_DeparturesRecord.read(Change));
    m_QuotaOwnership.setDeparted(m_Membership.departed());
  } else {
    return false;
  }
  // The same update may change several records.
  boost::asio::post(m_Context, [this] { updateQuotaOwners(); });
  return true;
}

void Gateway::updateQuotaOwners() {
  FleetMembers Members = m_Membership.recorded();
  // At a fleet's first start there is no record, and the live instances own the
  // quotas. A process that starts later and finds no record waits until it has
  // discovered them.
  bool IsDiscoveryDone =
      m_Settings.m_IsFirstStart || m_Peers->isDiscoveryDone();
  if (Members.empty() && IsDiscoveryDone)
    Members = m_Peers->liveInstances();
  QuotaOwnerLists Lists{m_QuotaOwnership.owners(),
                        m_QuotaOwnership.leaseholders()};
  if (Lists.m_Owners.empty())
    Lists = {Members, Members};
  if (!m_Quotas.setOwners(Lists, Members))
    return;
  m_Peers->setQuotaOwners(Lists.m_Owners, Members);
  core::LogLine("quota-owners")
      .add("owners", Lists.m_Owners.size())
      .add("leaseholders", Lists.m_Leaseholders.size())
      .add("members", Members.size())
      .add("is_recorded", !m_Membership.recorded().empty());
}

void Gateway::updateMembershipRecords(core::TimePoint Now) {
  if (!m_Follower.isConnected() || !m_Peers->isRecordWriter())
    return;
  MemberReports Live = m_Peers->memberReports();
  auto OwnsQuotas = [this](const config::Endpoint &Instance) {
    return m_QuotaOwnership.isListed(Instance);
  };
  if (auto List = m_Membership.proposeDepartures(Live, OwnsQuotas))
    m_DeparturesRecord.write(*List, Now);
  if (auto List = m_Membership.proposeUpdate(m_Peers->liveInstances(), Now,
                                             PeerTable::PeerTimeout))
    m_MembershipRecord.write(*List, Now);
  if (auto List = m_QuotaOwnership.proposeUpdate(Live, Now))
    m_OwnersRecord.write(*List, Now);
  if (auto List = m_QuotaOwnership.proposeLeaseholders(Now))
    m_LeaseholdersRecord.write(*List, Now);
  m_RetainedMembers.update(m_Membership.retained());
  m_RetainedOwners.update(m_QuotaOwnership.retained());
  m_RetainedLeaseholders.update(m_QuotaOwnership.retainedLeaseholders());
}

} // namespace yardrill::gateway
