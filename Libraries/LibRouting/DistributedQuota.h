//===-- DistributedQuota.h - Whether a request is within its account's quota
//-----===//
//
// Pure: it says whom to ask, and is told what they answered. An instance that
// reaches no owner of an account must assume that the owners grant the whole
// limit to others. So what it lets in comes from the tolerance, of which each
// instance of the fleet has its part: too small for a request, which therefore
// gets in by chance, so that the part is kept in the mean.
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

/// Where the tokens of a request came from.
enum class QuotaSource {
  None,    ///< Its account has no limit, or it was refused.
  Advance, ///< An owner had granted them earlier.
  Owner,
  Alone, ///< No owner was reached: from this instance's part of the tolerance.
};

std::string toString(QuotaSource Source);

/// One request on its way to the tokens it needs.
struct QuotaAcquisition {
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
  /// Who granted them; not set: nobody had to.
  std::optional<config::Endpoint> m_Owner;
  /// Owners that may still be asked, the next one last.
  std::vector<config::Endpoint> m_RemainingOwners;
  QuotaSource m_Source = QuotaSource::None;
  /// The shortest of the refusals.
  std::optional<core::Duration> m_RetryAfter;
};

/// What is to be done next.
enum class QuotaStep {
  Granted,
  Refused, ///< QuotaAcquisition::m_RetryAfter says when to come back.
  Ask,     ///< The last of QuotaAcquisition::m_RemainingOwners.
};

/// Tokens to be given back to an owner.
struct QuotaReturn {
  config::Endpoint m_Owner;
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

class DistributedQuota {
public:
  /// How long an owner's answer is waited for: twenty times the way between two
  /// data halls, a third of what an instance of an eighth of a core stalls for
  /// at its worst.
  static constexpr std::chrono::milliseconds ResponseTimeout{60};

  /// \param IsFullAtStart whether no quota was used yet; see QuotaOwner.
  DistributedQuota(config::Endpoint Self, const QuotaTolerance &Tolerance,
                   bool IsFullAtStart, std::uint64_t Seed)
      : m_Self(std::move(Self)), m_LocalOwner(m_Self, IsFullAtStart),
        m_Tolerance(Tolerance), m_Random(Seed) {}

  void setAccounts(std::vector<Account> Accounts, core::TimePoint Now);
  void setRing(ConsistentHashRing HashRing, core::TimePoint Now);
  /// See QuotaOwner.
  void setListConfirmed(bool IsConfirmed) {
    m_LocalOwner.setListConfirmed(IsConfirmed);
  }

  QuotaStep begin(QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// The owner that was to be asked has answered.
  QuotaStep handleResponse(QuotaAcquisition &Acquisition,
                           const QuotaResponse &Response, core::TimePoint Now);
  /// It has not, within Patience.
  QuotaStep handleTimeout(QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// Keeps what an owner granted too late, to be used or given back.
  void cacheGrant(const config::Endpoint &Owner, AccountHash Account,
                  std::uint32_t Tokens, core::TimePoint Now);
  /// Gives back the tokens of a request that did not run.
  void giveBack(const QuotaAcquisition &Acquisition, core::TimePoint Now);
  /// \returns what was kept for long without use, to be sent to its owners.
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

  /// Answers another instance.
  QuotaResponse handleRequest(const QuotaRequest &Ask, core::TimePoint Now) {
    return m_LocalOwner.handleRequest(Ask, Now);
  }

private:
  /// Tokens granted and not used yet.
  struct CachedGrant {
    config::Endpoint m_Owner;
    std::uint32_t m_Tokens = 0;
    core::TimePoint m_Since{}; ///< The oldest of them.
  };
  struct AccountState {
    std::vector<CachedGrant> m_CachedGrants;
    /// For when no owner is reached; see the top of the file.
    TokenBucket m_IsolatedBucket;
    /// Owners that refused lately, until they may have tokens again.
    std::map<config::Endpoint, core::TimePoint> m_ExhaustedUntil;
  };

  void configure(core::TimePoint Now);
  /// Of what this instance lets in without an owner.
  QuotaLimits isolatedLimits(const QuotaLimits &Limits) const;
  bool takeCachedGrant(AccountState &State, QuotaAcquisition &Acquisition);
  QuotaStep next(QuotaAcquisition &Acquisition, core::TimePoint Now);
  QuotaStep acquireIsolated(AccountState &State, QuotaAcquisition &Acquisition,
                            core::TimePoint Now);
  void recordRefusal(AccountState &State, const config::Endpoint &Owner,
                     QuotaAcquisition &Acquisition, core::Duration RetryAfter,
                     core::TimePoint Now);

  config::Endpoint m_Self;
  QuotaOwner m_LocalOwner;
  QuotaTolerance m_Tolerance;
  std::vector<Account> m_Accounts;
  ConsistentHashRing m_Ring;
  std::unordered_map<AccountHash, AccountState> m_AccountStates;
  /// Owners that did not answer, until they are asked again.
  std::map<config::Endpoint, core::TimePoint> m_UnresponsiveUntil;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::routing

#endif
