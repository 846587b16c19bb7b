//===-- GatewayRequest.h - One request from arrival to response -----------===//
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

/// What a peer states of a request that it has forwarded.
struct ForwardedRequest {
  peer::ForwardTicket m_Ticket;
  std::string m_Attempt; ///< To be repeated in the response.
};

/// Handles one request in its caller's coroutine: admission, attempts at
/// targets and the response. No other process knows the request, so only this
/// code can send it again: if no byte was sent, if the target reported that it
/// did not run it, or if the route lets it run more than once.
class GatewayRequest : private RequestInfo {
public:
  /// \param Forwarded none for a caller's own request.
  GatewayRequest(Gateway &Owner, http::Exchange &Caller,
                 std::optional<ForwardedRequest> Forwarded = std::nullopt);
  ~GatewayRequest();
  GatewayRequest(const GatewayRequest &) = delete;
  GatewayRequest &operator=(const GatewayRequest &) = delete;

  /// Returns when the caller has received its response or is gone.
  void run(boost::asio::yield_context Yield);
  /// Called when the dispatcher has chosen a target.
  void assignTarget(const routing::Target &Chosen);
  /// Returns the hash of the request's route; 0 without one.
  std::uint32_t routeHash() const { return m_Route ? m_Route->m_Hash : 0; }
  /// Called when the dispatcher refuses the request.
  void refuse();
  /// Refuses the request if it waits for a target.
  void refuseIfWaiting();
  /// Ends the current attempt, whose outcome remains unknown.
  void breakOff();
  /// Called when the path to a pool is lost. Stops waiting for its targets if a
  /// peer reaches them.
  void handleLostPath(const core::PoolName &Pool);
  /// Frees the target's slot if the caller has not read its response for a
  /// while. To be called a few times a second.
  void checkUnreadResponse(core::TimePoint Now);
  /// Adds the request to \p Out, by pool, if it has waited for bytes of its
  /// target for PathMonitor::MinSilence or longer.
  void addIfSilent(std::map<core::PoolName, SilentRequests> &Out,
                   core::TimePoint Now) const;
  /// Called by the gateway's destructor: the coroutine is unwound later, with
  /// the event loop, and must not use the gateway then.
  void notifyOwnerDestroyed();

private:
  /// Minimum time left for an attempt at another target.
  static constexpr std::chrono::milliseconds MinRetryTime{20};
  /// Time beyond the deadline for which to wait for a response: a target stops
  /// at the deadline that it was given, and reports so.
  static constexpr std::chrono::milliseconds ResponseGracePeriod{200};

  /// Checks the request against the configuration and the quarantine. \returns
  /// 0 if it is admitted, else the status to respond with.
  unsigned admit();
  /// Acquires tokens of the account's quota, unless it has them. \returns
  /// whether they were granted.
  bool acquireQuota(boost::asio::yield_context Yield);
  /// Returns the tokens of the account's quota, if it has any.
  void giveBackQuota();
  /// Responds to a request that is not admitted.
  void reject(unsigned Status, boost::asio::yield_context Yield);
  /// Makes attempts at targets, or passes the request to a peer. \returns none
  /// after a response was sent.
  std::optional<AttemptOutcome> runAttempts(boost::asio::yield_context Yield);

  // Resumption of streams.
  /// Whether the route's streams may go on at another target.
  bool isResumable() const;
  /// Whether the caller has part of the stream already.
  bool resumesStream() const;
  StreamRoute streamRoute() const;
  /// Returns the version of the only targets that may receive the request; none
  /// if it is free.
  std::optional<core::TargetVersion> requiredVersion() const;
  /// Finds out where a resumed stream has begun. \returns why it
  /// can't go on; null if it may, or if it resumes none.
  const char *findStreamOrigin(boost::asio::yield_context Yield);
  /// Records where a stream begins, before its caller gets the first event.
  void noteStreamBegin();
  void noteStreamComplete();
  /// Whether no target of the required version is left.
  bool isStreamVersionGone() const;
  /// Tells the peer that forwarded the request where its stream comes from.
  void stateStreamOrigin(http::ResponseHead &Head) const;
  /// Adds what the peer that forwarded the request needs to know of a target's
  /// response, if there is one.
  void describeForPeer(http::ResponseHead &Head) const;
  /// Takes what the above states out of a peer's response. \returns false if
  /// the stream must not go on with it.
  bool readStreamOrigin(http::ResponseHead &Head);

