//===-- Target.h - One target as the platform announces it ----------------===//
#ifndef YARDRILL_LIBROUTING_TARGET_H
#define YARDRILL_LIBROUTING_TARGET_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace yardrill::routing {

/// One life of a target, from its start to its end. A target may start again
/// under the name that it had; it then holds and knows nothing of before, and
/// what was learned or counted of the earlier run says nothing about it. Births
/// are compared for equality alone: a clock that was set back must not make a
/// later run look like an earlier one.
struct TargetIncarnation {
  core::TargetName m_Name;
  core::TargetStartTime m_StartTime;

  TargetIncarnation() = default;
  /// A name alone is that of a target that does not say when it started.
  TargetIncarnation(core::TargetName Name, core::TargetStartTime StartTime = {})
      : m_Name(std::move(Name)), m_StartTime(StartTime) {}

  /// By which instances tell each other of it.
  std::uint32_t hash() const;

  bool operator==(const TargetIncarnation &Other) const {
    return m_StartTime == Other.m_StartTime && m_Name == Other.m_Name;
  }
  bool operator<(const TargetIncarnation &Other) const {
    return std::tie(m_Name, m_StartTime) <
           std::tie(Other.m_Name, Other.m_StartTime);
  }
};

struct Target {
  core::TargetName m_Name;
  core::TargetStartTime m_StartTime;
  core::PoolName m_Pool;
  core::TargetVersion m_Version;
  config::Endpoint m_Address;
  core::DataHallName m_DataHall;
  std::size_t m_Slots = 1;  ///< Requests it runs at one time.
  bool m_IsLeaving = false; ///< Ends soon; gets no new work.

  TargetIncarnation run() const { return {m_Name, m_StartTime}; }
  bool operator==(const Target &Other) const {
    return run() == Other.run() && m_Pool == Other.m_Pool &&
           m_Version == Other.m_Version && m_Address == Other.m_Address &&
           m_DataHall == Other.m_DataHall && m_Slots == Other.m_Slots &&
           m_IsLeaving == Other.m_IsLeaving;
  }
};

} // namespace yardrill::routing

#endif
