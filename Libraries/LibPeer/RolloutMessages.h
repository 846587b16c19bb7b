//===-- RolloutMessages.h - Roll-outs, as instances tell each other -------===//
#ifndef YARDRILL_LIBPEER_ROLLOUTMESSAGES_H
#define YARDRILL_LIBPEER_ROLLOUTMESSAGES_H

#include "LibRollout/Permit.h"

#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace yardrill::peer {

struct RolloutTimes {
  std::uint8_t m_Bin = 0;
  std::uint32_t m_Count = 0;

  template <class Archive> void serialize(Archive &Ar) { Ar(m_Bin, m_Count); }
};

struct RolloutCell {
  bool m_IsNew = false;
  std::uint32_t m_Target = 0;
  std::uint32_t m_Route = 0;
  std::uint32_t m_Failures = 0;
  std::vector<RolloutTimes> m_Times; ///< Bins that are not empty.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_IsNew, m_Target, m_Route, m_Failures, m_Times);
  }
};

/// A part of a rollout::Report.
struct RolloutReport {
  core::PoolName m_Pool;
  std::int64_t m_Order = 0;
  std::uint64_t m_Number = 0;
  std::int64_t m_AgeUs = 0;
  std::uint8_t m_Traffic = 0;
  std::uint32_t m_RunningOld = 0;
  std::uint32_t m_Sent = 0;
  std::uint32_t m_SentNew = 0;
  bool m_WantsPermit = true; ///< One part of each report does.
  std::vector<RolloutCell> m_Counts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Order, m_Number, m_AgeUs, m_Traffic, m_RunningOld, m_Sent,
       m_SentNew, m_WantsPermit, m_Counts);
  }
};

struct RolloutPermit {
  core::PoolName m_Pool;
  std::int64_t m_Order = 0;
  std::uint64_t m_Report = 0;
  std::uint8_t m_Traffic = 0;
  double m_Share = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Order, m_Report, m_Traffic, m_Share);
  }
};

/// Parts that fit a datagram each, at least one.
std::vector<RolloutReport> toMessages(const rollout::Report &From,
                                      const core::PoolName &Pool);
/// What can't be (a bin that does not exist) is left out.
rollout::Report toReport(const RolloutReport &From);
RolloutPermit toMessage(const rollout::Permit &Granted,
                        const core::PoolName &Pool);
/// An unknown kind of traffic is that to the old version.
rollout::Permit toPermit(const RolloutPermit &Granted);

} // namespace yardrill::peer

#endif
