//===-- GatewayTest.cpp - Requests through one gateway --------------------===//
//
// The gateway and its servers are real; the store is a mock, and targets are
// scripts that send correct or malformed responses.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

#include <set>

using namespace yardrill;
using namespace yardrill::tests;

class GatewayTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(GatewayTest);
  CPPUNIT_TEST(testForwardsRequestAndResponse);
  CPPUNIT_TEST(testIsNotReadyWithoutAConfiguration);
  CPPUNIT_TEST(testEarlyRequestWaitsForConfiguration);
  CPPUNIT_TEST(testRejectsInvalidRequests);
  CPPUNIT_TEST(testNonIdempotentRequestRunsOnce);
  CPPUNIT_TEST(testRequestOnAConnectionThatItsTargetClosesIsNotSentAgain);
  CPPUNIT_TEST(testRefusalThatMayHaveRunIsNoPromise);
  CPPUNIT_TEST(testMisdirectedResponseOfTheAddressedTargetIsNoPromise);
  CPPUNIT_TEST(testRetriesAfterTargetRefusal);
  CPPUNIT_TEST(testReplacedTargetIsNotUsed);
  CPPUNIT_TEST(testRestartedTargetGetsNewConnections);
  CPPUNIT_TEST(testUnreadableAnnouncementRemovesTarget);
  CPPUNIT_TEST(testIdempotentRequestIsRetried);
  CPPUNIT_TEST(testSkipsUnmatchedResponse);
  CPPUNIT_TEST(testUnsignedSuccessIsRejected);
  CPPUNIT_TEST(testResumesStreamAtAnotherTarget);
  CPPUNIT_TEST(testBrokenStreamIsAborted);
  CPPUNIT_TEST(testResponseDelimitedByConnectionClose);
  CPPUNIT_TEST(testCallerDisconnectCancelsRequest);
  CPPUNIT_TEST(testStopDrainsOpenRequests);
  CPPUNIT_TEST(testDestructionWithOpenRequests);
  CPPUNIT_TEST_SUITE_END();

