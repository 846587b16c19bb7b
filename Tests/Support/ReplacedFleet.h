//===-- ReplacedFleet.h - Callers of a fleet whose instances change -------===//
//
// Simulates accounts below their limits while a test stops, kills and adds
// instances. Used by QuotaReplacementTest and QuotaLossTest.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_REPLACEDFLEET_H
#define YARDRILL_TESTS_SUPPORT_REPLACEDFLEET_H

#include "QuotaSimulation.h"

#include <random>
#include <string>
#include <vector>

namespace yardrill::tests {

/// Fleet whose callers request 0.7 of their accounts' limits from the ready
/// instances.
class ReplacedFleet {
public:
  explicit ReplacedFleet(std::size_t Size, std::uint64_t Seed = 1);

  QuotaSimulation &fleet() { return m_Fleet; }

  void run(core::Duration Time);
  void join(std::size_t Count);
  /// Stops all first instances in steps, and adds as many after each step and
  /// \p Gap, or before it.
  void replaceInSteps(std::size_t StepSize, core::Duration Gap,
                      bool IsNewFirst);
  /// Kills the instances \p First to \p End - 1; for good if \p Down is none.
  void kill(std::size_t First, std::size_t End,
            std::optional<core::Duration> Down = {});

  /// Returns the share of the tokens requested in the last \p Time that were
  /// granted.
  double grantedShare(core::Duration Time) const;
  /// Checks the granted share from RecoveryTime after the last change on, and
  /// the quota.
  void checkRecovery(const std::string &Name);
  /// Checks that no window of an account exceeds what is tolerated.
  void checkQuota(const std::string &Name) const;

  static constexpr std::chrono::seconds RecoveryTime{30};
  static constexpr double AimedShare = 0.95;

private:
  void sendRequests(std::size_t Account, const std::vector<std::size_t> &Ready);

  std::mt19937_64 m_Random;
  std::size_t m_FirstCount;
  QuotaSimulation m_Fleet;
  std::vector<core::TimePoint> m_Requests;
};

} // namespace yardrill::tests

#endif
