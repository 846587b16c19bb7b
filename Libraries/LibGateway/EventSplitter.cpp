#include "LibGateway/EventSplitter.h"

namespace yardrill::gateway {

static const std::string_view EventEnd = "\n\n";
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

EventSplitter::Events EventSplitter::push(std::string_view Data) {
  Events Out;
  m_Partial += Data;
  std::size_t Begin = 0;
  std::size_t End = m_Partial.find(EventEnd);
  while (End != std::string::npos) {
    End += EventEnd.size();
    noteId(std::string_view(m_Partial).substr(Begin, End - Begin));
    ++Out.m_Count;
    Begin = End;
    End = m_Partial.find(EventEnd, Begin);
  }
  Out.m_Bytes = m_Partial.substr(0, Begin);
  m_Partial.erase(0, Begin);
  return Out;
}

} // namespace yardrill::gateway
