//===-- SlotQuestion.h - Question for a free slot of another group --------===//
#ifndef YARDRILL_LIBROUTING_SLOTQUESTION_H
#define YARDRILL_LIBROUTING_SLOTQUESTION_H

#include "LibConfig/Endpoint.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibRouting/RoutingTable.h"

#include <cstdint>

namespace yardrill::routing {

/// Question whether an instance of another group can spare a slot.
struct SlotQuestion {
  std::uint64_t m_Id = 0; ///< Chosen by the borrower; never 0.
  core::PoolName m_Pool;
  Priority m_Priority;
  std::uint32_t m_PromptTokens = 0;
  /// Time for which the slot is expected to be needed; zero if unknown.
  core::Duration m_ExpectedTime{};
};

/// An instance of another group.
struct OtherInstance {
  config::Endpoint m_Address;
  core::DataHallName m_DataHall; ///< Empty if unknown.
};

} // namespace yardrill::routing

#endif
