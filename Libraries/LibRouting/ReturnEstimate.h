//===-- ReturnEstimate.h - When refused callers should come back ----------===//
#ifndef YARDRILL_LIBROUTING_RETURNESTIMATE_H
#define YARDRILL_LIBROUTING_RETURNESTIMATE_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// Says when a caller who found no place should come back. How long a shortage
/// still lasts is not known; what has lasted for a while is expected to last
/// about as long again, so that a moment's shortage costs a short wait and a
/// long one sends its callers past its end, spread over a span that grows too.
class ReturnEstimate {
public:
  /// Notes a refusal for want of a place.
  /// \param TimeLeft that the caller has; it waits for a third at the most.
  /// \param Point uniformly distributed from 0 to 1.
  core::Duration refuse(core::TimePoint Now, core::Duration TimeLeft,
                        double Point);

private:
  core::TimePoint m_Since{};  ///< First refusal of the current shortage.
  core::TimePoint m_Latest{}; ///< Refusal.
};

/// When to come back where no shortage is the reason.
/// \param Point uniformly distributed from 0 to 1.
core::Duration shortReturn(double Point);

} // namespace yardrill::routing

#endif
