//===-- MissingPeers.cpp - Peers that fell silent without stopping --------===//
#include "LibGateway/MissingPeers.h"

#include <iterator>

namespace yardrill::gateway {

/// Time after which a missing peer no longer counts as active, unless the store
/// is unreachable. Exceeds a restart.
static constexpr std::chrono::seconds RetentionTime{10};

void MissingPeers::forgetOld(core::TimePoint Now) {
  for (auto Each = m_LostAt.begin(); Each != m_LostAt.end();)
    Each = Now - Each->second > RetentionTime ? m_LostAt.erase(Each)
                                              : std::next(Each);
}

} // namespace yardrill::gateway
