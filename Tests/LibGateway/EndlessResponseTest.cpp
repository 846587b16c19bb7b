//===-- EndlessResponseTest.cpp - Targets that send bytes without end -----===//
//
// Guards against a target whose bytes hold its slot, the caller or the
// gateway's memory until the target itself stops.
//
//===----------------------------------------------------------------------===//
#include "EndlessTarget.h"
#include "GatewayFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class EndlessResponseTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(EndlessResponseTest);
  CPPUNIT_TEST(testBytesWithoutHead);
  CPPUNIT_TEST(testHeadLines);
  CPPUNIT_TEST(testInterimHeads);
  CPPUNIT_TEST(testRefusalBody);
  CPPUNIT_TEST(testSlowRefusalBody);
  CPPUNIT_TEST(testSurplusBody);
  CPPUNIT_TEST(testSlowSurplusBody);
  CPPUNIT_TEST(testSurplusHeads);
  CPPUNIT_TEST(testSuccessBody);
  CPPUNIT_TEST(testFailureBody);
  CPPUNIT_TEST(testEvent);
  CPPUNIT_TEST(testChunkExtension);
  CPPUNIT_TEST(testTrailers);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Deadline{800};
  /// Time after the deadline by which all is over.
  static constexpr milliseconds Slack{500};
  /// What may be read of bytes that are no response to the request, the buffers
  /// of the connection included.
  static constexpr std::size_t MaxUselessBytes = 12UL * 1024 * 1024;
  static constexpr int FastWrite = 32768;

  std::unique_ptr<EndlessTarget> m_Target;

  static std::string head(const Request &Received, const std::string &Status,
                          const std::string &Headers) {
    return "HTTP/1.1 " + Status + "\r\nAttempt-Id: " + attemptIdOf(Received) +
           "\r\n" + Headers + "\r\n";
  }
  static std::string surplusHead(const std::string &Headers) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nReplica-Seal: s\r\n" +
           Headers + "\r\n";
  }
  static std::string repeated(const std::string &Text, int Times) {
    std::string Out;
    for (int I = 0; I < Times; ++I)
      Out += Text;
    return Out;
  }
  static std::string largeChunk() { return chunk(std::string(FastWrite, 'x')); }

  /// Sends one request, and checks that its caller, the target's slot and the
  /// bytes read are bounded.
  Reply sendToEndless(const std::string &Path, EndlessTarget::Script Respond,
                      int PauseMs = 1, std::size_t MaxBytes = MaxUselessBytes) {
    m_Target = std::make_unique<EndlessTarget>(m_Context, std::move(Respond));
    m_Target->m_PauseMs = PauseMs;
    announce(1, m_Target->port());
    start();
    http::RequestMessage Message = request(Path);
    Message.m_Headers.set("Deadline-Ms", std::to_string(Deadline.count()));
    auto Begin = std::chrono::steady_clock::now();
    auto Running = callAsync(m_CallerPort, Message);
    auto End = Begin + Deadline + Slack;
    bool IsAnswered = Running.wait_until(End) == std::future_status::ready;
    while (m_Target->m_Closed == 0 && std::chrono::steady_clock::now() < End)
      std::this_thread::sleep_for(milliseconds(5));
    bool IsSlotFree = m_Target->m_Closed > 0;
    std::size_t Sent = m_Target->m_SentBytes;
    if (!IsAnswered || !IsSlotFree)
      m_Context.stop();
    CPPUNIT_ASSERT_MESSAGE("the caller still waits", IsAnswered);
    CPPUNIT_ASSERT_MESSAGE("the target is still at work", IsSlotFree);
    CPPUNIT_ASSERT_EQUAL(1, m_Target->m_Requests.load());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Sent) + " bytes sent",
                           Sent < MaxBytes);
    return Running.get();
  }

