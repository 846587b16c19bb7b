//===-- Time.h - Clock, time points and durations -------------------------===//
#ifndef YARDRILL_LIBCORE_TIME_H
#define YARDRILL_LIBCORE_TIME_H

#include <chrono>
#include <ctime>

namespace yardrill::core {

using Duration = std::chrono::microseconds;

/// Monotonic clock that advances while the machine is suspended: CLOCK_BOOTTIME
/// of clock_gettime(2). std::chrono::steady_clock (CLOCK_MONOTONIC) does not:
/// after a suspension, messages received before it would look recent, although
/// other instances have replaced this one since.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  // The name is the standard's (Cpp17Clock).
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    std::timespec Now{};
    clock_gettime(CLOCK_BOOTTIME, &Now);
    return time_point(std::chrono::seconds(Now.tv_sec) +
                      std::chrono::nanoseconds(Now.tv_nsec));
  }
};

/// Time point of BootClock; it can't be compared between machines.
using TimePoint = std::chrono::time_point<BootClock, Duration>;

inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

/// Returns seconds since the Unix epoch, which machines can compare.
inline std::chrono::seconds wallSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Converts seconds to a duration, rounded towards zero to microseconds.
inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace yardrill::core

#endif
