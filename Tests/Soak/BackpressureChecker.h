//===-- BackpressureChecker.h - Whether gateways obey backpressure --------===//
//
// Targets state a rate limit for all gateways together, a back-off to a single
// gateway, or that they leave. Compares what arrives with what was stated.
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

/// Backpressure that one response of a target states.
struct ResponseBackpressure {
  std::optional<double> m_RequestsPerSecond;
  std::optional<std::chrono::milliseconds> m_Backoff;
  bool m_IsLeaving = false;
};

/// The part of InvariantChecker that tracks the backpressure of each target
/// incarnation.
class BackpressureChecker {
public:
  using TimePoint = std::chrono::steady_clock::time_point;
  /// Called with a description of each violation.
  using ViolationHandler = std::function<void(const std::string &)>;

  explicit BackpressureChecker(ViolationHandler OnViolation)
      : m_OnViolation(std::move(OnViolation)) {}

  /// Records that responses of the incarnation state this rate limit, or none,
  /// from now on.
  void rateLimitChanged(const std::string &Incarnation,
                        std::optional<double> PerSecond, TimePoint Now);
  /// Records that a gateway was sent a response with this backpressure.
  /// \param Id of the request that the response belongs to.
  /// \param SentAt time before which the gateway cannot have read it. A
  ///   back-off ends by the gateway's clock, which starts when it is read.
  /// \param Now time by which it was delivered; the gateway is held to it from
  ///   then on.
  void backpressureStated(const std::string &Id, const std::string &Incarnation,
                          std::size_t Gateway,
                          const ResponseBackpressure &Backpressure,
                          TimePoint SentAt, TimePoint Now);
  /// Checks a request that arrived at the incarnation.
  /// \param SentAt when the caller sent it.
  /// \param IsGatewayDisturbed whether the gateway's process was disturbed
  ///   within SettleTime; such requests are not checked.
  void requestArrived(const std::string &Id, const std::string &Incarnation,
                      std::size_t Gateway, TimePoint SentAt, TimePoint Now,
                      bool IsGatewayDisturbed);
  /// Discards the backpressure stated to a gateway's previous process.
  void forget(std::size_t Gateway);
  /// Checks the rate limits, which need whole windows.
  void finish();

  std::size_t limits() const { return m_Limits; }
  std::size_t backoffs() const { return m_Backoffs; }

private:
  /// Time during which an incarnation stated one rate limit.
  struct LimitPeriod {
    double m_RequestsPerSecond = 0;
    TimePoint m_Begin;
    std::optional<TimePoint> m_End;
    /// From gateways that were notified at least BackpressureSlack before.
    std::vector<TimePoint> m_Arrivals;
  };
  struct RequestInBackoff {
    std::string m_Id;
    TimePoint m_SentAt; ///< By its caller.
    TimePoint m_ArrivedAt;
  };
  /// Backpressure that one incarnation stated to one gateway.
  struct NotifiedGateway {
    std::optional<TimePoint> m_LimitSince;
    std::optional<TimePoint> m_LeavingSince;
    TimePoint m_BackoffStatedAt;
    TimePoint m_BackoffEndsAt;
    std::string m_BackoffStatedTo; ///< Id of the request.
    std::vector<RequestInBackoff> m_RequestsInBackoff;
  };

  void check(const std::string &Incarnation, const LimitPeriod &Period) const;
  /// Describes requests in a back-off, so that the gateway's log can be
  /// searched for them and for the response that stated it. Times are relative
  /// to when that response was delivered.
  static std::string describe(const NotifiedGateway &Notified);

  ViolationHandler m_OnViolation;
  std::map<std::string, std::vector<LimitPeriod>> m_Periods;
  std::map<std::string, std::map<std::size_t, NotifiedGateway>> m_Notified;
  std::size_t m_Limits = 0;
  std::size_t m_Backoffs = 0;
};

} // namespace yardrill::soak

#endif
