//===-- GatewayRequest.h - One request from its caller to its answer ------===//
#ifndef YARDRILL_LIBGATEWAY_GATEWAYREQUEST_H
#define YARDRILL_LIBGATEWAY_GATEWAYREQUEST_H

#include "LibCore/Timer.h"
#include "LibGateway/Gateway.h"
#include "LibGateway/RequestAdmission.h"
#include "LibGateway/RequestInfo.h"
#include "LibGateway/ResponseRelay.h"
#include "LibHTTP/ClientConnection.h"

#include <boost/asio/spawn.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace yardrill::gateway {

/// Lives in its caller's coroutine. It belongs to the process that read it and
/// to no other, so that it can be sent again only by this code: after a
/// target's own word that it did not run, when no byte was sent, or when its
/// route lets it run twice.
class GatewayRequest : private RequestInfo {
public:
  GatewayRequest(Gateway &Owner, http::Exchange &Caller);
  ~GatewayRequest();
  GatewayRequest(const GatewayRequest &) = delete;
  GatewayRequest &operator=(const GatewayRequest &) = delete;

  /// Returns when the caller has its answer or is gone.
  void run(boost::asio::yield_context Yield);
  /// The dispatcher chose a target.
  void assignTarget(const routing::Target &Where);
  std::uint32_t routeHash() const { return m_Route ? m_Route->m_Hash : 0; }
  /// The dispatcher found none.
  void refuse();
  /// The gateway ends before this request, whose coroutine is unwound only with
  /// the loop.
  void notifyOwnerDestroyed() { m_IsOwnerDestroyed = true; }

private:
  /// A target stops at the deadline it was given and says so; its own word is
  /// waited for this long beyond.
  static constexpr std::chrono::milliseconds ResponseGracePeriod{200};

  /// \returns the status that ends the request here, or 0 to go on.
  unsigned admit(boost::asio::yield_context Yield);
  /// \returns whether the request is within its account's quota.
  bool acquireQuota(std::uint32_t Tokens, boost::asio::yield_context Yield);
  quarantine::ContentDigest contentDigest() const;
  /// How long the caller waits for an event of a stream.
  core::Duration callerTimeout() const;
  /// Callers that waited for this instance to start come before the store's
  /// first answer.
  void waitForConfiguration(boost::asio::yield_context Yield);
  bool waitForTarget(boost::asio::yield_context Yield);
  AttemptOutcome runAttempt(boost::asio::yield_context Yield);
  AttemptOutcome exchange(http::ClientConnection &Connection,
                          boost::asio::yield_context Yield);
  /// Reads heads until one answers this request: an answer to an earlier one
  /// may come late, in the place of the next.
  http::ResponseHead readMatchingHead(http::ClientConnection &Connection,
                                      boost::asio::yield_context Yield);
  /// Keeps a failure back where another target may do better.
  AttemptOutcome relayBuffered(http::ResponseMessage Response,
                               boost::asio::yield_context Yield);
  void noteEvents(std::size_t Count);
  /// Whether another target may be tried after \p Last.
  bool shouldRetry(AttemptOutcome Outcome);
  void finishFailed(AttemptOutcome Outcome, boost::asio::yield_context Yield);
  void respond(unsigned Status, const char *Reason, core::Duration RetryAfter,
               boost::asio::yield_context Yield);
  core::Duration timeLeft() const;
  core::Duration retryAfter() const;
  void handleCallerDisconnect();
  void noteAttempt(AttemptOutcome Outcome);
  /// Whether it must go to no target, also one that was chosen.
  bool isQuarantined();
  /// Finds out whether the target ended under the request.
  void noteBrokenResponse(boost::asio::yield_context Yield);
  /// Tells roll-outs how the try turned out.
  void reportRolloutOutcome(AttemptOutcome Outcome, core::TimePoint Now);
  core::Duration normalizedDuration(core::Duration Took) const;
  void finish(const char *Event) const;

  Gateway &m_Owner;
  http::Exchange &m_Caller;
  ResponseRelay m_Relay;
  core::RequestId m_Id;
  core::TimePoint m_EndsAt;
  core::Timer m_WakeTimer;
  bool m_IsRefused = false;
  bool m_IsCallerGone = false;
  bool m_IsOwnerDestroyed = false;
  http::ClientConnection *m_Connection = nullptr;
  std::set<routing::TargetIncarnation> m_TriedTargets;
  unsigned m_PossibleExecutions = 0;       ///< Tries that may have run.
  std::uint32_t m_PendingPromptTokens = 0; ///< Counted at the current target.
  bool m_HasResponseStarted = false;       ///< Of the current try.
  /// How long the connection may be kept, by the last answer on it.
  core::Duration m_KeepAliveTime{};
  /// A target's own failure, passed on unless another target does better.
  std::optional<http::ResponseMessage> m_FailureResponse;
};

} // namespace yardrill::gateway

#endif
