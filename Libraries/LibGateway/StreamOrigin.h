//===-- StreamOrigin.h - Where a stream has begun -------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STREAMORIGIN_H
#define YARDRILL_LIBGATEWAY_STREAMORIGIN_H

#include "LibCore/StrongType.h"
#include "LibRouting/TierDemand.h"

#include <cstdint>
#include <string_view>
#include <tuple>

namespace yardrill::gateway {

/// The first 128 bits of SHA-256 (FIPS 180-4) over the client account, the
/// host, the path with the query, and the id of the attempt that received the
/// stream's first event. No caller can name a stream of another account.
struct StreamKey {
  std::uint64_t m_High = 0;
  std::uint64_t m_Low = 0;

  /// \param Account name of the client account; empty: none.
  static StreamKey of(std::string_view Account, std::string_view Host,
                      std::string_view Target, std::string_view Attempt);

  bool operator==(const StreamKey &Other) const {
    return m_High == Other.m_High && m_Low == Other.m_Low;
  }
  bool operator<(const StreamKey &Other) const {
    return std::tie(m_High, m_Low) < std::tie(Other.m_High, Other.m_Low);
  }
};

/// Pool and version of all targets that may contribute to a stream: what two
/// versions write does not fit together.
struct StreamOrigin {
  routing::PoolHash m_Pool = 0;
  core::TargetVersion m_Version;

  bool operator==(const StreamOrigin &Other) const {
    return m_Pool == Other.m_Pool && m_Version == Other.m_Version;
  }
};

/// Route of a stream, and the pool that this instance would choose for it.
struct StreamRoute {
  std::uint32_t m_Route = 0; ///< routing::Route::m_Hash.
  core::PoolName m_Pool;
};

} // namespace yardrill::gateway

/// Uses the low half, since all bits of a digest are evenly distributed.
template <> struct std::hash<yardrill::gateway::StreamKey> {
  std::size_t operator()(const yardrill::gateway::StreamKey &Key) const {
    return static_cast<std::size_t>(Key.m_Low);
  }
};

#endif
