//===-- QuotaProtocol.h - Quota requests and responses between peers ------===//
#ifndef YARDRILL_LIBGATEWAY_QUOTAPROTOCOL_H
#define YARDRILL_LIBGATEWAY_QUOTAPROTOCOL_H

#include "LibCore/CorrelationIds.h"
#include "LibCore/Time.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/DistributedQuota.h"

#include <cstdint>
#include <functional>
#include <unordered_map>

namespace yardrill::gateway {

/// Sends quota requests to the owners of quotas, matches their responses, and
/// responds for this instance as an owner; used by QuotaService.
class QuotaProtocol {
public:
  using Sender =
      std::function<void(const config::Endpoint &, const peer::PeerBody &)>;
  /// Returns false if the response is no longer awaited.
  using ResponseHandler = std::function<bool(const routing::QuotaResponse &)>;

  /// \param FirstRequest see core::CorrelationIds.
  QuotaProtocol(routing::DistributedQuota &Quota,
                metrics::MetricsRegistry &Metrics, std::uint64_t FirstRequest,
                Sender Send)
      : m_Quota(Quota), m_Metrics(Metrics), m_Send(std::move(Send)),
        m_RequestIds(FirstRequest) {}

  /// Sends a request to the next owner of \p Acquisition. If its response is no
  /// longer awaited, its tokens are cached for other requests.
  void sendRequest(const routing::QuotaAcquisition &Acquisition,
                   ResponseHandler OnResponse, core::TimePoint Now);
  /// Responds to a request, or applies the response to an earlier one.
  void handle(const config::Endpoint &From, const peer::QuotaRequest &Request,
              core::TimePoint Now);
  void handle(const config::Endpoint &From, const peer::QuotaResponse &Response,
              core::TimePoint Now);
  /// Requests that the other owners take over their shares of debts that this
  /// instance incurred as an owner. Must be called after each decision of the
  /// quota.
  void sendCharges(core::TimePoint Now);
  /// Returns unused tokens to their owners and drops requests without a
  /// response. Must be called a few times a second.
  void upkeep(core::TimePoint Now);

private:
  routing::QuotaResponse responseTo(const peer::QuotaRequest &Request,
                                    core::TimePoint Now);
  /// Registers a request that awaits a response. \returns its identifier.
  std::uint64_t addPending(const config::Endpoint &Owner,
                           routing::AccountHash Account,
                           ResponseHandler OnResponse, core::TimePoint Now);

  struct Pending {
    config::Endpoint m_Owner;
    routing::AccountHash m_Account = 0;
    core::TimePoint m_SentAt{};
    ResponseHandler m_OnResponse;
  };

  routing::DistributedQuota &m_Quota;
  metrics::MetricsRegistry &m_Metrics;
  Sender m_Send;
  core::CorrelationIds m_RequestIds;
  std::unordered_map<std::uint64_t, Pending> m_Pending;
};

} // namespace yardrill::gateway

#endif
