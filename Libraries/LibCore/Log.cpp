#include "LibCore/Log.h"

#include <cstdio>
#include <ctime>
#include <glog/logging.h>

namespace yardrill::core {

static bool isPlain(char C) {
  return C > ' ' && C < 0x7f && C != '"' && C != '=' && C != '\\';
}

static void appendEscaped(std::string &Out, char C) {
  if (C == '"' || C == '\\') {
    Out += '\\';
    Out += C;
    return;
  }
  if (static_cast<unsigned char>(C) >= ' ' && C != 0x7f) {
    Out += C;
    return;
  }
  char Hex[8];
  std::snprintf(Hex, sizeof Hex, "\\x%02x", static_cast<unsigned char>(C));
  Out += Hex;
}

static std::string timeStamp() {
  using namespace std::chrono;
  auto Now = system_clock::now().time_since_epoch();
  std::time_t Seconds = duration_cast<seconds>(Now).count();
  auto Micros = duration_cast<microseconds>(Now).count() % 1000000;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Date[32];
  std::strftime(Date, sizeof Date, "%FT%T", &Parts);
  char Text[48];
  std::snprintf(Text, sizeof Text, "%s.%06ldZ", Date,
                static_cast<long>(Micros));
  return Text;
}

static const char *toString(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

LogLine::LogLine(std::string_view Event, LogLevel Level) : m_Level(Level) {
  m_Text = "time=" + timeStamp() + " level=" + toString(Level);
  add("event", Event);
}

LogLine &LogLine::add(std::string_view Key, std::string_view Value) {
  m_Text += ' ';
  m_Text += Key;
  m_Text += '=';
  bool Plain = !Value.empty();
  for (char C : Value)
    Plain = Plain && isPlain(C);
  if (Plain) {
    m_Text += Value;
    return *this;
  }
  m_Text += '"';
  for (char C : Value)
    appendEscaped(m_Text, C);
  m_Text += '"';
  return *this;
}

static std::function<void(const std::string &)> &sink() {
  static std::function<void(const std::string &)> Sink;
  return Sink;
}

void setLogSink(std::function<void(const std::string &)> Sink) {
  sink() = std::move(Sink);
}

static void logWithGlog(LogLevel Level, const std::string &Text) {
  switch (Level) {
  case LogLevel::Info:
    LOG(INFO) << Text;
    return;
  case LogLevel::Warning:
    LOG(WARNING) << Text;
    return;
  case LogLevel::Error:
    LOG(ERROR) << Text;
    return;
  }
}

LogLine::~LogLine() {
  if (sink())
    sink()(m_Text);
  else
    logWithGlog(m_Level, m_Text);
}

void startLogging(const char *ProgramName) {
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(ProgramName);
}

} // namespace yardrill::core
