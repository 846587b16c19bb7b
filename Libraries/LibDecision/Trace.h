//===-- Trace.h - Recorded decisions --------------------------------------===//
//
// A trace is text: for each event one JSON line `{"at":…,"event":…}` and then
// one line `{"action":…}` for each action that followed. docs/TRACES.md
// describes the fields.
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

/// Writes each event and its actions as they happen.
class TraceWriter {
public:
  explicit TraceWriter(std::ostream &Out) : m_Out(Out) {}
  void write(const Event &What, core::TimePoint At,
             const std::vector<Action> &Actions);

private:
  std::ostream &m_Out;
};

struct ReplayResult {
  std::size_t m_Events = 0;
  std::size_t m_Actions = 0;
  /// Line of the first difference; 0 when there is none.
  std::size_t m_DifferentLine = 0;
  std::string m_Expected;
  std::string m_Actual;
  std::size_t m_Dispatched = 0;
  /// Dispatches of a request that was dispatched before, with no failed
  /// connect between: breaks "at most once".
  std::size_t m_DuplicateDispatches = 0;
  std::size_t m_Refused = 0;
  /// Refusals as not run of a request that was dispatched.
  std::size_t m_RefusedAfterDispatch = 0;

  bool isSame() const { return m_DifferentLine == 0; }
};

/// Feeds a trace's events to a new core and compares its actions.
/// \throws core::Error of kind Trace when the trace cannot be read.
ReplayResult replay(std::istream &Trace);

} // namespace yardrill::decision

#endif
