//===-- QuotaSimulation.h - Quotas of a fleet in simulated time -----------===//
//
// Simulates instances with the real DistributedQuota. Time, datagrams, faults
// and the propagation of the instance list are simulated. All grants are
// recorded, so that a test can check any window. Used by QuotaModelTest and
// QuotaScenario.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_QUOTASIMULATION_H
#define YARDRILL_TESTS_SUPPORT_QUOTASIMULATION_H

#include "LibCore/Time.h"
#include "LibRouting/QuotaOwner.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace yardrill::tests {

/// Tokens that were granted to one request of an account.
struct TokenGrant {
  core::TimePoint m_At{};
  std::uint32_t m_Tokens = 0;
  std::size_t m_Instance = 0;
  bool m_IsCutOff = false;   ///< Granted by an instance that cut() had cut off.
  bool m_IsIsolated = false; ///< Granted without an owner.
  /// Owner that granted the tokens, or their last part; the instance itself if
  /// it was isolated.
  std::size_t m_Owner = 0;
  /// Number of owners in the list by which that owner granted.
  std::size_t m_ListSize = 0;
  /// Number of instances that would grant shares of the account at that time,
  /// each by its own list. If there are more than MaxOwners, a share has two
  /// holders.
  std::size_t m_HolderCount = 0;
};

/// Returns the grants in the fullest window.
/// \param Grants grants in order of time.
std::vector<TokenGrant> fullestWindow(const std::vector<TokenGrant> &Grants,
                                      core::Duration Window);
/// Returns the tokens in the fullest window; see fullestWindow().
double maxInWindow(const std::vector<TokenGrant> &Grants,
                   core::Duration Window);

struct QuotaSimulationSettings {
  std::size_t m_Size = 6;
  std::vector<routing::Account> m_Accounts; ///< Accounts; each has a limit.
  routing::QuotaTolerance m_Tolerance;
  std::uint64_t m_Seed = 1;
  /// Whether the membership follows FleetMembership. Otherwise, it changes only
  /// by QuotaSimulation::add() and remove().
  bool m_HasWriter = false;
};

/// Fleet that serves requests of some accounts while a test injects faults.
class QuotaSimulation {
public:
  explicit QuotaSimulation(const QuotaSimulationSettings &Settings);
  ~QuotaSimulation();

  core::TimePoint now() const;
  /// Returns the number of instances, including those that are down.
  std::size_t size() const;
  /// Advances the simulated time in steps of StepTime.
  void advance(core::Duration Time);
  /// Sends a request of \p Account to \p Instance. Does nothing if the instance
  /// is down or has not read the accounts since its start.
  void request(std::size_t Instance, std::size_t Account, std::uint32_t Tokens);

  /// Kills the instance. It restarts after \p Down, and reads the store 50 ms
  /// to 300 ms later.
  void kill(std::size_t Instance, core::Duration Down);
  /// Cuts the instance off from all others, but not from its callers.
  void cut(std::size_t Instance, core::Duration Time);
  /// Cuts the given instances off from the others, but not from each other.
  void split(const std::vector<std::size_t> &Instances, core::Duration Time);
  /// Makes the store unavailable. Instances that start read the lists and the
  /// accounts from their peers.
  void loseStore(core::Duration Time);
  /// Suspends the instance; datagrams and requests wait until it resumes.
  void freeze(std::size_t Instance, core::Duration Time);
  /// Adds an instance to the membership; the others learn of it within 0.5 s.
  /// It owns quotas once QuotaOwnership decides so.
  void add();
  /// Removes an instance from the membership, as if it had been silent for
  /// long.
  void remove(std::size_t Instance);

  // With QuotaSimulationSettings::m_HasWriter only.
  /// Starts an instance that the writer adds to the membership once it hears
  /// of it.
  void join();
  /// Announces that the instance stops. It exits after StopTime, and restarts
  /// after \p Down; never if none is given.
  void stop(std::size_t Instance, std::optional<core::Duration> Down = {});
  /// Restarts an instance that was killed or has stopped.
  void restart(std::size_t Instance);
  /// Whether the load balancer sends requests to the instance.
  bool isReady(std::size_t Instance) const;
  /// Returns how often the list of owners has changed.
  std::size_t ownerChanges() const;

  const std::vector<TokenGrant> &grants(std::size_t Account) const;
  /// Returns the number of the account's requests that were refused by
  /// instances that cut() had cut off, or by all others.
  std::size_t refused(std::size_t Account, bool IsCutOff) const;
  std::size_t refused(std::size_t Account) const {
    return refused(Account, false) + refused(Account, true);
  }

  static constexpr std::chrono::milliseconds StepTime{10};
  static constexpr std::chrono::seconds StopTime{5};

private:
  struct Model;
  std::unique_ptr<Model> m_Model;
};

} // namespace yardrill::tests

#endif
