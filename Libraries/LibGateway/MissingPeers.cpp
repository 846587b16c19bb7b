//===-- MissingPeers.cpp - Peers that fell silent without stopping --------===//
#include "LibGateway/MissingPeers.h"

#include <iterator>

namespace yardrill::gateway {

/// Time for which a missing peer's share of the quotas stays reserved. Exceeds
/// a window of the quotas (8 s) and a restart.
static constexpr std::chrono::seconds RetentionTime{10};

void MissingPeers::forgetOld(core::TimePoint Now) {
  for (auto Each = m_LostAt.begin(); Each != m_LostAt.end();)
    Each = Now - Each->second > RetentionTime ? m_LostAt.erase(Each)
                                              : std::next(Each);
}

} // namespace yardrill::gateway
