//===-- Target.h - One target as the platform announces it ----------------===//
#ifndef YARDRILL_LIBROUTING_TARGET_H
#define YARDRILL_LIBROUTING_TARGET_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"

#include <cstddef>

namespace yardrill::routing {

struct Target {
  core::TargetName m_Name; ///< Of one run of the target; never used again.
  core::PoolName m_Pool;
  config::Endpoint m_Address;
  core::DataHallName m_DataHall;
  std::size_t m_Places = 1; ///< Requests it runs at one time.
  bool m_IsLeaving = false; ///< Ends soon; gets no new work.
};

} // namespace yardrill::routing

#endif
