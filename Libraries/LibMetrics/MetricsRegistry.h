//===-- MetricsRegistry.h - Counters and histograms -----------------------===//
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

/// What a request's times are counted under (brief: histograms for each
/// tenant or class).
struct RequestLabels {
  core::AccountName m_Account;
  core::TierNumber m_Tier;
  core::PoolName m_Pool;

  bool operator<(const RequestLabels &Other) const;
};

enum class RequestLatency { QueueWait, FirstToken, BetweenTokens, Total };

/// Counts from several threads; writes the Prometheus text format, version
/// 0.0.4. The number of label sets is bounded: the rest is counted together
/// under the account `other`.
class MetricsRegistry {
public:
  MetricsRegistry();
  ~MetricsRegistry();

  void observe(RequestLatency Latency, const RequestLabels &Labels,
               core::Duration Value);
  /// One more request that ended as \p Outcome, for instance `complete`.
  void countOutcome(const RequestLabels &Labels, const std::string &Outcome);
  /// Adds to a counter without labels.
  void count(const std::string &Name, std::uint64_t Amount = 1);
  void setGauge(const std::string &Name, double Value);

  std::string exposition() const;

private:
  struct RequestMetrics;
  RequestMetrics &metricsFor(const RequestLabels &Labels);

  mutable std::mutex m_Mutex;
  std::map<RequestLabels, std::unique_ptr<RequestMetrics>> m_Requests;
  std::map<std::string, std::uint64_t> m_Counters;
  std::map<std::string, double> m_Gauges;
};

} // namespace yardrill::metrics

#endif
