//===-- SilenceDetection.h - Connections whose other side is silent -------===//
//
// Internal to LibHTTP.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBHTTP_SILENCEDETECTION_H
#define YARDRILL_LIBHTTP_SILENCEDETECTION_H

#include "LibCore/Time.h"

#include <boost/asio/ip/tcp.hpp>

namespace yardrill::http {

/// Makes the kernel fail the connection about three seconds after the other
/// side lost power or the network was partitioned.
void enableKeepAliveProbes(boost::asio::ip::tcp::socket &Socket);

/// Makes the kernel fail the connection after \p Timeout, rounded up to seconds
/// while nothing is sent, if the other side acknowledges nothing, not even
/// probes.
void setSilenceTimeout(boost::asio::ip::tcp::socket &Socket,
                       core::Duration Timeout);

} // namespace yardrill::http

#endif
