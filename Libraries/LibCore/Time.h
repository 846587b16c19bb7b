//===-- Time.h - Clock types ----------------------------------------------===//
#ifndef YARDRILL_LIBCORE_TIME_H
#define YARDRILL_LIBCORE_TIME_H

#include <chrono>
#include <ctime>

namespace yardrill::core {

using Duration = std::chrono::microseconds;

/// Monotonic time that goes on while the machine is suspended: CLOCK_BOOTTIME
/// of clock_gettime(2). By std::chrono::steady_clock, CLOCK_MONOTONIC, all that
/// was heard before a suspension would look fresh after it, while others have
/// long taken this instance's place.
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

/// Monotonic time of this machine; means nothing on another one.
using TimePoint = std::chrono::time_point<BootClock, Duration>;

inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(BootClock::now());
}

/// Seconds since the Unix epoch, for what is compared between machines.
inline std::chrono::seconds wallSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

inline double toSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Rounded towards zero.
inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

} // namespace yardrill::core

#endif
