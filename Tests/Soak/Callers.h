//===-- Callers.h - Callers, the balancer and probes of a soak ------------===//
#ifndef YARDRILL_TESTS_SOAK_CALLERS_H
#define YARDRILL_TESTS_SOAK_CALLERS_H

#include "Deployment.h"
#include "InvariantChecker.h"

#include "LibHTTP/ClientConnection.h"

#include <random>

namespace yardrill::soak {

/// Sends requests through the gateways until it is told to stop, and compares
/// every answer with what the target must have said.
class Callers {
public:
  Callers(boost::asio::io_context &Context, InvariantChecker &Checker,
          Deployment &System, std::mt19937_64 &Random);

  /// Starts \p Count callers, one prober and one balancer for each gateway.
  void start(std::size_t Count);
  /// Requests that end their targets, until no faults are to come any more.
  void startBadRequestCallers(std::size_t Count);
  void stopBadRequestCallers() { m_AreBadRequestsStopped = true; }
  /// Each ends after what it is doing now.
  void stop() { m_IsStopped = true; }
  bool isIdle() const { return m_ActiveCoroutines == 0; }

private:
  using ConnectionHandle = std::unique_ptr<http::ClientConnection>;

  template <class Body> void spawn(Body What);
  void runCaller(boost::asio::yield_context Yield);
  /// Requests over one connection, until it ends.
  void useConnection(std::size_t Gateway, boost::asio::yield_context Yield);
  /// One request that ends its targets, again and again, another one every some
  /// seconds.
  void sendBadRequests(std::size_t Number, boost::asio::yield_context Yield);
  void runProber(std::size_t Gateway, boost::asio::yield_context Yield);
  /// Takes a gateway out after two misses, as the platform's balancer does.
  void runBalancer(std::size_t Gateway, boost::asio::yield_context Yield);
  std::size_t chooseGateway();

  SentRequest makeSentRequest(std::size_t Gateway, RequestKind Kind,
                              bool IsLimited);
  /// Sends and compares. \returns the status, or nothing without a whole
  /// answer; then the connection is of no more use.
  std::optional<unsigned> exchange(http::ClientConnection &Connection,
                                   const SentRequest &What,
                                   const std::string &Path,
                                   boost::asio::yield_context Yield);
  std::string readBody(http::ClientConnection &Connection,
                       const SentRequest &What, bool IsStream,
                       boost::asio::yield_context Yield);
  void checkProbe(std::size_t Gateway, std::size_t RestartCount,
                  const AcceptedVersion &Probed, TimePoint SentAt,
                  unsigned Status);
  std::uint64_t randomBelow(std::uint64_t Below) { return m_Random() % Below; }

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  Deployment &m_System;
  std::mt19937_64 &m_Random;
  std::vector<int> m_Misses; ///< Of readiness, in a row; by gateway.
  /// Newest version seen in force, by gateway and life.
  std::map<std::pair<std::size_t, std::size_t>, std::uint64_t>
      m_NewestActiveVersion;
  std::uint64_t m_NextId = 1;
  std::size_t m_ActiveCoroutines = 0;
  bool m_IsStopped = false;
  bool m_AreBadRequestsStopped = false;
};

} // namespace yardrill::soak

#endif
