//===-- SilentSocket.h - Socket that hears nothing any more ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_SILENTSOCKET_H
#define YARDRILL_TESTS_SUPPORT_SILENTSOCKET_H

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <linux/filter.h>
#include <sys/socket.h>

namespace yardrill::tests {

/// Drops all packets that arrive, so that not even probes are acknowledged.
inline void dropArrivals(boost::asio::ip::tcp::socket &Socket) {
  sock_filter DropAll{BPF_RET | BPF_K, 0, 0, 0};
  sock_fprog Program{1, &DropAll};
  CPPUNIT_ASSERT_EQUAL(0,
                       setsockopt(Socket.native_handle(), SOL_SOCKET,
                                  SO_ATTACH_FILTER, &Program, sizeof Program));
}

} // namespace yardrill::tests

#endif
