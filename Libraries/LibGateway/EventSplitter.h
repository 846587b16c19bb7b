//===-- EventSplitter.h - Whole events out of the bytes of a stream -------===//
#ifndef YARDRILL_LIBGATEWAY_EVENTSPLITTER_H
#define YARDRILL_LIBGATEWAY_EVENTSPLITTER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace yardrill::gateway {

/// Server-sent events (WHATWG HTML, section 9.2): a target may stop partway
/// through one, so only whole events are passed on.
class EventSplitter {
public:
  struct Events {
    std::string m_Bytes; ///< Of whole events, unchanged.
    std::size_t m_Count = 0;
  };

  /// \returns the events that \p Piece completes.
  Events push(std::string_view Data);
  /// True when the bytes so far end within an event.
  bool hasPartial() const { return !m_Partial.empty(); }
  /// Drops what is left of an event that will not be completed.
  void dropPartial() { m_Partial.clear(); }
  /// The id of the newest whole event; empty: none had one.
  const std::string &lastId() const { return m_LastId; }

private:
  void noteId(std::string_view Event);

  std::string m_Partial;
  std::string m_LastId;
};

} // namespace yardrill::gateway

#endif
