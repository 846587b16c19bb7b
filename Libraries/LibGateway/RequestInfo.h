//===-- RequestInfo.h - What is known of one request ---------------------===//
//
// Read by its logs and metrics, which stand apart from what decides.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_REQUESTINFO_H
#define YARDRILL_LIBGATEWAY_REQUESTINFO_H

#include "LibGateway/Dialect.h"
#include "LibGateway/ResponseTiming.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPlatform/KeyValueService.h"
#include "LibQuarantine/ContentDigest.h"
#include "LibRouting/DistributedQuota.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TargetDirectory.h"

#include <optional>

namespace yardrill::gateway {

struct RequestInfo {
  RequestDescription m_Description;
  routing::RoutingTableHandle m_Table; ///< In force when it was admitted.
  const routing::Route *m_Route = nullptr;
  const routing::Account *m_Account = nullptr;
  core::PoolName m_Pool;
  core::TierNumber m_Tier{1};
  routing::QuotaAcquisition m_Acquisition; ///< From the account's quota.
  quarantine::ContentDigest m_Content;     ///< Since it was admitted.
  ResponseTiming m_Timing{core::steadyNow()};
  std::optional<routing::Target> m_Target; ///< Chosen for the current try.
  unsigned m_Status = 0;                   ///< Of an answer of our own.
  const char *m_Reason = "";

  metrics::RequestLabels labels() const;

  /// What became of its account's quota.
  void logQuota(const char *Event) const;
  /// What decided for the target, and how old it is.
  /// \param Known null: it is not known any more.
  void logDispatch(const routing::KnownTarget *Known,
                   platform::Revision StoreRevision) const;
  void logTargetRefusal(unsigned TargetStatus) const;
  /// \param ResponseStatus of a target's answer that was passed on.
  void logCompletion(const char *Event, unsigned ResponseStatus) const;
  void countCompletion(metrics::MetricsRegistry &Metrics) const;
};

} // namespace yardrill::gateway

#endif
