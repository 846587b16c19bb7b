//===-- CoreScheduler.h - Schedules with decision cores -------------------===//
#ifndef YARDRILL_BENCH_CORESCHEDULER_H
#define YARDRILL_BENCH_CORESCHEDULER_H

#include "Simulation.h"

namespace yardrill::bench {

/// Settings of the cores, as in a fleet's configuration.
struct CoreSchedulerSettings {
  std::size_t m_Instances = 1;
  unsigned m_ReservedSlots = 0; ///< Slots of each engine reserved for tier 1.
  double m_PrefillWeight = 0;
};

/// Creates yardrill's scheduler: one DecisionCore per instance, which exchange
/// messages with MessageDelay.
std::unique_ptr<Scheduler>
makeCoreScheduler(Simulation &Owner, const CoreSchedulerSettings &Settings,
                  unsigned Seed);

} // namespace yardrill::bench

#endif
