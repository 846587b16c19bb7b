//===-- Callers.h - Callers, balancers and probers of a soak --------------===//
#ifndef YARDRILL_TESTS_SOAK_CALLERS_H
#define YARDRILL_TESTS_SOAK_CALLERS_H

#include "Deployment.h"
#include "InvariantChecker.h"

#include "LibHTTP/ClientConnection.h"

#include <random>

namespace yardrill::soak {

/// Runs coroutines that send requests through the gateways until stop(), and
/// compares every response with the one that the target must have sent.
class Callers {
public:
  Callers(boost::asio::io_context &Context, InvariantChecker &Checker,
          Deployment &System, std::mt19937_64 &Random);

  /// Starts \p Count callers, and one prober and one balancer per gateway.
  void start(std::size_t Count);
  /// Starts callers whose requests make targets exit; they run until
  /// stopBadRequestCallers().
  void startBadRequestCallers(std::size_t Count);
  /// Lets callers without a quota of their own use \p Account from now on.
  void setAccount(std::string Account) { m_Account = std::move(Account); }
  void stopBadRequestCallers() { m_AreBadRequestsStopped = true; }
  /// Hands most new connections to one gateway while it is not removed, and
  /// makes callers open new ones more often; none: connections are spread.
  void setSkew(std::optional<std::size_t> Gateway) { m_SkewedTo = Gateway; }
  /// Makes every coroutine return after its current step.
  void stop() { m_IsStopped = true; }
  /// Returns whether all coroutines have returned.
  bool isIdle() const { return m_ActiveCoroutines == 0; }

private:
  using ConnectionHandle = std::unique_ptr<http::ClientConnection>;

  template <class Body> void spawn(Body Function);
  /// Connects through the proxy before the gateway, or directly.
  ConnectionHandle connect(std::size_t Gateway, bool IsProxied,
                           boost::asio::yield_context Yield);
  /// Draws whether a connection passes the proxy before the gateway; false
  /// while the gateway's process is down.
  bool drawProxied(std::size_t Gateway);
  void runCaller(boost::asio::yield_context Yield);
  /// Sends up to MaxRequestsPerConnection requests over one connection.
  void useConnection(std::size_t Gateway, boost::asio::yield_context Yield);
  /// Repeats a request that makes its targets exit, and changes its content
  /// every BadRequestRepeatTime.
  void sendBadRequests(std::size_t Number, boost::asio::yield_context Yield);
  /// Requests the route that exists only in the newest configuration.
  void runProber(std::size_t Gateway, boost::asio::yield_context Yield);
  /// Removes a gateway after two failed readiness checks in a row, as the
  /// platform's balancer does.
  void runBalancer(std::size_t Gateway, boost::asio::yield_context Yield);
  /// Returns a random gateway that is not removed, or any if all are.
  std::size_t chooseGateway();

  /// What a caller saw of one attempt.
  struct Attempt {
    std::optional<unsigned> m_Status; ///< Of a complete response.
    bool m_LooksUnread = false;       ///< See InvariantChecker.
    std::size_t m_Events = 0;         ///< Complete events of a stream.
    std::chrono::milliseconds m_RetryAfter{};
  };
  SentRequest makeSentRequest(std::size_t Gateway, RequestKind Kind,
                              bool IsLimited);
  /// Sends a request and checks its response. Without a status the response is
  /// incomplete, and the connection can't be reused.
  /// \param SkippedEvents events that the caller has from an earlier attempt.
  Attempt exchange(http::ClientConnection &Connection,
                   const SentRequest &Request, const std::string &Path,
                   std::size_t SkippedEvents, boost::asio::yield_context Yield);
  /// \param Received what was received, also if the response breaks.
  void readBody(http::ClientConnection &Connection, const SentRequest &Request,
                std::size_t SkippedEvents,
                std::optional<std::size_t> LeaveAfter, std::string &Received,
                boost::asio::yield_context Yield);
  /// Sends the request again on new connections, as the platform's protocol
  /// allows after what the caller saw of it; a resumable stream goes on after
  /// its last event. Does nothing after a success.
  void repeat(const SentRequest &First, const std::string &Path, Attempt Seen,
              boost::asio::yield_context Yield);
  /// Draws how long a caller waits for the head of its response.
  std::chrono::milliseconds drawHeadTimeout(RequestKind Kind);
  /// Draws after how many events a caller leaves a stream, 0: before its head;
  /// none: it stays.
  std::optional<std::size_t> drawLeaving(RequestKind Kind);
  /// Checks whether the gateway applies a configuration in time and never
  /// reverts to an older one.
  void checkProbe(std::size_t Gateway, std::size_t RestartCount,
                  const AcceptedVersion &Probed, TimePoint SentAt,
                  unsigned Status);
  std::uint64_t randomBelow(std::uint64_t Bound) { return m_Random() % Bound; }

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  Deployment &m_System;
  std::mt19937_64 &m_Random;
  std::vector<int> m_Misses; ///< Failed readiness checks in a row, by gateway.
  /// Newest version seen in effect, by gateway and restart count.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t>
      m_NewestActiveVersion;
  std::uint64_t m_NextId = 1;
  std::optional<std::size_t> m_SkewedTo;
  std::size_t m_ActiveCoroutines = 0;
  bool m_IsStopped = false;
  std::string m_Account = "open";
  bool m_AreBadRequestsStopped = false;
};

} // namespace yardrill::soak

#endif
