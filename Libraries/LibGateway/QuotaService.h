//===-- QuotaService.h - Quotas of all accounts, kept with the others -----===//
#ifndef YARDRILL_LIBGATEWAY_QUOTASERVICE_H
#define YARDRILL_LIBGATEWAY_QUOTASERVICE_H

#include "LibGateway/GatewaySettings.h"
#include "LibGateway/MembershipRecord.h"
#include "LibGateway/QuotaProtocol.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/DistributedQuota.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

namespace yardrill::gateway {

class QuotaService {
public:
  QuotaService(boost::asio::io_context &Context,
               const GatewaySettings &Settings,
               metrics::MetricsRegistry &Metrics, QuotaProtocol::Sender Send);

  void setAccounts(const std::vector<routing::Account> &Accounts);
  /// \param Instances that may own quotas. \returns whether they are others
  /// than before.
  bool setOwners(const FleetMembers &Instances);
  /// Takes a message of a peer, if it is about quotas.
  void handle(const peer::PeerMessage &Message);
  /// To be called a few times a second.
  /// \param IsListConfirmed see QuotaOwner.
  void upkeep(bool IsListConfirmed, core::TimePoint Now);

  /// Waits for its owners' answers. \returns whether \p Draw is granted.
  bool draw(routing::QuotaAcquisition &Acquisition,
            boost::asio::yield_context Yield);
  void giveBack(const routing::QuotaAcquisition &Acquisition);

private:
  routing::QuotaStep ask(routing::QuotaAcquisition &Acquisition,
                         boost::asio::yield_context Yield);

  boost::asio::io_context &m_Context;
  routing::DistributedQuota m_Quota;
  QuotaProtocol m_Protocol;
  FleetMembers m_Owners;
  bool m_IsListConfirmed = true;
};

} // namespace yardrill::gateway

#endif
