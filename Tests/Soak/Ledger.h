//===-- Ledger.h - What callers, targets and operators saw ----------------===//
//
// Every observation of a soak comes here, and every promise is checked here:
// at once where one observation shows that it is broken, at the end where it
// takes a whole window.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SOAK_LEDGER_H
#define YARDRILL_TESTS_SOAK_LEDGER_H

#include "TermsLedger.h"

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
inline constexpr std::chrono::milliseconds Contact{3000};
inline constexpr std::chrono::milliseconds ConfigurationInForce{2000};
inline constexpr std::chrono::milliseconds NoNewWork{2000};
inline constexpr std::chrono::milliseconds LossSlack{200};
/// Beyond the route's time limit.
inline constexpr std::chrono::milliseconds AnswerSlack{500};
inline constexpr std::chrono::milliseconds RollbackSlack{250};
inline constexpr std::chrono::seconds QuotaWindow{8};
inline constexpr double QuotaOvershoot = 0.1;
inline constexpr double QuotaSlack = 2800;
inline constexpr std::chrono::seconds RetryWindow{10};
inline constexpr double RetryRatio = 0.2;
inline constexpr double RetrySlack = 52;
inline constexpr double ExposureShare = 0.1;
inline constexpr double ExposureSlack = 50;
inline constexpr std::chrono::milliseconds Rollback{5000};
inline constexpr std::size_t BadAnswersThatCount = 50;
/// Ends of targets under one content, after which it is to go to none.
inline constexpr std::size_t EndsOfContent = 3;
/// Sends of it later than the contact time after that.
inline constexpr std::size_t SendsAfterEnds = 3;
/// What a target gets in this time, of the limit that it names for all.
inline constexpr std::chrono::seconds LimitWindow{4};
inline constexpr double LimitShare = 1.5;
inline constexpr double LimitSlack = 5;
/// What is on its way when a target states its terms.
inline constexpr std::chrono::milliseconds RestSlack{500};
/// To a target that asked a gateway for rest, within that.
inline constexpr std::size_t RequestsInRest = 2;
/// Part of the requests that must be served once all trouble is over.
inline constexpr double ServedAfterRecovery = 0.9;
} // namespace bounds

enum class RequestKind { NonIdempotent, Idempotent, Stream, ResumableStream };

struct QuotaTerms {
  double m_TokensPerSecond = 0;
  double m_Burst = 0;
};

/// One request of a caller.
struct Attempt {
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
  std::size_t m_Runs = 0;
  bool m_IsProbe = false; ///< Of the configuration: 404 may be right.
  /// A target it came to broke off, failed or was disturbed.
  bool m_HasTargetTrouble = false;
  std::optional<unsigned> m_Status; ///< Of a refusal or a whole answer.

  bool isRetryable() const {
    return m_Kind == RequestKind::Idempotent ||
           m_Kind == RequestKind::ResumableStream;
  }
};

/// An order of the operator, as it went.
struct RolloutTerms {
  std::string m_Pool;
  std::string m_Version;
  bool m_IsBad = false;
  TimePoint m_OrderedAt;
  TimePoint m_Deadline;
};

/// Something counted at a moment.
struct Mark {
  TimePoint m_At;
  double m_Amount = 1;
};

class Ledger {
public:
  using Hook = std::function<TimePoint()>;

  explicit Ledger(std::size_t Gateways, Hook Now = Clock::now)
      : m_Now(std::move(Now)), m_Gateways(Gateways) {}

  // Trouble, which may overlap: of a gateway's process, of its way to the
  // store, and of the store itself.
  void processTrouble(std::size_t Gateway, bool Begins);
  /// A new process runs there.
  void restarted(std::size_t Gateway) { m_Terms.forget(Gateway); }
  void pathTrouble(std::size_t Gateway, bool Begins);
  void storeTrouble(bool Begins);
  /// A planned stop has begun (or its process is gone, with false).
  void setStopping(std::size_t Gateway, bool IsStopping);
  /// Whether no trouble touched the gateway since \p Since, nor for the contact
  /// time before.
  bool isInTouchSince(std::size_t Gateway, TimePoint Since) const;