  // Requests passed on to a peer.
  /// Whether to pass the request to a peer, as this instance has no path to the
  /// pool and a peer has.
  bool shouldForward() const;
  /// Offers the request to some peers. \returns NotSent if none has taken it.
  AttemptOutcome forward(boost::asio::yield_context Yield);
  AttemptOutcome forwardTo(const config::Endpoint &Peer,
                           boost::asio::yield_context Yield);
  /// \throws core::Error when the connection fails or the peer does not respond
  /// in time.
  AttemptOutcome exchangeWithPeer(http::ClientConnection &Connection,
                                  const config::Endpoint &Peer,
                                  boost::asio::yield_context Yield);
  void logForwardFailure(const config::Endpoint &Peer,
                         const char *Reason) const;

  // Requests that a peer has forwarded.
  /// Returns why this instance must not handle the request; null if it may.
  const char *reasonNotToTake();
  /// The same after its admission.
  const char *reasonNotToSend() const;
  /// Lets the peer offer the request to another instance.
  void declineForwarded(const char *Reason, boost::asio::yield_context Yield);
  /// Sets m_Content and m_Contents.
  void identifyContents();
  /// Returns how long the caller waits for the next event of a stream.
  core::Duration callerTimeout() const;
  /// Waits for the first configuration, for requests that arrive while the
  /// instance starts.
  void waitForConfiguration(boost::asio::yield_context Yield);
  /// Passes the request to the dispatcher and waits for its decision. \returns
  /// whether the request was assigned a target.
  bool waitForTarget(boost::asio::yield_context Yield);
  /// Sends the request to the assigned target and relays the response.
  AttemptOutcome runAttempt(boost::asio::yield_context Yield);
  /// Returns the id of the last event that the caller has; none before the
  /// first.
  std::optional<std::string> lastEvent() const;
  /// Runs the attempt on an open connection. \throws core::Error when the
  /// connection fails or the target does not respond in time.
  AttemptOutcome exchange(http::ClientConnection &Connection,
                          boost::asio::yield_context Yield);
  /// Relays the response of a target, directly or through a peer.
  /// \param MayRetry whether to hold back a failure if another target may
  /// succeed.
  /// \throws core::Error when the response breaks.
  AttemptOutcome relayResponse(http::ClientConnection &Connection,
                               const http::ResponseHead &Head,
                               const ResponseDescription &Info, bool MayRetry,
                               boost::asio::yield_context Yield);
  /// Returns the key of responses to this request, in any attempt.
  http::ResponseKey responseKey() const;
  /// Reads the head of a response of m_Target.
  ResponseDescription describe(const http::ResponseHead &Head) const;
  /// Reads response heads until one meets \p IsOwn. A late response to an
  /// earlier request may come first; it is logged and discarded.
  /// \throws core::Error of kind OutcomeUnknown.
  http::ResponseHead
  readMatchingHead(http::ClientConnection &Connection,
                   const std::function<bool(const http::ResponseHead &)> &IsOwn,
                   const std::string &Sender, boost::asio::yield_context Yield);
  /// Sends a buffered response, or holds a failure back if another target may
  /// succeed.
  AttemptOutcome relayBuffered(http::ResponseMessage Response,
                               boost::asio::yield_context Yield);
  /// Returns the time for which to wait for bytes of the target, and records
  /// that it has sent those before. To be called before each part of a
  /// response is read.
  core::Duration beginRead();
  /// Records events of the response for metrics and load estimates.
  void noteEvents(std::size_t Count);
  /// Whether to try another target after \p Outcome. Counts the retry in the
  /// pool's budget if it costs any.
  bool shouldRetry(AttemptOutcome Outcome);
  /// Ends a request after a failed attempt, or without a target.
  void finishFailed(AttemptOutcome Outcome, boost::asio::yield_context Yield);
  /// Sends a response of the gateway's own.
  /// \param RetryAfter zero: no Retry-After header.
  void respond(unsigned Status, const char *Reason, core::Duration RetryAfter,
               boost::asio::yield_context Yield);
  /// Returns the time until the deadline, negative after it.
  core::Duration timeLeft() const;
  /// Returns the time after which a refused caller should try again, with a
  /// random part.
  core::Duration retryAfter();
  /// Whether the request is a stream that is to begin within an objective.
  bool hasObjective() const;
  void handleCallerDisconnect();
  /// Whether the caller has left. To be asked right before the request is sent,
  /// with nothing that waits in between.
  bool hasCallerLeft();
  /// Ends a request whose caller has left.
  void finishAbandoned();
  /// Records the outcome of an attempt, and frees the target's slot unless
  /// releaseSlot() has done so.
  void noteAttempt(AttemptOutcome Outcome);
  /// Whether the complete response shows that the target has outlived the
  /// request. One that ends with its connection may have been cut by an exit.
  bool provesHarmless() const;
  /// Frees the target's slot before the caller has taken the response.
  void releaseSlot();
  /// Removes the attempt from the target's load. \returns false if that was
  /// done before.
  bool endTargetWork();
  /// Whether the request must not be sent to any target; sets the reason if so.
  bool isQuarantined();
  /// Finds out whether the target exited while it ran the request.
  void noteBrokenResponse(boost::asio::yield_context Yield);
  /// Finds out whether a target that refused a connection has exited.
  void noteRefusedConnection(boost::asio::yield_context Yield);
  /// Reports the outcome of an attempt to the pool's rollout.
  void reportRolloutOutcome(AttemptOutcome Outcome);
  /// Scales the duration of a stream to that of a reference request, so that
  /// targets can be compared.
  core::Duration normalizedDuration(core::Duration Elapsed) const;
  /// Logs and counts the request if it may have run and its caller saw no byte
  /// of a response.
  void noteIfUnanswered(const char *Reason) const;
  /// Logs and counts the attempt if this instance leaves a target that has not
  /// completed a stream.
  void noteIfStreamLeft(const http::ClientConnection &Connection,
                        bool IsBroken) const;
  /// Logs and counts the end of the request.
  void finish(const char *Event) const;

