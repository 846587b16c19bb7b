//===-- LogReader.h - Reads lines that LogLine wrote ----------------------===//
#ifndef YARDRILL_LIBCORE_LOGREADER_H
#define YARDRILL_LIBCORE_LOGREADER_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace yardrill::core {

/// One line of a log.
struct LogEntry {
  /// The word before `time=`, where a collector of logs put the source's name.
  std::string m_Source;
  std::string m_Time; ///< As written: UTC, of fixed width, so it sorts.
  std::string m_Event;
  std::map<std::string, std::string> m_Fields; ///< All others, unescaped.

  /// \returns "" when the line has no such field.
  std::string field(const std::string &Name) const;
};

/// \returns nothing for a line that LogLine did not write.
std::optional<LogEntry> parseLogLine(std::string_view Line);

} // namespace yardrill::core

#endif
