//===-- EventSplitter.h - Splits a byte stream into events ----------------===//
#ifndef YARDRILL_LIBGATEWAY_EVENTSPLITTER_H
#define YARDRILL_LIBGATEWAY_EVENTSPLITTER_H

#include <cstddef>
#include <string>
#include <string_view>

namespace yardrill::gateway {

/// Splits a stream of server-sent events (WHATWG HTML, section 9.2) after each
/// event. A target may stop within an event, so ResponseRelay sends complete
/// events only. An event ends with a blank line; lines end with LF or CRLF.
class EventSplitter {
public:
  struct Events {
    std::string m_Bytes; ///< Complete events, unchanged.
    std::size_t m_Count = 0;
  };

  /// Returns the events that \p Data completes.
  Events push(std::string_view Data);
  /// Whether the bytes so far end within an event.
  bool hasPartial() const { return !m_Partial.empty(); }
  /// Returns the number of bytes held of a partial event.
  std::size_t partialBytes() const { return m_Partial.size(); }
  /// Drops a partial event that will not be completed.
  void dropPartial() { m_Partial.clear(); }
  /// Id of the last complete event that has one; empty if none has.
  const std::string &lastId() const { return m_LastId; }

private:
  /// Stores the event's id, if it has one.
  void noteId(std::string_view Event);

  std::string m_Partial;
  std::string m_LastId;
};

} // namespace yardrill::gateway

#endif
