//===-- RolloutMessages.h - Roll-out reports and permits between peers ----===//
#ifndef YARDRILL_LIBPEER_ROLLOUTMESSAGES_H
#define YARDRILL_LIBPEER_ROLLOUTMESSAGES_H

#include "LibRollout/Permit.h"

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace yardrill::peer {

/// Number of responses in one bin of response times.
struct RolloutTimeBin {
  std::uint8_t m_Bin = 0;
  std::uint32_t m_Count = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Bin, m_Count); }
};

/// Wire form of rollout::ResponseCounts with their key.
struct RolloutCounts {
  bool m_IsNew = false;       ///< Of the new version
  std::uint32_t m_Target = 0; ///< routing::TargetIncarnation::hash()
  std::uint32_t m_Route = 0;
  std::uint32_t m_Failures = 0;
  std::vector<RolloutTimeBin> m_Times; ///< Non-empty bins

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_IsNew, m_Target, m_Route, m_Failures, m_Times);
  }
};

/// Wire form of a rollout::Report, or of a part of it.
struct RolloutReport {
  core::PoolName m_Pool;
  std::int64_t m_Order = 0;
  std::uint64_t m_Number = 0;
  std::int64_t m_AgeUs = 0;   ///< Age of the order
  std::uint8_t m_Traffic = 0; ///< rollout::Traffic
  std::uint32_t m_RunningOld = 0;
  std::uint32_t m_Sent = 0;
  std::uint32_t m_SentNew = 0;
  bool m_WantsPermit = true; ///< Set only in a report's first part
  std::vector<RolloutCounts> m_Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Order, m_Number, m_AgeUs, m_Traffic, m_RunningOld, m_Sent,
       m_SentNew, m_WantsPermit, m_Counts);
  }
};

/// Wire form of a rollout::Permit.
struct RolloutPermit {
  core::PoolName m_Pool;
  std::int64_t m_Order = 0;
  std::uint64_t m_Report = 0; ///< Number of the report it responds to
  std::uint8_t m_Traffic = 0; ///< rollout::Traffic
  double m_Share = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Order, m_Report, m_Traffic, m_Share);
  }
};

/// Splits a report into at least one part, each of which fits a datagram.
std::vector<RolloutReport> toMessages(const rollout::Report &Report,
                                      const core::PoolName &Pool);
/// Converts a received report; bins that do not exist are ignored, and unknown
/// traffic counts as Traffic::Old.
rollout::Report toReport(const RolloutReport &Message);
/// Converts a permit to its wire form.
RolloutPermit toMessage(const rollout::Permit &Granted,
                        const core::PoolName &Pool);
/// Converts a received permit; unknown traffic counts as Traffic::Old.
rollout::Permit toPermit(const RolloutPermit &Granted);

} // namespace yardrill::peer

#endif
