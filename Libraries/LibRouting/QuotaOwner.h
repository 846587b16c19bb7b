//===-- QuotaOwner.h - Quotas that one instance owns for the fleet --------===//
//
// Each account has up to three owners, which all instances with the same
// membership derive alike. Each owner holds its share of the account's rate and
// burst, and every instance asks one of them before it admits a request. The
// class performs no I/O.
//
// An owner grants a request of any size while its bucket level is above zero,
// and transfers parts of the resulting debt to the other owners. The tokens
// granted in any time t therefore stay below
//   rate x t + burst                  refill and initial level
//   + one request                     debt of all owners together; one more for
//                                     each owner that grants before a charge
//                                     arrives
//   + burst / 8                       tokens granted in advance
//   + an owner's share of the debt    for each restart of an owner
// whichever instances are running, isolated or known to each other. Requests
// that reach no owner are bounded by DistributedQuota.
//
// An owner whose lease has ended may have a successor, of which it can't know.
// Both grant by QuotaTolerance::dividedLimits() then.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_QUOTAOWNER_H
#define YARDRILL_LIBROUTING_QUOTAOWNER_H

#include "LibRouting/QuotaRings.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TokenBucket.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yardrill::routing {

/// Identifies an account in messages: the low half of stableHash() of its name.
using AccountHash = std::uint32_t;

AccountHash hashOf(const core::AccountName &Account);

/// Excess over rate x window + burst that a deployment allows in each window.
struct QuotaTolerance {
  double m_Share = 0;  ///< Share of rate x window + burst.
  double m_Tokens = 0; ///< Constant number of tokens in addition.
  core::Duration m_Window = std::chrono::seconds(8);

  /// Returns the tolerance in tokens for an account with the given limits.
  double tokens(const QuotaLimits &Limits) const;
  /// Returns the limits of each of two groups of owners that don't know of each
  /// other. Both together grant what is tolerated in any window, if neither
  /// owes more than dividedDebt().
  QuotaLimits dividedLimits(const QuotaLimits &Limits) const;
  /// Returns the tokens that one of these groups may owe.
  double dividedDebt(const QuotaLimits &Limits) const;
};

/// Request of an instance to an owner.
struct QuotaRequest {
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;   ///< Wanted tokens; 0 to return tokens only.
  std::uint32_t m_Returned = 0; ///< Unused tokens of earlier grants.
};

/// Part of a debt to be taken over by another owner of the account.
struct QuotaCharge {
  config::Endpoint m_Owner;
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

enum class QuotaVerdict : std::uint8_t {
  Granted,
  Refused,
  /// Does not own the account, is not configured yet, or lacks evidence that it
  /// still owns the account.
  NotOwner,
};

/// Response of an owner.
struct QuotaResponse {
  QuotaVerdict m_Verdict = QuotaVerdict::NotOwner;
  /// Granted tokens. More than requested if the bucket is well filled, so that
  /// the instance can serve later requests from them.
  std::uint32_t m_Tokens = 0;
  core::Duration m_RetryAfter{}; ///< Time until a retry, if refused.
};

/// Evidence that no other instance has taken over a share of this one by a
/// newer list of owners.
enum class OwnershipEvidence : std::uint8_t {
  None, ///< The owners may have changed.
  /// The store is not reached, and most witnesses of this instance know of no
  /// newer membership. Shares that a pending change takes away may be lost.
  Witnesses,
  Store, ///< A change of the owners would be received from the store.
};

std::string toString(OwnershipEvidence Evidence);

/// Holds this instance's shares of account quotas and grants tokens from them.
class QuotaOwner {
public:
  /// \param IsFullAtStart whether buckets start full. Only for a fleet that has
  /// granted nothing before.
  QuotaOwner(const config::Endpoint &Self, bool IsFullAtStart,
             const QuotaTolerance &Tolerance = {})
      : m_Self(Self), m_IsFullAtStart(IsFullAtStart), m_Tolerance(Tolerance) {}

  /// Creates buckets for accounts that this instance newly owns, updates the
  /// limits of the others, and drops those it no longer owns.
  void configure(const std::vector<Account> &Accounts, const QuotaRings &Rings,
                 core::TimePoint Now);
  /// Sets the evidence without which shares grant nothing, because another
  /// instance may own them by a newer list.
  void setEvidence(OwnershipEvidence Evidence) { m_Evidence = Evidence; }
  /// Sets whether this instance's lease runs. Without it, another instance may
  /// have succeeded this one, and a share grants only a part; one that is
  /// partial already grants nothing.
  void setLease(bool IsRunning, core::TimePoint Now);
  /// Takes back the returned tokens, then grants or refuses the wanted ones.
  QuotaResponse handleRequest(const QuotaRequest &Request, core::TimePoint Now);

  /// Returns the charges made since the last call, to be sent to other owners.
  /// The debt stays here until settleCharge().
  std::vector<QuotaCharge> takeCharges() {
    return std::exchange(m_Charges, {});
  }
  /// Takes over a part of another owner's debt. \returns false if this instance
  /// does not own the account or lacks evidence that it still does.
  bool charge(AccountHash Account, std::uint32_t Tokens, core::TimePoint Now);
  /// Reduces the debt by \p Tokens that another owner has taken over.
  void settleCharge(AccountHash Account, std::uint32_t Tokens,
                    core::TimePoint Now);

private:
  struct Bucket {
    TokenBucket m_Tokens;
    TokenBucket m_Advance; ///< Tokens that may be granted in advance.
    std::vector<config::Endpoint> m_Others; ///< Other owners of the account.
    QuotaShare m_Share;
    QuotaLimits m_Whole;      ///< Limits of the whole share.
    QuotaLimits m_Divided;    ///< Limits of a part of it.
    double m_DividedDebt = 0; ///< Largest debt in tokens of a part of it.
  };

  /// Whether only a part of the share is held.
  bool isDivided(const Bucket &Quota) const {
    return Quota.m_Share.m_IsPartial || !m_HasLease;
  }
  /// Returns the level in tokens at which a request for \p Tokens is granted: a
  /// part of a share may owe little, but grants any request once it is full.
  double neededLevel(const Bucket &Quota, std::uint32_t Tokens) const;

  /// Applies the limits of the whole share, or of a part of it.
  void applyLimits(Bucket &Quota, core::TimePoint Now) const;
  /// Whether there is evidence that no other instance holds this share.
  bool isHeld(const Bucket &Quota) const;
  /// Queues charges that divide a debt evenly over all owners, unless they
  /// would be too small.
  void shareDebt(AccountHash Account, Bucket &Quota, core::TimePoint Now);
  /// Returns the initial level of a new bucket in tokens.
  /// \param Limits of the whole share.
  double initialLevel(const QuotaLimits &Limits, const QuotaShare &Share) const;

  config::Endpoint m_Self;
  bool m_IsFullAtStart;
  QuotaTolerance m_Tolerance;
  OwnershipEvidence m_Evidence = OwnershipEvidence::Store;
  bool m_HasLease = true;
  bool m_WasConfigured = false; ///< Accounts and membership were set.
  std::unordered_map<AccountHash, Bucket> m_Buckets;
  std::vector<QuotaCharge> m_Charges;
};

} // namespace yardrill::routing

#endif
