//===-- Trace.h - Recording and replay of decisions -----------------------===//
//
// A trace is text: one JSON line `{"at":…,"event":…}` for each event, followed
// by a line `{"action":…}` for each action that the core returned. Empty lines
// and lines that start with `#` are ignored. docs/TRACES.md describes the
// fields.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBDECISION_TRACE_H
#define YARDRILL_LIBDECISION_TRACE_H

#include "LibDecision/Action.h"
#include "LibDecision/Event.h"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace yardrill::decision {

/// Writes each event and its actions to a stream and flushes it.
class TraceWriter {
public:
  explicit TraceWriter(std::ostream &Out) : m_Out(Out) {}
  void write(const Event &What, core::TimePoint At,
             const std::vector<Action> &Actions);

private:
  std::ostream &m_Out;
};

/// Outcome of replay(). The counts cover the trace up to the first difference.
struct ReplayResult {
  std::size_t m_Events = 0;
  std::size_t m_Actions = 0;
  /// Line number of the first difference; 0: none.
  std::size_t m_DifferentLine = 0;
  std::string m_Expected;
  std::string m_Actual;
  std::size_t m_Dispatched = 0;
  /// Repeated dispatches of a request without a failed connect in between,
  /// which violate "at most once".
  std::size_t m_DuplicateDispatches = 0;
  std::size_t m_Refused = 0;
  /// Refusals that state "not run" for a dispatched request.
  std::size_t m_RefusedAfterDispatch = 0;

  bool isSame() const { return m_DifferentLine == 0; }
};

/// Feeds the events of a trace to a new core and compares the actions.
/// \throws core::Error of kind Trace if an event cannot be parsed, and
/// config::DocumentError if a recorded configuration is invalid.
ReplayResult replay(std::istream &Trace);

} // namespace yardrill::decision

#endif
