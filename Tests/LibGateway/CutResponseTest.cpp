//===-- CutResponseTest.cpp - Targets that stop within their response -----===//
//
// Guards against a response that ends within its head, or whose body is cut,
// and that its caller gets framed as complete.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"
#include "GatewayFleet.h"

using namespace yardrill;
using namespace yardrill::tests;

class CutResponseTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(CutResponseTest);
  CPPUNIT_TEST(testBodyWithALength);
  CPPUNIT_TEST(testBodyInChunks);
  CPPUNIT_TEST(testBodyThatEndsWithItsConnection);
  CPPUNIT_TEST(testStreamThatRunsOnce);
  CPPUNIT_TEST(testResumableStream);
  CPPUNIT_TEST(testResponseBehindInterimHeads);
  CPPUNIT_TEST(testResponseOverAPeer);
  CPPUNIT_TEST_SUITE_END();

  /// Bytes of the shortest head that a target sends.
  static constexpr int PeerCuts = 75;

  static std::string head(const Request &Received, const std::string &Headers) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attemptIdOf(Received) +
           "\r\nReplica-Seal: s\r\n" + Headers + "\r\n";
  }
  static std::string chunkedResponse(const Request &Received) {
    return head(Received, "Transfer-Encoding: chunked\r\n") + chunk("abcde") +
           chunk("fghij") + "0\r\n\r\n";
  }
  static std::string streamResponse(const Request &Received) {
    return streamHead(Received) + chunk("id: 1\ndata: x\n\n") +
           chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n";
  }

  /// Cuts the response after each number of bytes. A caller must not see a
  /// success that looks complete.
  /// \param IsEndKnown whether the response states where its body ends; else
  /// only cuts within the head are tried.
  void checkAllCuts(const std::string &Path,
                    const std::function<std::string(const Request &)> &Full,
                    bool IsEndKnown = true) {
    static std::size_t Cut;
    static std::size_t HeadSize;
    static std::size_t Size;
    Cut = std::string::npos;
    addTarget([Full](const Request &Received) {
      std::string Out = Full(Received);
      Size = Out.size();
      HeadSize = Out.rfind("HTTP/1.1 200");
      HeadSize = Out.find("\r\n\r\n", HeadSize) + 4;
      return Cut == std::string::npos ? Out + '!' : Out.substr(0, Cut) + '!';
    });
    start();
    Reply Whole = send(request(Path));
    CPPUNIT_ASSERT_EQUAL(200U, Whole.m_Status);
    CPPUNIT_ASSERT(Whole.isComplete());
    for (Cut = 0; Cut < (IsEndKnown ? Size : HeadSize); ++Cut) {
      Reply Seen = send(request(Path));
      std::string Case =
          "after " + std::to_string(Cut) + " of " + std::to_string(Size) +
          " bytes: " + std::to_string(Seen.m_Status) + " " + Seen.m_Body;
      CPPUNIT_ASSERT_MESSAGE(Case, Seen.m_Status >= 500 || !Seen.isComplete());
    }
  }

public:
  void testBodyWithALength() {
    checkAllCuts("/once/x", [](const Request &Received) {
      return completeResponse(Received, "abcdefghij");
    });
  }
  void testBodyInChunks() { checkAllCuts("/once/x", chunkedResponse); }
  void testBodyThatEndsWithItsConnection() {
    checkAllCuts(
        "/once/x",
        [](const Request &Received) {
          return head(Received, "Connection: close\r\n") + "abcdefghij";
        },
        false);
  }
  void testStreamThatRunsOnce() { checkAllCuts("/fragile/x", streamResponse); }
  void testResumableStream() { checkAllCuts("/stream/x", streamResponse); }
  void testResponseBehindInterimHeads() {
    checkAllCuts("/once/x", [](const Request &Received) {
      return "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
             "Link: x\r\n\r\n" +
             completeResponse(Received, "abcdefghij");
    });
  }

  void testResponseOverAPeer() {
    GatewayFleet Fleet(2, 2, true);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.setLinks(0, ProxyMode::Closed);
    Fleet.resetLinks(0);
    CPPUNIT_ASSERT(eventually([&] {
      Fleet.send(0, "/once/x", "");
      return Fleet.metric(0, "yardrill_forwarded_requests_total") > 4;
    }));
    for (const char *Path : {"/once/x", "/again/x"})
      for (int Cut = 0; Cut < PeerCuts; ++Cut) {
        http::RequestMessage Message = GatewayFleet::request(Path, "cut");
        Message.m_Headers.set("Test-Cut", std::to_string(Cut));
        Reply Seen = call(Fleet.callerPort(0), Message);
        CPPUNIT_ASSERT_MESSAGE("after " + std::to_string(Cut) +
                                   " bytes: " + std::to_string(Seen.m_Status),
                               Seen.m_Status >= 500 || !Seen.isComplete());
      }
    CPPUNIT_ASSERT(Fleet.arrivalsOf("cut") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CutResponseTest);
