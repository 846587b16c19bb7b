//===-- Cores.h - Real decision cores that talk to each other
//--------------===//
#ifndef YARDRILL_BENCH_CORESCHEDULER_H
#define YARDRILL_BENCH_CORESCHEDULER_H

#include "Simulation.h"

namespace yardrill::bench {

struct CoreSchedulerSettings {
  std::size_t m_Instances = 1;
  unsigned m_ReservedSlots = 0; ///< Of each engine, for tier 1.
  double m_PrefillWeight = 0;
};

/// yardrill's own way of deciding: one core for each instance, whose messages
/// take a millisecond.
std::unique_ptr<Scheduler>
makeCoreScheduler(Simulation &Owner, const CoreSchedulerSettings &Settings,
                  unsigned Seed);

} // namespace yardrill::bench

#endif
