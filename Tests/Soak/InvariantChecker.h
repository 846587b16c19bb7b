//===-- InvariantChecker.h - Checks the invariants of a soak --------------===//
//
// Collects what callers, targets and operators observe during a soak and checks
// the system's invariants against it: immediately where a single observation
// proves a violation, in finish() where a whole time window is needed.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SOAK_INVARIANTCHECKER_H
#define YARDRILL_TESTS_SOAK_INVARIANTCHECKER_H

#include "BackpressureChecker.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace yardrill::soak {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

/// Bounds of the invariants, as the platform specifies them.
namespace bounds {
/// Time without a disturbance after which invariants with a time limit apply to
/// a gateway again.
inline constexpr std::chrono::milliseconds SettleTime{3000};
/// Time within which a gateway applies an accepted configuration.
inline constexpr std::chrono::milliseconds ConfigurationApplyTime{2000};
/// Time after which a leaving target receives no new request.
inline constexpr std::chrono::milliseconds LeavingGracePeriod{2000};
/// Time after sending within which a request may be lost before it is executed.
inline constexpr std::chrono::milliseconds EarlyLossSlack{200};
/// Time beyond the route's time limit by which a caller has a response.
inline constexpr std::chrono::milliseconds ResponseSlack{500};
inline constexpr std::chrono::milliseconds RollbackSlack{250};
/// Time after its caller has left within which a request may still arrive at a
/// target.
inline constexpr std::chrono::milliseconds AbandonedSlack{500};
/// Time within which a target stops to work on a stream that has gone on at
/// another one.
inline constexpr std::chrono::milliseconds StreamEndTime{400};
/// An account executes at most (rate x QuotaWindow + burst) x
/// (1 + QuotaOvershoot) + QuotaSlack tokens in a QuotaWindow.
inline constexpr std::chrono::seconds QuotaWindow{8};
inline constexpr double QuotaOvershoot = 0.1;
inline constexpr double QuotaSlack = 2800; ///< Tokens.
/// At most RetryRatio x requests + RetrySlack repeats in a RetryWindow.
inline constexpr std::chrono::seconds RetryWindow{10};
inline constexpr double RetryRatio = 0.2;
inline constexpr double RetrySlack = 52; ///< Requests.
/// Until the roll-out's deadline, a bad canary receives at most CanaryShare x
/// requests of its pool + CanarySlack.
inline constexpr double CanaryShare = 0.1;
inline constexpr double CanarySlack = 50; ///< Requests.
/// Time after BadResponsesForRollback bad responses by which a canary receives
/// no more requests.
inline constexpr std::chrono::milliseconds RollbackTime{5000};
inline constexpr std::size_t BadResponsesForRollback = 50;
/// Number of targets that exit under one content before it is quarantined.
inline constexpr std::size_t ExitsForQuarantine = 3;
/// Arrivals allowed for a quarantined content once SettleTime has passed.
inline constexpr std::size_t MaxSendsInQuarantine = 3;
/// A target receives at most LimitFactor x its rate limit x LimitWindow +
/// LimitSlack requests in a LimitWindow.
inline constexpr std::chrono::seconds LimitWindow{4};
inline constexpr double LimitFactor = 1.5;
inline constexpr double LimitSlack = 5; ///< Requests.
/// Time allowed for requests in flight when a target states backpressure.
inline constexpr std::chrono::milliseconds BackpressureSlack{500};
/// Number of targets that must be out of reach for a gateway to forward
/// requests, and time for which it remembers that they were.
inline constexpr std::size_t MinUnreachableTargets = 3;
inline constexpr std::chrono::milliseconds UnreachableMemory{4000};
/// Requests that one gateway may send to a target during a back-off.
inline constexpr std::size_t MaxRequestsInBackoff = 2;
/// Share of the requests that are served from SettleTime after the last
/// disturbance on.
inline constexpr double MinServedAfterRecovery = 0.9;
/// Time from the begin of a skew of connections until it may cost no more, and
/// least share that is served from then on, relative to the time without one.
inline constexpr std::chrono::milliseconds SkewAdaptationTime{4000};
inline constexpr double MinServedWhileSkewed = 0.75;
/// Share of sound targets below which a pool's requests are not compared with
/// those of other times.
inline constexpr double MinSoundTargets = 0.75;
/// Number of requests below which shares say little.
inline constexpr std::size_t MinRequestsForShare = 40;
/// The same for a difference that must exceed two standard errors.
inline constexpr std::size_t MinRequestsForClearShare = 20;
} // namespace bounds

