//===-- DistributedQuota.h - Acquires quota for the requests of accounts --===//
//
// The quota service of the gateway sends the requests to owners that this class
// selects, and passes it their responses; the class performs no I/O itself.
//
// An isolated instance, which reaches no owner of an account, has to assume
// that the owners grant the whole limit to other instances. It may only use its
// equal share of the account's tolerance. Such a share is smaller than one
// request, so requests are admitted at random such that the share is met on
// average. Where shares may be divided between lost owners and their
// successors, these use up the tolerance, and nothing is admitted.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_DISTRIBUTEDQUOTA_H
#define YARDRILL_LIBROUTING_DISTRIBUTEDQUOTA_H

#include "LibRouting/QuotaOwner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// Source of the tokens that a request was granted.
enum class QuotaSource {
  None,    ///< The account has no limit, or an owner refused the request.
  Advance, ///< A cached grant.
  Owner,   ///< A grant for this request.
  /// This instance's share of the tolerance, because no owner was reached. Also
  /// if that share did not suffice and the request was refused.
  Isolated,
};

std::string toString(QuotaSource Source);

/// Unused tokens to be returned to an owner.
struct QuotaReturn {
  config::Endpoint m_Owner;
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

/// State of acquiring the tokens for one request.
struct QuotaAcquisition {
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
  /// Number of owners that have to grant an equal part each.
  std::uint32_t m_PartCount = 1;
  /// Parts that were granted; complete if there are m_PartCount.
  std::vector<QuotaReturn> m_Parts;
  /// Owner that granted the tokens, or their last part; not set if none did.
  std::optional<config::Endpoint> m_Owner;
  /// Owners that may still be asked; the next one is last.
  std::vector<config::Endpoint> m_RemainingOwners;
  QuotaSource m_Source = QuotaSource::None;
  /// Shortest retry time of all refusals.
  std::optional<core::Duration> m_RetryAfter;

  /// Returns the tokens to ask the next owner for.
  std::uint32_t partTokens() const {
    return (m_Tokens + m_PartCount - 1) / m_PartCount;
  }
};

/// Next step of an acquisition.
enum class QuotaStep {
  Granted,
  Refused, ///< QuotaAcquisition::m_RetryAfter holds the time until a retry.
  Ask,     ///< Ask the last of QuotaAcquisition::m_RemainingOwners.
};

/// Acquires quota from owner instances, and owns quotas for other instances.
///
/// Every account has a few owners, each with its share of the limit. A request
/// asks the local one first and the others in random order, until one grants
/// its tokens or all refuse. An owner may grant more than it has and owes the
/// rest. A request that could use up the tolerance in this way needs equal
/// parts from a majority of the owners, so that owners that don't reach each
/// other can't all owe for such requests.
class DistributedQuota {
public:
  /// Time to wait for an owner's response: twenty times the latency between two
  /// data halls, and a third of the longest stall of an instance with an eighth
  /// of a core.
  static constexpr std::chrono::milliseconds ResponseTimeout{60};

  /// \param IsFullAtStart see QuotaOwner.
  DistributedQuota(config::Endpoint Self, const QuotaTolerance &Tolerance,
                   bool IsFullAtStart, std::uint64_t Seed)
      : m_Self(std::move(Self)), m_LocalOwner(m_Self, IsFullAtStart, Tolerance),
        m_Tolerance(Tolerance), m_Random(Seed) {}

  void setAccounts(std::vector<Account> Accounts, core::TimePoint Now);
  void setRing(QuotaRings Rings, core::TimePoint Now);
  /// See QuotaOwner.
  void setEvidence(OwnershipEvidence Evidence) {
    m_LocalOwner.setEvidence(Evidence);
  }
  void setLease(bool IsRunning, core::TimePoint Now) {
    m_HasLease = IsRunning;
    m_LocalOwner.setLease(IsRunning, Now);
  }

