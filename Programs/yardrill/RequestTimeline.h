//===-- RequestTimeline.h - What logs tell of one request
//--------------------===//
#ifndef YARDRILL_PROGRAMS_YARDRILL_REQUESTTIMELINE_H
#define YARDRILL_PROGRAMS_YARDRILL_REQUESTTIMELINE_H

#include "LibCore/LogReader.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace yardrill::program {

/// Collects the lines of one request from the logs of all instances, and what
/// happened to its targets and its instance shortly before it ended.
class RequestTimeline {
public:
  explicit RequestTimeline(std::string Request)
      : m_Request(std::move(Request)) {}

  /// Lines of one instance in their order. \p Source names it when its log does
  /// not, for instance the file.
  void add(std::istream &Log, const std::string &Source);
  bool isEmpty() const { return m_RequestEntries.empty(); }
  /// One line for each step, then what it means.
  void print(std::ostream &Out) const;

private:
  struct TimelineEntry {
    std::string m_Source;
    core::LogEntry m_Entry;
  };

  void printContext(std::ostream &Out) const;

  std::string m_Request;
  std::vector<TimelineEntry> m_RequestEntries;
  std::vector<TimelineEntry>
      m_ContextEntries; ///< Failures of targets, peers and the store.
};

} // namespace yardrill::program

#endif
