//===-- WaitPrediction.h - Predicts how long requests wait for a slot -----===//
//
// A caller that can't be served within its objective is best told so at once:
// it still has the time to return when a slot is free. Refusing one that would
// have been served costs it a response, so that doubt is resolved by waiting.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_WAITPREDICTION_H
#define YARDRILL_LIBROUTING_WAITPREDICTION_H

#include "LibCore/Time.h"
#include "LibRouting/RoutingTable.h"

#include <map>
#include <optional>
#include <utility>

namespace yardrill::routing {

/// What decides how long a request waits.
struct WaitOutlook {
  double m_Ahead = 0; ///< Requests that get a slot before it.
  /// Rate at which slots come free to its tier; 0: unknown.
  double m_SlotsPerSecond = 0;
};

struct PredictedWait {
  core::Duration m_ByRate{};   ///< Before correction by earlier errors.
  core::Duration m_Expected{}; ///< Mean.
  core::Duration m_AtLeast{};  ///< Mean less half of the mean deviation.
};

/// A wait that was predicted when it began.
struct StartedWait {
  PredictedWait m_Predicted;
  core::TimePoint m_Since;
  std::size_t m_Ahead = 0; ///< Requests of the own queue.
  std::size_t m_AheadRefused = 0;

  /// Returns the prediction without the requests ahead that were refused.
  /// Otherwise a queue from which many are refused looks as if it were fast,
  /// and too many requests wait in it.
  core::Duration byRate() const;
};

/// Predicts waits from the requests ahead and the rate at which slots come
/// free, corrected by how earlier predictions for the same tier turned out
/// (mean and mean deviation of actual by predicted wait, as RFC 6298 does for
/// round-trip times).
///
/// Answers a shortage that outlasts an objective. A request is refused if even
/// a wait that is shorter than expected, by half of the mean deviation, exceeds
/// its time; one that waits already, only if it needs twice the time that is
/// left. The margin grows with the errors, which are learned from requests that
/// began and from those that waited in vain.
class WaitPrediction {
public:
  /// Returns none while the rate is unknown, or if no request is ahead.
  std::optional<PredictedWait> predict(const core::PoolName &Pool,
                                       const Priority &Tier,
                                       const WaitOutlook &Outlook) const;
  /// Records that a request got its slot.
  void recordWait(const core::PoolName &Pool, const Priority &Tier,
                  const StartedWait &Wait, core::TimePoint Now);
  /// Records that a request was refused. Counts only if it shows that the
  /// prediction was too short.
  void recordRefusal(const core::PoolName &Pool, const Priority &Tier,
                     const StartedWait &Wait, core::TimePoint Now);
  /// Whether an arriving request that may wait for \p TimeLeft is to be
  /// refused.
  static bool refusesOnArrival(const PredictedWait &Predicted,
                               core::Duration TimeLeft);
  /// Whether a waiting request is to be refused.
  static bool refusesWaiting(const PredictedWait &Predicted,
                             core::Duration TimeLeft);

private:
  /// Actual by predicted wait.
  struct Error {
    double m_Mean = 1;
    double m_Deviation = 0.5; ///< Without any observation (RFC 6298).
  };

  std::map<std::pair<core::PoolName, Priority>, Error> m_Errors;
};

} // namespace yardrill::routing

#endif
