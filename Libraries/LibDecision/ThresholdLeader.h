//===-- ThresholdLeader.h - The leader's part in a pool's tier order
//----------===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDLEADER_H
#define YARDRILL_LIBDECISION_THRESHOLDLEADER_H

#include "LibCore/Time.h"
#include "LibDecision/ThresholdMember.h"
#include "LibDecision/ThresholdMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace yardrill::decision {

/// Moves a pool's floor one tier at a time, each step confirmed by every
/// member that a leader has ever commanded and that is not known to be gone.
///
/// Raising to tier T: first all stop admitting and evict what is below T;
/// only when all have confirmed may T be shed, under permissions that expire.
/// Lowering: permissions are withdrawn, and acknowledged or waited out, before
/// a lower tier is admitted again. The design note 0002 gives the reasons and
/// the runs that show what each rule is for.
class ThresholdLeader {
public:
  /// \param Record as written, with this instance as leader.
  ThresholdLeader(core::PoolName Pool, InstanceRef Self, ThresholdRecord Record,
                  std::int64_t Revision, ThresholdTimings Timings,
                  core::TimePoint Now);

  void setTiers(core::TierNumber Highest, core::TierNumber Lowest);
  /// \returns false when the report shows a leader of a higher epoch: this one
  /// has to step down.
  bool handleReport(const ThresholdReport &Report, core::TimePoint Now);
  /// The member takes no further part; it is written out of the record.
  void memberGone(core::IncarnationId Incarnation);

  /// The record to be written, when members came or went and no write is
  /// under way.
  std::optional<ThresholdRecord> recordToWrite();
  /// \returns false when the write lost to another leader: step down.
  bool recordWritten(bool IsWritten, std::int64_t Revision);
  std::int64_t revision() const { return m_Revision; }

  /// Moves on where all have confirmed, and returns an order for each
  /// recorded member.
  std::vector<std::pair<InstanceRef, ThresholdCommand>>
  step(core::TimePoint Now);

  /// Everything is admitted, all have confirmed, and nobody is under pressure.
  bool isQuiet() const;
  ThresholdPhase phase() const { return m_Phase; }
  core::TierNumber threshold() const { return m_Threshold; }
  std::uint64_t epoch() const { return m_Record.m_Epoch; }
  bool hasMember(const InstanceRef &Member) const;

private:
  struct ReceivedReport {
    ThresholdReport m_Report;
    core::TimePoint m_At;
  };

  void advance(core::TimePoint Now);
  void advanceHold(core::TierNumber Goal, core::TimePoint Now);
  void advanceShed(core::TierNumber Goal, core::TimePoint Now);
  void enter(ThresholdPhase Phase, core::TierNumber Threshold);
  bool allConfirmed() const;
  /// Highest tier that a member needs to shed; the lowest tier when none.
  core::TierNumber updateGoal(core::TimePoint Now);
  /// Only after all have confirmed.
  core::TierNumber lowestMemberThreshold() const;
  core::TierNumber nextHigherTier(core::TierNumber Tier) const;

  core::PoolName m_Pool;
  InstanceRef m_Self;
  ThresholdRecord m_Record; ///< As last written.
  std::map<core::IncarnationId, InstanceRef>
      m_NewMembers; ///< Heard, not yet recorded.
  std::vector<core::IncarnationId> m_RemovedMembers;
  std::optional<ThresholdRecord> m_PendingRecord;
  std::int64_t m_Revision;
  ThresholdTimings m_Timings;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  ThresholdPhase m_Phase = ThresholdPhase::Adopt;
  std::uint64_t m_Sequence = 1;
  core::TierNumber m_Threshold{1};
  /// Set while the floor is about to be lowered: permissions that were sent
  /// before may still stand.
  bool m_IsRevoking = false;
  core::TimePoint m_LastPermitAt;
  core::TimePoint m_LastPressureAt;
  core::TierNumber m_LastGoal{0};
  bool m_HasPressure = false; ///< Reported since the last step.
  std::map<core::IncarnationId, ReceivedReport> m_Reports;
};

} // namespace yardrill::decision

#endif
