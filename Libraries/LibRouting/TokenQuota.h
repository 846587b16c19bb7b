//===-- TokenQuota.h - A client account's rate over all instances ---------===//
#ifndef YARDRILL_LIBROUTING_TOKENQUOTA_H
#define YARDRILL_LIBROUTING_TOKENQUOTA_H

#include "LibCore/Time.h"

namespace yardrill::routing {

struct QuotaLimits {
  double m_TokensPerSecond = 0;
  double m_Burst = 0;
};

/// This instance's view of one token bucket that all instances draw on. Own
/// use is subtracted at once, that of others as they report it. A process that
/// starts among others knows nothing of what was used, so its bucket starts
/// with half of its share of the burst: however many start at once, they grant
/// half a burst beyond rate x window + burst at the most.
class TokenQuota {
public:
  TokenQuota(const QuotaLimits &Limits, bool IsFull, core::TimePoint Now);

  void setLimits(const QuotaLimits &Limits, core::TimePoint Now);
  /// \param Share of the rate that this instance counts on, 0 to 1: below 1
  /// when some instances are not heard from and may be using theirs.
  bool tryTake(double Tokens, double Share, core::TimePoint Now);
  /// Tokens that other instances took.
  void noteOthers(double Tokens) { m_Level -= Tokens; }
  /// Gives back what was taken for a request that did not run.
  void giveBack(double Tokens) { m_Level += Tokens; }
  /// How long until the bucket holds something again for one who comes back:
  /// those who were refused lately come back as well.
  core::Duration untilAvailable() const;
  double level() const { return m_Level; }

private:
  void refill(double Share, core::TimePoint Now);

  QuotaLimits m_Limits;
  bool m_IsNew; ///< Nothing was asked of it yet, and it did not start full.
  double m_Level = 0;
  double m_Refused = 0; ///< Tokens refused lately; halves every second.
  core::TimePoint m_RefilledAt;
};

} // namespace yardrill::routing

#endif
