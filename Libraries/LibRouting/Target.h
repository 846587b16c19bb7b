//===-- Target.h - Target as announced by the platform --------------------===//
#ifndef YARDRILL_LIBROUTING_TARGET_H
#define YARDRILL_LIBROUTING_TARGET_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstddef>
#include <cstdint>
#include <tuple>

namespace yardrill::routing {

/// Identifies one incarnation of a target, from its start to its exit. A target
/// may restart under the same name, and state of the earlier incarnation does
/// not apply to the new one. Start times are compared only for equality,
/// because a clock that was set back would make a later incarnation look older.
struct TargetIncarnation {
  core::TargetName m_Name;
  core::TargetStartTime m_StartTime;

  TargetIncarnation() = default;
  /// \param StartTime 0 for a target that does not announce it.
  TargetIncarnation(core::TargetName Name, core::TargetStartTime StartTime = {})
      : m_Name(std::move(Name)), m_StartTime(StartTime) {}

  /// Returns a text that is unique to the incarnation.
  std::string text() const;
  /// Returns the hash that identifies the incarnation in load reports.
  std::uint32_t hash() const;

  bool operator==(const TargetIncarnation &Other) const {
    return m_StartTime == Other.m_StartTime && m_Name == Other.m_Name;
  }
  /// Arbitrary order for containers; does not tell which one is older.
  bool operator<(const TargetIncarnation &Other) const {
    return std::tie(m_Name, m_StartTime) <
           std::tie(Other.m_Name, Other.m_StartTime);
  }
};

/// An announced target.
struct Target {
  core::TargetName m_Name;
  core::TargetStartTime m_StartTime;
  core::PoolName m_Pool;
  core::TargetVersion m_Version;
  config::Endpoint m_Address;
  core::DataHallName m_DataHall;
  std::size_t m_Slots = 1;  ///< Number of requests it runs concurrently.
  bool m_IsLeaving = false; ///< Exits soon; must get no new requests.

  TargetIncarnation incarnation() const { return {m_Name, m_StartTime}; }
  bool operator==(const Target &Other) const {
    return incarnation() == Other.incarnation() && m_Pool == Other.m_Pool &&
           m_Version == Other.m_Version && m_Address == Other.m_Address &&
           m_DataHall == Other.m_DataHall && m_Slots == Other.m_Slots &&
           m_IsLeaving == Other.m_IsLeaving;
  }
};

} // namespace yardrill::routing

#endif
