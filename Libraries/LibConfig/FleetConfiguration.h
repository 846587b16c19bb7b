//===-- FleetConfiguration.h - What operators publish ---------------------===//
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

struct Tier {
  std::string m_Name;
  core::TierNumber m_Number;
  /// Longest wait of a request for a target; then it is refused, not run.
  core::Duration m_Deadline{};
};

struct ClientAccount {
  core::AccountName m_Name;
  std::string m_KeySha256; ///< Of the account's bearer key, hex.
  std::string m_DefaultTier;
  std::vector<std::string> m_Tiers; ///< Tiers its requests may name.
  double m_Weight = 1; ///< Its share among accounts that wait in one tier.
  std::size_t m_MaxOpenRequests = 0; ///< More are answered 429, not run.
};

struct Target {
  core::TargetName m_Name;
  Endpoint m_Address;
  core::DataHallName m_DataHall;
  std::size_t m_Slots = 0; ///< Requests it runs at one time.
  bool m_IsLeaving = false;
};

/// How calls under one path prefix of an application pool are treated.
struct Route {
  std::string m_Prefix;
  bool m_IsIdempotent = true; ///< If not, a request needs an identity.
};

enum class PoolKind { Model, Application };

struct Pool {
  core::PoolName m_Name;
  PoolKind m_Kind = PoolKind::Model;
  std::vector<std::string> m_Models;
  std::size_t m_QueueLimit = 0; ///< Waiting requests at one instance.
  /// Places of each target, on average, that only the highest tier may take.
  std::size_t m_ReservedSlots = 0;
  /// Weight of a prefill token that was already read elsewhere.
  double m_PrefillWeight = 25;
  std::vector<Route> m_Routes;
  std::vector<Target> m_Targets;

  /// The longest matching prefix, if any.
  const Route *findRoute(const std::string &Path) const;
};

/// One accepted configuration; immutable, shared between threads.
class FleetConfiguration {
public:
  /// \throws DocumentError with every fault found.
  static std::shared_ptr<const FleetConfiguration>
  parse(const std::string &Text, const std::string &File,
        core::ConfigurationVersion Version);
  static const char *example();

  core::ConfigurationVersion version() const { return m_Version; }
  const std::string &text() const { return m_Text; }
  /// First 64 bits of the text's SHA-256.
  std::uint64_t digest() const { return m_Digest; }
  const std::vector<Tier> &tiers() const { return m_Tiers; }
  const std::vector<ClientAccount> &accounts() const { return m_Accounts; }
  const std::vector<Pool> &pools() const { return m_Pools; }
  const std::string &policy() const { return m_Policy; }

  const ClientAccount *findAccountByKey(const std::string &KeySha256) const;
  const ClientAccount *findAccount(const core::AccountName &Name) const;
  const Tier *findTier(const std::string &Name) const;
  const Tier *findTier(core::TierNumber Number) const;
  const Pool *findPool(const core::PoolName &Name) const;
  const Pool *findPoolForModel(const std::string &Model) const;

private:
  FleetConfiguration() = default;
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
