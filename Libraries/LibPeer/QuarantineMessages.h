//===-- QuarantineMessages.h - Quarantine observations sent to peers ------===//
#ifndef YARDRILL_LIBPEER_QUARANTINEMESSAGES_H
#define YARDRILL_LIBPEER_QUARANTINEMESSAGES_H

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace yardrill::peer {

/// Wire form of a quarantine::Observation.
struct QuarantineObservation {
  std::uint64_t m_ContentHigh = 0;
  std::uint64_t m_ContentLow = 0;
  std::uint32_t m_Incarnation = 0; ///< routing::TargetIncarnation::hash()
  bool m_IsCleared = false;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_ContentHigh, m_ContentLow, m_Incarnation, m_IsCleared);
  }
};

/// Observations that each receiver merges into its own. Sent several times,
/// since datagrams can be lost.
struct QuarantineUpdate {
  /// Largest number of observations in one datagram.
  static constexpr std::size_t MaxObservations = 48;

  std::vector<QuarantineObservation> m_Observations;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Observations); }
};

} // namespace yardrill::peer

#endif
