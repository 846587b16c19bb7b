//===-- RequestTimeline.h - Timeline of one request from logs -------------===//
#ifndef YARDRILL_PROGRAMS_YARDRILL_REQUESTTIMELINE_H
#define YARDRILL_PROGRAMS_YARDRILL_REQUESTTIMELINE_H

#include "LibCore/LogReader.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace yardrill::program {

/// Timeline of one request for `yardrill explain`: its lines in the logs of all
/// instances, and the failures of its targets and instances shortly before its
/// end.
class RequestTimeline {
public:
  explicit RequestTimeline(std::string Request)
      : m_Request(std::move(Request)) {}

  /// Adds a log. \p Source, for instance the file's name, stands for the
  /// instance when the log does not name it.
  void add(std::istream &Log, const std::string &Source);
  bool isEmpty() const { return m_RequestEntries.empty(); }
  /// Prints the entries, an explanation of the result and related failures.
  /// \pre !isEmpty()
  void print(std::ostream &Out) const;

private:
  /// Log line with the instance that wrote it.
  struct TimelineEntry {
    std::string m_Source;
    core::LogEntry m_Entry;
  };

  void printContext(std::ostream &Out) const;

  std::string m_Request;
  std::vector<TimelineEntry> m_RequestEntries;
  std::vector<TimelineEntry> m_ContextEntries; ///< Events of contextEvents().
};

} // namespace yardrill::program

#endif
