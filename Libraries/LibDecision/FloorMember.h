//===-- FloorMember.h - One instance's part in a pool's tier order --------===//
#ifndef YARDRILL_LIBDECISION_FLOORMEMBER_H
#define YARDRILL_LIBDECISION_FLOORMEMBER_H

#include "LibCore/Time.h"
#include "LibDecision/FloorMessages.h"

#include <optional>

namespace yardrill::decision {

/// Times of the protocol; the same at every instance.
struct FloorTimes {
  /// A permission lasts this long after the report it answers was sent.
  core::Duration m_Permission = std::chrono::seconds(2);
  /// Added by the leader when it waits out permissions: covers clock rates
  /// that differ by up to one part in four.
  core::Duration m_Margin = std::chrono::milliseconds(500);
  /// How long pressure must be gone before the floor is lowered.
  core::Duration m_Calm = std::chrono::seconds(3);
  /// A report older than this says nothing about pressure.
  core::Duration m_ReportAge = std::chrono::seconds(2);
};

/// Keeps the promise "a higher tier is never shed while a lower tier still
/// runs" on the member's side:
///  - a tier below the floor is not admitted;
///  - a tier is shed only if it is the pool's lowest, or under a permission
///    that has not expired, which a leader gives only while no member runs
///    anything below the floor;
///  - until a leader has commanded this incarnation, only the highest tier is
///    admitted.
class FloorMember {
public:
  FloorMember(core::PoolName Pool, Home Self, FloorTimes Times);

  /// The pool's highest and lowest tier by the configuration in force.
  void setTiers(core::TierNumber Highest, core::TierNumber Lowest);

  bool mayAdmit(core::TierNumber Tier) const { return !(floor() < Tier); }
  bool mayShed(core::TierNumber Tier, core::TimePoint Now) const;
  core::TierNumber floor() const;
  /// Whether a leader has set a floor for this incarnation.
  bool isCommanded() const { return m_Floor.has_value(); }
  /// When the permission ends; in the past when there is none.
  core::TimePoint permissionUntil() const { return m_PermissionUntil; }
  const std::optional<Home> &leader() const { return m_Leader; }
  core::TimePoint lastOrderAt() const { return m_LastOrderAt; }
  FloorStamp stamp() const { return m_Stamp; }

  /// \returns false when the order is stale or not for this incarnation.
  bool obey(const FloorOrder &Order, core::TimePoint Now);
  /// Takes the leader from the pool's record, until an order comes.
  void setLeader(const Home &Leader, std::uint64_t Epoch);

  FloorReport report(bool NothingBelowRuns, core::TierNumber WantsToShed,
                     core::TimePoint Now) const;

private:
  core::PoolName m_Pool;
  Home m_Self;
  FloorTimes m_Times;
  core::TierNumber m_Highest{1};
  core::TierNumber m_Lowest{1};
  std::optional<core::TierNumber> m_Floor; ///< None: nobody commanded us.
  FloorStamp m_Stamp;
  core::TimePoint m_PermissionUntil{};
  std::optional<Home> m_Leader;
  std::uint64_t m_LeaderEpoch = 0;
  core::TimePoint m_LastOrderAt{};
};

} // namespace yardrill::decision

#endif
