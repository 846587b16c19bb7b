//===-- SoakTarget.h - A target that reports what it observes -------------===//
#ifndef YARDRILL_TESTS_SOAK_SOAKTARGET_H
#define YARDRILL_TESTS_SOAK_SOAKTARGET_H

#include "InvariantChecker.h"
#include "LoopbackProxy.h"

#include "LibHTTP/Server.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string_view>

namespace yardrill::soak {

/// Shares of the requests (0 to 1) that a target handles wrongly.
struct ResponseFaults {
  double m_FailShare = 0;    ///< Executed, then answered with 500.
  double m_RefuseShare = 0;  ///< Not executed, as the 503 response says.
  double m_AbortShare = 0;   ///< Executed, response aborted halfway.
  double m_HangShare = 0;    ///< Executed, response after all timeouts.
  double m_BackoffShare = 0; ///< Not executed; 503 with Retry-After.

  bool isNone() const {
    return m_FailShare + m_RefuseShare + m_AbortShare + m_HangShare +
               m_BackoffShare ==
           0;
  }
};

// Bodies are functions of the request's identity, so that callers and targets
// can compare what they receive with what was sent.
std::string responseBodyOf(const std::string &Id);
std::size_t eventCountOf(const std::string &Id);
std::string eventOf(const std::string &Id, std::size_t Number);
std::string requestBodyOf(const std::string &Id);
/// Prefix of the contents under which targets exit.
extern const char BadContentPrefix[];

/// A target within the soak's process, behind a proxy whose port it announces.
/// Deployment owns it; faults are injected through its setters.
class SoakTarget {
public:
  SoakTarget(boost::asio::io_context &Context, InvariantChecker &Checker,
             std::mt19937_64 &Random, std::string Name, std::string Pool,
             std::string Version = "v1");

  /// Key of the target's announcement in the store.
  std::string key() const { return "servers/" + m_Name; }
  /// Returns the announcement as JSON.
  std::string announcement() const;
  tests::LoopbackProxy &proxy() { return *m_Proxy; }

  void setResponseFaults(const ResponseFaults &Faults) {
    m_ResponseFaults = Faults;
  }
  /// \param Hook restarts the target; called once for each incarnation, when a
  ///   request makes it exit.
  void setExitHook(std::function<void()> Hook) { m_ExitHook = std::move(Hook); }
  /// Sets whether its connections are disturbed, which excuses lost responses.
  void setDisturbed(bool IsDisturbed);
  /// Sets the rate limit that all responses state, or none.
  void setLimit(std::optional<double> PerSecond);
  /// Makes all responses state that the target leaves.
  void setLeavingInResponses() { m_IsLeavingInResponses = true; }
  /// Records that the announcement in the store says that the target leaves.
  void setLeavingInStore() { m_LeavingSince = Clock::now(); }
  /// Starts a new incarnation at the same address under \p Name.
  void restart(std::string Name);
  /// Returns whether gateways may send it requests as they like, and get what
  /// they ask for.
  bool isSound() const;
  const std::string &name() const { return m_Name; }
  const std::string &pool() const { return m_Pool; }
  /// Stops the target for good. Faults in progress on it must check
  /// isRetired().
  void retire();
  bool isRetired() const { return m_IsRetired; }

private:
  /// Identifies the announcement's key and the incarnation.
  std::string incarnation() const {
    return m_Name + "@" + std::to_string(m_StartTime);
  }
  /// Adds the target's backpressure to a response, and reports it to the
  /// checker once the response has reached the gateway.
  void stateBackpressure(http::ResponseHead &Head, const std::string &Id,
                         std::optional<std::chrono::milliseconds> Backoff);
  /// Reports the backpressure of a response whose head reached the gateway.
  /// \param Bytes a piece of a response; it may contain no head.
  /// \param SentAt see LoopbackProxy::DeliveryHook.
  void recordDelivery(std::string_view Bytes, TimePoint SentAt);
  void handle(http::Exchange &Call, boost::asio::yield_context Yield);
  void serve(http::Exchange &Call, const std::string &Id,
             boost::asio::yield_context Yield);
  void stream(http::Exchange &Call, const std::string &Id,
              const std::string &Identity, bool MustAbort,
              boost::asio::yield_context Yield);
  /// Whether a piece of bytes is one response from its begin to its end.
  static bool isCompleteResponse(std::string_view Bytes);
  /// Returns true with probability \p Share.
  bool isFaultDrawn(double Share);
  /// Returns the content under which the target must exit, or an empty string.
  static std::string badContentOf(const http::RequestMessage &Request);
  void exitProcess(const std::string &Content);

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  std::mt19937_64 &m_Random;
  std::string m_Name;
  std::string m_Pool;
  std::string m_Version;
  std::int64_t m_StartTime = 1; ///< As announced; one more per incarnation.
  bool m_IsRetired = false;
  std::unique_ptr<http::Server> m_Server;
  std::unique_ptr<tests::LoopbackProxy> m_Proxy;
  ResponseFaults m_ResponseFaults;
  bool m_IsDisturbed = false;
  std::function<void()> m_ExitHook;
  bool m_IsExiting = false;
  std::optional<TimePoint> m_LeavingSince;
  bool m_IsLeavingInResponses = false;
  std::optional<double> m_Limit;        ///< Requests per second.
  std::multiset<std::string> m_Running; ///< Ids of running requests.
  /// Backpressure that one response states, and the incarnation that states it.
  struct StatedBackpressure {
    std::string m_Incarnation;
    ResponseBackpressure m_Backpressure;
  };
  /// Statements that haven't reached a gateway, by the id of the request.
  std::map<std::string, StatedBackpressure> m_Undelivered;
};

} // namespace yardrill::soak

#endif
