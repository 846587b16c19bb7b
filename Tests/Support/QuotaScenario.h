//===-- QuotaScenario.h - A day of one client account under faults
//-------------===//
//
// One account asks for several times its limit, of a fleet that is killed, cut,
// split, frozen and grown at set times. How far its fullest window stays below
// what is allowed is the day's margin; a search breeds days towards its end.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_QUOTASCENARIO_H
#define YARDRILL_TESTS_QUOTASCENARIO_H

#include "LibCore/Time.h"
#include "LibRouting/QuotaOwner.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace yardrill::tests {

/// One kind of request of a deployment.
struct QuotaRequestKind {
  double m_Share = 0;            ///< Of all requests.
  double m_MeanPromptTokens = 0; ///< Tokens.
  double m_LogStdDev = 0;        ///< Of the logarithm.
  double m_MaxPromptTokens = 0;
  double m_MeanResponseTokens = 0;
  double m_MaxResponseTokens = 0;
};

/// What a deployment's sheet says about quotas.
struct QuotaDeployment {
  std::string m_Name;
  std::size_t m_Size = 6;
  std::size_t m_SpareInstances = 0; ///< Instances that may be added.
  double m_MinLimit = 0; ///< Tokens a second; the burst is one second.
  double m_MaxLimit = 0;
  routing::QuotaTolerance m_Tolerance;
  std::vector<QuotaRequestKind> m_Kinds;

  static const std::vector<QuotaDeployment> &all();
  /// The prompt and answer of the largest request.
  double largestRequest() const;
};

enum class QuotaFaultKind { Kill, Cut, Split, Freeze, Add };

struct QuotaFaultEvent {
  core::Duration m_At{}; ///< From the day's begin.
  QuotaFaultKind m_Kind = QuotaFaultKind::Kill;
  double m_Share = 1; ///< Of the instances; Add: of the spare ones.
  core::Duration m_Duration{};
};

std::string toString(const QuotaFaultEvent &Event);

struct QuotaScenario {
  const QuotaDeployment *m_Deployment = nullptr;
  double m_Limit = 0; ///< Tokens a second, and of the burst.
  double m_Load = 4;  ///< Of the limit.
  /// All requests are as large as any of the deployment's.
  bool m_HasOnlyLargestRequests = false;
  std::vector<QuotaFaultEvent> m_Events;
  std::uint64_t m_Seed = 1;

  /// With a random limit of the deployment's, and random faults.
  static QuotaScenario random(const QuotaDeployment &Deployment,
                              std::uint64_t Seed);
  /// A day that differs from this one in an event or in its luck.
  QuotaScenario mutated(std::mt19937_64 &Random) const;
  std::string describe() const;
};

struct QuotaScenarioResult {
  double m_AllowedTokens = 0; ///< Tokens of any window.
  double m_MaxTokens = 0;     ///< Tokens of the fullest one.
  double m_BoundTokens = 0;   ///< Rate x window + burst.
  double m_RefusedShare = 0;

  bool isWithinTolerance() const { return m_MaxTokens <= m_AllowedTokens; }
  /// Part of what is allowed above the bound that was used; above 1: broken.
  double usedTolerance() const {
    return (m_MaxTokens - m_BoundTokens) / (m_AllowedTokens - m_BoundTokens);
  }
};

QuotaScenarioResult simulate(const QuotaScenario &Scenario);

} // namespace yardrill::tests

#endif
