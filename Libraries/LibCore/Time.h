//===-- Time.h - Clock types ----------------------------------------------===//
#ifndef YARDRILL_LIBCORE_TIME_H
#define YARDRILL_LIBCORE_TIME_H

#include <chrono>

namespace yardrill::core {

using Duration = std::chrono::microseconds;
/// Monotonic time of this machine; means nothing on another one.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
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
