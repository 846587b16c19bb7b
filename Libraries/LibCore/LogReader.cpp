#include "LibCore/LogReader.h"

#include "LibCore/Digest.h"

namespace yardrill::core {

std::string LogEntry::field(const std::string &Name) const {
  auto Found = m_Fields.find(Name);
  return Found == m_Fields.end() ? "" : Found->second;
}

/// Removes a value, quoted or up to a space, from the front of \p Rest.
/// \returns the value, unescaped.
static std::string parseValue(std::string_view &Rest) {
  if (Rest.empty() || Rest.front() != '"') {
    std::string Out(Rest.substr(0, Rest.find(' ')));
    Rest.remove_prefix(Out.size());
    return Out;
  }
  std::string Out;
  std::size_t I = 1;
  while (I < Rest.size() && Rest[I] != '"') {
    if (Rest[I] != '\\' || I + 1 >= Rest.size()) {
      Out += Rest[I++];
      continue;
    }
    bool IsHex = Rest[I + 1] == 'x' && I + 3 < Rest.size();
    Out += IsHex ? fromHex(std::string(Rest.substr(I + 2, 2)))
                 : std::string(1, Rest[I + 1]);
    I += IsHex ? 4 : 2;
  }
  Rest.remove_prefix(std::min(I + 1, Rest.size()));
  return Out;
}

std::optional<LogEntry> parseLogLine(std::string_view Line) {
  std::size_t At = Line.find("time=");
  if (At == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Line.substr(At);
  LogEntry Out;
  std::string_view Prefix = Line.substr(0, At);
  while (!Prefix.empty() && Prefix.back() == ' ')
    Prefix.remove_suffix(1);
  Out.m_Source = std::string(Prefix.substr(Prefix.rfind(' ') + 1));
  while (!Rest.empty()) {
    std::size_t Equals = Rest.find('=');
    if (Equals == std::string_view::npos)
      break;
    std::string Key(Rest.substr(0, Equals));
    Rest.remove_prefix(Equals + 1);
    std::string Value = parseValue(Rest);
    if (Key == "time")
      Out.m_Time = Value;
    else if (Key == "event")
      Out.m_Event = Value;
    else
      Out.m_Fields[Key] = Value;
    while (!Rest.empty() && Rest.front() == ' ')
      Rest.remove_prefix(1);
  }
  if (Out.m_Event.empty())
    return std::nullopt;
  return Out;
}

} // namespace yardrill::core
