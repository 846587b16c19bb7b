//===-- Backoff.h - Delays between attempts, with jitter ------------------===//
#ifndef YARDRILL_LIBPLATFORM_BACKOFF_H
#define YARDRILL_LIBPLATFORM_BACKOFF_H

#include "LibCore/Time.h"

#include <random>

namespace yardrill::platform {

/// Random delays between attempts at a call to the platform. A delay is at
/// least half the initial one; its upper bound starts at the initial delay and
/// doubles up to a maximum. The jitter keeps instances that failed together
/// from retrying together.
class Backoff {
public:
  Backoff(core::Duration InitialDelay, core::Duration MaxDelay,
          std::uint64_t Seed)
      : m_InitialDelay(InitialDelay), m_MaxDelay(MaxDelay),
        m_NextMaxDelay(InitialDelay), m_Random(Seed) {}

  core::Duration next();
  /// Starts again from the initial delay, after a success.
  void reset() { m_NextMaxDelay = m_InitialDelay; }

private:
  core::Duration m_InitialDelay;
  core::Duration m_MaxDelay;
  core::Duration m_NextMaxDelay;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::platform

#endif
