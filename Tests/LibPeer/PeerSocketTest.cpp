//===-- PeerSocketTest.cpp - Reception of messages between instances ------===//
//
// Guards against an instance that hears of no peer any more once one message
// could not be handled.
//
//===----------------------------------------------------------------------===//
#include "LibPeer/PeerSocket.h"

#include "LibCore/Error.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::peer;
namespace asio = boost::asio;

class PeerSocketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerSocketTest);
  CPPUNIT_TEST(testMessageThatFailsDoesNotEndReception);
  CPPUNIT_TEST_SUITE_END();

  static config::Endpoint freeAddress(asio::io_context &Context) {
    asio::ip::udp::socket Probe(Context,
                                {asio::ip::make_address("127.0.0.1"), 0});
    return {"127.0.0.1", Probe.local_endpoint().port()};
  }

public:
  void testMessageThatFailsDoesNotEndReception() {
    asio::io_context Context;
    PeerCodec Codec("key");
    config::Endpoint Address = freeAddress(Context);
    PeerSocket Receiver(Context, Address, Codec);
    PeerSocket Sender(Context, freeAddress(Context), Codec);
    int Received = 0;
    Receiver.start({[&Received](const PeerMessage &) {
                      if (++Received == 1)
                        throw core::Error(core::ErrorKind::LimitExceeded,
                                          "the response fits no datagram");
                    },
                    [](DropReason) {}});
    for (int I = 0; I < 3; ++I)
      Sender.send(Codec.encode(PeerMessage()), Address);
    Context.run_for(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(3, Received);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerSocketTest);
