//===-- Ledger.h - What callers, targets and operators saw ----------------===//
//
// Every observation of a soak comes here, and every promise is checked here:
// at once where one observation shows that it is broken, at the end where it
// takes a whole window.
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

/// The bounds that the promises are held to; as the platform states them.
namespace bounds {
/// Without trouble for so long, an instance is bound by rules with a time.
inline constexpr std::chrono::milliseconds SettleTime{3000};
inline constexpr std::chrono::milliseconds ConfigurationApplyTime{2000};
inline constexpr std::chrono::milliseconds LeavingGracePeriod{2000};
inline constexpr std::chrono::milliseconds EarlyLossSlack{200};
/// Beyond the route's time limit.
inline constexpr std::chrono::milliseconds ResponseSlack{500};
inline constexpr std::chrono::milliseconds RollbackSlack{250};
inline constexpr std::chrono::seconds QuotaWindow{8};
inline constexpr double QuotaOvershoot = 0.1;
inline constexpr double QuotaSlack = 2800;
inline constexpr std::chrono::seconds RetryWindow{10};
inline constexpr double RetryRatio = 0.2;
inline constexpr double RetrySlack = 52;
inline constexpr double CanaryShare = 0.1;
inline constexpr double CanarySlack = 50;
inline constexpr std::chrono::milliseconds RollbackTime{5000};
inline constexpr std::size_t BadResponsesForRollback = 50;
/// Ends of targets under one content, after which it is to go to none.
inline constexpr std::size_t ExitsForQuarantine = 3;
/// Sends of it later than the contact time after that.
inline constexpr std::size_t MaxSendsInQuarantine = 3;
/// What a target gets in this time, of the limit that it names for all.
inline constexpr std::chrono::seconds LimitWindow{4};
inline constexpr double LimitFactor = 1.5;
inline constexpr double LimitSlack = 5;
/// What is on its way when a target states its terms.
inline constexpr std::chrono::milliseconds BackpressureSlack{500};
/// To a target that asked a gateway for rest, within that.
inline constexpr std::size_t MaxRequestsInBackoff = 2;
/// Part of the requests that must be served once all trouble is over.
inline constexpr double MinServedAfterRecovery = 0.9;
} // namespace bounds

enum class RequestKind { NonIdempotent, Idempotent, Stream, ResumableStream };

struct AccountQuota {
  double m_TokensPerSecond = 0;
  double m_Burst = 0;
};

/// One request of a caller.
struct SentRequest {
  std::string m_Id;
  RequestKind m_Kind = RequestKind::NonIdempotent;
  std::size_t m_Gateway = 0;
  std::string m_Account;
  /// Of a request that ends its targets: all attempts alike. Empty: no other
  /// attempt has its content.
  std::string m_Content;
  double m_Tokens = 0;
  TimePoint m_SentAt;
  std::chrono::milliseconds m_TimeLimit{};
  std::size_t m_Arrivals = 0;
  std::size_t m_Executions = 0;
  bool m_IsProbe = false; ///< Of the configuration: 404 may be right.
  /// A target it came to broke off, failed or was disturbed.
  bool m_IsTargetDisturbed = false;
  std::optional<unsigned> m_Status; ///< Of a refusal or a whole answer.

  bool isRetryable() const {
    return m_Kind == RequestKind::Idempotent ||
           m_Kind == RequestKind::ResumableStream;
  }
};

/// An order of the operator, as it went.
struct RolloutOrder {
  std::string m_Pool;
  std::string m_Version;
  bool m_IsBad = false;
  TimePoint m_OrderedAt;
  TimePoint m_Deadline;
};

/// Something counted at a moment.
struct DataPoint {
  TimePoint m_At;
  double m_Amount = 1;
};

class InvariantChecker {
public:
  using NowFunction = std::function<TimePoint()>;

  explicit InvariantChecker(std::size_t Gateways, NowFunction Now = Clock::now)
      : m_Now(std::move(Now)), m_Gateways(Gateways) {}