  /// Starts an acquisition; m_Account and m_Tokens must be set.
  QuotaStep begin(QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// Continues an acquisition with the response of the owner that was asked.
  QuotaStep handleResponse(QuotaAcquisition &Acquisition,
                           const QuotaResponse &Response, core::TimePoint Now);
  /// Continues an acquisition whose owner did not respond in ResponseTimeout.
  QuotaStep handleTimeout(QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// Stores tokens that an owner granted beyond a request, or too late for it,
  /// for later requests of the account.
  void cacheGrant(const config::Endpoint &Owner, AccountHash Account,
                  std::uint32_t Tokens, core::TimePoint Now);
  /// Releases the tokens of a request that did not run.
  void giveBack(const QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// Removes cached grants that have not been used for long. \returns those to
  /// be returned to other instances.
  std::vector<QuotaReturn> takeUnusedGrants(core::TimePoint Now);

  /// See QuotaOwner.
  std::vector<QuotaCharge> takeCharges() { return m_LocalOwner.takeCharges(); }
  bool charge(AccountHash Account, std::uint32_t Tokens, core::TimePoint Now) {
    return m_LocalOwner.charge(Account, Tokens, Now);
  }
  void settleCharge(AccountHash Account, std::uint32_t Tokens,
                    core::TimePoint Now) {
    m_LocalOwner.settleCharge(Account, Tokens, Now);
  }

  /// Handles a request of another instance; see QuotaOwner.
  QuotaResponse handleRequest(const QuotaRequest &Request,
                              core::TimePoint Now) {
    return m_LocalOwner.handleRequest(Request, Now);
  }

private:
  /// Tokens that an owner granted and no request has used.
  struct CachedGrant {
    config::Endpoint m_Owner;
    std::uint32_t m_Tokens = 0;
    core::TimePoint m_Since{}; ///< Time of the oldest grant.
  };
  struct AccountState {
    std::vector<CachedGrant> m_CachedGrants;
    double m_MaxUndivided = 0; ///< Tokens; larger requests are divided.
    /// The same while shares may be divided between lost owners and successors.
    double m_MaxUndividedOfPart = 0;
    /// Share of the tolerance that is used while isolated.
    TokenBucket m_IsolatedBucket;
    /// Owners that refused, with the time until which they are not asked.
    std::map<config::Endpoint, core::TimePoint> m_ExhaustedUntil;
  };

  void configure(core::TimePoint Now);
  /// Whether owners may hold only parts of their shares of the account.
  bool mayBeDivided(AccountHash Account) const {
    return !m_HasLease || m_Rings.isDivided(Account);
  }
  /// Returns this instance's share of the tolerance for an account with the
  /// given limits. Instances that own no quotas have a share, too.
  QuotaLimits isolatedLimits(const QuotaLimits &Limits) const;
  bool takeCachedGrant(AccountState &State, QuotaAcquisition &Acquisition);
  /// Whether a few requests of this size would exceed the account's tolerance.
  bool isLarge(const QuotaAcquisition &Acquisition,
               const AccountState &State) const;
  /// Caches the parts of a request that did not get all of them, so that they
  /// are used by others or returned.
  void releaseParts(QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// Asks the local owner or selects the next remote one.
  QuotaStep next(QuotaAcquisition &Acquisition, core::TimePoint Now);
  QuotaStep acquireIsolated(AccountState &State, QuotaAcquisition &Acquisition,
                            core::TimePoint Now);
  void recordRefusal(AccountState &State, const config::Endpoint &Owner,
                     QuotaAcquisition &Acquisition, core::Duration RetryAfter,
                     core::TimePoint Now);

  config::Endpoint m_Self;
  QuotaOwner m_LocalOwner;
  QuotaTolerance m_Tolerance;
  bool m_HasLease = true; ///< See QuotaOwner::setLease().
  std::vector<Account> m_Accounts;
  QuotaRings m_Rings{ConsistentHashRing()};
  std::unordered_map<AccountHash, AccountState> m_AccountStates;
  /// Owners that did not respond, with the time until which they are not asked.
  std::map<config::Endpoint, core::TimePoint> m_UnresponsiveUntil;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::routing

#endif
