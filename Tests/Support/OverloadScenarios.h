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

enum class SkewScope { DataHall, All };
enum class InstanceSize { Small, Large };

/// Returns a fleet of mostly small instances in four data halls, at half of its
/// targets' capacity, in which the balancer hands most new connections of one
/// hall, or of all, to one instance from second 5 to 15. All decisions under
/// overload are on.
/// \param Hot size of that instance.
DispatchScenario skewedConnections(std::size_t Instances, SkewScope Scope,
                                   InstanceSize Hot);

} // namespace yardrill::tests

#endif
