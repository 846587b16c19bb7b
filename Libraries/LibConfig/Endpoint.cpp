#include "LibConfig/Endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace yardrill::config {

std::optional<Endpoint> Endpoint::parse(const std::string &Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Failure;
  auto Address = boost::asio::ip::make_address(Host, Failure);
  if (Failure)
    return std::nullopt;
  Endpoint Result;
  const char *End = Text.data() + Text.size();
  auto [Last, Code] =
      std::from_chars(Text.data() + Colon + 1, End, Result.m_Port);
  if (Code != std::errc() || Last != End)
    return std::nullopt;
  Result.m_Address = Address.to_string();
  return Result;
}

boost::asio::ip::tcp::endpoint Endpoint::toTcp() const {
  return {boost::asio::ip::make_address(m_Address), m_Port};
}

boost::asio::ip::udp::endpoint Endpoint::toUdp() const {
  return {boost::asio::ip::make_address(m_Address), m_Port};
}

std::string Endpoint::toString() const {
  bool IsV6 = m_Address.find(':') != std::string::npos;
  std::string Host = IsV6 ? "[" + m_Address + "]" : m_Address;
  return Host + ":" + std::to_string(m_Port);
}

} // namespace yardrill::config
