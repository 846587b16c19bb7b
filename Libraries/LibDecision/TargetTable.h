//===-- TargetTable.h - What is known of one pool's targets ---------------===//
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

/// What a request will probably cost a target.
struct ExpectedWork {
  std::uint32_t m_PrefillTokens = 0;
  std::uint32_t m_OutputTokens = 0;
  std::uint64_t m_PrefixHash = 0;
  /// Where the policy lets it run; null: anywhere.
  const policy::PolicyDecision *m_Allowed = nullptr;

  bool isAllowedAt(const config::Target &Target) const;
};

/// One target as this instance knows it.
struct TargetState {
  config::Target m_Target;
  std::uint64_t m_NameHash = 0; ///< The same at every instance.
  bool m_IsLeavingByList = false;
  std::size_t m_Running = 0; ///< Dispatched by this instance.
  std::map<core::TierNumber, std::size_t> m_RunningByTier;
  double m_DecodeRate = 0;  ///< Learned, tokens a second of one stream.
  double m_PrefillRate = 0; ///< Learned, tokens a second.
  std::uint32_t m_ConnectFailures = 0; ///< Failed connects in a row.
  core::TimePoint m_ConnectRetryAt{};

  bool takesNewWork(core::TimePoint Now) const {
    return !m_Target.m_IsLeaving && !m_IsLeavingByList &&
           m_ConnectRetryAt <= Now;
  }
};

/// Chooses targets by predicted finish and learns their speed.
class TargetTable {
public:
  /// Takes over what is already known of targets that stay.
  void configure(const config::Pool &Pool, core::TierNumber Highest);
  void setInstances(std::uint32_t Count) { m_InstanceCount = Count; }
  void setLeaving(const std::set<core::TargetName> &Leaving);

  /// \returns the target that would finish soonest, prefill weighed, among
  /// those with a place for this tier; none when there is no place.
  std::optional<core::TargetName> choose(const ExpectedWork &Work,
                                         core::TierNumber Tier,
                                         core::TimePoint Now,
                                         std::mt19937_64 &Random) const;

  void started(const core::TargetName &Name, core::TierNumber Tier);
  void finished(const core::TargetName &Name, core::TierNumber Tier);
  void connectFailed(const core::TargetName &Name, core::TierNumber Tier,
                     core::TimePoint Now);
  void updateRates(const core::TargetName &Name, const ExpectedWork &Work,
                   core::Duration FirstByte, core::Duration Rest,
                   std::uint32_t OutputTokens);

  const TargetState *find(const core::TargetName &Name) const;
  const std::map<core::TargetName, TargetState> &all() const {
    return m_Targets;
  }
  /// Places this instance may fill at \p Target: its share among instances.
  std::size_t instanceShare(const TargetState &Target) const;

private:
  /// Targets at which a shared prefix is expected to be in the cache.
  static constexpr std::size_t PrefixTargetCount = 2;
  using PrefixTargets = std::array<const TargetState *, PrefixTargetCount>;

  /// A target that honours priorities serves a higher tier before what waits
  /// there of a lower one, so only work of the same or a higher tier counts.
  bool hasFreeSlot(const TargetState &Target, core::TierNumber Tier) const;
  /// Whether one more request of a lower tier leaves, over the whole pool, the
  /// places free that are kept for the highest.
  bool leavesReservedSlots(core::TierNumber Tier) const;
  double predictedFinish(const TargetState &Target, const ExpectedWork &Work,
                         bool IsPrefixCached) const;
  /// Where the prefix is expected: its first targets by rendezvous hash, the
  /// same at every instance without a message.
  PrefixTargets prefixTargets(std::uint64_t PrefixHash) const;

  std::map<core::TargetName, TargetState> m_Targets;
  std::uint32_t m_InstanceCount = 1;
  std::size_t m_ReservedSlots = 0;
  double m_PrefillWeight = 1;
  std::set<core::TargetName> m_Leaving; ///< By the instance list.
  core::TierNumber m_Highest{1};
  bool m_HonoursPriority = false;
};

} // namespace yardrill::decision

#endif