  // Trouble, which may overlap: of a gateway's process, of its way to the
  // store, and of the store itself.
  void noteProcessDisturbance(std::size_t Gateway, bool Begins);
  /// A new process runs there.
  void gatewayRestarted(std::size_t Gateway) { m_Backpressure.forget(Gateway); }
  void noteStorePathDisturbance(std::size_t Gateway, bool Begins);
  void noteStoreDisturbance(bool Begins);
  /// A planned stop has begun (or its process is gone, with false).
  void setStopping(std::size_t Gateway, bool IsStopping);
  /// Whether no trouble touched the gateway since \p Since, nor for the contact
  /// time before.
  bool isUndisturbedSince(std::size_t Gateway, TimePoint Since) const;

  // What callers see.
  void requestSent(SentRequest What);
  void responseReceived(const std::string &Id, unsigned Status);
  /// The connection ended, or the time was over, without a whole answer.
  void responseLost(const std::string &Id, const std::string &How);
  /// An answer that is not the request's own, or not whole, but looks so.
  void wrongResponse(const std::string &Id, const std::string &How);

  // What targets see.
  void requestArrived(const std::string &Id, const std::string &Target,
                      std::optional<TimePoint> LeavingSince);
  /// \param Run of the target.
  void arrivedAtIncarnation(const std::string &Id,
                            const std::string &Incarnation);
  /// The answer to it said so.
  void backpressureStated(const std::string &Id, const std::string &Incarnation,
                          const ResponseBackpressure &What);
  /// The target's run names that limit in all answers from now on.
  void rateLimitChanged(const std::string &Incarnation,
                        std::optional<double> PerSecond) {
    m_Backpressure.rateLimitChanged(Incarnation, PerSecond, m_Now());
  }
  void requestExecuted(const std::string &Id);
  void noteTargetDisturbance(const std::string &Id);
  /// A target ends under a request of that content.
  void targetExited(const std::string &Content);
  /// A request came to a target of that version.
  void arrivedAtVersion(const std::string &Id, const std::string &Pool,
                        const std::string &Version);
  void badResponseSent(const std::string &Pool, const std::string &Version);
  /// Checks a roll-out once its deadline is over.
  void checkRollout(const RolloutOrder &Order);
  /// Whether no trouble at all touched anything since.
  bool isFleetUndisturbedSince(TimePoint Since) const;

  void addViolation(const std::string &Rule, const std::string &What);
  void setQuota(const std::string &Account, const AccountQuota &Quota) {
    m_Quotas[Account] = Quota;
  }
  /// Checks what takes whole windows. \param RecoveredAt when all trouble
  /// ended.
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
  using TimeSeries = std::vector<DataPoint>;

  void checkQuotas();
  void checkRetries();
  void checkRecovery(TimePoint RecoveredAt);
  void checkQuarantine();
  SentRequest *findRequest(const std::string &Id);

  /// A request that came to a target of some version.
  struct VersionArrival {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
    bool m_IsGatewayUndisturbed = false; ///< The gateway that sent it.
  };
  struct BadResponse {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
  };

  /// What targets saw of a content that ends them.
  struct BadContent {
    std::vector<TimePoint> m_Exits;
    std::vector<TimePoint> m_Arrivals; ///< From gateways in touch.
  };

  struct Gateway {
    Disturbance m_Process;
    Disturbance m_StorePath;
    bool m_IsStopping = false;
  };

  NowFunction m_Now;
  std::vector<Gateway> m_Gateways;
  Disturbance m_Store;
  std::map<std::string, SentRequest> m_SentRequests;
  std::map<std::string, AccountQuota> m_Quotas;
  std::map<std::string, TimeSeries> m_ExecutedTokens; ///< By account.
  TimeSeries m_Requests;
  TimeSeries m_Repeats;
  std::vector<VersionArrival> m_VersionArrivals;
  std::vector<BadResponse> m_BadResponses;
  std::map<std::string, BadContent> m_BadContents;
  BackpressureChecker m_Backpressure{
      [this](const std::string &What) { m_Violations.push_back(What); }};
  std::vector<std::string> m_Violations;
  std::size_t m_LostResponses = 0;
};

} // namespace yardrill::soak

#endif
