//===-- ThresholdMember.h - Admission threshold of one instance -----------===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDMEMBER_H
#define YARDRILL_LIBDECISION_THRESHOLDMEMBER_H

#include "LibCore/Time.h"
#include "LibDecision/ThresholdMessages.h"

#include <optional>

namespace yardrill::decision {

/// Times of the threshold protocol. All instances must use the same.
struct ThresholdTimings {
  /// Lifetime of a permit, from the sending of the report that it answers.
  core::Duration m_PermitLifetime = std::chrono::seconds(2);
  /// Time that the leader waits beyond the lifetime of permits; covers clock
  /// rates that differ by up to one part in four.
  core::Duration m_ClockMargin = std::chrono::milliseconds(500);
  /// Time without pressure after which the threshold is lowered.
  core::Duration m_LoweringDelay = std::chrono::seconds(3);
  /// Age up to which a report counts as a sign of pressure.
  core::Duration m_MaxReportAge = std::chrono::seconds(2);
};

/// Decides at one instance which tiers of a pool may be admitted and shed, so
/// that a higher tier is never shed while a lower tier still runs:
///  - a tier below the threshold is not admitted;
///  - a tier is shed only if it is the pool's lowest, or under an unexpired
///    permit, which a leader grants only while no member runs a request below
///    the threshold;
///  - until a leader has commanded this incarnation, only the highest tier is
///    admitted.
/// Called by PoolScheduler. ThresholdLeader is the other side of the protocol.
class ThresholdMember {
public:
  ThresholdMember(core::PoolName Pool, InstanceRef Self,
                  ThresholdTimings Timings);

  /// Sets the highest and lowest tier of the configuration in force.
  void setTiers(core::TierNumber Highest, core::TierNumber Lowest);

  bool mayAdmit(core::TierNumber Tier) const { return !(threshold() < Tier); }
  bool mayShed(core::TierNumber Tier, core::TimePoint Now) const;
  /// Returns the lowest tier that is admitted.
  core::TierNumber threshold() const;
  /// Whether a leader has set a threshold for this incarnation.
  bool hasThreshold() const { return m_Threshold.has_value(); }
  /// Returns the expiry of the permit; a time in the past if there is none.
  core::TimePoint shedPermitUntil() const { return m_ShedPermitUntil; }
  const std::optional<InstanceRef> &leader() const { return m_Leader; }
  core::TimePoint lastCommandAt() const { return m_LastCommandAt; }
  ThresholdStamp stamp() const { return m_Stamp; }

  /// \returns false if the command is stale or for another incarnation.
  bool applyCommand(const ThresholdCommand &Command, core::TimePoint Now);
  /// Sets the leader from the pool's record, unless the leader of a later epoch
  /// is known.
  void setLeader(const InstanceRef &Leader, std::uint64_t Epoch);

  ThresholdReport report(bool IsConfirmed, core::TierNumber TierToShed,
                         core::TimePoint Now) const;

private:
  core::PoolName m_Pool;
  InstanceRef m_Self;
  ThresholdTimings m_Timings;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  std::optional<core::TierNumber> m_Threshold; ///< Empty: no command yet.
  ThresholdStamp m_Stamp;
  core::TimePoint m_ShedPermitUntil{};
  std::optional<InstanceRef> m_Leader;
  std::uint64_t m_LeaderEpoch = 0;
  core::TimePoint m_LastCommandAt{};
};

} // namespace yardrill::decision

#endif
