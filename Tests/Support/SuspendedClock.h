//===-- SuspendedClock.h - Clocks of a suspended machine ------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SUSPENDEDCLOCK_H
#define YARDRILL_TESTS_SUPPORT_SUSPENDEDCLOCK_H

#include <chrono>

namespace yardrill::tests {

/// Makes this process read its clocks as after a suspension of the machine for
/// \p Length: CLOCK_BOOTTIME and CLOCK_REALTIME have advanced, CLOCK_MONOTONIC
/// and the kernel's timers have not (clock_gettime(2)). Works only in programs
/// that are linked with SuspendedClock.cpp, which replaces the C library's
/// clock_gettime().
void simulateSuspension(std::chrono::milliseconds Length);

} // namespace yardrill::tests

#endif
