//===-- TargetMessages.h - Backpressure of targets, sent to peers ---------===//
#ifndef YARDRILL_LIBPEER_TARGETMESSAGES_H
#define YARDRILL_LIBPEER_TARGETMESSAGES_H

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yardrill::peer {

/// Wire form of a routing::BackpressureReport. Its time is sent as an age,
/// since the clocks of instances differ.
struct BackpressureEntry {
  std::string m_Target;
  std::int64_t m_StartTime = 0;
  bool m_IsLimited = false;
  double m_PerSecond = 0;         ///< Rate limit in requests per second
  std::uint64_t m_LimitAgeUs = 0; ///< Age of the response that stated it
  bool m_IsLeaving = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_StartTime, m_IsLimited, m_PerSecond, m_LimitAgeUs,
       m_IsLeaving);
  }
};

/// Backpressure of several targets. The newest report of each incarnation
/// applies, independent of the order of arrival.
struct BackpressureUpdate {
  /// Largest number of entries in one datagram.
  static constexpr std::size_t MaxEntries = 16;

  std::vector<BackpressureEntry> m_Entries;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Entries); }
};

} // namespace yardrill::peer

#endif
