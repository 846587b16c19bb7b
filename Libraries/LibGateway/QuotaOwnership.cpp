//===-- QuotaOwnership.cpp - Decides which members own quotas -------------===//
#include "LibGateway/QuotaOwnership.h"

#include <algorithm>
#include <iterator>

namespace yardrill::gateway {

/// Time from a report that an instance knows a membership until no owner still
/// counts an older report of it. Exceeds the time for which a peer is known
/// without a report (10 s) and a stall of the owner.
static constexpr std::chrono::seconds SettlingTime{15};
/// Minimum time between two samples of an instance's revision.
static constexpr std::chrono::seconds SamplePeriod{1};
/// Time without a call after which the reports received before do not count.
static constexpr std::chrono::seconds MaxPause{5};
/// Time after which a removed owner counts as ended, although too few of its
/// witnesses are left to show it. Exceeds the longest expected partition.
static constexpr std::chrono::hours MaxPartition{2};

/// Time from a change of the membership until no removed instance renews its
/// lease any more because it has not noticed yet that it lost the store: about
/// three seconds, or six if it counts on a peer of another group.
static constexpr std::chrono::seconds MaxRenewalDelay{6};

routing::ConsistentHashRing ringOf(const FleetMembers &Instances) {
  std::vector<config::Endpoint> Addresses;
  for (const auto &[Address, Hall] : Instances)
    Addresses.push_back(Address);
  return routing::ConsistentHashRing(Addresses);
}

/// Returns all instances of both lists.
static FleetMembers merged(FleetMembers Owners, const FleetMembers &Members) {
  Owners.insert(Members.begin(), Members.end());
  return Owners;
}

routing::QuotaRings ringsOf(const config::Endpoint &Self,
                            const QuotaOwnerLists &Lists,
                            const FleetMembers &Members) {
  FleetMembers Planned = merged(Lists.m_Leaseholders, Members);
  if (Members.count(Self) == 0)
    Planned.erase(Self);
  return {ringOf(Lists.m_Owners), ringOf(Lists.m_Leaseholders),
          ringOf(Planned)};
}

QuotaWitnesses::QuotaWitnesses(const config::Endpoint &Owner,
                               const FleetMembers &Owners,
                               const FleetMembers &Members) {
  routing::ConsistentHashRing Ring = ringOf(merged(Owners, Members));
  std::vector<config::Endpoint> All = Ring.witnessesOf(Owner);
  m_Count = All.size();
  std::copy_if(All.begin(), All.end(), std::back_inserter(m_Permanent),
               [&](const config::Endpoint &Each) {
                 return Owners.count(Each) != 0 && Members.count(Each) != 0;
               });
  m_Witnessed = Ring.witnessedBy(Owner);
}

void QuotaOwnership::setOwners(FleetMembers Owners, platform::Revision At) {
  m_Owners = std::move(Owners);
  m_OwnersAt = At;
  m_IsStoreOutdated = false;
  forgetOthers();
}

void QuotaOwnership::forgetOthers() {
  for (auto Each = m_Known.begin(); Each != m_Known.end();)
    Each = isListed(Each->first) ? std::next(Each) : m_Known.erase(Each);
}

void QuotaOwnership::setLeaseholders(FleetMembers Leaseholders) {
  m_Leaseholders = std::move(Leaseholders);
  m_AreLeaseholdersOutdated = false;
  forgetOthers();
}

void QuotaOwnership::setRestoredLeaseholders(const FleetMembers &Leaseholders) {
  if (m_Leaseholders.empty())
    return setLeaseholders(Leaseholders);
  m_AreLeaseholdersOutdated = Leaseholders != m_Leaseholders;
}

void QuotaOwnership::setRestoredOwners(const FleetMembers &Owners,
                                       platform::Revision At) {
  if (m_Owners.empty())
    return setOwners(Owners, At);
  m_IsStoreOutdated = Owners != m_Owners;
  m_OwnersAt = At;
}

void QuotaOwnership::setMembers(FleetMembers Members, platform::Revision At) {
  if (m_Members.empty())
    m_FirstMembersAt = At;
  for (const auto &[Address, Hall] : Members)
    if (m_Members.count(Address) == 0)
      m_ChangedAt[Address] = At;
  for (const auto &[Address, Hall] : m_Members)
    if (Members.count(Address) == 0)
      m_ChangedAt[Address] = At;
  m_Members = std::move(Members);
}

platform::Revision
QuotaOwnership::changedAt(const config::Endpoint &Instance) const {
  auto Found = m_ChangedAt.find(Instance);
  return Found == m_ChangedAt.end() ? m_FirstMembersAt : Found->second;
}

void QuotaOwnership::addReport(Known &Instance, const MemberReport &Report,
                               core::TimePoint Now) {
  Instance.m_IsLive = true;
  Instance.m_LastLiveAt = Now;
  Instance.m_IsStopping = Report.m_IsStopping;
  std::deque<Sample> &Samples = Instance.m_Samples;
  platform::Revision Previous =
      Samples.empty() ? Instance.m_SettledRevision : Samples.back().m_Revision;
  // It has restarted and knows less than before.
  if (Report.m_Revision < Previous) {
    Samples.clear();
    Instance.m_SettledRevision = platform::Revision();
  }
  if (Samples.empty() || Now - Samples.back().m_At >= SamplePeriod)
    Samples.push_back({Now, Report.m_Revision});
}

void QuotaOwnership::observe(const MemberReports &Live, core::TimePoint Now) {
  if (Now - m_ObservedAt > MaxPause)
    m_Known.clear();
  m_ObservedAt = Now;
  for (const auto &[Address, Hall] : m_Owners)
    observe(Address, Live, Now);
  for (const auto &[Address, Hall] : m_Leaseholders)
    if (m_Owners.count(Address) == 0)
      observe(Address, Live, Now);
}

void QuotaOwnership::observe(const config::Endpoint &Instance,
                             const MemberReports &Live, core::TimePoint Now) {
  Known &Each = m_Known[Instance];
  Each.m_IsLive = false;
  if (m_Members.count(Instance) != 0)
    Each.m_RemovedSince = core::TimePoint();
  else if (Each.m_RemovedSince == core::TimePoint())
    Each.m_RemovedSince = Now;
  auto Report = Live.find(Instance);
  if (Report != Live.end())
    addReport(Each, Report->second, Now);
  if (Each.m_LastLiveAt == core::TimePoint())
    Each.m_LastLiveAt = Now;
  while (!Each.m_Samples.empty() &&
         Now - Each.m_Samples.front().m_At >= SettlingTime) {
    Each.m_SettledRevision = Each.m_Samples.front().m_Revision;
    Each.m_Samples.pop_front();
  }
}

bool QuotaOwnership::includes(platform::Revision Known, platform::Revision At) {
  return Known != platform::Revision() && !(Known < At);
}

bool QuotaOwnership::hasSettled(const config::Endpoint &Instance,
                                platform::Revision At) const {
  return includes(m_Known.at(Instance).m_SettledRevision, At);
}

std::optional<RetentionReason>
QuotaOwnership::leaseRetentionReason(const config::Endpoint &Leaseholder,
                                     core::TimePoint Now) const {
  if (hasSettled(Leaseholder, changedAt(Leaseholder)))
    return std::nullopt;
  const Known &Removed = m_Known.at(Leaseholder);
  // It is heard and learns of the change itself.
  if (Removed.m_IsLive)
    return RetentionReason::Reporting;
  // A stopping owner grants nothing without the store, and has exited before it
  // leaves the membership.
  if (m_Departed.count(Leaseholder) != 0)
    return std::nullopt;
  core::Duration Silence = Now - Removed.m_LastLiveAt;
  if (Silence >= (Removed.m_IsStopping ? core::Duration(SettlingTime)
                                       : core::Duration(MaxPartition)))
    return std::nullopt;
  return RetentionReason::FewWitnesses;
}

std::optional<RetentionReason>
QuotaOwnership::retentionReason(const config::Endpoint &Owner,
                                const routing::ConsistentHashRing &Ring,
                                core::TimePoint Now) const {
  auto Reason = leaseRetentionReason(Owner, Now);
  if (Reason != RetentionReason::FewWitnesses)
    return Reason;
  platform::Revision RemovedAt = changedAt(Owner);
  std::vector<config::Endpoint> Witnesses = Ring.witnessesOf(Owner);
  auto Settled = std::count_if(Witnesses.begin(), Witnesses.end(),
                               [this, RemovedAt](const auto &Each) {
                                 return hasSettled(Each, RemovedAt);
                               });
  if (static_cast<std::size_t>(Settled) * 2 > Witnesses.size())
    return std::nullopt;
  return Reason;
}

bool QuotaOwnership::hasLeaseEnded(const config::Endpoint &Owner,
                                   core::TimePoint Now) const {
  if (Now - m_Known.at(Owner).m_RemovedSince < QuotaLeaseTime + MaxRenewalDelay)
    return false;
  // Fewer owners have larger shares, which the successors' would exceed.
  return m_Owners.size() >= routing::ConsistentHashRing::MaxOwners ||
         !retentionReason(Owner, ringOf(m_Owners), Now);
}

FleetMembers QuotaOwnership::removableOwners(core::TimePoint Now) {
  FleetMembers Out;
  m_Retained.clear();
  for (const auto &[Address, Hall] : m_Owners)
    if (m_Members.count(Address) == 0)
      Out.emplace(Address, Hall);
    else if (!m_Known.at(Address).m_IsLive)
      m_Retained.emplace(Address, RetentionReason::Member);
  if (Out.empty())
    return Out;
  routing::ConsistentHashRing Ring = ringOf(m_Owners);
  platform::Revision ChangedAt = m_OwnersAt;
  for (auto Each = Out.begin(); Each != Out.end();) {
    auto Reason = retentionReason(Each->first, Ring, Now);
    if (!Reason && m_Leaseholders.count(Each->first) != 0)
      Reason = RetentionReason::Leaseholder;
    if (Reason) {
      m_Retained.emplace(Each->first, *Reason);
      Each = Out.erase(Each);
      continue;
    }
    ChangedAt = std::max(ChangedAt, changedAt(Each->first));
    ++Each;
  }
  for (bool IsChanged = !Out.empty(); IsChanged;) {
    IsChanged = false;
    for (const auto &[Address, Hall] : m_Owners) {
      if (Out.count(Address) != 0 || hasSettled(Address, ChangedAt))
        continue;
      for (const config::Endpoint &Each : Ring.witnessesOf(Address)) {
        // One that has exited agrees with nobody, by either list.
        if (m_Departed.count(Each) != 0 || Out.erase(Each) == 0)
          continue;
        m_Retained.emplace(Each, RetentionReason::WitnessOfOthers);
        IsChanged = true;
      }
    }
  }
  return Out;
}

std::optional<FleetMembers>
QuotaOwnership::proposeUpdate(const MemberReports &Live, core::TimePoint Now) {
  if (m_Members.empty())
    return std::nullopt;
  if (m_Owners.empty())
    return m_Members;
  observe(Live, Now);
  FleetMembers Next = m_Owners;
  for (const auto &[Address, Hall] : removableOwners(Now))
    Next.erase(Address);
  auto Settled = settledRevision(Next);
  if (auto OfLeaseholders = settledRevision(m_Leaseholders))
    Settled = std::min(Settled.value_or(*OfLeaseholders), *OfLeaseholders);
  addMembers(Settled, m_OwnersAt, Next);
  if (Next == m_Owners && !m_IsStoreOutdated)
    return std::nullopt;
  return Next;
}

std::optional<FleetMembers>
QuotaOwnership::proposeLeaseholders(core::TimePoint Now) {
  m_RetainedLeaseholders.clear();
  if (m_Members.empty() || m_Owners.empty())
    return std::nullopt;
  if (m_Leaseholders.empty())
    return m_Owners;
  FleetMembers Next;
  for (const auto &[Address, Hall] : m_Leaseholders) {
    bool IsMember = m_Members.count(Address) != 0;
    auto Reason =
        IsMember ? RetentionReason::Member : leaseRetentionReason(Address, Now);
    if (!IsMember && (!Reason || hasLeaseEnded(Address, Now)))
      continue;
    Next.emplace(Address, Hall);
    if (!IsMember || !m_Known.at(Address).m_IsLive)
      m_RetainedLeaseholders.emplace(Address, *Reason);
  }
  // Leaseholders are no witnesses, so no earlier change of them must be known.
  addMembers(settledRevision(Next), platform::Revision(), Next);
  if (Next == m_Leaseholders && !m_AreLeaseholdersOutdated)
    return std::nullopt;
  return Next;
}

std::optional<platform::Revision>
QuotaOwnership::settledRevision(const FleetMembers &Instances) const {
  std::optional<platform::Revision> Out;
  for (const auto &[Address, Hall] : Instances) {
    platform::Revision Settled = m_Known.at(Address).m_SettledRevision;
    Out = std::min(Out.value_or(Settled), Settled);
  }
  return Out;
}

void QuotaOwnership::addMembers(std::optional<platform::Revision> Settled,
                                platform::Revision ListAt,
                                FleetMembers &Next) const {
  for (const auto &[Address, Hall] : m_Members) {
    platform::Revision ChangedAt = std::max(ListAt, changedAt(Address));
    if (!Settled || includes(*Settled, ChangedAt))
      Next.emplace(Address, Hall);
  }
}

} // namespace yardrill::gateway
