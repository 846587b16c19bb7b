//===-- BrokenStreamTest.cpp - Targets whose streams break ----------------===//
//
// Guards against a target that works on a broken stream while the gateway still
// finds out whether the target has exited.
//
//===----------------------------------------------------------------------===//
#include "FullListenQueue.h"
#include "GatewayFixture.h"

#include <poll.h>

using namespace yardrill;
using namespace yardrill::tests;

namespace {

/// Accepts one connection, and then no more: further ones stay in progress, as
/// at a target whose machine is overloaded.
class BusyTarget {
public:
  BusyTarget() {
    m_Acceptor.open(tcp::v4());
    m_Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    m_Acceptor.listen(FullListenQueue::Length);
  }

  int port() const { return m_Acceptor.local_endpoint().port(); }

  /// Sends an event and then no HTTP. \returns the time until the connection
  /// ends, at most \p Limit.
  std::chrono::milliseconds breakStream(std::chrono::milliseconds Limit) {
    tcp::socket Connection(m_Context);
    m_Acceptor.accept(Connection);
    m_Queue.fill(m_Acceptor.local_endpoint());
    beast::flat_buffer Buffer;
    Request Received;
    beast::http::read(Connection, Buffer, Received);
    asio::write(Connection,
                asio::buffer(streamHead(Received) +
                             chunk("id: 1\ndata: x\n\n") + "?\r\n"));
    auto Start = std::chrono::steady_clock::now();
    pollfd Watched{Connection.native_handle(), POLLRDHUP, 0};
    ::poll(&Watched, 1, static_cast<int>(Limit.count()));
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - Start);
  }

private:
  asio::io_context m_Context;
  tcp::acceptor m_Acceptor{m_Context};
  FullListenQueue m_Queue{m_Context};
};

} // namespace

class BrokenStreamTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(BrokenStreamTest);
  CPPUNIT_TEST(testTargetIsReleasedBeforeItIsProbed);
  CPPUNIT_TEST_SUITE_END();

public:
  void testTargetIsReleasedBeforeItIsProbed() {
    BusyTarget Target;
    announce(1, Target.port());
    start();
    auto Stream = callAsync(m_CallerPort, request("/stream/x"));
    auto Elapsed = Target.breakStream(std::chrono::seconds(3));
    CPPUNIT_ASSERT(Elapsed < std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(!Stream.get().isComplete());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamTest);
