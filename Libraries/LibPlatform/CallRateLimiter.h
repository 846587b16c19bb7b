//===-- CallRateLimiter.h - How many calls this instance may make
//--------------===//
#ifndef YARDRILL_LIBPLATFORM_CALLRATELIMITER_H
#define YARDRILL_LIBPLATFORM_CALLRATELIMITER_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"

namespace yardrill::platform {

/// A token bucket. Claims leave a quarter of the burst for control calls, so
/// that a flood of keyed requests can't stop configuration or leadership.
class CallRateLimiter {
public:
  CallRateLimiter(double CallsPerSecond, double Burst);

  /// \returns false when the budget is spent: the call must not be made.
  bool tryAcquire(CallClass Class, core::TimePoint Now);

private:
  double m_CallsPerSecond;
  double m_Burst;
  double m_Tokens;
  core::TimePoint m_RefilledAt{};
};

} // namespace yardrill::platform

#endif
