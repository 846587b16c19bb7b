//===-- LoadMonitor.h - What delays or refuses requests at an instance ----===//
#ifndef YARDRILL_LIBGATEWAY_LOADMONITOR_H
#define YARDRILL_LIBGATEWAY_LOADMONITOR_H

#include "LibCore/Time.h"
#include "LibHTTP/IntakeLimiter.h"
#include "LibMetrics/MetricsRegistry.h"

#include <cstdint>
#include <map>
#include <string>

namespace yardrill::gateway {

/// Sums up what delays and refuses requests, in one log line a second at the
/// most: under load, lines of single requests may be dropped. Nothing is logged
/// while requests are neither refused nor delayed. Owned by Gateway.
class LoadMonitor {
public:
  explicit LoadMonitor(metrics::MetricsRegistry &Metrics)
      : m_Metrics(Metrics) {}

  void noteRefusal(const char *Reason) { ++m_Refusals[Reason]; }
  void noteSent() { ++m_Sent; }
  /// To be called by a timer with the given period.
  /// \param Borrowed number of slots borrowed since the start.
  /// \param RefusingTime time since the start in which connections were
  /// refused.
  void upkeep(core::Duration Period, const http::IntakeLimiter &Intake,
              std::uint64_t Borrowed, core::Duration RefusingTime,
              core::TimePoint Now);

private:
  bool isNotable(const http::IntakeLimiter &Intake, core::Duration RefusingTime,
                 core::TimePoint Now) const;
  void log(const http::IntakeLimiter &Intake, std::uint64_t Borrowed,
           core::Duration RefusingTime, core::TimePoint Now) const;

  metrics::MetricsRegistry &m_Metrics;
  core::TimePoint m_UpkeepAt{};
  core::TimePoint m_LoggedAt{};
  core::Duration m_MaxLoopDelay{}; ///< Since m_LoggedAt.
  std::uint64_t m_Sent = 0;        ///< Requests sent to targets.
  std::uint64_t m_LoggedSent = 0;
  std::uint64_t m_LoggedBorrowed = 0;
  core::Duration m_LoggedRefusingTime{};
  std::map<std::string, std::uint64_t> m_Refusals; ///< Since m_LoggedAt.
};

} // namespace yardrill::gateway

#endif
