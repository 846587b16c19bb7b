#include "LibGateway/EventSplitter.h"

namespace yardrill::gateway {

static const std::string_view IdField = "id:";

void EventSplitter::noteId(std::string_view Event) {
  while (!Event.empty()) {
    std::size_t End = Event.find('\n');
    std::string_view Line = Event.substr(0, End);
    Event = End == std::string_view::npos ? "" : Event.substr(End + 1);
    if (Line.substr(0, IdField.size()) != IdField)
      continue;
    Line.remove_prefix(IdField.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    m_LastId = std::string(Line);
  }
}

/// Returns the end of the first event in \p Text from \p Begin on: a blank
/// line, with lines that end with LF or CRLF.
/// FIXME: The format also allows lines that end with CR alone, which no known
/// target sends.
static std::size_t endOfEvent(std::string_view Text, std::size_t Begin) {
  for (std::size_t LineEnd = Text.find('\n', Begin);
       LineEnd != std::string_view::npos;
       LineEnd = Text.find('\n', LineEnd + 1)) {
    std::string_view Next = Text.substr(LineEnd + 1, 2);
    if (Next.substr(0, 1) == "\n")
      return LineEnd + 2;
    if (Next == "\r\n")
      return LineEnd + 3;
  }
  return std::string_view::npos;
}

EventSplitter::Events EventSplitter::push(std::string_view Data) {
  Events Out;
  m_Partial += Data;
  std::size_t Begin = 0;
  std::size_t End = endOfEvent(m_Partial, Begin);
  while (End != std::string::npos) {
    noteId(std::string_view(m_Partial).substr(Begin, End - Begin));
    ++Out.m_Count;
    Begin = End;
    End = endOfEvent(m_Partial, Begin);
  }
  Out.m_Bytes = m_Partial.substr(0, Begin);
  m_Partial.erase(0, Begin);
  return Out;
}

} // namespace yardrill::gateway
