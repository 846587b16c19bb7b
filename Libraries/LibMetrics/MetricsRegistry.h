//===-- MetricsRegistry.h - Counters, gauges and latency histograms -------===//
#ifndef YARDRILL_LIBMETRICS_METRICSREGISTRY_H
#define YARDRILL_LIBMETRICS_METRICSREGISTRY_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace yardrill::metrics {

/// Labels of the metrics of a request (brief: histograms for each tenant or
/// class).
struct RequestLabels {
  core::AccountName m_Account;
  core::TierNumber m_Tier;
  core::PoolName m_Pool;

  bool operator<(const RequestLabels &Other) const;
};

/// Latencies of a request that have a histogram each.
enum class RequestLatency {
  QueueWait,
  FirstToken,
  BetweenTokens,
  Total,
  UntilNoSlotRefusal, ///< Of requests that were refused for want of a slot.
};

/// Metrics of one instance, which its threads update and its operator endpoint
/// serves. Thread-safe. The number of label sets is bounded: beyond it,
/// requests are counted under the account `other`.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();

  /// Adds \p Value to the histogram of \p Latency.
  void observe(RequestLatency Latency, const RequestLabels &Labels,
               core::Duration Value);
  /// Counts a request that ended with \p Outcome, for instance `complete`.
  void countOutcome(const RequestLabels &Labels, const std::string &Outcome);
  /// Adds \p Amount to a counter without labels.
  void count(const std::string &Name, std::uint64_t Amount = 1);
  void setGauge(const std::string &Name, double Value);

  /// Returns all metrics in the Prometheus text format, version 0.0.4.
  std::string exposition() const;

private:
  /// Metrics of all requests with the same labels.
  struct RequestMetrics;
  RequestMetrics &metricsFor(const RequestLabels &Labels);

  mutable std::mutex m_Mutex;
  std::map<RequestLabels, std::unique_ptr<RequestMetrics>> m_Requests;
  std::map<std::string, std::uint64_t> m_Counters;
  std::map<std::string, double> m_Gauges;
};

} // namespace yardrill::metrics

#endif
