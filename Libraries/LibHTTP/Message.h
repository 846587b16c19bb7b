//===-- Message.h - HTTP requests and responses as plain data -------------===//
#ifndef YARDRILL_LIBHTTP_MESSAGE_H
#define YARDRILL_LIBHTTP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace yardrill::http {

struct Header {
  std::string m_Name;
  std::string m_Value;
};

/// Header fields in the order in which they were added. Names are compared
/// without regard to case (RFC 9110, section 5.1).
class HeaderList {
public:
  HeaderList() = default;
  HeaderList(std::initializer_list<Header> Headers) : m_Headers(Headers) {}

  /// Returns the value of the first field with that name, or null.
  const std::string *find(std::string_view Name) const;
  /// Returns whether more than one field has that name.
  bool isRepeated(std::string_view Name) const;
  void add(std::string Name, std::string Value);
  /// Replaces all fields with that name by a single one.
  void set(std::string Name, std::string Value);
  void remove(std::string_view Name);
  /// Removes the fields that apply to one connection only (RFC 9110,
  /// section 7.6.1), as well as Content-Length and Expect.
  void removeHopByHop();

  auto begin() const { return m_Headers.begin(); }
  auto end() const { return m_Headers.end(); }

private:
  std::vector<Header> m_Headers;
};

struct RequestMessage {
  std::string m_Method;
  std::string m_Target; ///< Path and query, not decoded.
  HeaderList m_Headers;
  std::string m_Body;
};

struct ResponseHead {
  unsigned m_Status = 0;
  HeaderList m_Headers;
  /// Length of the body in bytes; a body of unknown length is sent in chunks.
  std::optional<std::uint64_t> m_ContentLength;
};

struct ResponseMessage {
  ResponseHead m_Head;
  std::string m_Body;
};

/// Returns a response without headers and body.
ResponseMessage emptyResponse(unsigned Status);

} // namespace yardrill::http

#endif
