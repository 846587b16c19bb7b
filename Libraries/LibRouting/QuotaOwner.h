//===-- QuotaOwner.h - The quotas that one instance keeps for all ---------===//
//
// Pure. Each account has up to three owners, the same ones wherever the list of
// instances is the same; each keeps its part of the account's rate and burst,
// and every instance asks one of them before it lets a request in.
//
// An owner lets a request in while it holds anything, and shares the debt with
// the other owners: each that takes its part relieves it. So what all instances
// let in, in any time t, stays below
//   rate x t + burst                  whatever was refilled and held
//   + one request                     the debt that all owners are in; one more
//                                     for each that grants before it is told
//   + burst / 8                       tokens granted in advance
//   + for each start of an owner, its part of the debt
// and nothing depends on who else lives, is cut off, or is known to whom. What
// instances do that reach no owner is bounded by DistributedQuota.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_QUOTAOWNER_H
#define YARDRILL_LIBROUTING_QUOTAOWNER_H

#include "LibRouting/ConsistentHashRing.h"
#include "LibRouting/RoutingTable.h"
#include "LibRouting/TokenBucket.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace yardrill::routing {

/// How an account is named between instances: the low half of stableHash() of
/// its name.
using AccountHash = std::uint32_t;

AccountHash hashOf(const core::AccountName &Account);

/// What a deployment allows above rate x window + burst.
struct QuotaTolerance {
  double m_Share = 0;  ///< Of rate x window + burst.
  double m_Tokens = 0; ///< And these.
  core::Duration m_Window = std::chrono::seconds(8);

  /// Tokens, for one account.
  double tokens(const QuotaLimits &Limits) const;
};

struct QuotaRequest {
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;   ///< 0: none, it only gives back.
  std::uint32_t m_Returned = 0; ///< Granted earlier and not used.
};

/// Part of a debt that another owner of the account should take over.
struct QuotaCharge {
  config::Endpoint m_Owner;
  AccountHash m_Account = 0;
  std::uint32_t m_Tokens = 0;
};

enum class QuotaVerdict : std::uint8_t {
  Granted,
  Refused,
  NotOwner, ///< Or it has no configuration yet.
};

struct QuotaResponse {
  QuotaVerdict m_Verdict = QuotaVerdict::NotOwner;
  /// Granted; where there is plenty, more than was asked for.
  std::uint32_t m_Tokens = 0;
  core::Duration m_RetryAfter{}; ///< Of a refusal.
};

class QuotaOwner {
public:
  /// \param IsFullAtStart whether buckets start full, since nothing was drawn
  /// yet.
  QuotaOwner(const config::Endpoint &Self, bool IsFullAtStart)
      : m_Self(Self), m_IsFullAtStart(IsFullAtStart) {}

  /// Takes over what is new, forgets what is no longer this instance's.
  void configure(const std::vector<Account> &Accounts,
                 const ConsistentHashRing &HashRing, core::TimePoint Now);
  /// Whether this instance would hear of a change of the list of owners. While
  /// it would not, it owns nothing: another may own the same by a newer list.
  void setListConfirmed(bool IsConfirmed) { m_IsListConfirmed = IsConfirmed; }
  QuotaResponse handleRequest(const QuotaRequest &Request, core::TimePoint Now);

  /// \returns parts of debts made since the last call, to be sent to the other
  /// owners. Until one has taken its part, it counts here.
  std::vector<QuotaCharge> takeCharges() {
    return std::exchange(m_Charges, {});
  }
  /// Takes over a part of another owner's debt. \returns whether it did.
  bool charge(AccountHash Account, std::uint32_t Tokens, core::TimePoint Now);
  /// Another owner has taken over \p Tokens.
  void settleCharge(AccountHash Account, std::uint32_t Tokens,
                    core::TimePoint Now);

private:
  struct Bucket {
    TokenBucket m_Tokens;
    TokenBucket m_Advance; ///< What may still be granted in advance.
    std::vector<config::Endpoint> m_Others; ///< Owners.
  };

  void shareDebt(AccountHash Account, Bucket &Quota, core::TimePoint Now);
  /// Of a bucket that was not here before.
  double initialLevel(const QuotaLimits &Limits, double Share) const;

  config::Endpoint m_Self;
  bool m_IsFullAtStart;
  bool m_IsListConfirmed = true;
  bool m_WasConfigured = false; ///< It was configured with others on the ring.
  std::unordered_map<AccountHash, Bucket> m_Buckets;
  std::vector<QuotaCharge> m_Charges;
};

} // namespace yardrill::routing

#endif
