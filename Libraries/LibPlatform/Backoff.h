//===-- Backoff.h - Growing pauses between tries --------------------------===//
#ifndef YARDRILL_LIBPLATFORM_BACKOFF_H
#define YARDRILL_LIBPLATFORM_BACKOFF_H

#include "LibCore/Time.h"

#include <random>

namespace yardrill::platform {

/// Doubling pauses, each drawn between nothing and the full length ("full
/// jitter"), so that instances that failed together do not return together.
class Backoff {
public:
  Backoff(core::Duration InitialDelay, core::Duration MaxDelay,
          std::uint64_t Seed)
      : m_InitialDelay(InitialDelay), m_MaxDelay(MaxDelay),
        m_NextMaxDelay(InitialDelay), m_Random(Seed) {}

  core::Duration next();
  void reset() { m_NextMaxDelay = m_InitialDelay; }

private:
  core::Duration m_InitialDelay;
  core::Duration m_MaxDelay;
  core::Duration m_NextMaxDelay;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::platform

#endif
