//===-- Endpoint.h - An IP number and a port ------------------------------===//
#ifndef YARDRILL_LIBCONFIG_ENDPOINT_H
#define YARDRILL_LIBCONFIG_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace yardrill::config {

/// Names are not looked up: processes talk by IP numbers (brief, "Where it
/// will run").
struct Endpoint {
  std::string m_Address;
  std::uint16_t m_Port = 0;

  /// Reads `192.0.2.1:80` or `[2001:db8::1]:80`.
  static std::optional<Endpoint> parse(const std::string &Text);
  std::string toString() const;
  /// \pre The address was read by parse().
  boost::asio::ip::tcp::endpoint toTcp() const;
  /// \pre The address was read by parse().
  boost::asio::ip::udp::endpoint toUdp() const;

  bool operator==(const Endpoint &Other) const {
    return m_Address == Other.m_Address && m_Port == Other.m_Port;
  }
  bool operator<(const Endpoint &Other) const {
    return m_Address != Other.m_Address ? m_Address < Other.m_Address
                                        : m_Port < Other.m_Port;
  }
  template <class Archive> void serialize(Archive &Ar) {
    Ar(m_Address, m_Port);
  }
};

} // namespace yardrill::config

#endif
