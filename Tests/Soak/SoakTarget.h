//===-- SoakTarget.h - A target that tells the ledger what it saw ---------===//
#ifndef YARDRILL_TESTS_SOAK_SOAKTARGET_H
#define YARDRILL_TESTS_SOAK_SOAKTARGET_H

#include "InvariantChecker.h"
#include "LoopbackProxy.h"

#include "LibHTTP/Server.h"

#include <memory>
#include <random>
#include <set>

namespace yardrill::soak {

/// Shares of the requests, 0 to 1.
struct ResponseFaults {
  double m_FailShare = 0;    ///< Runs, then answers 500.
  double m_RefuseShare = 0;  ///< Does not run, and says so.
  double m_AbortShare = 0;   ///< Runs, then breaks off within the answer.
  double m_HangShare = 0;    ///< Runs and never answers.
  double m_BackoffShare = 0; ///< Does not run, and asks for rest.
};

/// What every answer of a target to the request holds; the caller compares.
std::string responseBodyOf(const std::string &Id);
std::size_t eventCountOf(const std::string &Id);
std::string eventOf(const std::string &Id, std::size_t Number);
std::string requestBodyOf(const std::string &Id);
/// Begins the contents of requests that end their targets.
extern const char BadContentPrefix[];

/// Runs in the soak's own process, behind a proxy whose port is announced.
class SoakTarget {
public:
  SoakTarget(boost::asio::io_context &Context, InvariantChecker &Checker,
             std::mt19937_64 &Random, std::string Name, std::string Pool,
             std::string Version = "v1");

  /// What the store holds for it.
  std::string key() const { return "servers/" + m_Name; }
  std::string announcement() const;
  tests::LoopbackProxy &proxy() { return *m_Proxy; }

  void setResponseFaults(const ResponseFaults &How) { m_ResponseFaults = How; }
  /// \p Hook ends its process and starts it anew; called once for each life.
  void setExitHook(std::function<void()> Hook) { m_ExitHook = std::move(Hook); }
  /// Its connections are disturbed from now on (or not any more).
  void setDisturbed(bool IsDisturbed);
  /// Names a limit in all answers, or none any more.
  void setLimit(std::optional<double> PerSecond);
  /// Says in all answers that it leaves.
  void setLeavingInResponses() { m_IsLeavingInResponses = true; }
  /// The store has taken its word that it leaves.
  void setLeavingInStore() { m_LeavingSince = Clock::now(); }
  /// Starts anew at the same address, under another name or the one it had.
  void restart(std::string Name);
  const std::string &name() const { return m_Name; }
  const std::string &pool() const { return m_Pool; }
  /// Stopped for good: whoever still plays a fault on it leaves it alone.
  void retire();
  bool isRetired() const { return m_IsRetired; }

private:
  /// Of the store's entry and of one life.
  std::string incarnation() const {
    return m_Name + "@" + std::to_string(m_StartTime);
  }
  /// Adds what the target says of itself, and tells the ledger.
  void stateBackpressure(http::ResponseHead &Head, const std::string &Id,
                         std::optional<std::chrono::milliseconds> Backoff);
  void handle(http::Exchange &Call, boost::asio::yield_context Yield);
  void serve(http::Exchange &Call, const std::string &Id,
             boost::asio::yield_context Yield);
  void stream(http::Exchange &Call, const std::string &Id, bool MustAbort,
              boost::asio::yield_context Yield);
  bool isFaultDrawn(double Share);
  /// \returns the content, if the request ends its target; else nothing.
  static std::string badContentOf(const http::RequestMessage &Request);
  void exitProcess(const std::string &Content);

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  std::mt19937_64 &m_Random;
  std::string m_Name;
  std::string m_Pool;
  std::string m_Version;
  std::int64_t m_StartTime = 1;
  bool m_IsRetired = false;
  std::unique_ptr<http::Server> m_Server;
  std::unique_ptr<tests::LoopbackProxy> m_Proxy;
  ResponseFaults m_ResponseFaults;
  bool m_IsDisturbed = false;
  std::function<void()> m_ExitHook;
  bool m_IsExiting = false;
  std::optional<TimePoint> m_LeavingSince;
  bool m_IsLeavingInResponses = false;
  std::optional<double> m_Limit;        ///< Requests a second.
  std::multiset<std::string> m_Running; ///< Ids of requests under way.
};

} // namespace yardrill::soak

#endif
