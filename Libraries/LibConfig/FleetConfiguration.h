//===-- FleetConfiguration.h - Configuration shared by all instances ------===//
#ifndef YARDRILL_LIBCONFIG_FLEETCONFIGURATION_H
#define YARDRILL_LIBCONFIG_FLEETCONFIGURATION_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace yardrill::config {

/// Service class of requests; the smallest number is served first.
struct Tier {
  std::string m_Name;
  core::TierNumber m_Number;
  /// Maximum time that a request waits for a target before it is refused.
  core::Duration m_Deadline{};
};

/// Account of a client; requests name it by their bearer key.
struct ClientAccount {
  core::AccountName m_Name;
  std::string m_KeySha256; ///< SHA-256 of the bearer key, in hex.
  std::string m_DefaultTier;
  std::vector<std::string> m_Tiers; ///< Tiers that its requests may name.
  /// Relative share of the work that is served among the accounts that wait in
  /// one tier.
  double m_Weight = 1;
  /// Maximum at one instance; further requests are refused with status 429.
  std::size_t m_MaxOpenRequests = 0;
};

/// Process that runs requests.
struct Target {
  core::TargetName m_Name;
  Endpoint m_Address;
  core::DataHallName m_DataHall;
  std::size_t m_Slots = 0;  ///< Number of concurrent requests.
  bool m_IsLeaving = false; ///< Gets no new requests.
};

/// Treatment of the calls to an application pool under one path prefix.
struct Route {
  std::string m_Prefix;
  /// False: only requests with an identity or a safe method are accepted.
  bool m_IsIdempotent = true;
};

enum class PoolKind { Model, Application };

/// Targets that run the same models or the same application.
struct Pool {
  core::PoolName m_Name;
  PoolKind m_Kind = PoolKind::Model;
  std::vector<std::string> m_Models; ///< Empty in an application pool.
  /// Maximum number of requests that wait at one instance.
  std::size_t m_QueueLimit = 0;
  /// Slots per target, on average over the pool, that only the highest tier may
  /// use.
  std::size_t m_ReservedSlots = 0;
  /// Factor on the prefill time at targets that have not cached the prefix of a
  /// request.
  double m_PrefillWeight = 25;
  std::vector<Route> m_Routes;
  std::vector<Target> m_Targets;

  /// Returns the route with the longest prefix of \p Path, or null.
  const Route *findRoute(const std::string &Path) const;
};

/// One version of the configuration that operators publish to all instances:
/// tiers, client accounts, pools and the policy program. Immutable, so threads
/// share it.
class FleetConfiguration {
public:
  /// Parses the YAML in \p Text; \p File names it in diagnostics.
  /// \throws DocumentError with all errors of the document.
  static std::shared_ptr<const FleetConfiguration>
  parse(const std::string &Text, const std::string &File,
        core::ConfigurationVersion Version);
  /// Returns a valid sample document.
  static const char *example();

  core::ConfigurationVersion version() const { return m_Version; }
  const std::string &text() const { return m_Text; }
  /// Returns the first 64 bits of the SHA-256 of text().
  std::uint64_t digest() const { return m_Digest; }
  /// Returns the tiers in ascending order of their numbers.
  const std::vector<Tier> &tiers() const { return m_Tiers; }
  const std::vector<ClientAccount> &accounts() const { return m_Accounts; }
  const std::vector<Pool> &pools() const { return m_Pools; }
  /// Returns the source of the policy program; empty when there is none.
  const std::string &policy() const { return m_Policy; }

  // The functions below return null when there is no such entry.
  const ClientAccount *findAccountByKey(const std::string &KeySha256) const;
  const ClientAccount *findAccount(const core::AccountName &Name) const;
  const Tier *findTier(const std::string &Name) const;
  const Tier *findTier(core::TierNumber Number) const;
  const Pool *findPool(const core::PoolName &Name) const;
  const Pool *findPoolForModel(const std::string &Model) const;

private:
  FleetConfiguration() = default;
  /// Fills the maps from names and keys to positions in the lists.
  void buildIndex();

  core::ConfigurationVersion m_Version;
  std::string m_Text;
  std::uint64_t m_Digest = 0;
  std::vector<Tier> m_Tiers;
  std::vector<ClientAccount> m_Accounts;
  std::vector<Pool> m_Pools;
  std::string m_Policy;
  std::unordered_map<std::string, std::size_t> m_AccountByKey;
  std::unordered_map<core::AccountName, std::size_t> m_AccountByName;
  std::unordered_map<core::PoolName, std::size_t> m_PoolByName;
  std::unordered_map<std::string, std::size_t> m_PoolByModel;
};

using ConfigurationHandle = std::shared_ptr<const FleetConfiguration>;

} // namespace yardrill::config

#endif
