//===-- SuspendedClock.h - A machine that was suspended, to its clocks ----===//
#ifndef YARDRILL_TESTS_SUPPORT_SUSPENDEDCLOCK_H
#define YARDRILL_TESTS_SUPPORT_SUSPENDEDCLOCK_H

#include <chrono>

namespace yardrill::tests {

/// From now on this process reads its clocks as after a suspension of that
/// length: CLOCK_BOOTTIME and the time of day have gone on, CLOCK_MONOTONIC and
/// the kernel's timers have not (clock_gettime(2)). Only in programs that are
/// linked with SuspendedClock.cpp, which takes the place of the C library's
/// function.
void simulateSuspension(std::chrono::milliseconds Length);

} // namespace yardrill::tests

#endif
