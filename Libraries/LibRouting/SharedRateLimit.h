//===-- SharedRateLimit.h - A target's limit over all instances
//---------------===//
//
// A target names the requests a second that it takes from all instances
// together. Nobody hands that sum out. Of the instances that work with the
// target a few are its senders, the same ones wherever the same instances are
// known; each sends its part of the limit at an even pace, and the others send
// nothing. Pacing keeps a little credit for time without requests (the generic
// cell rate algorithm, ITU-T I.371), so in any time t
//   n senders send at most  n x (limit / MaxSenders x t + 1 + Tolerance)
// and MaxSenders of them  limit x t + MaxSenders x (1 + Tolerance).
// An instance that takes itself for a sender by another list of instances adds
// the part of one; one that has just become a sender first waits a whole pace.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SHAREDRATELIMIT_H
#define YARDRILL_LIBROUTING_SHAREDRATELIMIT_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::routing {

/// What one answer of a target said of its limit.
struct RateLimitUpdate {
  std::optional<double> m_PerSecond; ///< Not set: it named none.
  core::TimePoint m_At{};            ///< When the answer came.
};

/// The limit of one run of a target, as one instance knows and keeps it.
class SharedRateLimit {
public:
  /// Senders of one target. Each is a part of the limit that is lost with its
  /// instance, and one request more that may come at once.
  static constexpr std::size_t MaxSenders = 3;
  /// Part of a pace by which a request may come early after a late one.
  static constexpr double Tolerance = 1.0 / 3;
  /// A target that names less, or nothing at all, is still asked so often:
  /// only an answer tells that its limit has changed.
  static constexpr double MinPerSecond = 0.25;

  /// Takes in a word of an answer to this or another instance; an older word
  /// than the newest changes nothing. \returns whether the limit is another
  /// one now.
  bool apply(const RateLimitUpdate &Update);
  bool isLimited() const { return m_Update.m_PerSecond.has_value(); }
  /// The newest word.
  const RateLimitUpdate &latestUpdate() const { return m_Update; }

  /// \param Senders of the target; 0: this instance is none of them.
  void setSenders(std::size_t Senders, core::TimePoint Now);
  bool isSender() const { return m_Senders != 0; }

  /// From when this instance may send one more; none: it may not send.
  std::optional<core::TimePoint> availableAt() const;
  /// What this instance may send in a second; only if it is a sender.
  double localPerSecond() const { return 1 / intervalSeconds(); }
  /// Takes note of a request that is sent now.
  void recordSent(core::TimePoint Now);

private:
  /// Time between two requests of this instance, on average.
  double intervalSeconds() const;

  RateLimitUpdate m_Update;
  std::size_t m_Senders = 0;
  /// Of a request, or when this instance became a sender.
  core::TimePoint m_LastAt{};
  /// Paces that were taken up then; kept in paces, since these change.
  double m_BucketLevel = 0;
};

} // namespace yardrill::routing

#endif
