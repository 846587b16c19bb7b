//===-- StreamMessages.h - Where streams have begun, sent to peers --------===//
#ifndef YARDRILL_LIBPEER_STREAMMESSAGES_H
#define YARDRILL_LIBPEER_STREAMMESSAGES_H

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yardrill::peer {

/// Pool and version of the targets of one stream.
struct StreamOriginEntry {
  std::uint64_t m_KeyHigh = 0; ///< Of its gateway::StreamKey.
  std::uint64_t m_KeyLow = 0;
  std::uint32_t m_Pool = 0; ///< routing::hashOf() of its name.
  std::string m_Version;
  std::uint32_t m_LifetimeMs = 0; ///< Time for which it may be resumed.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_KeyHigh, m_KeyLow, m_Pool, m_Version, m_LifetimeMs);
  }
};

/// Asks the receiver to keep entries for other instances.
struct StreamOriginUpdate {
  std::vector<StreamOriginEntry> m_Entries;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Entries); }
};

/// Asks where a stream has begun.
struct StreamOriginQuery {
  std::uint64_t m_QueryId = 0; ///< Chosen by the sender.
  std::uint64_t m_KeyHigh = 0;
  std::uint64_t m_KeyLow = 0;
  std::uint32_t m_Route = 0; ///< routing::Route::m_Hash.
  std::string m_Pool;        ///< Only pool of the route at the sender.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_QueryId, m_KeyHigh, m_KeyLow, m_Route, m_Pool);
  }
};

enum class StreamOriginAnswer : std::uint8_t {
  Unknown,
  Recorded,    ///< The stream has begun there.
  OnlyVersion, ///< It can't have begun anywhere else.
};

/// Response to a StreamOriginQuery.
struct StreamOriginResponse {
  std::uint64_t m_QueryId = 0;
  StreamOriginAnswer m_Answer = StreamOriginAnswer::Unknown;
  std::uint32_t m_Pool = 0; ///< routing::hashOf() of its name.
  std::string m_Version;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_QueryId, m_Answer, m_Pool, m_Version);
  }
};

} // namespace yardrill::peer

#endif
