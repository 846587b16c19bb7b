//===-- TokenBucket.h - Token bucket that may go into debt ----------------===//
#ifndef YARDRILL_LIBROUTING_TOKENBUCKET_H
#define YARDRILL_LIBROUTING_TOKENBUCKET_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// Rate and burst of a token bucket, in tokens.
struct QuotaLimits {
  double m_TokensPerSecond = 0;
  double m_Burst = 0;

  /// Returns these limits multiplied by \p Share.
  QuotaLimits part(double Share) const {
    return {m_TokensPerSecond * Share, m_Burst * Share};
  }
};

/// Token bucket for requests of different sizes. Within any time t, at most
/// rate x t + burst + one request are taken.
class TokenBucket {
public:
  /// \param Level initial number of tokens; limited to the burst.
  TokenBucket(const QuotaLimits &Limits, double Level, core::TimePoint Now);

  /// Changes the limits. The level is reduced to the new burst if it exceeds
  /// it.
  void setLimits(const QuotaLimits &Limits, core::TimePoint Now);
  /// Takes tokens if the level is above zero. A request may exceed the level
  /// and even the burst; the next one then waits until the debt is refilled.
  /// \returns whether the tokens were taken.
  bool tryTake(double Tokens, core::TimePoint Now);
  /// Takes tokens whatever the level.
  void charge(double Tokens, core::TimePoint Now);
  /// Returns unused tokens to the bucket, up to the burst.
  void giveBack(double Tokens, core::TimePoint Now);
  /// Returns the time until a refused request is likely to succeed: until the
  /// debt and the recently refused tokens, which are retried too, are refilled.
  /// Zero if the level is above zero or the rate is zero.
  core::Duration untilAvailable() const;
  /// Returns the number of tokens; below zero if the bucket is in debt.
  double level(core::TimePoint Now);
  /// Takes tokens without a refill. Call level() first and do not exceed it.
  void take(double Tokens) { m_Level -= Tokens; }
  const QuotaLimits &limits() const { return m_Limits; }

private:
  void refill(core::TimePoint Now);

  QuotaLimits m_Limits;
  double m_Level = 0;
  double m_Refused = 0; ///< Recently refused tokens; halves every second.
  core::TimePoint m_RefilledAt;
};

} // namespace yardrill::routing

#endif