  // What callers see.
  void sent(Attempt What);
  void answered(const std::string &Id, unsigned Status);
  /// The connection ended, or the time was over, without a whole answer.
  void unanswered(const std::string &Id, const std::string &How);
  /// An answer that is not the request's own, or not whole, but looks so.
  void wrongAnswer(const std::string &Id, const std::string &How);

  // What targets see.
  void arrived(const std::string &Id, const std::string &Target,
               std::optional<TimePoint> LeavingSince);
  /// \param Run of the target.
  void arrivedAtRun(const std::string &Id, const std::string &Run);
  /// The answer to it said so.
  void stated(const std::string &Id, const std::string &Run,
              const TargetStatement &What);
  /// The target's run names that limit in all answers from now on.
  void limited(const std::string &Run, std::optional<double> PerSecond) {
    m_Terms.limited(Run, PerSecond, m_Now());
  }
  void ran(const std::string &Id);
  void targetTrouble(const std::string &Id);
  /// A target ends under a request of that content.
  void endedUnder(const std::string &Content);
  /// A request came to a target of that version.
  void arrivedAt(const std::string &Id, const std::string &Pool,
                 const std::string &Version);
  void answeredBadly(const std::string &Pool, const std::string &Version);
  /// Checks a roll-out once its deadline is over.
  void checkRollout(const RolloutTerms &Terms);
  /// Whether no trouble at all touched anything since.
  bool isCalmSince(TimePoint Since) const;

  void broken(const std::string &Rule, const std::string &What);
  void setQuota(const std::string &Account, const QuotaTerms &Terms) {
    m_Quotas[Account] = Terms;
  }
  /// Checks what takes whole windows. \param CalmSince when all trouble ended.
  void finish(TimePoint CalmSince);

  const std::vector<std::string> &violations() const { return m_Violations; }
  std::string summary() const;

private:
  struct Trouble {
    int m_Open = 0;
    TimePoint m_EndedAt;

    void change(bool Begins, TimePoint Now);
    bool isOverSince(TimePoint Since) const {
      return m_Open == 0 && m_EndedAt + bounds::Contact <= Since;
    }
  };
  using Marks = std::vector<Mark>;

  void checkQuotas();
  void checkRetries();
  void checkRecovery(TimePoint CalmSince);
  void checkContents();
  Attempt *find(const std::string &Id);

  /// A request that came to a target of some version.
  struct VersionMark {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
    bool m_IsInTouch = false; ///< The gateway that sent it.
  };
  struct BadMark {
    TimePoint m_At;
    std::string m_Pool;
    std::string m_Version;
  };

  /// What targets saw of a content that ends them.
  struct BadContent {
    std::vector<TimePoint> m_Ends;
    std::vector<TimePoint> m_Arrivals; ///< From gateways in touch.
  };

  struct Gateway {
    Trouble m_Process;
    Trouble m_Path;
    bool m_IsStopping = false;
  };

  Hook m_Now;
  std::vector<Gateway> m_Gateways;
  Trouble m_Store;
  std::map<std::string, Attempt> m_Attempts;
  std::map<std::string, QuotaTerms> m_Quotas;
  std::map<std::string, Marks> m_TokensRun; ///< By account.
  Marks m_Requests;
  Marks m_Repeats;
  std::vector<VersionMark> m_AtVersions;
  std::vector<BadMark> m_BadAnswers;
  std::map<std::string, BadContent> m_BadContents;
  TermsLedger m_Terms{
      [this](const std::string &What) { m_Violations.push_back(What); }};
  std::vector<std::string> m_Violations;
  std::size_t m_Unanswered = 0;
};

} // namespace yardrill::soak

#endif
