//===-- FirstEventEstimate.h - How long streams take to begin
//------------------===//
#ifndef YARDRILL_LIBROUTING_FIRSTEVENTESTIMATE_H
#define YARDRILL_LIBROUTING_FIRSTEVENTESTIMATE_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// Learns the time from a stream's dispatch to its first event, as a mean and
/// a mean deviation, by the method of RFC 6298.
class FirstEventEstimate {
public:
  void add(core::Duration Time);
  /// Nearly all begin within that time; never below a floor, nor above a
  /// ceiling that leaves most of a caller's patience for waiting.
  core::Duration upperBound() const;

private:
  double m_MeanMs = 0;
  double m_DeviationMs = 0;
  bool m_IsEmpty = true;
};

} // namespace yardrill::routing

#endif
