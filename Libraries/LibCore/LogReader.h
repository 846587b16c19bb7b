//===-- LogReader.h - Parser of the lines that LogLine writes -------------===//
#ifndef YARDRILL_LIBCORE_LOGREADER_H
#define YARDRILL_LIBCORE_LOGREADER_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace yardrill::core {

/// Parsed line of a log.
struct LogEntry {
  /// Word before `time=`, where log collectors put the name of the source;
  /// empty when there is none.
  std::string m_Source;
  std::string m_Time; ///< In UTC; sorts as text, since its width is fixed.
  std::string m_Event;
  std::map<std::string, std::string> m_Fields; ///< Other fields, unescaped.

  /// Returns the field's value, or "" when the line has no such field.
  std::string field(const std::string &Name) const;
};

/// Returns none for a line that LogLine did not write.
std::optional<LogEntry> parseLogLine(std::string_view Line);

} // namespace yardrill::core

#endif
