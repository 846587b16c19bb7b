//===-- Log.h - Structured log lines --------------------------------------===//
#ifndef YARDRILL_LIBCORE_LOG_H
#define YARDRILL_LIBCORE_LOG_H

#include "LibCore/StrongType.h"
#include "LibCore/Time.h"

#include <functional>
#include <sstream>
#include <string>
#include <string_view>

namespace yardrill::core {

enum class LogLevel { Info, Warning, Error };

/// Builds a log line of key=value pairs and writes it when destroyed, to glog
/// or to the log sink:
/// `LogLine("request-finished").add("request", Id).add("status", 200);`
class LogLine {
public:
  explicit LogLine(std::string_view Event, LogLevel Level = LogLevel::Info);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Appends ` Key=Value`. A value that is empty or has characters such as
  /// spaces, quotes or controls is quoted and escaped, so that it can neither
  /// end the line nor forge a key. Durations are written in microseconds.
  LogLine &add(std::string_view Key, std::string_view Value);
  LogLine &add(std::string_view Key, const char *Value) {
    return add(Key, std::string_view(Value));
  }
  LogLine &add(std::string_view Key, Duration Value) {
    return add(Key, std::to_string(Value.count()));
  }
  template <class T> LogLine &add(std::string_view Key, const T &Value) {
    std::ostringstream Out;
    Out << Value;
    return add(Key, std::string_view(Out.str()));
  }

  const std::string &text() const { return m_Text; }

private:
  LogLevel m_Level;
  std::string m_Text;
};

/// Sends all lines to \p Sink instead of glog; null restores glog. Not
/// synchronized: for processes with one thread, which log output must not
/// block.
void setLogSink(std::function<void(const std::string &)> Sink);

/// Initializes glog to write to standard error without a prefix of its own.
void startLogging(const char *ProgramName);

} // namespace yardrill::core

#endif
