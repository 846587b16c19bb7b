//===-- QuotaService.h - Quotas of accounts, shared by all instances ------===//
#ifndef YARDRILL_LIBGATEWAY_QUOTASERVICE_H
#define YARDRILL_LIBGATEWAY_QUOTASERVICE_H

#include "LibGateway/GatewaySettings.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/QuotaOwnership.h"
#include "LibGateway/QuotaProtocol.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/DistributedQuota.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

/// Acquires tokens for requests from the distributed quota; owned by Gateway.
class QuotaService {
public:
  QuotaService(boost::asio::io_context &Context,
               const GatewaySettings &Settings,
               metrics::MetricsRegistry &Metrics, QuotaProtocol::Sender Send);

  /// Sets the accounts, with their limits, of the configuration in force.
  void setAccounts(const std::vector<routing::Account> &Accounts);
  /// Sets the instances that own quotas.
  /// \param Members see ringsOf().
  /// \returns whether anything changed.
  bool setOwners(const QuotaOwnerLists &Lists, const FleetMembers &Members);
  /// Handles quota messages of peers; ignores other messages.
  void handle(const peer::PeerMessage &Message);
  /// Must be called a few times a second.
  /// \param Evidence see routing::QuotaOwner::setEvidence().
  /// \param HasLease see routing::QuotaOwner::setLease().
  void upkeep(routing::OwnershipEvidence Evidence, bool HasLease,
              core::TimePoint Now);

  /// Acquires the tokens of a request; waits for responses of owners if needed.
  /// \returns whether they are granted.
  bool acquire(routing::QuotaAcquisition &Acquisition,
               boost::asio::yield_context Yield);
  /// Returns the tokens of a request that did not run.
  void giveBack(const routing::QuotaAcquisition &Acquisition);

private:
  /// Requests tokens from the next owner. \returns the step that follows from
  /// its response, or from the lack of one.
  routing::QuotaStep requestTokens(routing::QuotaAcquisition &Acquisition,
                                   boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  routing::DistributedQuota m_Quota;
  QuotaProtocol m_Protocol;
  config::Endpoint m_Self;
  QuotaOwnerLists m_Lists;
  FleetMembers m_Members;
  routing::OwnershipEvidence m_Evidence = routing::OwnershipEvidence::Store;
  bool m_HasLease = false;
};

} // namespace yardrill::gateway

#endif
