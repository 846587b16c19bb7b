//===-- ThresholdMessages.h - What pool leaders and members tell each other
//---===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDMESSAGES_H
#define YARDRILL_LIBDECISION_THRESHOLDMESSAGES_H

#include "LibCore/StrongType.h"
#include "LibDecision/Identity.h"

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <vector>

namespace yardrill::decision {

/// Orders the commands of all leaders a pool ever had: the higher epoch wins,
/// then the higher sequence.
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
  Adopt, ///< Keep the floor, drop the permission: a leader's first word.
  Hold,  ///< Set the floor, drop the permission.
  Shed,  ///< Keep the floor; the floor's tier may be shed for a while.
};

/// A leader's command to one member of one pool.
struct ThresholdCommand {
  core::PoolName m_Pool;
  core::IncarnationId m_To;
  InstanceRef m_Leader;
  ThresholdStamp m_Stamp;
  ThresholdPhase m_Phase = ThresholdPhase::Adopt;
  core::TierNumber m_Threshold;
  /// m_SentAt of the member's last report that the leader knows; the
  /// permission's time is counted from there, on the member's own clock.
  std::int64_t m_ReportSentAt = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_To, m_Leader, m_Stamp, m_Phase, m_Threshold, m_ReportSentAt);
  }
};

/// A member's word to the pool's leader.
struct ThresholdReport {
  core::PoolName m_Pool;
  InstanceRef m_From;
  ThresholdStamp m_Stamp;        ///< The last order that was carried out.
  bool m_IsConfirmed = false;    ///< Nothing below the floor runs here.
  core::TierNumber m_Threshold;  ///< Lowest tier admitted here.
  core::TierNumber m_TierToShed; ///< 0: no pressure.
  bool m_IsLeaving = false;      ///< Stopping, and nothing runs here any more.
  std::int64_t m_SentAt = 0;     ///< Microseconds on the member's own clock.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_From, m_Stamp, m_IsConfirmed, m_Threshold, m_TierToShed,
       m_IsLeaving, m_SentAt);
  }
};

/// A pool's record in the platform's key-value service: who leads it and whom
/// a leader has ever commanded.
struct ThresholdRecord {
  std::uint64_t m_Epoch = 0;
  InstanceRef m_Leader;
  std::vector<InstanceRef> m_Members;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Epoch, m_Leader, m_Members);
  }
};

struct ThresholdRecordRead {
  core::PoolName m_Pool;
  std::int64_t m_Revision = 0; ///< 0: there is none yet.
  ThresholdRecord m_Record;
  bool m_IsLeaderLive = false; ///< Its lease stands.

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_Revision, m_Record, m_IsLeaderLive);
  }
};

struct ThresholdRecordWritten {
  core::PoolName m_Pool;
  bool m_IsWritten = false; ///< False: lost the race, or nobody knows.
  std::int64_t m_Revision = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Pool, m_IsWritten, m_Revision);
  }
};

/// The instance list no longer has it and it has been silent.
struct MemberGone {
  core::IncarnationId m_Incarnation;
  template <class Archive> void serialize(Archive &Ar) { Ar(m_Incarnation); }
};

} // namespace yardrill::decision

#endif
