//===-- QuotaSimulation.h - Instances that share quotas, in simulated time
//-----===//
//
// The decisions are the product's; time, links, kills, cuts, stalls and the
// spread of the list of instances are simulated. Every draw that was allowed is
// kept, so that a test can look at any window.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_QUOTASIMULATION_H
#define YARDRILL_TESTS_QUOTASIMULATION_H

#include "LibCore/Time.h"
#include "LibRouting/QuotaOwner.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace yardrill::tests {

/// Tokens that an account was allowed at one moment.
struct TokenGrant {
  core::TimePoint m_At{};
  std::uint32_t m_Tokens = 0;
  bool m_IsCutOff = false;   ///< At an instance that was, for itself.
  bool m_IsIsolated = false; ///< No owner granted it.
};

/// \returns the tokens of the fullest window. \param Draws in order of time.
double maxInWindow(const std::vector<TokenGrant> &Grants,
                   core::Duration Window);

struct QuotaSimulationSettings {
  std::size_t m_Size = 6;
  std::vector<routing::Account> m_Accounts; ///< Each with a limit.
  routing::QuotaTolerance m_Tolerance;
  std::uint64_t m_Seed = 1;
};

class QuotaSimulation {
public:
  explicit QuotaSimulation(const QuotaSimulationSettings &Settings);
  ~QuotaSimulation();

  core::TimePoint now() const;
  /// Those that run or have run, added ones included.
  std::size_t size() const;
  /// Lets simulated time pass, in steps of StepTime.
  void advance(core::Duration Time);
  /// A request of \p Account comes to \p Instance. Nothing happens while that
  /// is down, or has not read the accounts since its start.
  void request(std::size_t Instance, std::size_t Account, std::uint32_t Tokens);

  /// Kills the process; it starts again after \p Down, and reads what the store
  /// holds some tens of milliseconds later.
  void kill(std::size_t Instance, core::Duration Down);
  /// Cuts the instance off from all others; its callers still reach it.
  void cut(std::size_t Instance, core::Duration Time);
  /// Cuts those named off from the others, but not from each other.
  void split(const std::vector<std::size_t> &Instances, core::Duration Time);
  /// The process stands still. What arrives meanwhile waits for it.
  void freeze(std::size_t Instance, core::Duration Time);
  /// Adds an instance; the others hear of it within half a second.
  void add();

  const std::vector<TokenGrant> &grants(std::size_t Account) const;
  /// Requests of the account that were refused at instances that were cut off
  /// for themselves, or at all others.
  std::size_t refused(std::size_t Account, bool IsCutOff) const;
  std::size_t refused(std::size_t Account) const {
    return refused(Account, false) + refused(Account, true);
  }

  static constexpr std::chrono::milliseconds StepTime{10};

private:
  struct Model;
  std::unique_ptr<Model> m_Model;
};

} // namespace yardrill::tests

#endif
