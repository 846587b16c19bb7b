//===-- AbandonedRequestTest.cpp - Requests whose callers have left -------===//
//
// Guards against a request that is sent although its caller left before: the
// caller may take it for unread, and send it again.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include "GatewayFleet.h"
#include "LeavingCaller.h"

using namespace yardrill;
using namespace yardrill::tests;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// One gateway whose event loop the test steps, and a target that sees when a
/// request is sent to it.
class SteppedGateway : public GatewayFixture {
public:
  using GatewayFixture::request;

  SteppedGateway() {
    m_Acceptor.open(tcp::v4());
    m_Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    m_Acceptor.listen();
    announce(1, m_Acceptor.local_endpoint().port());
    startStepped();
    m_First = std::make_unique<LeavingCaller>(m_CallerPort);
    m_First->send(request("/once/first"));
    m_Acceptor.non_blocking(true);
    CPPUNIT_ASSERT(runUntil([this] {
      error_code Failure;
      if (!m_Target.is_open())
        m_Acceptor.accept(m_Target, Failure);
      return hasRequest();
    }));
  }
  ~SteppedGateway() override { tearDown(); }

  /// Answers the request at the target, and takes the response to its caller.
  void answerFirst() {
    beast::flat_buffer Buffer;
    Request Received;
    beast::http::read(m_Target, Buffer, Received);
    asio::write(m_Target, asio::buffer(completeResponse(Received, "first")));
    CPPUNIT_ASSERT(runUntil([this] { return m_First->hasResponse(); }));
    m_First->discardResponse();
    runFor(milliseconds(1));
  }
  bool hasRequest() {
    error_code Ignored;
    return m_Target.is_open() && m_Target.available(Ignored) > 0;
  }
  /// Returns the caller of the first request, or one on a new connection.
  LeavingCaller &caller(bool IsKept) {
    if (!IsKept) {
      m_First = std::make_unique<LeavingCaller>(m_CallerPort);
      step(10);
    }
    return *m_First;
  }
  void step(int Count) {
    for (int I = 0; I < Count; ++I)
      m_Context.poll_one();
    m_Context.restart();
  }
  void runFor(milliseconds Time) {
    m_Context.run_for(Time);
    m_Context.restart();
  }

private:
  asio::io_context m_TargetContext;
  tcp::acceptor m_Acceptor{m_TargetContext};
  tcp::socket m_Target{m_TargetContext};
  std::unique_ptr<LeavingCaller> m_First;
};

} // namespace

class AbandonedRequestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AbandonedRequestTest);
  CPPUNIT_TEST(testCallerThatLeavesAtAnyStepOnANewConnection);
  CPPUNIT_TEST(testCallerThatLeavesAtAnyStepOnAKeptConnection);
  CPPUNIT_TEST(testCallerThatLeavesBehindFurtherBytes);
  CPPUNIT_TEST(testCallerThatLeavesAPeerThatStandsStill);
  CPPUNIT_TEST(testCallerThatLeavesBeforeItsRequestIsForwarded);
  CPPUNIT_TEST(testRequestThatWasReadAfterItsDeadline);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Steps = 8;
  static constexpr milliseconds SettleTime{60};

  /// Lets a caller leave after each number of handlers that ran since its
  /// request arrived. If the request was not sent by then, it must not be.
  static void checkAllSteps(bool IsKept, const std::string &Behind) {
    for (Leaving How : {Leaving::Close, Leaving::Reset, Leaving::HalfClose})
      for (int Count = 0; Count < Steps; ++Count) {
        SteppedGateway Gateway;
        Gateway.answerFirst();
        LeavingCaller &Next = Gateway.caller(IsKept);
        Next.send(SteppedGateway::request("/once/left"), Behind);
        Gateway.step(Count);
        bool IsSent = Gateway.hasRequest();
        Next.leave(How);
        Gateway.runFor(SettleTime);
        std::string Case = "leaving " + std::to_string(static_cast<int>(How)) +
                           " after step " + std::to_string(Count);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Case, IsSent, Gateway.hasRequest());
      }
  }

  static constexpr std::size_t Gateways = 3;
  static constexpr std::size_t Targets = 4;
  static constexpr int Callers = 12;
  static constexpr milliseconds StallTime{800};
  static constexpr milliseconds Patience{300};

  /// Cuts the first gateway off, so that it forwards requests to its peers.
  static void startForwarding(GatewayFleet &Fleet) {
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.setLinks(0, ProxyMode::Silent);
    CPPUNIT_ASSERT(eventually([&] {
      Fleet.send(0, "/once/x", "");
      return Fleet.metric(0, "yardrill_forwarded_requests_total") > 2 * Callers;
    }));
  }
  /// Lets callers of the first gateway leave while the gateways from \p First
  /// to \p Last stand still.
  static void assertNoneRuns(std::size_t First, std::size_t Last) {
    GatewayFleet Fleet(Gateways, Targets, true);
    startForwarding(Fleet);
    for (std::size_t I = First; I <= Last; ++I)
      Fleet.stall(I, StallTime);
    std::this_thread::sleep_for(milliseconds(50));
    std::vector<std::unique_ptr<LeavingCaller>> All;
    for (int I = 0; I < Callers; ++I) {
      All.push_back(std::make_unique<LeavingCaller>(Fleet.callerPort(0)));
      All.back()->send(GatewayFleet::request("/once/x", "left"));
    }
    std::this_thread::sleep_for(Patience);
    for (auto &Each : All)
      Each->leave(Leaving::Close);
    std::this_thread::sleep_for(StallTime);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.arrivalsOf("left"));
  }

public:
  void testCallerThatLeavesAtAnyStepOnANewConnection() {
    checkAllSteps(false, "");
  }
  void testCallerThatLeavesAtAnyStepOnAKeptConnection() {
    checkAllSteps(true, "");
  }
  void testCallerThatLeavesBehindFurtherBytes() {
    checkAllSteps(true, "\r\nPOST /once/next HTTP/1.1\r\n");
  }

  void testCallerThatLeavesAPeerThatStandsStill() {
    assertNoneRuns(1, Gateways - 1);
  }
  void testCallerThatLeavesBeforeItsRequestIsForwarded() {
    assertNoneRuns(0, 0);
  }

  void testRequestThatWasReadAfterItsDeadline() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.stall(0, StallTime);
    http::RequestMessage Late = GatewayFleet::request("/once/x", "late");
    Late.m_Headers.set("Deadline-Ms", std::to_string(Patience.count()));
    CPPUNIT_ASSERT_EQUAL(503U, call(Fleet.callerPort(0), Late).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fleet.arrivalsOf("late"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AbandonedRequestTest);
