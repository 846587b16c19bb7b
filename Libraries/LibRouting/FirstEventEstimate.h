//===-- FirstEventEstimate.h - Estimates the time to first event ----------===//
#ifndef YARDRILL_LIBROUTING_FIRSTEVENTESTIMATE_H
#define YARDRILL_LIBROUTING_FIRSTEVENTESTIMATE_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// Estimates the time from a stream's dispatch to its first event by mean and
/// mean deviation, as RFC 6298 does for round-trip times.
class FirstEventEstimate {
public:
  /// Adds an observed time.
  void add(core::Duration Time);
  /// Returns the time within which nearly all streams begin, between 150 and
  /// 800 ms. The ceiling leaves streams some time to wait for a free slot.
  core::Duration upperBound() const;

private:
  double m_MeanMs = 0;
  double m_DeviationMs = 0;
  bool m_IsEmpty = true;
};

} // namespace yardrill::routing

#endif
