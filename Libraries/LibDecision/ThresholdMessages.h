//===-- ThresholdMessages.h - Messages of the admission threshold ---------===//
//
// The leader of a pool and its members (the instances) exchange commands and
// reports by UDP; the record of who leads is in the platform's key-value
// service. Tier numbers grow downwards: tier 1 is the highest. The threshold is
// the lowest tier that is admitted.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDMESSAGES_H
#define YARDRILL_LIBDECISION_THRESHOLDMESSAGES_H

#include "LibCore/StrongType.h"
#include "LibDecision/Identity.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace yardrill::decision {

/// Orders the commands of all leaders that a pool ever had, by the leader's
/// epoch and then by sequence number.
struct ThresholdStamp {
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Sequence = 0;

  bool operator<(const ThresholdStamp &Other) const {
    return m_Epoch != Other.m_Epoch ? m_Epoch < Other.m_Epoch
                                    : m_Sequence < Other.m_Sequence;
  }
  bool operator==(const ThresholdStamp &Other) const {
    return m_Epoch == Other.m_Epoch && m_Sequence == Other.m_Sequence;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Epoch, m_Sequence);
  }
};

enum class ThresholdPhase : std::uint8_t {
  Adopt, ///< New leader: keep the threshold, drop the permit.
  Hold,  ///< Set the threshold, drop the permit.
  Shed,  ///< Set the threshold, with a permit to shed the threshold tier.
};

/// Command of a pool's leader to one member.
struct ThresholdCommand {
  core::PoolName m_Pool;
  core::IncarnationId m_To;
  InstanceRef m_Leader;
  ThresholdStamp m_Stamp;
  ThresholdPhase m_Phase = ThresholdPhase::Adopt;
  core::TierNumber m_Threshold;
  /// m_SentAt of the last report that the leader received from this member. A
  /// permit's lifetime starts there, on the member's own clock.
  std::int64_t m_ReportSentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_To, m_Leader, m_Stamp, m_Phase, m_Threshold, m_ReportSentAt);
  }
};

/// Report of a member to the pool's leader.
struct ThresholdReport {
  core::PoolName m_Pool;
  InstanceRef m_From;
  ThresholdStamp m_Stamp;        ///< Stamp of the last command applied.
  bool m_IsConfirmed = false;    ///< Whether nothing below the threshold runs.
  core::TierNumber m_Threshold;  ///< Lowest tier that the member admits.
  core::TierNumber m_TierToShed; ///< Tier under pressure; 0: none.
  bool m_IsLeaving = false;  ///< Stopping, with no request waiting or running.
  std::int64_t m_SentAt = 0; ///< Microseconds on the member's steady clock.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_From, m_Stamp, m_IsConfirmed, m_Threshold, m_TierToShed,
       m_IsLeaving, m_SentAt);
  }
};

/// Record of a pool in the platform's key-value service: its leader, and every
/// member that a leader has ever commanded and that is not known to be gone.
struct ThresholdRecord {
  std::uint64_t m_Epoch = 0;
  InstanceRef m_Leader;
  std::vector<InstanceRef> m_Members;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Epoch, m_Leader, m_Members);
  }
};

/// The outcome of a ReadThresholdRecord action.
struct ThresholdRecordRead {
  core::PoolName m_Pool;
  std::int64_t m_Revision = 0; ///< 0: no record exists.
  ThresholdRecord m_Record;
  bool m_IsLeaderLive = false; ///< Whether the leader's lease is in force.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Revision, m_Record, m_IsLeaderLive);
  }
};

/// The outcome of a WriteThresholdRecord action.
struct ThresholdRecordWritten {
  core::PoolName m_Pool;
  bool m_IsWritten = false; ///< False: lost to another write, or unknown.
  std::int64_t m_Revision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_IsWritten, m_Revision);
  }
};

/// A member has been silent, and the instance list no longer has its address or
/// another process uses that address.
struct MemberGone {
  core::IncarnationId m_Incarnation;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Incarnation); }
};

} // namespace yardrill::decision

#endif
