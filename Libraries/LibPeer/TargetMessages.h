//===-- TargetMessages.h - What targets said, told to instances -----------===//
#ifndef YARDRILL_LIBPEER_TARGETMESSAGES_H
#define YARDRILL_LIBPEER_TARGETMESSAGES_H

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yardrill::peer {

/// A routing::BackpressureReport. Its time is told as an age, since clocks
/// differ.
struct BackpressureEntry {
  std::string m_Target;
  std::int64_t m_StartTime = 0;
  bool m_IsLimited = false;
  double m_PerSecond = 0;
  std::uint64_t m_LimitAgeUs = 0; ///< Of the answer that said so.
  bool m_IsLeaving = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Target, m_StartTime, m_IsLimited, m_PerSecond, m_LimitAgeUs,
       m_IsLeaving);
  }
};

/// The newest word of each run counts, in whatever order they come.
struct BackpressureUpdate {
  /// Within one datagram.
  static constexpr std::size_t MaxEntries = 16;

  std::vector<BackpressureEntry> m_Entries;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Entries); }
};

} // namespace yardrill::peer

#endif
