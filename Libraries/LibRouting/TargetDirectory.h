//===-- TargetDirectory.h - The targets of all pools and their state ------===//
#ifndef YARDRILL_LIBROUTING_TARGETDIRECTORY_H
#define YARDRILL_LIBROUTING_TARGETDIRECTORY_H

#include "LibCore/Time.h"
#include "LibRouting/BeginEstimate.h"
#include "LibRouting/FleetShare.h"
#include "LibRouting/Target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// Work under way at a target, as one instance or all others count it.
struct TargetLoad {
  std::size_t m_Running = 0;         ///< Requests sent and not answered.
  std::uint64_t m_PendingPrompt = 0; ///< Prompt tokens without a first event.

  void forgetPrompt(std::uint32_t Tokens);
};

/// How a request failed at a target.
enum class TargetFailure {
  Unreachable, ///< No connection, or it ended before an answer began.
  Refused,     ///< The target said that it did not run the request.
  Failed,      ///< It ran: an error, or an answer that broke off.
};

/// One target as this instance knows it.
struct KnownTarget {
  Target m_Target;
  std::uint32_t m_Hash = 0; ///< TargetRun::hash().
  TargetLoad m_Own;
  TargetLoad m_Others;
  double m_PaceMs = 0;       ///< Learned: time of one event or short answer.
  double m_Slowness = 1;     ///< Against the faster targets of its pool.
  double m_FailureShare = 0; ///< Learned: share of failures, decaying.
  unsigned m_FailuresInARow = 0;
  core::TimePoint m_RestsUntil{};
  /// Another run of a target answers at its address; it never comes back.
  bool m_IsReplaced = false;
  /// Since when its announcement is missing.
  std::optional<core::TimePoint> m_LapsedAt;

  std::size_t running() const { return m_Own.m_Running + m_Others.m_Running; }
  /// Whether it may get new work at all.
  bool isOpen() const { return !m_Target.m_IsLeaving && !m_IsReplaced; }
  /// Whether it failed too lately to be trusted with more than one request.
  bool isOnProbation() const;
};

/// Takes announcements in and remembers what was learned about each target.
class TargetDirectory {
public:
  /// A target was announced or changed. What is counted and was learned of an
  /// earlier run under the same name is forgotten.
  /// \returns whether it is a run that was not known.
  bool announce(const Target &What);
  /// Its announcement is gone. It is used for a little longer if nothing else
  /// is there: announcements that ran out while the store was away come back
  /// within two seconds of its return.
  void withdraw(const core::TargetName &Name, core::TimePoint Now);
  /// Forgets targets whose announcements did not come back.
  void forgetLapsed(core::TimePoint Now);

  // What became of requests at a run. Of a run that has ended nothing is taken
  // in: its requests may outlast it.
  void started(const TargetRun &Run, std::uint32_t PromptTokens);
  void began(const TargetRun &Run, std::uint32_t PromptTokens);
  void ended(const TargetRun &Run, std::uint32_t PendingPrompt);
  void failed(const TargetRun &Run, TargetFailure How, core::TimePoint Now);
  /// Another target answered at its address.
  void replaced(const TargetRun &Run);
  void succeeded(const TargetRun &Run);
  /// Time between two events of a stream, or of a whole short answer.
  void notePace(const TargetRun &Run, core::Duration Pace);
  /// Time from the dispatch of a stream to its first event.
  void noteBegin(const core::PoolName &Pool, core::Duration Time);
  /// By when nearly every stream that is sent now has begun.
  core::Duration timeToBegin(const core::PoolName &Pool) const;
  /// Sums over the other instances of the group, by KnownTarget::m_Hash; a
  /// target that is not named has no work of theirs. What other groups do at
  /// targets that all groups share is not known, and not guessed.
  void setOthers(const std::unordered_map<std::uint32_t, TargetLoad> &Sums);

  /// How many targets the pool has.
  std::size_t countOf(const core::PoolName &Pool) const;
  /// The part of the targets that this instance works with.
  void setShare(const FleetShare &Share);

  KnownTarget *find(const core::TargetName &Name);
  /// \returns null when the run has ended, as far as is known.
  KnownTarget *findRun(const TargetRun &Run);
  /// Targets of a pool that this instance works with.
  std::vector<KnownTarget *> of(const core::PoolName &Pool);
  const std::map<core::TargetName, KnownTarget> &all() const {
    return m_Targets;
  }

private:
  bool areMostLapsed() const;
  void updateSlowness(const core::PoolName &Pool);
  /// Works out anew which targets of the pool are this instance's.
  void cut(const core::PoolName &Pool);

  std::map<core::TargetName, KnownTarget> m_Targets;
  FleetShare m_Share;
  std::map<core::PoolName, std::vector<core::TargetName>> m_ByPool;
  std::map<core::PoolName, std::vector<core::TargetName>> m_Own;
  std::map<core::PoolName, BeginEstimate> m_Begins;
};

} // namespace yardrill::routing

#endif
