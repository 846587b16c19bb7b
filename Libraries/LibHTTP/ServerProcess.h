//===-- ServerProcess.h - Server that connections lead to -----------------===//
#ifndef YARDRILL_LIBHTTP_SERVERPROCESS_H
#define YARDRILL_LIBHTTP_SERVERPROCESS_H

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <tuple>
#include <utility>

namespace yardrill::http {

/// A server as its clients know it. Another process may listen at its address
/// later, and is another server.
struct ServerProcess {
  boost::asio::ip::tcp::endpoint m_Address;
  /// Unique among the processes that use the address; empty if there is one.
  std::string m_Incarnation;

  /// Implicit: most servers are known by their address alone.
  ServerProcess(const boost::asio::ip::tcp::endpoint &Address,
                std::string Incarnation = {})
      : m_Address(Address), m_Incarnation(std::move(Incarnation)) {}

  bool operator<(const ServerProcess &Other) const {
    return std::tie(m_Address, m_Incarnation) <
           std::tie(Other.m_Address, Other.m_Incarnation);
  }
};

} // namespace yardrill::http

#endif
