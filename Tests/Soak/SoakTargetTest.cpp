//===-- SoakTargetTest.cpp - What the soak's targets report ---------------===//
//
// Guards against a soak that holds a gateway to backpressure that it was never
// sent, because its link was reset while the response was on its way, and
// against one that ignores backpressure that arrived.
//
//===----------------------------------------------------------------------===//
#include "SoakTarget.h"

#include "TestClient.h"

#include <boost/asio.hpp>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::soak;
using std::chrono::milliseconds;

class SoakTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakTargetTest);
  CPPUNIT_TEST(testReceivedBackoffBinds);
  CPPUNIT_TEST(testLostBackoffBindsNobody);
  CPPUNIT_TEST(testBackoffBindsOnceItsHeldBackResponseArrives);
  CPPUNIT_TEST(testBackoffToClosedConnectionBindsNobody);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context m_Context;
  std::mt19937_64 m_Random{1};
  InvariantChecker m_Checker{1};
  SoakTarget m_Target{m_Context, m_Checker, m_Random, "t", "pool"};
  int m_Next = 0;

  http::RequestMessage createRequest() {
    SentRequest Sent;
    Sent.m_Id = "a" + std::to_string(++m_Next);
    Sent.m_Kind = RequestKind::Idempotent;
    Sent.m_Account = "open";
    Sent.m_SentAt = Clock::now();
    Sent.m_TimeLimit = std::chrono::seconds(2);
    m_Checker.requestSent(Sent);
    http::RequestMessage Request;
    Request.m_Method = "POST";
    Request.m_Target = "/";
    Request.m_Headers = {
        {"Attempt-Id", Sent.m_Id}, {"Expect-Replica", "t"}, {"Tenant", "open"}};
    Request.m_Body = requestBodyOf(Sent.m_Id);
    return Request;
  }
  std::future<tests::Reply> send() {
    return tests::callAsync(m_Target.proxy().port(), createRequest());
  }
  void runFor(milliseconds Time) { m_Context.run_for(Time); }
  tests::Reply finish(std::future<tests::Reply> Pending) {
    while (Pending.wait_for(milliseconds(0)) != std::future_status::ready)
      runFor(milliseconds(5));
    return Pending.get();
  }
  /// Lets the target state back-offs in its responses. Their lengths are
  /// random; the longest of several lasts for more than a second.
  template <class Step> void stateBackoffs(Step StateOne) {
    ResponseFaults Faults;
    Faults.m_BackoffShare = 1;
    m_Target.setResponseFaults(Faults);
    for (int I = 0; I < 8; ++I)
      StateOne();
    m_Target.setResponseFaults({});
  }
  /// Sends as many requests as a back-off doesn't permit.
  void sendTooMany() {
    runFor(bounds::BackpressureSlack + milliseconds(50));
    for (std::size_t I = 0; I <= bounds::MaxRequestsInBackoff; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, finish(send()).m_Status);
  }
  /// Sends a request, and closes its connection before the response arrives.
  void sendAndClose() {
    namespace asio = boost::asio;
    http::RequestMessage Request = createRequest();
    std::string Bytes = "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: " +
                        std::to_string(Request.m_Body.size()) + "\r\n";
    for (const http::Header &Each : Request.m_Headers)
      Bytes += Each.m_Name + ": " + Each.m_Value + "\r\n";
    Bytes += "\r\n" + Request.m_Body;
    asio::ip::tcp::socket Socket(m_Context);
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<asio::ip::port_type>(m_Target.proxy().port())});
    asio::write(Socket, asio::buffer(Bytes));
    runFor(milliseconds(60));
    Socket.close();
    runFor(milliseconds(30));
  }
  /// Holds back the response of one request, and resets its connection.
  void loseResponse() {
    m_Target.proxy().setMode(tests::ProxyMode::CutBackward);
    auto Pending = send();
    runFor(milliseconds(60));
    m_Target.proxy().resetAll();
    m_Target.proxy().setMode(tests::ProxyMode::PassThrough);
    CPPUNIT_ASSERT(!finish(std::move(Pending)).isComplete());
  }

public:
  void testReceivedBackoffBinds() {
    stateBackoffs(
        [this] { CPPUNIT_ASSERT_EQUAL(503U, finish(send()).m_Status); });
    sendTooMany();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Checker.violations().size());
    CPPUNIT_ASSERT_EQUAL(std::string("rest"),
                         m_Checker.violations()[0].substr(0, 4));
  }

  void testLostBackoffBindsNobody() {
    stateBackoffs([this] { loseResponse(); });
    sendTooMany();
    CPPUNIT_ASSERT(m_Checker.violations().empty());
  }

  void testBackoffBindsOnceItsHeldBackResponseArrives() {
    stateBackoffs([this] {
      m_Target.proxy().setMode(tests::ProxyMode::CutBackward);
      auto Pending = send();
      runFor(milliseconds(60));
      m_Target.proxy().setMode(tests::ProxyMode::PassThrough);
      CPPUNIT_ASSERT_EQUAL(503U, finish(std::move(Pending)).m_Status);
    });
    sendTooMany();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_Checker.violations().size());
  }

  void testBackoffToClosedConnectionBindsNobody() {
    stateBackoffs([this] {
      m_Target.proxy().setMode(tests::ProxyMode::CutBackward);
      sendAndClose();
      m_Target.proxy().setMode(tests::ProxyMode::PassThrough);
      runFor(milliseconds(30));
    });
    sendTooMany();
    CPPUNIT_ASSERT(m_Checker.violations().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTargetTest);
