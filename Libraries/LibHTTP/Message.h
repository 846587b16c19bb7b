//===-- Message.h - HTTP messages as plain data ---------------------------===//
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

/// Headers in their order; names compare without regard to case (RFC 9110,
/// section 5.1).
class HeaderList {
public:
  HeaderList() = default;
  HeaderList(std::initializer_list<Header> Headers) : m_Headers(Headers) {}

  /// \returns the first value of that name, or null.
  const std::string *find(std::string_view Name) const;
  /// Whether there is more than one header of that name.
  bool isRepeated(std::string_view Name) const;
  void add(std::string Name, std::string Value);
  /// Replaces every header of that name by one.
  void set(std::string Name, std::string Value);
  void remove(std::string_view Name);
  /// Removes what concerns one connection only (RFC 9110, section 7.6.1).
  void removeHopByHop();

  auto begin() const { return m_Headers.begin(); }
  auto end() const { return m_Headers.end(); }

private:
  std::vector<Header> m_Headers;
};

struct RequestMessage {
  std::string m_Method;
  std::string m_Target; ///< Path and query as sent.
  HeaderList m_Headers;
  std::string m_Body;
};

struct ResponseHead {
  unsigned m_Status = 0;
  HeaderList m_Headers;
  /// Bytes of the body when known; the body is sent in chunks otherwise.
  std::optional<std::uint64_t> m_ContentLength;
};

struct ResponseMessage {
  ResponseHead m_Head;
  std::string m_Body;
};

/// Without headers and body.
ResponseMessage emptyResponse(unsigned Status);

} // namespace yardrill::http

#endif
