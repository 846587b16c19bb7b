//===-- Endpoint.h - An IP address and a port -----------------------------===//
#ifndef YARDRILL_LIBCONFIG_ENDPOINT_H
#define YARDRILL_LIBCONFIG_ENDPOINT_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace yardrill::config {

/// Address of a socket that settings and configurations name. Host names are
/// not resolved: processes connect to IP addresses (brief, "Where it will
/// run").
struct Endpoint {
  std::string m_Address; ///< IPv4 or IPv6 address, without brackets.
  std::uint16_t m_Port = 0;

  /// Parses `192.0.2.1:80` or `[2001:db8::1]:80`. \returns nothing when
  /// \p Text has another form.
  static std::optional<Endpoint> parse(const std::string &Text);
  /// Formats the endpoint so that parse() reads it.
  std::string toString() const;
  /// \pre m_Address is the result of parse().
  boost::asio::ip::tcp::endpoint toTcp() const;
  /// \pre m_Address is the result of parse().
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
