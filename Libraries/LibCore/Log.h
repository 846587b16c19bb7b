//===-- Log.h - One line of key=value pairs for each event ----------------===//
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

/// Builds one log line and hands it to glog when destroyed:
/// `LogLine("request-finished").add("request", Id).add("status", 200);`
class LogLine {
public:
  explicit LogLine(std::string_view Event, LogLevel Level = LogLevel::Info);
  ~LogLine();
  LogLine(const LogLine &) = delete;
  LogLine &operator=(const LogLine &) = delete;

  /// Appends ` Key=Value`. A value with spaces, quotes or control characters
  /// is quoted and escaped, so that it can neither end the line nor forge a
  /// key.
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

/// Hands every line to \p Sink instead of glog; null goes back to glog. For a
/// process with one thread, whose output must not block it.
void setLogSink(std::function<void(const std::string &)> Sink);

/// Sends logs to standard error, without glog's own prefix.
void startLogging(const char *ProgramName);

} // namespace yardrill::core

#endif
