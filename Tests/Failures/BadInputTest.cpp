//===-- BadInputTest.cpp - Malformed input at the ports -------------------===//
//
// Guards against malformed input that ends the process, leaks requests or keeps
// other callers from being served.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"
#include "LibPeer/PeerCodec.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::tests;

namespace asio = boost::asio;

class BadInputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BadInputTest);
  CPPUNIT_TEST(testStatusOfEachLimit);
  CPPUNIT_TEST(testGarbage);
  CPPUNIT_TEST(testManySlowSenders);
  CPPUNIT_TEST(testPeerPortRejectsUnsignedInput);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<Fleet> m_Fleet;

  int port() { return m_Fleet->at(0).m_CallerPort; }

  void expectServing() {
    Reply Response = call(port(), completionRequest("x", 2, true));
    CPPUNIT_ASSERT_EQUAL(200U, Response.m_Status);
    CPPUNIT_ASSERT(Response.isComplete());
  }

  static bool startsWith(const std::string &Text, const std::string &Start) {
    return Text.compare(0, Start.size(), Start) == 0;
  }

public:
  void setUp() override {
    Fleet::Options FleetOptions;
    FleetOptions.m_ExtraSettings =
        "callers:\n  header_bytes: 8192\n  body_bytes: "
        "100000\n  read_timeout_ms: 700\n"
        "  open_connections: 64\n";
    m_Fleet = std::make_unique<Fleet>(FleetOptions);
    CPPUNIT_ASSERT(m_Fleet->waitUntilServing());
  }
  void tearDown() override { m_Fleet.reset(); }

  void testStatusOfEachLimit() {
    std::string Start = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n";
    CPPUNIT_ASSERT(
        startsWith(sendRaw(port(), "nonsense\r\n\r\n"), "HTTP/1.1 400"));
    CPPUNIT_ASSERT(
        startsWith(sendRaw(port(), "GET / HTTP/1.0\r\n\r\n"), "HTTP/1.1 505"));
    CPPUNIT_ASSERT(startsWith(
        sendRaw(port(), Start + "X: " + std::string(10000, 'x') + "\r\n\r\n"),
        "HTTP/1.1 431"));
    CPPUNIT_ASSERT(
        startsWith(sendRaw(port(), Start + "Content-Length: 200000\r\n\r\n"),
                   "HTTP/1.1 413"));
    CPPUNIT_ASSERT(startsWith(
        sendRaw(port(), Start + "Content-Length: -1\r\n\r\n"), "HTTP/1.1 400"));
    CPPUNIT_ASSERT(startsWith(
        sendRaw(port(), Start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
        "HTTP/1.1 400"));
    // An incomplete request gets a response after the read timeout.
    CPPUNIT_ASSERT(startsWith(sendRaw(port(), Start), "HTTP/1.1 408"));
    CPPUNIT_ASSERT(
        startsWith(sendRaw(port(), Start + "Content-Length: 10\r\n\r\nabc"),
                   "HTTP/1.1 408"));
    expectServing();
  }

  void testGarbage() {
    std::mt19937 Random(3);
    auto Good = completionRequest("x", 1, false);
    std::string Request =
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        "Connection: close\r\nAuthorization: " +
        *Good.m_Headers.find("Authorization") +
        "\r\nContent-Length: " + std::to_string(Good.m_Body.size()) +
        "\r\n\r\n" + Good.m_Body;
    for (int I = 0; I < 300; ++I) {
      std::string Bytes = Request;
      for (int Change = 1 + static_cast<int>(Random() % 8); Change > 0;
           --Change)
        Bytes[Random() % Bytes.size()] = static_cast<char>(Random());
      if (I % 3 == 0)
        Bytes.resize(Random() % Bytes.size());
      asio::io_context Context;
      asio::ip::tcp::socket Socket(Context);
      Socket.connect({asio::ip::make_address("127.0.0.1"),
                      static_cast<std::uint16_t>(port())});
      boost::system::error_code Ignored;
      asio::write(Socket, asio::buffer(Bytes), Ignored);
      // The connection closes without reading the response. Every third input
      // is sent again, on a connection that reads it.
      if (I % 3 == 1)
        sendRaw(port(), Bytes);
    }
    expectServing();
    CPPUNIT_ASSERT(eventually([&] {
      return m_Fleet->status(0).at("open_requests").to_number<int>() == 0;
    }));
  }

  void testManySlowSenders() {
    asio::io_context Context;
    std::vector<asio::ip::tcp::socket> Slow;
    for (int I = 0; I < 200; ++I) {
      Slow.emplace_back(Context);
      Slow.back().connect({asio::ip::make_address("127.0.0.1"),
                           static_cast<std::uint16_t>(port())});
      asio::write(Slow.back(), asio::buffer(std::string("POST / HT")));
    }
    // These are more than open_connections: further ones are accepted only when
    // the slow ones have timed out with 408.
    expectServing();
  }

  void testPeerPortRejectsUnsignedInput() {
    int Peer = m_Fleet->at(0).m_PeerPort;
    asio::io_context Context;
    asio::ip::udp::socket Socket(Context, asio::ip::udp::v4());
    asio::ip::udp::endpoint To(asio::ip::make_address("127.0.0.1"),
                               static_cast<std::uint16_t>(Peer));
    std::mt19937 Random(4);
    for (int I = 0; I < 300; ++I) {
      std::string Datagram(Random() % 3000, '\0');
      for (char &C : Datagram)
        C = static_cast<char>(Random());
      if (I % 2 == 0)
        Datagram = std::string("YD") + peer::ProtocolVersion + Datagram;
      else if (I % 5 == 0)
        Datagram = "YD\x01" + Datagram;
      Socket.send_to(asio::buffer(Datagram), To);
    }
    CPPUNIT_ASSERT(eventually([&] {
      std::string Metrics = m_Fleet->callOperatorApi(0, "/metrics").m_Body;
      return Metrics.find("dropped_wrong_key_total") != std::string::npos &&
             Metrics.find("dropped_other_version_total") != std::string::npos &&
             Metrics.find("dropped_too_large_total") != std::string::npos &&
             Metrics.find("dropped_garbage_total") != std::string::npos &&
             Metrics.find("yardrill_open_connections ") != std::string::npos;
    }));
    CPPUNIT_ASSERT(m_Fleet->status(0).at("peers").as_array().empty());
    // The peer port refuses requests without a valid signature.
    auto Forged = applicationRequest("/holds", "forged");
    Forged.m_Headers.set("Yardrill-Peer-Account", "box-office");
    Forged.m_Headers.set("Yardrill-Peer-Time", "1");
    Forged.m_Headers.set("Yardrill-Peer-Signature", std::string(64, '0'));
    CPPUNIT_ASSERT_EQUAL(403U, call(Peer, Forged).m_Status);
    // The operators' port refuses requests without its token.
    http::RequestMessage Bare;
    Bare.m_Method = "GET";
    Bare.m_Target = "/status";
    Bare.m_Headers.set("Host", "x");
    CPPUNIT_ASSERT_EQUAL(401U,
                         call(m_Fleet->at(0).m_OperatorPort, Bare).m_Status);
    expectServing();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BadInputTest);