enum class RequestKind { NonIdempotent, Idempotent, Stream, ResumableStream };

/// Token quota of a client account.
struct AccountQuota {
  double m_TokensPerSecond = 0;
  double m_Burst = 0; ///< Tokens.
};

/// A request that a caller sent to a gateway, with what became known of it.
struct SentRequest {
  std::string m_Id;
  /// Id of the caller's first attempt, which all its attempts share.
  std::string m_Identity;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::size_t m_Gateway = 0;
  std::string m_Account;
  /// Content under which targets exit, shared by all requests of a series;
  /// empty for a request whose content is unique.
  std::string m_Content;
  double m_Tokens = 0;
  bool m_IsProxied = false; ///< Whether it passes the proxy of its gateway.
  TimePoint m_SentAt;
  std::chrono::milliseconds m_TimeLimit{};
  std::size_t m_Arrivals = 0;          ///< At targets.
  std::size_t m_Executions = 0;        ///< By targets.
  bool m_IsGatewayUndisturbed = false; ///< When it was sent.
  /// Time since which connections were skewed when it was sent; none: they were
  /// not.
  std::optional<Clock::duration> m_SkewAge;
  bool m_IsAtSkewedGateway = false; ///< Whether it got most connections then.
  bool m_IsProbe = false; ///< Probes a route that need not exist yet (404).
  /// Whether a target that received it refused, aborted, failed or was
  /// disturbed.
  bool m_IsTargetDisturbed = false;
  std::optional<unsigned> m_Status; ///< Status of a complete response.
  /// Whether its connection ended without a byte of a response, so that its
  /// caller takes it for unread.
  bool m_LooksUnread = false;
  bool m_HasCallerLeft = false;      ///< Before the response was complete.
  std::optional<TimePoint> m_LeftAt; ///< When its caller closed the connection.

  bool isRetryable() const {
    return m_Kind == RequestKind::Idempotent ||
           m_Kind == RequestKind::ResumableStream;
  }
  bool isServed() const {
    return m_Status && *m_Status >= 200 && *m_Status < 300;
  }
  /// Returns the pool that its route leads to.
  const char *pool() const {
    return m_Kind == RequestKind::Idempotent ||
                   m_Kind == RequestKind::NonIdempotent
               ? "app"
               : "engine";
  }
};

/// A roll-out that the operator ordered.
struct RolloutOrder {
  std::string m_Pool;
  std::string m_Version;
  bool m_IsBad = false; ///< Whether the version sends bad responses.
  TimePoint m_OrderedAt;
  TimePoint m_Deadline;
};

/// An amount observed at one point in time.
struct DataPoint {
  TimePoint m_At;
  double m_Amount = 1;
};

/// Records observations and collects violations. Callers, SoakTarget,
/// Deployment and Operator report to it; main prints the violations and the
/// summary.
class InvariantChecker {
public:
  using NowFunction = std::function<TimePoint()>;

  explicit InvariantChecker(std::size_t Gateways, NowFunction Now = Clock::now)
      : m_Now(std::move(Now)), m_Gateways(Gateways) {}

