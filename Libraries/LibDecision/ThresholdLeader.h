//===-- ThresholdLeader.h - Leader of a pool's admission threshold --------===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDLEADER_H
#define YARDRILL_LIBDECISION_THRESHOLDLEADER_H

#include "LibCore/Time.h"
#include "LibDecision/ThresholdMember.h"
#include "LibDecision/ThresholdMessages.h"

#include <map>
#include <optional>
#include <vector>

namespace yardrill::decision {

/// Moves the admission threshold of a pool for all instances. Raising goes one
/// tier at a time; each step is confirmed by every recorded member, which is
/// each one that a leader has ever commanded and that is not known to be gone.
///
/// Raising to tier T: all members stop admitting lower tiers and evict their
/// requests. Only when all have confirmed may T be shed, under permits that
/// expire. Lowering: permits are revoked, which is confirmed or waited out,
/// before a lower tier is admitted again. Design note 0002 gives the reasons.
class ThresholdLeader {
public:
  /// \param Record the pool's record as written, with this instance as leader.
  ThresholdLeader(core::PoolName Pool, InstanceRef Self, ThresholdRecord Record,
                  std::int64_t Revision, ThresholdTimings Timings,
                  core::TimePoint Now);

  void setTiers(core::TierNumber Highest, core::TierNumber Lowest);
  /// \returns false if the report shows a leader of a higher epoch; this leader
  /// must then step down.
  bool handleReport(const ThresholdReport &Report, core::TimePoint Now);
  /// Forgets a member that has left or is gone; the next record to write leaves
  /// it out.
  void memberGone(core::IncarnationId Incarnation);

  /// Returns the record to write if the members have changed and no write is
  /// pending.
  std::optional<ThresholdRecord> recordToWrite();
  /// Handles the outcome of the pending write. \returns false if it failed;
  /// this leader must then step down.
  bool recordWritten(bool IsWritten, std::int64_t Revision);
  std::int64_t revision() const { return m_Revision; }

  /// Advances the protocol if the conditions of the phase hold. \returns a
  /// command for each recorded member.
  std::vector<std::pair<InstanceRef, ThresholdCommand>>
  step(core::TimePoint Now);

  /// Whether all tiers are admitted, all members have confirmed and none is
  /// under pressure.
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
  /// Recomputes and returns the threshold to aim for: the highest tier that a
  /// member needs to shed, or the lowest tier if there is no pressure.
  core::TierNumber updateGoal(core::TimePoint Now);
  /// Returns the lowest threshold of the members. All must have confirmed.
  core::TierNumber lowestMemberThreshold() const;
  core::TierNumber nextHigherTier(core::TierNumber Tier) const;

  core::PoolName m_Pool;
  InstanceRef m_Self;
  ThresholdRecord m_Record; ///< Record as last written.
  /// Instances that have reported and are not yet recorded.
  std::map<core::IncarnationId, InstanceRef> m_NewMembers;
  std::vector<core::IncarnationId> m_RemovedMembers;
  std::optional<ThresholdRecord> m_PendingRecord;
  std::int64_t m_Revision;
  ThresholdTimings m_Timings;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  ThresholdPhase m_Phase = ThresholdPhase::Adopt;
  std::uint64_t m_Sequence = 1;
  core::TierNumber m_Threshold{1};
  /// Set before the threshold is lowered, while permits that were sent earlier
  /// may still be in force.
  bool m_IsRevoking = false;
  core::TimePoint m_LastPermitAt;
  core::TimePoint m_LastPressureAt;
  core::TierNumber m_LastGoal{0};
  bool m_HasPressure = false; ///< Pressure was reported since the last step().
  std::map<core::IncarnationId, ReceivedReport> m_Reports;
};

} // namespace yardrill::decision

#endif
