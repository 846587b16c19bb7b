//===-- QuotaScenario.h - One account in a faulty fleet -------------------===//
//
// In a scenario one client account requests several times its limit, while
// instances are killed, cut off, split, frozen and added at fixed times. The
// result shows how much of the tolerance the fullest window used. quota_search
// mutates scenarios to increase that. Used by QuotaDeploymentsTest and
// quota_search.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_QUOTASCENARIO_H
#define YARDRILL_TESTS_SUPPORT_QUOTASCENARIO_H

#include "LibCore/Time.h"
#include "LibRouting/QuotaOwner.h"
#include "QuotaSimulation.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace yardrill::tests {

/// Distribution of the sizes of one kind of request in a deployment.
struct QuotaRequestKind {
  double m_Share = 0; ///< Share of all requests, 0 to 1.
  double m_MeanPromptTokens = 0;
  /// Standard deviation of the logarithm of the prompt's tokens.
  double m_LogStdDev = 0;
  double m_MaxPromptTokens = 0;
  double m_MeanResponseTokens = 0;
  double m_MaxResponseTokens = 0;
};

/// Figures of a deployment that matter for quotas, from its data sheet.
struct QuotaDeployment {
  std::string m_Name;
  std::size_t m_Size = 6;
  std::size_t m_SpareInstances = 0; ///< Instances that may be added.
  double m_MinLimit = 0; ///< Tokens per second; the burst is one second's.
  double m_MaxLimit = 0;
  routing::QuotaTolerance m_Tolerance;
  std::vector<QuotaRequestKind> m_Kinds;

  static const std::vector<QuotaDeployment> &all();
  /// Returns the tokens of the largest request, prompt and response.
  double largestRequest() const;
};

/// Kinds of faults; QuotaSimulation describes each.
enum class QuotaFaultKind { Kill, Cut, Split, Freeze, Add };

/// Fault that is injected at a fixed time.
struct QuotaFaultEvent {
  core::Duration m_At{}; ///< Time since the start of the scenario.
  QuotaFaultKind m_Kind = QuotaFaultKind::Kill;
  /// Average share of the instances; for Add, share of the spare instances.
  double m_Share = 1;
  core::Duration m_Duration{};
};

std::string toString(const QuotaFaultEvent &Event);

/// Input of one simulated run.
struct QuotaScenario {
  const QuotaDeployment *m_Deployment = nullptr;
  double m_Limit = 0; ///< Rate in tokens per second, and burst in tokens.
  double m_Load = 4;  ///< Requested tokens as a multiple of the limit.
  /// Whether all requests are as large as the largest of the deployment.
  bool m_HasOnlyLargestRequests = false;
  std::vector<QuotaFaultEvent> m_Events;
  std::uint64_t m_Seed = 1;
  /// Factor of all times. Above 1 the membership follows FleetMembership, and
  /// owners change several times.
  int m_TimeFactor = 1;

  /// Returns a scenario with random limit, load and faults.
  static QuotaScenario random(const QuotaDeployment &Deployment,
                              std::uint64_t Seed);
  /// Returns a copy with another seed, or with one fault added or replaced.
  /// Adds none to a scenario that already has the maximum number of faults.
  QuotaScenario mutated(std::mt19937_64 &Random) const;
  std::string describe() const;
};

/// Measurements of one simulated run.
struct QuotaScenarioResult {
  double m_AllowedTokens = 0; ///< Limit on the tokens in any window.
  double m_MaxTokens = 0;     ///< Tokens in the fullest window.
  double m_BoundTokens = 0;   ///< Rate x window + burst, without tolerance.
  double m_RefusedShare = 0;
  std::vector<TokenGrant> m_FullestWindow;

  bool isWithinTolerance() const { return m_MaxTokens <= m_AllowedTokens; }
  /// Returns the used share of the tolerance; above 1 the quota is exceeded.
  double usedTolerance() const {
    return (m_MaxTokens - m_BoundTokens) / (m_AllowedTokens - m_BoundTokens);
  }
  /// Returns the tokens of the fullest window by the instance that admitted
  /// the requests, and of these the tokens that it granted while isolated; then
  /// the tokens by the owner that granted them and the size of its list, with
  /// the largest number of holders of shares at the time of a grant.
  std::string describeFullestWindow() const;
};

QuotaScenarioResult simulate(const QuotaScenario &Scenario);

} // namespace yardrill::tests

#endif
