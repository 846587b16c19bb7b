#include "LibHTTP/Message.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace yardrill::http {

static bool isSameName(std::string_view A, std::string_view B) {
  return boost::beast::iequals(boost::beast::string_view(A.data(), A.size()),
                               boost::beast::string_view(B.data(), B.size()));
}

const std::string *HeaderList::find(std::string_view Name) const {
  for (const Header &H : m_Headers)
    if (isSameName(H.m_Name, Name))
      return &H.m_Value;
  return nullptr;
}

bool HeaderList::isRepeated(std::string_view Name) const {
  return std::count_if(m_Headers.begin(), m_Headers.end(),
                       [Name](const Header &H) {
                         return isSameName(H.m_Name, Name);
                       }) > 1;
}

void HeaderList::add(std::string Name, std::string Value) {
  m_Headers.push_back({std::move(Name), std::move(Value)});
}

void HeaderList::set(std::string Name, std::string Value) {
  remove(Name);
  add(std::move(Name), std::move(Value));
}

void HeaderList::remove(std::string_view Name) {
  auto IsNamed = [Name](const Header &H) { return isSameName(H.m_Name, Name); };
  m_Headers.erase(std::remove_if(m_Headers.begin(), m_Headers.end(), IsNamed),
                  m_Headers.end());
}

void HeaderList::removeHopByHop() {
  // Each Connection field lists further hop-by-hop fields (RFC 9110, section
  // 7.6.1).
  std::string Remaining;
  for (const Header &H : m_Headers)
    if (isSameName(H.m_Name, "Connection"))
      Remaining += H.m_Value + ",";
  while (!Remaining.empty()) {
    auto Comma = Remaining.find(',');
    std::string Name = Remaining.substr(0, Comma);
    Remaining = Remaining.substr(Comma + 1);
    auto First = Name.find_first_not_of(" \t");
    auto Last = Name.find_last_not_of(" \t");
    if (First != std::string::npos)
      remove(Name.substr(First, Last - First + 1));
  }
  for (const char *Name :
       {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
        "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"})
    remove(Name);
}

ResponseMessage emptyResponse(unsigned Status) {
  ResponseMessage Out;
  Out.m_Head.m_Status = Status;
  return Out;
}

} // namespace yardrill::http
