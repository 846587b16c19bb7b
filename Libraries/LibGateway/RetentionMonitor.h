//===-- RetentionMonitor.h - Reports absent instances that still count ----===//
#ifndef YARDRILL_LIBGATEWAY_RETENTIONMONITOR_H
#define YARDRILL_LIBGATEWAY_RETENTIONMONITOR_H

#include "LibGateway/RetentionReason.h"
#include "LibMetrics/MetricsRegistry.h"

#include <string>

namespace yardrill::gateway {

/// Logs the retained instances of one list whenever they or their reasons
/// change, and keeps a gauge of their number; owned by Gateway.
class RetentionMonitor {
public:
  /// \param List name of the list, in the log and in the gauge
  /// `yardrill_retained_<list>`.
  RetentionMonitor(metrics::MetricsRegistry &Metrics, std::string List)
      : m_Metrics(Metrics), m_List(std::move(List)) {}

  void update(const RetainedInstances &Retained);

private:
  metrics::MetricsRegistry &m_Metrics;
  std::string m_List;
  RetainedInstances m_Retained;
};

} // namespace yardrill::gateway

#endif
