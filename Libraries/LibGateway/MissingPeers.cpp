#include "LibGateway/MissingPeers.h"

#include <iterator>

namespace yardrill::gateway {

/// How long a silent peer's part of the quotas is kept for it: longer than a
/// window of the quotas (8 s) and than a restart takes.
static constexpr std::chrono::seconds RetentionTime{10};

void MissingPeers::forgetOld(core::TimePoint Now) {
  for (auto Each = m_LostAt.begin(); Each != m_LostAt.end();)
    Each = Now - Each->second > RetentionTime ? m_LostAt.erase(Each)
                                              : std::next(Each);
}

} // namespace yardrill::gateway