public:
  void destroyTargets() override {
    GatewayFixture::destroyTargets();
    m_Target.reset();
  }

  void testBytesWithoutHead() {
    Reply Seen = sendToEndless("/once/x", [](const Request &) {
      return EndlessTarget::Bytes{"", std::string(FastWrite, 'x')};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  void testHeadLines() {
    Reply Seen = sendToEndless("/once/x", [](const Request &) {
      return EndlessTarget::Bytes{"HTTP/1.1 200 OK\r\n",
                                  "X-Y: " + std::string(900, 'y') + "\r\n"};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  void testInterimHeads() {
    Reply Seen = sendToEndless("/once/x", [](const Request &) {
      return EndlessTarget::Bytes{
          "", repeated("HTTP/1.1 100 Continue\r\n\r\n", 50)};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  /// The head of a refusal is a promise, whatever follows it.
  void testRefusalBody() {
    Reply Seen = sendToEndless("/once/x", [](const Request &Received) {
      return EndlessTarget::Bytes{
          head(Received, "503 S",
               "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"),
          largeChunk()};
    });
    CPPUNIT_ASSERT_EQUAL(503U, Seen.m_Status);
  }
  void testSlowRefusalBody() {
    Reply Seen = sendToEndless(
        "/once/x",
        [](const Request &Received) {
          return EndlessTarget::Bytes{
              head(Received, "503 S",
                   "Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n"),
              chunk("x")};
        },
        20);
    CPPUNIT_ASSERT_EQUAL(503U, Seen.m_Status);
  }
  void testSurplusBody() {
    Reply Seen = sendToEndless("/once/x", [](const Request &) {
      return EndlessTarget::Bytes{surplusHead("Transfer-Encoding: chunked\r\n"),
                                  largeChunk()};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  void testSlowSurplusBody() {
    Reply Seen = sendToEndless(
        "/once/x",
        [](const Request &) {
          return EndlessTarget::Bytes{
              surplusHead("Transfer-Encoding: chunked\r\n"), chunk("x")};
        },
        20);
    CPPUNIT_ASSERT_EQUAL(504U, Seen.m_Status);
  }
  void testSurplusHeads() {
    Reply Seen = sendToEndless("/once/x", [](const Request &) {
      return EndlessTarget::Bytes{
          "", repeated(surplusHead("Content-Length: 0\r\n"), 50)};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  /// A success without end is passed on until the deadline.
  void testSuccessBody() {
    Reply Seen = sendToEndless(
        "/once/x",
        [](const Request &Received) {
          return EndlessTarget::Bytes{
              head(Received, "200 OK",
                   "Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n"),
              largeChunk()};
        },
        1, SIZE_MAX);
    CPPUNIT_ASSERT_EQUAL(200U, Seen.m_Status);
    CPPUNIT_ASSERT(!Seen.isComplete());
  }
  void testFailureBody() {
    Reply Seen = sendToEndless(
        "/once/x",
        [](const Request &Received) {
          return EndlessTarget::Bytes{head(Received, "500 S", ""),
                                      std::string(FastWrite, 'x')};
        },
        1, SIZE_MAX);
    CPPUNIT_ASSERT(!Seen.isComplete());
  }
  void testEvent() {
    Reply Seen = sendToEndless("/fragile/x", [](const Request &Received) {
      return EndlessTarget::Bytes{streamHead(Received), largeChunk()};
    });
    CPPUNIT_ASSERT_EQUAL(502U, Seen.m_Status);
  }
  void testChunkExtension() {
    Reply Seen = sendToEndless("/once/x", [](const Request &Received) {
      return EndlessTarget::Bytes{
          head(Received, "200 OK",
               "Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n") +
              "5;",
          std::string(FastWrite, 'e')};
    });
    CPPUNIT_ASSERT(!Seen.isComplete() || Seen.m_Status >= 500);
  }
  void testTrailers() {
    Reply Seen = sendToEndless("/once/x", [](const Request &Received) {
      return EndlessTarget::Bytes{
          head(Received, "200 OK",
               "Replica-Seal: s\r\nTransfer-Encoding: chunked\r\n") +
              "0\r\n",
          repeated("X-T: t\r\n", 100)};
    });
    CPPUNIT_ASSERT(!Seen.isComplete() || Seen.m_Status >= 500);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessResponseTest);