  Gateway &m_Owner;
  http::Exchange &m_Caller;
  ResponseRelay m_Relay;
  core::RequestId m_Id;
  const std::optional<peer::ForwardTicket> m_Ticket;
  const std::string m_ForwardAttempt; ///< Of the peer; empty without a ticket.
  /// Body of a forwarded request; callers' bodies are counted as they are read.
  http::ByteBudget::Reservation m_ForwardedBody;
  core::TimePoint m_EndsAt;                ///< Deadline of the response.
  http::TransferMeter::Transfer m_Sending; ///< To a target.
  core::Timer m_WakeTimer;
  bool m_IsRefused = false;
  bool m_IsTrial = false;     ///< Sent although its contents are quarantined.
  std::uint32_t m_Charge = 0; ///< Tokens to take from the account's quota.
  bool m_HasQuota = false;
  bool m_IsCounted = false;          ///< In the pool's retry budget.
  bool m_WasNotSent = false;         ///< Outcome of the last attempt.
  bool m_IsForwardExhausted = false; ///< No peer has taken it.
  bool m_IsPeerRefusal = false;      ///< The response is a peer's own.
  /// Value of peer::ForwardOutcomeHeader in responses of this instance's own.
  const char *m_ForwardOutcome = peer::OutcomeFinal;
  bool m_IsCallerGone = false;
  bool m_IsBrokenOff = false;
  bool m_IsOwnerDestroyed = false;
  bool m_IsHandedOn = false; ///< Bytes may have reached a target or a peer.
  http::ClientConnection *m_Connection = nullptr;
  std::set<routing::TargetIncarnation> m_TriedTargets;
  unsigned m_PossibleExecutions = 0;       ///< Attempts that may have run.
  std::uint32_t m_PendingPromptTokens = 0; ///< In the current target's load.
  bool m_HasResponseStarted = false;       ///< In the current attempt.
  bool m_IsEndKnown = false; ///< Whether the response states where it ends.
  /// Time from which the current attempt no longer counts as the target's work;
  /// none before.
  std::optional<core::TimePoint> m_TargetEndedAt;
  /// Time since which the target has sent nothing of the response; none while
  /// nothing is awaited from it.
  std::optional<core::TimePoint> m_SilentSince;
  /// Whether the caller has left the current attempt's response unread.
  bool m_IsUnread = false;
  /// Time for which the connection may be reused, according to the last
  /// response.
  core::Duration m_KeepAliveTime{};
  /// Latest error response of a target; sent to the caller if the last attempt
  /// ended as Failed.
  std::optional<http::ResponseMessage> m_FailureResponse;
};

} // namespace yardrill::gateway

#endif
