//===-- ForwardedResponseTest.cpp - Responses of peers --------------------===//
//
// Guards against a late response of a peer that counts as its response to the
// next request that is forwarded to it.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include "LibPeer/ForwardTicket.h"
#include "LibPeer/PeerCodec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

namespace {

/// Peer that reports to a gateway and responds by a script to what it forwards.
class ScriptedPeer {
public:
  ScriptedPeer(int GatewayPort, ScriptedTarget::Script Respond)
      : m_Http(m_Context, std::move(Respond)),
        m_Socket(m_Context, {loopback(), 0}),
        m_Gateway(loopback(), static_cast<asio::ip::port_type>(GatewayPort)) {
    m_Http.m_SendsSecondCopies = true;
    m_Self.m_Incarnation = core::IncarnationId(1);
    m_Self.m_Peer = {"127.0.0.1", static_cast<std::uint16_t>(m_Http.port())};
    report();
    m_Thread = std::thread([this] { m_Context.run(); });
  }
  ~ScriptedPeer() {
    m_Context.stop();
    m_Thread.join();
  }

private:
  static asio::ip::address loopback() {
    return asio::ip::make_address("127.0.0.1");
  }
  void report() {
    peer::LoadReport Report;
    Report.m_Name = core::InstanceName("scripted");
    Report.m_DataHall = core::DataHallName("hall");
    Report.m_StoreRevision = 1;
    Report.m_CompleteRevision = 1;
    peer::PeerMessage Message{m_Self, ++m_Sequence, core::wallSeconds().count(),
                              Report};
    boost::system::error_code Ignored;
    m_Socket.send_to(asio::buffer(m_Codec.encode(Message)), m_Gateway, 0,
                     Ignored);
    m_Timer.expires_after(milliseconds(100));
    m_Timer.async_wait([this](boost::system::error_code Failure) {
      if (!Failure)
        report();
    });
  }

  asio::io_context m_Context{1};
  ScriptedTarget m_Http;
  asio::ip::udp::socket m_Socket;
  asio::ip::udp::endpoint m_Gateway;
  asio::steady_timer m_Timer{m_Context};
  peer::PeerCodec m_Codec{"test"};
  decision::InstanceRef m_Self;
  std::uint64_t m_Sequence = 0;
  std::thread m_Thread;
};

} // namespace

class ForwardedResponseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardedResponseTest);
  CPPUNIT_TEST(testSecondCopyOfAResponse);
  CPPUNIT_TEST(testSecondCopyOfARequestNotTaken);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Requests = 8;
  /// Longer than a peer that has not taken a request is avoided.
  static constexpr milliseconds ExclusionTime{600};

  static std::string repeatedHeader(const Request &Received, const char *Name) {
    return std::string(Name) + ": " + std::string(Received[Name]) + "\r\n";
  }
  static std::string served(const Request &Received) {
    return completeResponse(
        Received, Received.body(), "200 OK",
        "Replica-Seal: s\r\n" +
            repeatedHeader(Received, peer::ForwardAttemptHeader));
  }
  static std::string notTaken(const Request &Received) {
    return completeResponse(
        Received, "", "503 Service Unavailable",
        std::string(peer::ForwardOutcomeHeader) + ": " + peer::OutcomeNotTaken +
            "\r\n" + repeatedHeader(Received, peer::ForwardAttemptHeader));
  }
  /// Cuts the gateway off its targets and waits until it forwards to the peer.
  static void cutOff(GatewayFleet &Fleet) {
    Fleet.setLinks(0, ProxyMode::Closed);
    Fleet.resetLinks(0);
    CPPUNIT_ASSERT(eventually([&] {
      Fleet.send(0, "/once/x", "warm-up");
      return Fleet.metric(0, "yardrill_forwarded_requests_total") > 1;
    }));
    std::this_thread::sleep_for(ExclusionTime);
  }
  static void start(GatewayFleet &Fleet) {
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
  }

public:
  void testSecondCopyOfAResponse() {
    GatewayFleet Fleet(1, 2, true);
    start(Fleet);
    ScriptedPeer Peer(Fleet.peerPort(0), served);
    cutOff(Fleet);
    for (int I = 0; I < Requests; ++I) {
      std::string Body = "request " + std::to_string(I);
      CPPUNIT_ASSERT_EQUAL(Body, Fleet.send(0, "/once/x", Body).m_Body);
    }
  }

  void testSecondCopyOfARequestNotTaken() {
    GatewayFleet Fleet(1, 2, true);
    start(Fleet);
    ScriptedPeer Peer(Fleet.peerPort(0), [](const Request &Received) {
      return Received.body() == "refused" ? notTaken(Received)
                                          : served(Received);
    });
    cutOff(Fleet);
    for (int I = 0; I < Requests; ++I) {
      CPPUNIT_ASSERT_EQUAL(503U, Fleet.send(0, "/once/x", "refused").m_Status);
      std::this_thread::sleep_for(ExclusionTime);
      CPPUNIT_ASSERT_EQUAL(200U, Fleet.send(0, "/once/x", "taken").m_Status);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedResponseTest);
