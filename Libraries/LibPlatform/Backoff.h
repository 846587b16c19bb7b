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
  Backoff(core::Duration First, core::Duration Longest, std::uint64_t Seed)
      : m_First(First), m_Longest(Longest), m_Next(First), m_Random(Seed) {}

  core::Duration next();
  void reset() { m_Next = m_First; }

private:
  core::Duration m_First;
  core::Duration m_Longest;
  core::Duration m_Next;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::platform

#endif
