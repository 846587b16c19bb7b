#include "LibMetrics/MetricsRegistry.h"

#include <array>
#include <boost/histogram.hpp>
#include <sstream>
#include <tuple>
#include <vector>

namespace yardrill::metrics {

namespace histogram = boost::histogram;

static const std::size_t MaxLabelSets = 4096;
static const std::size_t LatencyCount = 5;
static const std::array<const char *, LatencyCount> LatencyNames = {
    "yardrill_queue_wait_seconds", "yardrill_first_token_seconds",
    "yardrill_between_tokens_seconds", "yardrill_total_seconds",
    "yardrill_no_slot_refusal_seconds"};
/// Bounds of the histogram buckets, in seconds.
static const std::vector<double> BucketBounds = {
    0,   0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5, 1,     1.5,    2.5,   5,    10,    30,   60,  600};

using LatencyHistogram = decltype(histogram::make_histogram(
    histogram::axis::variable<>(BucketBounds)));

struct MetricsRegistry::RequestMetrics {
  struct Series {
    LatencyHistogram m_Buckets =
        histogram::make_histogram(histogram::axis::variable<>(BucketBounds));
    double m_Sum = 0;
    std::uint64_t m_Count = 0;
  };
  std::array<Series, LatencyCount> m_Series;
  std::map<std::string, std::uint64_t> m_Outcomes;
};

bool RequestLabels::operator<(const RequestLabels &Other) const {
  return std::tie(m_Account, m_Tier, m_Pool) <
         std::tie(Other.m_Account, Other.m_Tier, Other.m_Pool);
}

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

MetricsRegistry::RequestMetrics &
MetricsRegistry::metricsFor(const RequestLabels &Labels) {
  RequestLabels Key = Labels;
  if (m_Requests.size() >= MaxLabelSets && m_Requests.count(Key) == 0)
    Key.m_Account = core::AccountName("other");
  auto &Entry = m_Requests[Key];
  if (!Entry)
    Entry = std::make_unique<RequestMetrics>();
  return *Entry;
}

void MetricsRegistry::observe(RequestLatency Latency,
                              const RequestLabels &Labels,
                              core::Duration Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto &Series = metricsFor(Labels).m_Series[static_cast<std::size_t>(Latency)];
  double Seconds = core::toSeconds(Value);
  Series.m_Buckets(Seconds);
  Series.m_Sum += Seconds;
  ++Series.m_Count;
}

void MetricsRegistry::countOutcome(const RequestLabels &Labels,
                                   const std::string &Outcome) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++metricsFor(Labels).m_Outcomes[Outcome];
}

void MetricsRegistry::count(const std::string &Name, std::uint64_t Amount) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Counters[Name] += Amount;
}

void MetricsRegistry::setGauge(const std::string &Name, double Value) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Gauges[Name] = Value;
}

/// Escapes a label value as the Prometheus text format requires.
static std::string escapeLabelValue(const std::string &Text) {
  std::string Out;
  for (char C : Text) {
    if (C == '\\' || C == '"')
      Out += '\\';
    if (C == '\n')
      Out += "\\n";
    else
      Out += C;
  }
  return Out;
}

static std::string formatLabels(const RequestLabels &Labels) {
  return "client_account=\"" + escapeLabelValue(Labels.m_Account.value()) +
         "\",tier=\"" + std::to_string(Labels.m_Tier.value()) + "\",pool=\"" +
         escapeLabelValue(Labels.m_Pool.value()) + "\"";
}

std::string MetricsRegistry::exposition() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::ostringstream Out;
  for (const auto &[Name, Value] : m_Counters)
    Out << "# TYPE " << Name << " counter\n" << Name << ' ' << Value << '\n';
  for (const auto &[Name, Value] : m_Gauges)
    Out << "# TYPE " << Name << " gauge\n" << Name << ' ' << Value << '\n';
  Out << "# TYPE yardrill_requests_total counter\n";
  for (const auto &[Labels, Metrics] : m_Requests)
    for (const auto &[Outcome, Count] : Metrics->m_Outcomes)
      Out << "yardrill_requests_total{" << formatLabels(Labels) << ",outcome=\""
          << escapeLabelValue(Outcome) << "\"} " << Count << '\n';
  for (std::size_t I = 0; I < LatencyCount; ++I) {
    Out << "# TYPE " << LatencyNames[I] << " histogram\n";
    for (const auto &[Labels, Metrics] : m_Requests) {
      const auto &Series = Metrics->m_Series[I];
      if (Series.m_Count == 0)
        continue;
      std::string Text = formatLabels(Labels);
      double CumulativeCount = 0;
      for (std::size_t Bin = 0; Bin + 1 < BucketBounds.size(); ++Bin) {
        CumulativeCount += Series.m_Buckets.at(static_cast<int>(Bin));
        Out << LatencyNames[I] << "_bucket{" << Text << ",le=\""
            << BucketBounds[Bin + 1] << "\"} " << CumulativeCount << '\n';
      }
      Out << LatencyNames[I] << "_bucket{" << Text << ",le=\"+Inf\"} "
          << Series.m_Count << '\n';
      Out << LatencyNames[I] << "_sum{" << Text << "} " << Series.m_Sum << '\n';
      Out << LatencyNames[I] << "_count{" << Text << "} " << Series.m_Count
          << '\n';
    }
  }
  return Out.str();
}

} // namespace yardrill::metrics
