#include "SuspendedClock.h"

#include <atomic>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

static std::atomic<long> SuspendedNs{0};

static constexpr long NsPerSecond = 1000000000;

namespace yardrill::tests {

void simulateSuspension(std::chrono::milliseconds Length) {
  SuspendedNs += std::chrono::nanoseconds(Length).count();
}

} // namespace yardrill::tests

extern "C" int clock_gettime(clockid_t ClockId, timespec *Out) noexcept {
  long Result = syscall(SYS_clock_gettime, ClockId, Out);
  if (Result == 0 && (ClockId == CLOCK_BOOTTIME || ClockId == CLOCK_REALTIME)) {
    long Ns = Out->tv_nsec + SuspendedNs.load();
    Out->tv_sec += Ns / NsPerSecond;
    Out->tv_nsec = Ns % NsPerSecond;
  }
  return static_cast<int>(Result);
}