  // Disturbances, which may overlap: of a gateway's process, of its path to the
  // store, and of the store itself.
  void noteProcessDisturbance(std::size_t Gateway, bool Begins);
  /// Discards the backpressure that the gateway's previous process knew.
  void gatewayRestarted(std::size_t Gateway) { m_Backpressure.forget(Gateway); }
  void noteStorePathDisturbance(std::size_t Gateway, bool Begins);
  void noteStoreDisturbance(bool Begins);
  /// Records that the link between callers and a gateway goes silent, or
  /// (false) no longer.
  void noteCallerLinkDisturbance(std::size_t Gateway, bool Begins);
  /// Records that all connections on that link were reset.
  void noteCallerLinkReset(std::size_t Gateway);
  /// Whether the link between its caller and the gateway was silent or reset
  /// since the request was sent, so that its end tells nothing of the gateway.
  bool hasLinkFailed(const SentRequest &Request) const;
  /// Records that the balancer hands most new connections to one gateway, or
  /// (none) no longer.
  void noteSkew(std::optional<std::size_t> Gateway);
  /// Records that a pool has too few sound targets, see
  /// bounds::MinSoundTargets, or (false) no longer.
  void noteTargetShortage(const std::string &Pool, bool Begins);
  /// Records that a planned stop began, or (false) that the process exited.
  void setStopping(std::size_t Gateway, bool IsStopping);
  /// Returns whether the gateway is not stopping and all disturbances of its
  /// process, its store path and the store ended at least SettleTime before
  /// \p Since.
  bool isUndisturbedSince(std::size_t GatewayIndex, TimePoint Since) const;

  // Observations of callers.
  void requestSent(SentRequest Request);
  void responseReceived(const std::string &Id, unsigned Status);
  /// Records that the connection closed or the caller timed out before the
  /// response was complete. \param Error the error that the caller saw.
  void responseLost(const std::string &Id, const std::string &Error);
  /// Records that the connection ended as if the request had not been read.
  /// \param IsReset whether it was reset.
  void noteUnreadEnd(const std::string &Id, bool IsReset);
  /// Records that the caller closed the connection.
  void callerLeft(const std::string &Id);
  /// Records that its gateway had read nothing of the request when the caller
  /// closed the connection, so that the caller may send it again.
  void noteLeftUnread(const std::string &Id);
  /// Records a response that belongs to another request, or that is incomplete
  /// although it ended regularly.
  void wrongResponse(const std::string &Id, const std::string &Problem);

  // Observations of targets.
  /// \param LeavingSince when the target's announcement said that it leaves;
  ///   empty if it does not.
  void requestArrived(const std::string &Id, const std::string &Target,
                      std::optional<TimePoint> LeavingSince);
  void arrivedAtIncarnation(const std::string &Id,
                            const std::string &Incarnation);
  /// Records that a request arrived over the link of \p Target, which
  /// noteLinkDisturbance() names.
  void arrivedOverLink(const std::string &Id, const void *Target);
  /// Records the backpressure that the response to request \p Id stated, once
  /// it was delivered.
  /// \param SentAt time before which the gateway cannot have read it.
  void backpressureStated(const std::string &Id, const std::string &Incarnation,
                          const ResponseBackpressure &Backpressure,
                          TimePoint SentAt);
  /// Records the rate limit, or none, that all further responses of the
  /// incarnation state.
  void rateLimitChanged(const std::string &Incarnation,
                        std::optional<double> PerSecond) {
    m_Backpressure.rateLimitChanged(Incarnation, PerSecond, m_Now());
  }
  void requestExecuted(const std::string &Id);
  /// Records that a target works on a stream, or (ended) no longer does.
  void streamBegan(const std::string &Id, const void *Target);
  void streamEnded(const std::string &Id, const void *Target);
  /// Records the version of the target that works on a stream.
  /// \param IsResumed whether its caller has events of it already.
  void streamAtVersion(const std::string &Id, const std::string &Version,
                       bool IsResumed);
  void noteTargetDisturbance(const std::string &Id);
  /// Records that gateways may not be able to connect to a target, or that they
  /// are again.
  /// \param Target identifies the target, also after restarts.
  void noteLinkDisturbance(const void *Target, bool Begins);
  /// Records that a target exited under a request with that content.
  void targetExited(const std::string &Content);
  /// Records that a request arrived at a target of that version.
  void arrivedAtVersion(const std::string &Id, const std::string &Pool,
                        const std::string &Version);
  void badResponseSent(const std::string &Pool, const std::string &Version);
  /// Checks how many requests a bad canary received, and that none arrived
  /// after its rollback was due. Called after its targets were promoted or
  /// discarded.
  void checkRollout(const RolloutOrder &Order);
  /// Returns whether isUndisturbedSince() holds for every gateway.
  bool isFleetUndisturbedSince(TimePoint Since) const;

