//===-- RoutingTable.h - Which request goes to which pool, and for whom ---===//
#ifndef YARDRILL_LIBROUTING_ROUTINGTABLE_H
#define YARDRILL_LIBROUTING_ROUTINGTABLE_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// Who is served first: the client account's tier decides, and between those
/// of one tier the route's.
struct Priority {
  core::TierNumber m_Account{1};
  core::TierNumber m_Route{1};

  bool operator==(const Priority &Other) const {
    return m_Account == Other.m_Account && m_Route == Other.m_Route;
  }
  /// The higher rank comes first.
  bool operator<(const Priority &Other) const {
    return m_Account == Other.m_Account ? m_Route < Other.m_Route
                                        : m_Account < Other.m_Account;
  }
};

enum class RouteKind {
  Idempotent,    ///< A request may run more than once.
  NonIdempotent, ///< A request runs at most once.
  Stream,        ///< The answer is a stream of events (text/event-stream).
};

struct WeightedPool {
  core::PoolName m_Pool;
  std::uint32_t m_Weight = 1;
};

struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; ///< Of the path; begins and ends with a slash.
  /// Of host and prefix, set by the table's builder: the same in all versions.
  std::uint32_t m_Hash = 0;
  RouteKind m_Kind = RouteKind::NonIdempotent;
  core::Duration m_Timeout{}; ///< Longest time until the answer's end.
  core::Duration m_FirstByteObjective{}; ///< Of the first byte; zero: none.
  core::Duration m_MaxEventGap{}; ///< Between events of a stream; zero: none.
  core::TierNumber m_Tier{1};
  std::vector<WeightedPool> m_Pools; ///< Not empty.
  unsigned m_MaxAttempts = 1;        ///< That may run one request.
  bool m_IsPublic = false;           ///< Needs no key.
  bool m_IsResumable = false;        ///< A stream may go on at another target.

  /// Whether a request that may have run can be sent to another target.
  bool isRetryable() const {
    return m_Kind == RouteKind::Idempotent ||
           (m_Kind == RouteKind::Stream && m_IsResumable);
  }
  /// \param Point uniformly distributed.
  const core::PoolName &choosePool(std::uint64_t Point) const;
};

struct Pool {
  core::PoolName m_Name;
  std::size_t m_MaxConnections = 0; ///< Of a target, from all instances.
  bool m_IsInference = false;       ///< Its targets batch and stream tokens.
  double m_TokensPerEvent = 1;      ///< Of a model's streams.
};

struct Account {
  core::AccountName m_Name;
  std::vector<std::string> m_Keys;
  core::TierNumber m_Tier{0};   ///< Goes before the route's; 0: it has none.
  double m_TokensPerSecond = 0; ///< Over all instances; 0: no limit.
  double m_Burst = 0;
  std::uint32_t m_DefaultTokens = 1; ///< Charged when a request names no size.
};

/// What a caller may send.
struct CallerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 4194304;
  core::Duration m_HeaderTimeout = std::chrono::seconds(3);
  core::Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// One accepted configuration; immutable.
class RoutingTable {
public:
  class Builder;

  core::ConfigurationVersion version() const { return m_Version; }
  /// \returns the route with the longest prefix of \p Path at \p Host, or null.
  /// \param Path without its query.
  const Route *findRoute(const std::string &Host,
                         const std::string &Path) const;
  const Account *findAccountByKey(const std::string &Key) const;
  const Pool *findPool(const core::PoolName &Name) const;
  const std::unordered_map<core::PoolName, Pool> &pools() const {
    return m_Pools;
  }
  const std::vector<Account> &accounts() const { return m_Accounts; }
  /// Whether requests on routes that are not public need a key.
  bool hasAccounts() const { return !m_Accounts.empty(); }
  const CallerLimits &limits() const { return m_Limits; }

private:
  core::ConfigurationVersion m_Version;
  std::vector<Account> m_Accounts;
  CallerLimits m_Limits;
  std::unordered_map<std::string, std::vector<Route>> m_RoutesByHost;
  std::unordered_map<std::string, std::size_t> m_AccountByKey;
  std::unordered_map<core::PoolName, Pool> m_Pools;
};

class RoutingTable::Builder {
public:
  Builder &version(core::ConfigurationVersion Version);
  Builder &route(Route What);
  Builder &pool(Pool What);
  Builder &account(Account What);
  Builder &limits(const CallerLimits &Limits);
  std::shared_ptr<const RoutingTable> build();

private:
  RoutingTable m_Table;
};

using RoutingTableHandle = std::shared_ptr<const RoutingTable>;

} // namespace yardrill::routing

#endif
