//===-- BackpressureChecker.h - Whether the terms of targets were kept
//------------===//
//
// Targets state limits for all gateways together, ask single gateways for rest,
// and say that they leave. Each is held against what arrives.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SOAK_BACKPRESSURECHECKER_H
#define YARDRILL_TESTS_SOAK_BACKPRESSURECHECKER_H

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace yardrill::soak {

/// What one answer of a target says of it.
struct ResponseBackpressure {
  std::optional<double> m_RequestsPerSecond;
  std::optional<std::chrono::milliseconds> m_Backoff;
  bool m_IsLeaving = false;
};

class BackpressureChecker {
public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Called with what was broken.
  using ViolationHandler = std::function<void(const std::string &)>;

  explicit BackpressureChecker(ViolationHandler OnViolation)
      : m_OnViolation(std::move(OnViolation)) {}

  /// A run of a target names a limit from now on, or none.
  void rateLimitChanged(const std::string &Incarnation,
                        std::optional<double> PerSecond, TimePoint Now);
  /// A gateway got such an answer.
  void backpressureStated(const std::string &Incarnation, std::size_t Gateway,
                          const ResponseBackpressure &What, TimePoint Now);
  /// A request came.
  /// \param IsGatewayDisturbed whether the gateway's process was disturbed
  /// lately.
  void requestArrived(const std::string &Incarnation, std::size_t Gateway,
                      TimePoint SentAt, TimePoint Now, bool IsGatewayDisturbed);
  /// What a gateway was told is gone with its process.
  void forget(std::size_t Gateway);
  /// Checks what takes whole windows.
  void finish();

  std::size_t limits() const { return m_Limits; }
  std::size_t backoffs() const { return m_Backoffs; }

private:
  /// A time during which a run named one limit.
  struct LimitPeriod {
    double m_RequestsPerSecond = 0;
    TimePoint m_Begin;
    std::optional<TimePoint> m_End;
    std::vector<TimePoint> m_Arrivals; ///< From those who were told.
  };
  /// What one gateway was told by one run.
  struct NotifiedGateway {
    std::optional<TimePoint> m_LimitSince;
    std::optional<TimePoint> m_LeavingSince;
    TimePoint m_BackoffStatedAt;
    TimePoint m_BackoffEndsAt;
    std::size_t m_RequestsInBackoff = 0;
  };

  void check(const std::string &Incarnation, const LimitPeriod &Of) const;

  ViolationHandler m_OnViolation;
  std::map<std::string, std::vector<LimitPeriod>> m_Periods;
  std::map<std::string, std::map<std::size_t, NotifiedGateway>> m_Notified;
  std::size_t m_Limits = 0;
  std::size_t m_Backoffs = 0;
};

} // namespace yardrill::soak

#endif
