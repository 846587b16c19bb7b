//===-- SharedRateLimit.h - Rate limit shared by all instances ------------===//
//
// A target states how many requests a second it accepts from all instances
// together, or accepts only so many while it warms up. A few instances that use
// the target are its senders; all instances with the same membership select the
// same ones. Each sender sends its share of the limit, spaced by the generic
// cell rate algorithm (ITU-T I.371), and the others send nothing. Idle time
// earns limited credit, so in any time t
//   n senders send at most  n x (limit / MaxSenders x t + 1 + Tolerance)
// and MaxSenders of them  limit x t + MaxSenders x (1 + Tolerance).
// An instance that is a sender only by a different membership adds the share of
// one sender. A new sender first waits for a full interval.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_SHAREDRATELIMIT_H
#define YARDRILL_LIBROUTING_SHAREDRATELIMIT_H

#include "LibCore/Time.h"

#include <cstddef>
#include <optional>

namespace yardrill::routing {

/// Rate limit stated by one response of a target.
struct RateLimitUpdate {
  std::optional<double> m_PerSecond; ///< Not set: no limit.
  core::TimePoint m_At{};            ///< Time of the response.
};

/// Rate that a target accepts from all instances together until it is warm.
struct WarmUp {
  double m_PerSecond = 0;
  core::TimePoint m_Until{};
};

/// Enforces this instance's share of the limit of one target incarnation: the
/// lower one of its stated limit and its rate while it warms up.
class SharedRateLimit {
public:
  /// Maximum number of senders of a target. More senders lose a smaller share
  /// of the limit with each failed instance, but allow larger bursts.
  static constexpr std::size_t MaxSenders = 3;
  /// Share of an interval by which a request may be early after a late one.
  static constexpr double Tolerance = 1.0 / 3;
  /// Minimum rate at which a target is probed, even if its limit is lower or
  /// zero, because only a response can raise the limit.
  static constexpr double MinPerSecond = 0.25;

  /// Applies the limit from a response to this or another instance. Ignores
  /// updates older than the latest, and one without a limit shortly after one
  /// with a limit. \returns whether the limit has changed.
  bool apply(const RateLimitUpdate &Update);
  /// Whether the target has stated a limit that is in force.
  bool isStated() const { return m_Update.m_PerSecond.has_value(); }
  /// Replaces the warm-up; none: the target is warm.
  void setWarmUp(std::optional<WarmUp> Limit) { m_WarmUp = Limit; }
  /// Ends a warm-up whose time has passed.
  void expireWarmUp(core::TimePoint Now);
  bool isWarmingUp() const { return m_WarmUp.has_value(); }
  /// Whether any limit is in force.
  bool isLimited() const { return isStated() || isWarmingUp(); }
  /// Returns the latest applied update.
  const RateLimitUpdate &latestUpdate() const { return m_Update; }

  /// \param Senders number of senders of the target; 0 if this instance is not
  /// one of them.
  void setSenders(std::size_t Senders, core::TimePoint Now);
  bool isSender() const { return m_Senders != 0; }

  /// Returns when this instance may send the next request; none if it may not
  /// send any.
  std::optional<core::TimePoint> availableAt() const;
  /// Returns this instance's share in requests a second. Requires isLimited()
  /// and isSender().
  double localPerSecond() const { return 1 / intervalSeconds(); }
  /// Whether this instance has left its share unused for so long that the
  /// target may not be probed at MinPerSecond.
  bool isProbeDue(core::TimePoint Now) const;
  /// Counts a request that is sent now.
  void recordSent(core::TimePoint Now);

private:
  /// Returns the average time between two requests of this instance. Requires
  /// isLimited() and isSender().
  double intervalSeconds() const;
  /// Returns the limit in force, in requests a second over all instances.
  /// Requires isLimited().
  double perSecond() const;

  RateLimitUpdate m_Update;
  std::optional<WarmUp> m_WarmUp;
  std::size_t m_Senders = 0;
  /// Time of the last request, or when this instance became a sender.
  core::TimePoint m_LastAt{};
  /// Bucket level at m_LastAt, in intervals because their length may change.
  double m_BucketLevel = 0;
};

} // namespace yardrill::routing

#endif
