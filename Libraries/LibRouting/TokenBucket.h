//===-- TokenBucket.h - A token bucket that may go into debt
//---------------===//
#ifndef YARDRILL_LIBROUTING_TOKENBUCKET_H
#define YARDRILL_LIBROUTING_TOKENBUCKET_H

#include "LibCore/Time.h"

namespace yardrill::routing {

struct QuotaLimits {
  double m_TokensPerSecond = 0;
  double m_Burst = 0;

  QuotaLimits part(double Share) const {
    return {m_TokensPerSecond * Share, m_Burst * Share};
  }
};

/// Within any time t, at most rate x t + burst + one request are taken.
class TokenBucket {
public:
  /// \param Level tokens it holds at first, at most the burst.
  TokenBucket(const QuotaLimits &Limits, double Level, core::TimePoint Now);

  void setLimits(const QuotaLimits &Limits, core::TimePoint Now);
  /// One request may be larger than what is left, or than the whole burst: it
  /// is let in while the level is above zero, and the debt is paid before the
  /// next.
  bool tryTake(double Tokens, core::TimePoint Now);
  /// Takes tokens whether it holds them or not.
  void charge(double Tokens, core::TimePoint Now);
  /// Gives back what was taken and not used.
  void giveBack(double Tokens, core::TimePoint Now);
  /// How long until the bucket holds something again for one who comes back:
  /// those who were refused lately come back as well.
  core::Duration untilAvailable() const;
  /// \returns the tokens it holds; below zero: a debt.
  double level(core::TimePoint Now);
  /// Takes what is known to be there.
  void take(double Tokens) { m_Level -= Tokens; }
  const QuotaLimits &limits() const { return m_Limits; }

private:
  void refill(core::TimePoint Now);

  QuotaLimits m_Limits;
  double m_Level = 0;
  double m_Refused = 0; ///< Tokens refused lately; halves every second.
  core::TimePoint m_RefilledAt;
};

} // namespace yardrill::routing

#endif
