//===-- StoreNewsSpreader.cpp - Spreads changes of the store --------------===//
#include "LibGateway/StoreNewsSpreader.h"

#include "LibGateway/MirrorUpdate.h"

#include <algorithm>

namespace yardrill::gateway {

using peer::NewsScope;
using platform::Revision;

/// Minimum time between two spreads that this instance begins: changes within
/// it are sent together.
static constexpr std::chrono::milliseconds SpreadPeriod{100};
/// Relays in each section, and receivers in each group of a section, so that a
/// dead one does not cut off the others.
static constexpr std::size_t ReceiversPerNews = 2;
/// The same for heartbeats, which are repeated.
static constexpr std::size_t ReceiversPerHeartbeat = 1;
/// Largest encoded changes that fit a datagram beside the other fields.
static constexpr std::size_t MaxChangesBytes = 1150;
/// Time for which the sender of news is asked for its state.
static constexpr std::chrono::seconds SourceLifetime{5};

void StoreNewsSpreader::setSubset(const routing::FleetSubset &Subset) {
  m_Tree.setSubset(Subset);
  m_GroupAddresses.assign(Subset.groupMembers().begin(),
                          Subset.groupMembers().end());
}

void StoreNewsSpreader::handle(const config::Endpoint &From,
                               const peer::StoreNews &News,
                               core::TimePoint Now) {
  Revision Newest(News.m_StoreRevision);
  if (!(m_Mirror.revision() < Newest) || m_Mirror.revision() == Revision())
    return;
  noteSource(From, Newest, Revision(News.m_CompleteRevision), Now);
  bool HasChanges = !News.m_Changes.empty() &&
                    !(m_Mirror.revision() < Revision(News.m_BaseRevision));
  if (!HasChanges) {
    m_PendingScope = std::max(m_PendingScope, News.m_Scope);
    return;
  }
  bool IsSpread = !(m_SpreadRevision < m_Mirror.revision());
  MirrorUpdate::decode(News.m_Changes).applyTo(m_Mirror);
  // The whole group receives what is sent to each member.
  if (News.m_Scope != NewsScope::Member)
    spread(News.m_Scope, false);
  else if (IsSpread)
    m_SpreadRevision = m_Mirror.revision();
}

void StoreNewsSpreader::spreadIfNew(bool IsFollower, core::TimePoint Now) {
  if (!(m_SpreadRevision < m_Mirror.revision()) ||
      Now - m_SpreadAt < SpreadPeriod)
    return;
  m_SpreadAt = Now;
  NewsScope Scope = std::exchange(m_PendingScope, NewsScope::Group);
  spread(Scope, IsFollower);
}

void StoreNewsSpreader::spread(NewsScope Scope, bool IsFollower) {
  peer::StoreNews News;
  News.m_StoreRevision = m_Mirror.revision().value();
  News.m_CompleteRevision = m_Mirror.completeRevision().value();
  MirrorUpdate Changes = MirrorUpdate::since(m_Mirror, m_SpreadRevision);
  if (!Changes.m_IsSnapshot) {
    std::string Encoded = Changes.encode();
    if (Encoded.size() <= MaxChangesBytes) {
      News.m_BaseRevision = m_SpreadRevision.value();
      News.m_Changes = std::move(Encoded);
    }
  }
  m_SpreadRevision = m_Mirror.revision();
  if (IsFollower) {
    News.m_Scope = NewsScope::Section;
    m_Send(m_Tree.relays(ReceiversPerNews), News);
  } else if (Scope == NewsScope::Section) {
    News.m_Scope = NewsScope::Group;
    m_Send(m_Tree.sectionMembers(ReceiversPerNews), News);
  }
  News.m_Scope = NewsScope::Member;
  m_Send(m_GroupAddresses, News);
}

peer::FollowerHeartbeat StoreNewsSpreader::heartbeat(
    NewsScope Scope, std::vector<peer::FollowerSighting> Followers) const {
  peer::FollowerHeartbeat Out;
  Out.m_Scope = Scope;
  Out.m_StoreRevision = m_Mirror.revision().value();
  Out.m_CompleteRevision = m_Mirror.completeRevision().value();
  Out.m_Followers = std::move(Followers);
  return Out;
}

void StoreNewsSpreader::sendHeartbeat(
    std::vector<peer::FollowerSighting> Followers) {
  m_Send(m_Tree.relays(ReceiversPerHeartbeat),
         heartbeat(NewsScope::Section, std::move(Followers)));
}

void StoreNewsSpreader::passHeartbeat(
    NewsScope Received, std::vector<peer::FollowerSighting> Followers) {
  if (Received == NewsScope::Section)
    m_Send(m_Tree.sectionMembers(ReceiversPerHeartbeat),
           heartbeat(NewsScope::Group, std::move(Followers)));
}

void StoreNewsSpreader::noteSource(const config::Endpoint &From,
                                   Revision Newest, Revision Complete,
                                   core::TimePoint Now) {
  if (!(m_Mirror.revision() < Newest) &&
      !(m_Mirror.completeRevision() < Complete))
    return;
  m_Source = {From, Newest, Complete, false};
  m_SourceAt = Now;
}

std::optional<FetchCandidate>
StoreNewsSpreader::source(core::TimePoint Now) const {
  bool IsAhead = m_Mirror.revision() < m_Source.m_Revision ||
                 m_Mirror.completeRevision() < m_Source.m_CompleteRevision;
  if (!IsAhead || Now - m_SourceAt > SourceLifetime)
    return std::nullopt;
  return m_Source;
}

} // namespace yardrill::gateway
