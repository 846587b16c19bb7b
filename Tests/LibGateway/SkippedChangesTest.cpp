//===-- SkippedChangesTest.cpp - Versions that came and went unseen -------===//
//
// Guards against an instance that stood still, missed a version of targets, and
// lets streams of that version go on at another one.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class SkippedChangesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(SkippedChangesTest);
  CPPUNIT_TEST(testHistoryForgottenWhileTheInstanceStoodStill);
  CPPUNIT_TEST(testHistoryForgottenWhileTheInstanceRan);
  CPPUNIT_TEST_SUITE_END();

  /// Longer than a target is announced at least.
  static constexpr milliseconds StallTime{2500};

  /// Returns the status of a stream whose beginning no instance knows.
  unsigned resumeUnknownStream() {
    http::RequestMessage Message = request("/stream/x");
    Message.m_Headers.set("Last-Event-Id", "1");
    Message.m_Headers.set("Resumes", "unknown");
    return send(Message).m_Status;
  }
  void startWithOneVersion() {
    m_IsFirstStart = true;
    addTarget([](const Request &Received) {
      return streamHead(Received) + chunk("id: 2\ndata: a\n\n") + "0\r\n\r\n";
    });
    start();
    CPPUNIT_ASSERT_EQUAL(200U, resumeUnknownStream());
  }
  /// Lets the instance read a response that the store made before it stood
  /// still, and then all content.
  void readAgainAfter(milliseconds Stall) {
    m_Store.change("other", "1");
    std::this_thread::sleep_for(milliseconds(50));
    asio::post(m_Context, [Stall] { std::this_thread::sleep_for(Stall); });
    m_Store.change("other", "2");
    m_Store.forgetHistory();
    std::this_thread::sleep_for(Stall + milliseconds(500));
  }

public:
  void testHistoryForgottenWhileTheInstanceStoodStill() {
    startWithOneVersion();
    readAgainAfter(StallTime);
    CPPUNIT_ASSERT_EQUAL(503U, resumeUnknownStream());
  }

  void testHistoryForgottenWhileTheInstanceRan() {
    startWithOneVersion();
    readAgainAfter(milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(200U, resumeUnknownStream());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SkippedChangesTest);
