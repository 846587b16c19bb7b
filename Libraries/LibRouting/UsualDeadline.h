//===-- UsualDeadline.h - How callers who come back are known -------------===//
#ifndef YARDRILL_LIBROUTING_USUALDEADLINE_H
#define YARDRILL_LIBROUTING_USUALDEADLINE_H

#include "LibCore/Time.h"

namespace yardrill::routing {

/// Learns the time that most callers of a route give a request, by a majority
/// vote over its latest requests (Boyer and Moore, MJRTY, 1981). Callers who
/// come back name what is left of that time.
class UsualDeadline {
public:
  /// Takes one request's time in.
  /// \returns how long before it its caller had tried first; zero for a first
  /// try, and where callers differ too much to tell.
  core::Duration note(core::Duration Deadline);

private:
  void vote(core::Duration Deadline);

  core::Duration m_Candidate{};
  unsigned m_Lead = 0; ///< Votes for the candidate beyond all others'.
};

} // namespace yardrill::routing

#endif
