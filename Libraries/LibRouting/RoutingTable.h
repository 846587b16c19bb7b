//===-- RoutingTable.h - Routes, pools and accounts of a configuration ----===//
#ifndef YARDRILL_LIBROUTING_ROUTINGTABLE_H
#define YARDRILL_LIBROUTING_ROUTINGTABLE_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// Priority of a request: compared first by the tier of its client account,
/// then by that of its route.
struct Priority {
  /// Tier of the account, or of the route if the account has none.
  core::TierNumber m_Account{1};
  core::TierNumber m_Route{1};

  bool operator==(const Priority &Other) const {
    return m_Account == Other.m_Account && m_Route == Other.m_Route;
  }
  /// Orders higher priorities first.
  bool operator<(const Priority &Other) const {
    return m_Account == Other.m_Account ? m_Route < Other.m_Route
                                        : m_Account < Other.m_Account;
  }
};

enum class RouteKind {
  Idempotent,    ///< A request may run more than once.
  NonIdempotent, ///< A request runs at most once.
  Stream,        ///< The response is an event stream (text/event-stream).
};

/// Regions in which a request may run; none: in all.
using AllowedRegions = std::optional<std::set<core::RegionName>>;

/// Returns the regions that both allow.
AllowedRegions intersection(const AllowedRegions &A, const AllowedRegions &B);

/// Pool of a route, with its share of the route's requests.
struct WeightedPool {
  core::PoolName m_Pool;
  std::uint32_t m_Weight = 1;
};

/// Maps requests by host and path prefix to pools, with limits and retry rules.
struct Route {
  std::string m_Name;
  std::string m_Host;
  std::string m_Prefix; ///< Path prefix; begins and ends with a slash.
  /// Hash of host and prefix, set by the builder. It does not depend on the
  /// version of the configuration.
  std::uint32_t m_Hash = 0;
  RouteKind m_Kind = RouteKind::NonIdempotent;
  core::Duration m_Timeout{}; ///< Maximum time until the response is complete.
  core::Duration m_FirstByteObjective{}; ///< Zero: none.
  core::Duration m_MaxEventGap{}; ///< Between events of a stream; zero: none.
  core::TierNumber m_Tier{1};
  std::vector<WeightedPool> m_Pools; ///< At least one.
  /// Maximum number of targets that may run a request; attempts that certainly
  /// did not run do not count.
  unsigned m_MaxAttempts = 1;
  bool m_IsPublic = false;    ///< Requests need no key.
  bool m_IsResumable = false; ///< Streams can resume at another target.
  AllowedRegions m_Regions;

  /// Whether a request that may have run can be sent to another target.
  bool isRetryable() const {
    return m_Kind == RouteKind::Idempotent ||
           (m_Kind == RouteKind::Stream && m_IsResumable);
  }
  /// Selects a pool according to the weights.
  /// \param Point uniformly distributed random number.
  const core::PoolName &choosePool(std::uint64_t Point) const;
};

/// A set of interchangeable targets.
struct Pool {
  core::PoolName m_Name;
  std::size_t m_MaxConnections = 0; ///< To one target, from all instances.
  bool m_IsInference = false;       ///< Targets are batching inference engines.
  double m_TokensPerEvent = 1;      ///< Tokens per event of a stream.
  /// Requests a second that a target bears, from all instances together, while
  /// it warms up; 0: it needs no warm-up.
  double m_WarmUpPerSecond = 0;
  core::Duration m_WarmUpTime{}; ///< After the start of a target.
};

/// A client account with its keys, tier and quota.
struct Account {
  core::AccountName m_Name;
  std::vector<std::string> m_Keys;
  core::TierNumber m_Tier{0};   ///< Takes precedence over the route's; 0: none.
  double m_TokensPerSecond = 0; ///< For all instances together; 0: no limit.
  double m_Burst = 0;           ///< Tokens, for all instances together.
  std::uint32_t m_DefaultTokens = 1; ///< Charge for a request without a size.
  AllowedRegions m_Regions;
};

/// Limits on what a caller may send.
struct CallerLimits {
  std::size_t m_HeaderBytes = 16384;
  std::size_t m_BodyBytes = 4194304;
  core::Duration m_HeaderTimeout = std::chrono::seconds(3);
  core::Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// An accepted configuration; immutable and shared by all requests.
class RoutingTable {
public:
  class Builder;

  core::ConfigurationVersion version() const { return m_Version; }
  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  /// \param Path path without the query.
  const Route *findRoute(const std::string &Host,
                         const std::string &Path) const;
  const Account *findAccountByKey(const std::string &Key) const;
  const Pool *findPool(const core::PoolName &Name) const;
  const std::unordered_map<core::PoolName, Pool> &pools() const {
    return m_Pools;
  }
  /// Returns all routes; those of a host with the longest prefix first.
  const std::unordered_map<std::string, std::vector<Route>> &
  routesByHost() const {
    return m_RoutesByHost;
  }
  const std::vector<Account> &accounts() const { return m_Accounts; }
  /// Whether any accounts are configured. If so, only public routes can be used
  /// without a key.
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

/// Builds a RoutingTable; the methods return the builder itself.
class RoutingTable::Builder {
public:
  Builder &version(core::ConfigurationVersion Version);
  Builder &route(Route NewRoute);
  Builder &pool(Pool NewPool);
  Builder &account(Account NewAccount);
  Builder &limits(const CallerLimits &Limits);
  std::shared_ptr<const RoutingTable> build();

private:
  RoutingTable m_Table;
};

using RoutingTableHandle = std::shared_ptr<const RoutingTable>;

} // namespace yardrill::routing

#endif
