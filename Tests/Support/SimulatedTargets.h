//===-- SimulatedTargets.h - Targets of a simulated fleet -----------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SIMULATEDTARGETS_H
#define YARDRILL_TESTS_SUPPORT_SIMULATEDTARGETS_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace yardrill::tests {

struct SimulatedTarget {
  core::DataHallName m_DataHall;
  /// Time that it needs, relative to a target of average speed.
  double m_Speed = 1;
  bool m_IsLeaving = false; ///< Takes no new requests at present.
  /// Times at which its slots become free.
  std::vector<core::TimePoint> m_FreeAt;
};

/// Targets that serve requests in their order of arrival, in the slot that is
/// free first.
class SimulatedTargets {
public:
  void add(const SimulatedTarget &Added) { m_All.push_back(Added); }
  std::size_t size() const { return m_All.size(); }
  SimulatedTarget &operator[](std::size_t Index) { return m_All[Index]; }
  const SimulatedTarget &operator[](std::size_t Index) const {
    return m_All[Index];
  }

  /// Puts a request into the first slot that becomes free.
  /// \returns when the slot is free for it.
  core::TimePoint start(std::size_t Index, core::TimePoint Now,
                        core::Duration ServiceTime) {
    std::vector<core::TimePoint> &Slots = m_All[Index].m_FreeAt;
    core::TimePoint &FreeAt = *std::min_element(Slots.begin(), Slots.end());
    core::TimePoint StartsAt = std::max(FreeAt, Now);
    FreeAt = StartsAt + ServiceTime;
    return StartsAt;
  }
  /// Returns the number of free slots of targets that take requests.
  std::size_t freeSlots(core::TimePoint Now) const {
    std::size_t Out = 0;
    for (const SimulatedTarget &Each : m_All)
      if (!Each.m_IsLeaving)
        Out += static_cast<std::size_t>(
            std::count_if(Each.m_FreeAt.begin(), Each.m_FreeAt.end(),
                          [Now](core::TimePoint At) { return At <= Now; }));
    return Out;
  }

private:
  std::vector<SimulatedTarget> m_All;
};

} // namespace yardrill::tests

#endif
