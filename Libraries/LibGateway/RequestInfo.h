//===-- RequestInfo.h - Data of one request for logs and metrics ----------===//
#ifndef YARDRILL_LIBGATEWAY_REQUESTINFO_H
#define YARDRILL_LIBGATEWAY_REQUESTINFO_H

#include "LibCore/Log.h"
#include "LibGateway/Dialect.h"
#include "LibGateway/ResponseTiming.h"
#include "LibGateway/StreamOrigin.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPlatform/KeyValueService.h"
#include "LibQuarantine/ContentDigest.h"
#include "LibRouting/DistributedQuota.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetDirectory.h"
#include "LibRouting/TierDemand.h"

#include <optional>

namespace yardrill::gateway {

/// Data of one request that its logs and metrics show. Base of GatewayRequest,
/// kept apart from the code that handles the request.
struct RequestInfo {
  RequestDescription m_Description;
  routing::RoutingTableHandle m_Table; ///< In force on admission.
  const routing::Route *m_Route = nullptr;
  const routing::Account *m_Account = nullptr;
  core::PoolName m_Pool;
  core::TierNumber m_Tier{1};
  routing::AllowedRegions m_Regions;       ///< Of the route and the account.
  routing::QuotaAcquisition m_Acquisition; ///< Tokens taken from the quota.
  quarantine::ContentDigest m_Content;     ///< Set on admission.
  /// m_Content and the shared parts of the prompt; set on admission.
  std::vector<quarantine::ContentDigest> m_Contents;
  StreamKey m_StreamKey; ///< Set for resumable streams.
  /// Where the stream has begun; none before its first event.
  std::optional<StreamOrigin> m_StreamOrigin;
  ResponseTiming m_Timing{core::steadyNow()};
  core::Duration m_UnreadTime{}; ///< See http::Exchange::unreadTime().
  /// Wait for a slot that was predicted when the request began to wait.
  std::optional<core::Duration> m_PredictedWait;
  std::optional<routing::Target> m_Target; ///< Target of the current attempt.
  unsigned m_Status = 0;     ///< Status of a response by the gateway; 0: none.
  const char *m_Reason = ""; ///< Outcome, or reason of the last failure.
  core::Duration m_RetryAfter{}; ///< As the response states; zero: none.
  /// Demand of the group when the request was refused for want of a slot; empty
  /// if it was not, or if slots were not scarce.
  routing::PoolDemand m_DemandAtRefusal;

  metrics::RequestLabels labels() const;
  routing::Priority priority() const { return {m_Tier, m_Route->m_Tier}; }

  /// Logs the result of a quota acquisition. \pre m_Account is not null.
  void logQuota(const char *Event) const;
  /// Logs that the request is sent to m_Target, with the data that the choice
  /// was based on.
  /// \param LastEvent event after which the target is to resume the stream;
  /// empty: none.
  /// \param Known null if the target is no longer known.
  /// \param StoreRevision revision of the mirrored state.
  void logDispatch(const routing::KnownTarget *Known,
                   platform::Revision StoreRevision,
                   const std::string &LastEvent) const;
  /// Returns the ids of the prompt's shared parts, separated by commas.
  std::string sharedParts() const;
  /// Logs that the target refused the request, under the event m_Reason.
  /// \param SentOnConnection number of the request among those sent on its
  /// connection.
  /// \param TimeToRefusal since the request was sent.
  void logTargetRefusal(unsigned TargetStatus, const ResponseDescription &Info,
                        std::size_t SentOnConnection,
                        core::Duration TimeToRefusal) const;
  /// \param ResponseStatus status of a target's response that was relayed.
  void logCompletion(const char *Event, unsigned ResponseStatus) const;
  /// Records the request's duration and outcome in the metrics.
  void countCompletion(metrics::MetricsRegistry &Metrics) const;

private:
  /// Adds what a refusal was decided from.
  void logRefusal(core::LogLine &Line) const;
};

} // namespace yardrill::gateway

#endif
