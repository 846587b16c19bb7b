//===-- OverloadScenarios.h - Loads beyond the capacity of a fleet --------===//
#ifndef YARDRILL_TESTS_SUPPORT_OVERLOADSCENARIOS_H
#define YARDRILL_TESTS_SUPPORT_OVERLOADSCENARIOS_H

#include "DispatchSimulation.h"

namespace yardrill::tests {

/// Names of the kinds of longShortage().
extern const char TopKind[];
extern const char MiddleKind[];
extern const char LowestKind[];

/// Returns a fleet with 0.69 targets an instance and streams of three tiers,
/// which need a tenth more slots than there are, and twice as many in a burst
/// from second 8 to 13. All decisions under overload are off.
/// \param LoadFactor multiplies all rates.
DispatchScenario longShortage(std::size_t Instances, double LoadFactor = 1);

/// Divides each kind among client accounts with equal weights, which are named
/// after the kind and counted from 0.
void addAccounts(DispatchScenario &Scenario, std::size_t Count);
/// Lets the first account of each kind send \p Factor times its usual.
void addFlood(DispatchScenario &Scenario, double Factor, core::Duration From,
              core::Duration Until);

} // namespace yardrill::tests

#endif