  void addViolation(const std::string &Rule, const std::string &Description);
  void setQuota(const std::string &Account, const AccountQuota &Quota) {
    m_Quotas[Account] = Quota;
  }
  /// Checks the invariants that need whole windows.
  /// \param RecoveredAt when the last disturbance ended.
  void finish(TimePoint RecoveredAt);

  const std::vector<std::string> &violations() const { return m_Violations; }
  std::string summary() const;

private:
  struct Disturbance {
    int m_ActiveCount = 0;
    TimePoint m_EndedAt;

    void change(bool Begins, TimePoint Now);
    bool hasEndedBefore(TimePoint Since) const {
      return m_ActiveCount == 0 && m_EndedAt + bounds::SettleTime <= Since;
    }
  };
  std::map<const void *, Disturbance> m_TargetLinks;
  using TimeSeries = std::vector<DataPoint>;

  void checkStreams();
  void checkQuotas();
  void checkRetries();
  void checkRecovery(TimePoint RecoveredAt);
  void checkQuarantine();
  void checkSkews();
  /// Whether no target shortage of the request's pool ended less than
  /// SettleTime before it was sent or began before its time limit.
  bool hadEnoughTargets(const SentRequest &Request) const;
  SentRequest *findRequest(const std::string &Id);
  /// Whether another gateway than the one that got it may have sent a request
  /// to a target, since so many targets are or were out of reach.
  bool mayBeForwarded(const SentRequest &Request) const;

  /// Arrival of a request at a target of a version.
  struct VersionArrival {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
    bool m_IsGatewayUndisturbed = false;
  };
  struct BadResponse {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
  };

  /// Exits and arrivals that targets observed for a bad content.
  struct BadContent {
    std::vector<TimePoint> m_Exits;
    std::vector<TimePoint> m_Arrivals; ///< From undisturbed gateways.
  };

  /// Work of a target on a stream.
  struct StreamRun {
    std::string m_Id;
    const void *m_Target = nullptr;
    std::size_t m_Gateway = 0;
    TimePoint m_BeganAt;
    std::optional<TimePoint> m_EndedAt;
    /// Whether its gateway or the path to the target was disturbed when another
    /// run of the stream began or a run of it ended.
    bool m_IsExcused = false;
  };
  void excuseDisturbed(std::vector<StreamRun> &Runs);

  struct Gateway {
    Disturbance m_Process;
    Disturbance m_StorePath;
    Disturbance m_CallerLink;
    TimePoint m_CallerLinkResetAt;
    bool m_IsStopping = false;
  };

  NowFunction m_Now;
  std::vector<Gateway> m_Gateways;
  Disturbance m_Store;
  std::optional<TimePoint> m_SkewedSince;
  std::size_t m_SkewedGateway = 0;
  struct Period {
    TimePoint m_BeganAt;
    TimePoint m_EndedAt = TimePoint::max();
  };
  std::map<std::string, std::vector<Period>> m_Shortages; ///< By pool.
  std::map<std::string, SentRequest> m_SentRequests;
  std::map<std::string, AccountQuota> m_Quotas;
  std::map<std::string, TimeSeries> m_ExecutedTokens; ///< By account.
  /// Executions by the identity of requests that aren't retryable.
  std::map<std::string, std::size_t> m_Executions;
  std::map<std::string, std::vector<StreamRun>> m_StreamRuns; ///< By identity.
  std::map<std::string, std::string> m_StreamVersions;        ///< By identity.
  std::size_t m_ResetEnds = 0;
  std::size_t m_EmptyEnds = 0;
  std::size_t m_LeftUnread = 0;
  std::size_t m_ResumedStreams = 0;
  /// Requests in the smaller group of the comparison by time and of that by
  /// gateway, in the check of skews.
  std::size_t m_ComparedByTime = 0;
  std::size_t m_ComparedByGateway = 0;
  TimeSeries m_Requests;
  TimeSeries m_Repeats;
  std::vector<VersionArrival> m_VersionArrivals;
  std::vector<BadResponse> m_BadResponses;
  std::map<std::string, BadContent> m_BadContents;
  BackpressureChecker m_Backpressure{[this](const std::string &Description) {
    m_Violations.push_back(Description);
  }};
  std::vector<std::string> m_Violations;
  std::size_t m_LostResponses = 0;
};

} // namespace yardrill::soak

#endif
