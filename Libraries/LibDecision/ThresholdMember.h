//===-- ThresholdMember.h - One instance's part in a pool's tier order
//--------===//
#ifndef YARDRILL_LIBDECISION_THRESHOLDMEMBER_H
#define YARDRILL_LIBDECISION_THRESHOLDMEMBER_H

#include "LibCore/Time.h"
#include "LibDecision/ThresholdMessages.h"

#include <optional>

namespace yardrill::decision {

/// Times of the protocol; the same at every instance.
struct ThresholdTimings {
  /// A permission lasts this long after the report it answers was sent.
  core::Duration m_PermitLifetime = std::chrono::seconds(2);
  /// Added by the leader when it waits out permissions: covers clock rates
  /// that differ by up to one part in four.
  core::Duration m_ClockMargin = std::chrono::milliseconds(500);
  /// How long pressure must be gone before the floor is lowered.
  core::Duration m_LoweringDelay = std::chrono::seconds(3);
  /// A report older than this says nothing about pressure.
  core::Duration m_MaxReportAge = std::chrono::seconds(2);
};

/// Keeps the promise "a higher tier is never shed while a lower tier still
/// runs" on the member's side:
///  - a tier below the floor is not admitted;
///  - a tier is shed only if it is the pool's lowest, or under a permission
///    that has not expired, which a leader gives only while no member runs
///    anything below the floor;
///  - until a leader has commanded this incarnation, only the highest tier is
///    admitted.
class ThresholdMember {
public:
  ThresholdMember(core::PoolName Pool, InstanceRef Self,
                  ThresholdTimings Timings);

  /// The pool's highest and lowest tier by the configuration in force.
  void setTiers(core::TierNumber Highest, core::TierNumber Lowest);

  bool mayAdmit(core::TierNumber Tier) const { return !(threshold() < Tier); }
  bool mayShed(core::TierNumber Tier, core::TimePoint Now) const;
  core::TierNumber threshold() const;
  /// Whether a leader has set a floor for this incarnation.
  bool hasThreshold() const { return m_Threshold.has_value(); }
  /// When the permission ends; in the past when there is none.
  core::TimePoint shedPermitUntil() const { return m_ShedPermitUntil; }
  const std::optional<InstanceRef> &leader() const { return m_Leader; }
  core::TimePoint lastCommandAt() const { return m_LastCommandAt; }
  ThresholdStamp stamp() const { return m_Stamp; }

  /// \returns false when the order is stale or not for this incarnation.
  bool applyCommand(const ThresholdCommand &Command, core::TimePoint Now);
  /// Takes the leader from the pool's record, until an order comes.
  void setLeader(const InstanceRef &Leader, std::uint64_t Epoch);

  ThresholdReport report(bool IsConfirmed, core::TierNumber TierToShed,
                         core::TimePoint Now) const;

private:
  core::PoolName m_Pool;
  InstanceRef m_Self;
  ThresholdTimings m_Timings;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  std::optional<core::TierNumber> m_Threshold; ///< None: nobody commanded us.
  ThresholdStamp m_Stamp;
  core::TimePoint m_ShedPermitUntil{};
  std::optional<InstanceRef> m_Leader;
  std::uint64_t m_LeaderEpoch = 0;
  core::TimePoint m_LastCommandAt{};
};

} // namespace yardrill::decision

#endif
