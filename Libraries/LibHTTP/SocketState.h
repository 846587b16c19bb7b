//===-- SocketState.h - What the kernel knows of a connection -------------===//
//
// Internal to LibHTTP.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_SOCKETSTATE_H
#define YARDRILL_LIBHTTP_SOCKETSTATE_H

#include "LibCore/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace yardrill::http {

/// Returns whether the other side has neither closed the connection, or its
/// direction of it, nor reset it. Unread bytes don't hide the end.
bool isPeerConnected(boost::asio::ip::tcp::socket &Socket);

/// Returns the time since bytes last arrived, in milliseconds' resolution; zero
/// if the kernel provides none. Source: TCP_INFO, tcp(7).
core::Duration timeSinceLastBytes(boost::asio::ip::tcp::socket &Socket);

} // namespace yardrill::http

#endif
