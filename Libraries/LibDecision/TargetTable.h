//===-- TargetTable.h - Load and speed of the targets of a pool -----------===//
#ifndef YARDRILL_LIBDECISION_TARGETTABLE_H
#define YARDRILL_LIBDECISION_TARGETTABLE_H

#include "LibConfig/FleetConfiguration.h"
#include "LibCore/StrongType.h"
#include "LibCore/Time.h"
#include "LibPolicy/PolicyProgram.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace yardrill::decision {

/// Work that a request is expected to cause at a target.
struct ExpectedWork {
  std::uint32_t m_PrefillTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  std::uint64_t m_PrefixHash = 0;
  /// Policy decision with the allowed data halls and targets; null: all.
  const policy::PolicyDecision *m_Allowed = nullptr;

  bool isAllowedAt(const config::Target &Target) const;
};

/// State of one target at this instance.
struct TargetState {
  config::Target m_Target;
  std::uint64_t m_NameHash = 0;   ///< Same at all instances.
  bool m_IsLeavingByList = false; ///< The instance list shows it as leaving.
  std::size_t m_Running = 0;      ///< Requests dispatched by this instance.
  std::map<core::TierNumber, std::size_t> m_RunningByTier;
  /// Moving average of one stream, in tokens per second; 0: no response yet.
  double m_DecodeRate = 0;
  /// Moving average, in tokens per second; 0: no response yet.
  double m_PrefillRate = 0;
  std::uint32_t m_ConnectFailures = 0; ///< Consecutive failed connects.
  core::TimePoint m_ConnectRetryAt{};

  bool takesNewWork(core::TimePoint Now) const {
    return !m_Target.m_IsLeaving && !m_IsLeavingByList &&
           m_ConnectRetryAt <= Now;
  }
};

/// Chooses the target of a request by its predicted completion time, and learns
/// the speed of targets from their responses. Used by PoolScheduler.
class TargetTable {
public:
  /// Applies a new configuration and keeps the state of targets that remain.
  void configure(const config::Pool &Pool, core::TierNumber Highest);
  void setInstances(std::uint32_t Count) { m_InstanceCount = Count; }
  void setLeaving(const std::set<core::TargetName> &Leaving);

  /// Returns the target with a free slot for this tier that is predicted to
  /// finish first, chosen at random among near ties; nothing if there is none.
  std::optional<core::TargetName> choose(const ExpectedWork &Work,
                                         core::TierNumber Tier,
                                         core::TimePoint Now,
                                         std::mt19937_64 &Random) const;

  void started(const core::TargetName &Name, core::TierNumber Tier);
  void finished(const core::TargetName &Name, core::TierNumber Tier);
  void connectFailed(const core::TargetName &Name, core::TierNumber Tier,
                     core::TimePoint Now);
  /// Updates the rates of a target after a complete response: \p FirstByte is
  /// the time to its first byte and \p Rest the time from there to its end.
  void updateRates(const core::TargetName &Name, const ExpectedWork &Work,
                   core::Duration FirstByte, core::Duration Rest,
                   std::uint32_t OutputTokens);

  const TargetState *find(const core::TargetName &Name) const;
  const std::map<core::TargetName, TargetState> &all() const {
    return m_Targets;
  }
  /// Returns the number of slots of \p Target that this instance may use, which
  /// is an equal share, rounded up.
  std::size_t instanceShare(const TargetState &Target) const;

private:
  /// Number of targets whose cache is expected to hold a shared prefix.
  static constexpr std::size_t PrefixTargetCount = 2;
  using PrefixTargets = std::array<const TargetState *, PrefixTargetCount>;

  /// Whether the target has a free slot for \p Tier. A target that honours
  /// priorities serves higher tiers first, so only requests of the same or a
  /// higher tier count there.
  bool hasFreeSlot(const TargetState &Target, core::TierNumber Tier) const;
  /// Whether one more request of \p Tier, which is not the highest, leaves the
  /// slots free that are reserved for the highest tier. Sums over the pool,
  /// uses this instance's share and leaves out requests of tiers below \p Tier.
  bool leavesReservedSlots(core::TierNumber Tier) const;
  /// Returns a relative cost of running \p Work at \p Target, in about seconds.
  double predictedFinish(const TargetState &Target, const ExpectedWork &Work,
                         bool IsPrefixCached) const;
  /// Returns the targets whose cache is expected to hold the prefix. Rendezvous
  /// hashing makes all instances agree without messages.
  PrefixTargets prefixTargets(std::uint64_t PrefixHash) const;

  std::map<core::TargetName, TargetState> m_Targets;
  std::uint32_t m_InstanceCount = 1;
  std::size_t m_ReservedSlots = 0;
  double m_PrefillWeight = 1;
  std::set<core::TargetName> m_Leaving; ///< Leaving targets of the list.
  core::TierNumber m_Highest{1};
  bool m_HonoursPriority = false;
};

} // namespace yardrill::decision

#endif
