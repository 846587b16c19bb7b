//===-- CallRateLimiter.h - Limits calls to the platform ------------------===//
#ifndef YARDRILL_LIBPLATFORM_CALLRATELIMITER_H
#define YARDRILL_LIBPLATFORM_CALLRATELIMITER_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"

namespace yardrill::platform {

/// Token bucket that limits an instance's calls to the key-value service. A
/// quarter of the burst is reserved for control calls, so that a flood of keyed
/// requests can't block configuration or leadership.
class CallRateLimiter {
public:
  CallRateLimiter(double CallsPerSecond, double Burst);

  /// Takes a token for one call.
  /// \returns false when there is none: the call must not be made.
  bool tryAcquire(CallClass Class, core::TimePoint Now);

private:
  double m_CallsPerSecond;
  double m_Burst;
  double m_Tokens;
  core::TimePoint m_RefilledAt{};
};

} // namespace yardrill::platform

#endif