public:
  void testForwardsRequestAndResponse() {
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "answer"); });
    start();
    http::RequestMessage Sent = request("/once/x?y=%2f");
    Reply Received = send(Sent);
    CPPUNIT_ASSERT_EQUAL(200U, Received.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("answer"), Received.m_Body);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Received.header("Replica-Seal"));
    Request Seen = m_Targets[0]->requests().at(0);
    CPPUNIT_ASSERT(Seen.target() == "/once/x?y=%2f");
    CPPUNIT_ASSERT_EQUAL(std::string("body"), Seen.body());
    CPPUNIT_ASSERT(Seen["Expect-Replica"] == "i-1");
    CPPUNIT_ASSERT(Seen["Tenant"] == "owner");
    CPPUNIT_ASSERT(Seen["Api-Key"].empty());
    CPPUNIT_ASSERT(Seen["Attempt-Id"] == *Sent.m_Headers.find("Attempt-Id"));
    int DeadlineMs = std::stoi(std::string(Seen["Deadline-Ms"]));
    CPPUNIT_ASSERT(DeadlineMs > 1500 && DeadlineMs <= 2000);
    // A request without a key on a public route has no client account.
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/open/x", "")).m_Status);
    CPPUNIT_ASSERT(m_Targets[0]->requests().at(1)["Tenant"].empty());
  }

  void testIsNotReadyWithoutAConfiguration() {
    start(false);
    CPPUNIT_ASSERT_EQUAL(503U, readiness());
    Reply Received = send(request("/once/x"));
    CPPUNIT_ASSERT_EQUAL(503U, Received.m_Status);
    CPPUNIT_ASSERT(!Received.header("Retry-After").empty());
  }

  void testEarlyRequestWaitsForConfiguration() {
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "answer"); });
    m_Store.m_ReadDelay = std::chrono::milliseconds(100);
    start(true, false);
    CPPUNIT_ASSERT_EQUAL(503U, readiness());
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
  }

  void testRejectsInvalidRequests() {
    addTarget([](const Request &Read) { return completeResponse(Read, ""); });
    start();
    CPPUNIT_ASSERT_EQUAL(404U, send(request("/none/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(401U, send(request("/once/x", "wrong")).m_Status);
    CPPUNIT_ASSERT_EQUAL(401U, send(request("/once/x", "")).m_Status);
    http::RequestMessage WithoutId = request("/once/x");
    WithoutId.m_Headers.remove("Attempt-Id");
    CPPUNIT_ASSERT_EQUAL(400U, send(WithoutId).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestCount());
    // The bucket has just begun to fill; 50 tokens leave it in debt.
    eventually(
        [&] { return send(request("/once/x", "poor")).m_Status == 200; });
    Reply Refusal = send(request("/once/x", "poor"));
    CPPUNIT_ASSERT_EQUAL(429U, Refusal.m_Status);
    CPPUNIT_ASSERT(std::stod(Refusal.header("Retry-After")) > 1);
  }

  void testNonIdempotentRequestRunsOnce() {
    addTarget([](const Request &) { return ""; });
    addTarget([](const Request &) { return ""; });
    start();
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(502U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), requestCount());
  }

  void testRequestOnAConnectionThatItsTargetClosesIsNotSentAgain() {
    for (int I = 0; I < 2; ++I)
      addTarget([](const Request &Received) {
        return completeResponse(Received, "") + "~";
      });
    start();
    for (const char *Path : {"/once/x", "/fragile/x"}) {
      std::size_t Before = requestCount();
      int Lost = 0;
      for (int I = 0; I < 20; ++I)
        Lost += send(request(Path)).m_Status == 502 ? 1 : 0;
      CPPUNIT_ASSERT(Lost > 0);
      CPPUNIT_ASSERT_EQUAL(std::size_t(20 - Lost), requestCount() - Before);
    }
  }

  void testRefusalThatMayHaveRunIsNoPromise() {
    static std::string Status;
    addTarget([](const Request &Received) {
      return completeResponse(Received, "", Status);
    });
    start();
    for (const char *Each : {"503 Service Unavailable", "429 Too Many Requests",
                             "408 Request Timeout"})
      for (const char *Path : {"/once/x", "/fragile/x"}) {
        Status = Each;
        CPPUNIT_ASSERT_EQUAL(502U, send(request(Path)).m_Status);
      }
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), requestCount());
  }

  void testMisdirectedResponseOfTheAddressedTargetIsNoPromise() {
    auto Script = [](const Request &Received) {
      return completeResponse(
          Received, "", "421 Misdirected Request",
          "Replica-Id: " + std::string(Received["Expect-Replica"]) + "\r\n");
    };
    addTarget(Script);
    addTarget(Script);
    start();
    for (int I = 0; I < 4; ++I)
      CPPUNIT_ASSERT_EQUAL(502U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), requestCount());
  }

  void testRetriesAfterTargetRefusal() {
    // The first target that receives a request refuses it.
    std::set<std::string> Seen;
    auto Script = [&Seen](const Request &Read) {
      bool IsFirst = Seen.insert(attemptIdOf(Read)).second;
      return IsFirst ? notExecuted(Read) : completeResponse(Read, "answer");
    };
    addTarget(Script);
    addTarget(Script);
    start();
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), requestCount());
  }

  void testReplacedTargetIsNotUsed() {
    addTarget([](const Request &Read) {
      return completeResponse(Read, "", "421 Misdirected Request", "");
    });
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "answer"); });
    start();
    for (int I = 0; I < 6; ++I) {
      CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
      // Longer than the first cooldown of a target after a failure.
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    CPPUNIT_ASSERT(m_Targets[0]->requests().size() <= 1);
  }

  /// Guards against non-idempotent requests that are lost on a connection to
  /// the target's earlier incarnation.
  void testRestartedTargetGetsNewConnections() {
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "answer"); });
    start();
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(1, m_Targets[0]->m_Accepted.load());
    m_Store.change(keyOf(1), announcement(1, 2));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(2, m_Targets[0]->m_Accepted.load());
    // The same incarnation changes its announcement.
    m_Store.change(keyOf(1), announcement(1, 2) + " ");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
    CPPUNIT_ASSERT_EQUAL(2, m_Targets[0]->m_Accepted.load());
  }

  /// Guards against malformed entries that keep a replaced announcement in
  /// force or stop the use of other targets.
  void testUnreadableAnnouncementRemovesTarget() {
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "one"); });
    addTarget(
        [](const Request &Read) { return completeResponse(Read, "two"); });
    start();
    m_Store.change(keyOf(1), R"({"service":"app"})");
    m_Store.change("servers/other", "\xff\xfe");
    m_Store.change("servers/", announcement(1, 1));
    // Longer than a target without its announcement is used.
    std::this_thread::sleep_for(std::chrono::milliseconds(1700));
    std::size_t Before = m_Targets[0]->requests().size();
    for (int I = 0; I < 6; ++I)
      CPPUNIT_ASSERT_EQUAL(std::string("two"), send(request("/once/x")).m_Body);
    CPPUNIT_ASSERT_EQUAL(Before, m_Targets[0]->requests().size());
  }

  void testIdempotentRequestIsRetried() {
    addTarget([](const Request &Read) {
      return completeResponse(Read, "broken", "500 Internal Server Error");
    });
    addTarget([](const Request &) { return ""; });
    start();
    Reply Received = send(request("/again/x"));
    CPPUNIT_ASSERT(Received.m_Status == 500 || Received.m_Status == 502);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), requestCount());
    if (Received.m_Status == 500)
      CPPUNIT_ASSERT_EQUAL(std::string("broken"), Received.m_Body);
  }

  void testSkipsUnmatchedResponse() {
    addTarget([](const Request &Read) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: old\r\nReplica-Seal: s\r\n"
             "Content-Length: 3\r\n\r\nold" +
             completeResponse(Read, "own");
    });
    start();
    Reply Received = send(request("/once/x"));
    CPPUNIT_ASSERT_EQUAL(200U, Received.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("own"), Received.m_Body);
  }

  void testUnsignedSuccessIsRejected() {
    addTarget([](const Request &Read) {
      return completeResponse(Read, "x", "200 OK", "");
    });
    start();
    CPPUNIT_ASSERT_EQUAL(502U, send(request("/once/x")).m_Status);
  }

  void testResumesStreamAtAnotherTarget() {
    auto Script = [](const Request &Read) {
      if (!Read["Last-Event-Id"].empty())
        return streamHead(Read) + chunk("id: 2\ndata: b\n\n") +
               chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";
      // Breaks within the second event.
      return streamHead(Read) + chunk("id: 1\ndata: a\n\nid: 2\nda") + "!";
    };
    addTarget(Script);
    addTarget(Script);
    start();
    Reply Received = send(request("/stream/x"));
    CPPUNIT_ASSERT(Received.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                                     "id: 3\ndata: c\n\n"),
                         Received.m_Body);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), requestCount());
  }

  void testBrokenStreamIsAborted() {
    addTarget([](const Request &Read) {
      return streamHead(Read) + chunk("id: 1\ndata: a\n\n") + "!";
    });
    start();
    Reply Received = send(request("/fragile/x"));
    CPPUNIT_ASSERT(!Received.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), requestCount());
  }

  void testResponseDelimitedByConnectionClose() {
    addTarget([](const Request &Read) {
      return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptIdOf(Read) +
             "\r\nReplica-Seal: s\r\n\r\nuntil the end!";
    });
    start();
    Reply Received = send(request("/once/x"));
    CPPUNIT_ASSERT(Received.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::string("until the end"), Received.m_Body);
  }

  void testCallerDisconnectCancelsRequest() {
    addTarget([](const Request &) { return "wait"; });
    start();
    {
      asio::io_context CallerContext;
      tcp::socket Caller(CallerContext);
      Caller.connect(local(m_CallerPort).toTcp());
      std::string Text = "GET /again/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: z\r\n"
                         "Api-Key: key\r\nDeadline-Ms: 2000\r\n\r\n";
      asio::write(Caller, asio::buffer(Text));
      CPPUNIT_ASSERT(eventually([this] { return requestCount() == 1; }));
    }
    auto LeftAt = core::steadyNow();
    CPPUNIT_ASSERT(
        eventually([this] { return m_Targets[0]->m_ClosedWhileWaiting == 1; }));
    CPPUNIT_ASSERT(core::steadyNow() - LeftAt < std::chrono::milliseconds(500));
  }

  void testStopDrainsOpenRequests() {
    std::atomic<bool> MayAnswer{false};
    addTarget([&](const Request &Read) {
      return MayAnswer ? completeResponse(Read, "late") : notExecuted(Read);
    });
    start();
    std::atomic<bool> IsFinished{false};
    asio::post(m_Context, [&] { m_Gateway->stop([&] { IsFinished = true; }); });
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 503; }));
    MayAnswer = true;
    // The request is served, and its connection is closed afterwards.
    Reply Received = send(request("/again/x"));
    CPPUNIT_ASSERT_EQUAL(200U, Received.m_Status);
    CPPUNIT_ASSERT_EQUAL(std::string("close"), Received.header("Connection"));
    CPPUNIT_ASSERT(eventually([&] { return IsFinished.load(); }));
  }

  void testDestructionWithOpenRequests() {
    addTarget([](const Request &) { return "wait"; });
    start();
    asio::io_context CallerContext;
    std::vector<tcp::socket> Callers;
    for (int I = 0; I < 64; ++I) {
      Callers.emplace_back(CallerContext);
      Callers.back().connect(local(m_CallerPort).toTcp());
      std::string Text = "GET /again/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: z" +
                         std::to_string(I) +
                         "\r\nApi-Key: key\r\nDeadline-Ms: 2000\r\n\r\n";
      asio::write(Callers.back(), asio::buffer(Text));
    }
    CPPUNIT_ASSERT(eventually([this] { return requestCount() == 4; }));
    // The other requests wait for a slot.
    tearDown();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayTest);
