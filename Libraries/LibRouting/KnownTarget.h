//===-- KnownTarget.h - One target as an instance knows it ----------------===//
#ifndef YARDRILL_LIBROUTING_KNOWNTARGET_H
#define YARDRILL_LIBROUTING_KNOWNTARGET_H

#include "LibCore/Time.h"
#include "LibRouting/Target.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>

namespace yardrill::routing {

/// Work under way at a target, as one instance or all others count it.
struct TargetLoad {
  std::size_t m_Running = 0; ///< Requests sent and not answered.
  std::uint64_t m_PendingPromptTokens =
      0; ///< Prompt tokens without a first event.

  void subtractPromptTokens(std::uint32_t Tokens);
};

/// One target as this instance knows it.
struct KnownTarget {
  Target m_Target;
  std::uint32_t m_Hash = 0; ///< TargetIncarnation::hash().
  TargetLoad m_LocalLoad;
  TargetLoad m_RemoteLoad;
  double m_ServiceTimeMs = 0; ///< Learned: time of one event or short answer.
  double m_Slowness = 1;      ///< Against the faster targets of its pool.
  double m_FailureRate = 0;   ///< Learned: share of failures, decaying.
  unsigned m_ConsecutiveFailures = 0;
  core::TimePoint m_CooldownUntil{};
  /// Another run of a target answers at its address; it never comes back.
  bool m_IsReplaced = false;
  /// Since when its announcement is missing.
  std::optional<core::TimePoint> m_ExpiredAt;

  std::size_t running() const {
    return m_LocalLoad.m_Running + m_RemoteLoad.m_Running;
  }
  /// Whether it may get new work at some time.
  bool isOpen() const { return !m_Target.m_IsLeaving && !m_IsReplaced; }
  /// Whether it failed too lately to be trusted with more than one request.
  bool isOnProbation() const;

  /// By hash and, where two are alike, by name: the same on all instances.
  struct ByHash {
    bool operator()(const KnownTarget *A, const KnownTarget *B) const {
      return std::tie(A->m_Hash, A->m_Target.m_Name) <
             std::tie(B->m_Hash, B->m_Target.m_Name);
    }
  };
};

} // namespace yardrill::routing

#endif
