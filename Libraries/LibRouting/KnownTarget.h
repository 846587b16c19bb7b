//===-- KnownTarget.h - State of one target in the target directory -------===//
#ifndef YARDRILL_LIBROUTING_KNOWNTARGET_H
#define YARDRILL_LIBROUTING_KNOWNTARGET_H

#include "LibCore/Time.h"
#include "LibRouting/Target.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

namespace yardrill::routing {

/// Load on a target: that of this instance, or the sum over the other instances
/// of its group.
struct TargetLoad {
  /// Number of requests sent whose response is not complete.
  std::size_t m_Running = 0;
  /// Prompt tokens of streams without a first event.
  std::uint64_t m_PendingPromptTokens = 0;

  /// Subtracts tokens, down to zero.
  void subtractPromptTokens(std::uint32_t Tokens);
};

/// A target with its load and what this instance has learned about it.
struct KnownTarget {
  Target m_Target;
  std::uint32_t m_Hash = 0; ///< TargetIncarnation::hash().
  TargetLoad m_LocalLoad;
  TargetLoad m_RemoteLoad;
  /// Part of m_LocalLoad.m_Running that other instances may use.
  std::size_t m_ReservedSlots = 0;
  /// Part of m_ReservedSlots that other groups use: their reports, unlike those
  /// of group peers, never show the request.
  std::size_t m_LentSlots = 0;
  /// Moving average of the time per stream event or short response, in
  /// milliseconds; 0 while unknown.
  double m_ServiceTimeMs = 0;
  double m_Slowness = 1;    ///< Service time relative to the subset's median.
  double m_FailureRate = 0; ///< Moving average, 0 to 1.
  unsigned m_ConsecutiveFailures = 0;
  core::TimePoint m_CooldownUntil{};
  /// Rejections a second, summed over all instances, above which it fails; none
  /// if it bears any number.
  std::optional<double> m_MaxRejectionsPerSecond;
  /// Time until which this instance must not risk another rejection.
  core::TimePoint m_RejectionPauseUntil{};
  /// Another incarnation responds at its address; this one will not return.
  bool m_IsReplaced = false;
  /// End of the warm-up that its announcement states.
  core::TimePoint m_StatedWarmUpUntil{};
  /// Start of a warm-up that is assumed, since an announcement that states it
  /// can be late.
  std::optional<core::TimePoint> m_AssumedWarmUpSince;
  /// Time since which its announcement is missing.
  std::optional<core::TimePoint> m_ExpiredAt;
  /// Whether it is missing since the store has come back from an older copy.
  bool m_IsLostInCopy = false;

  std::size_t running() const {
    return m_LocalLoad.m_Running + m_RemoteLoad.m_Running;
  }
  /// Whether it may receive requests now or later, by its announcement.
  bool acceptsRequests() const {
    return !m_Target.m_IsLeaving && !m_IsReplaced;
  }
  /// Whether this instance sends it only one request at a time, after failures
  /// and until a request succeeds or its stream begins.
  bool isOnProbation() const;

  /// Orders by hash, then by name; the same order on all instances.
  struct ByHash {
    bool operator()(const KnownTarget *A, const KnownTarget *B) const {
      return std::tie(A->m_Hash, A->m_Target.m_Name) <
             std::tie(B->m_Hash, B->m_Target.m_Name);
    }
  };
};

} // namespace yardrill::routing

#endif
