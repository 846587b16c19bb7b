//===-- PlannedStopTest.cpp - Waiting requests of a stopping gateway ------===//
//
// Guards against a planned stop that ends requests without a response, which
// their callers may take for unread and send again.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class PlannedStopTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(PlannedStopTest);
  CPPUNIT_TEST(testWaitingRequestsAreRefused);
  CPPUNIT_TEST(testRequestsAtTargetsAreAnswered);
  CPPUNIT_TEST(testEndedStopAnswersRequestsAtTargets);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Slots = 4;
  static constexpr int Waiting = 6;

  /// Configures a route whose requests wait longer than a stop lasts.
  void configureSlowRoute() {
    m_Store.m_Content.push_back(
        {"op/config",
         R"({"version":7,"routes":[{"host":"h","pathPrefix":"/slow/",
            "routeKind":"non_idempotent","timeoutMs":30000,"sloMs":300,
            "service":"app","maxAttempts":1,"public":true}],
            "services":[{"name":"app"}]})",
         platform::Revision(1)});
  }
  void waitForStop() {
    asio::post(m_Context,
               [this] { m_Gateway->stop([this] { m_Context.stop(); }); });
    m_Thread.join();
  }
  /// Ends the connections that are still open, as the exit of a process does.
  void endConnections() {
    m_Gateway.reset();
    m_Targets.clear();
    m_OwnContext.reset();
  }
  std::future<Reply> sendSlow() const {
    http::RequestMessage Message = request("/slow/x", "");
    Message.m_Headers.set("Deadline-Ms", "30000");
    return callAsync(m_CallerPort, Message);
  }

public:
  void testWaitingRequestsAreRefused() {
    addTarget([](const Request &) { return "wait"; });
    configureSlowRoute();
    start(false);
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < Slots + Waiting; ++I)
      Replies.push_back(sendSlow());
    CPPUNIT_ASSERT(eventually([this] { return requestCount() == Slots; }));
    std::this_thread::sleep_for(milliseconds(200));
    waitForStop();
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots), requestCount());
    endConnections();
    int Refused = 0;
    for (auto &Each : Replies) {
      Reply Received = Each.get();
      if (Received.m_Status != 503)
        continue;
      ++Refused;
      CPPUNIT_ASSERT(!Received.header("Retry-After").empty());
    }
    CPPUNIT_ASSERT_EQUAL(Waiting, Refused);
  }

  /// Stops the gateway while requests are at targets; they may have run, which
  /// 503 would deny.
  void checkRequestsAreAnswered(const std::function<void()> &Stop) {
    addTarget([](const Request &) { return "wait"; });
    configureSlowRoute();
    start(false);
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
    std::vector<std::future<Reply>> Replies;
    for (int I = 0; I < Slots; ++I)
      Replies.push_back(sendSlow());
    CPPUNIT_ASSERT(eventually([this] { return requestCount() == Slots; }));
    Stop();
    endConnections();
    for (auto &Each : Replies)
      CPPUNIT_ASSERT_EQUAL(502U, Each.get().m_Status);
  }

  void testRequestsAtTargetsAreAnswered() {
    checkRequestsAreAnswered([this] { waitForStop(); });
  }

  void testEndedStopAnswersRequestsAtTargets() {
    auto Begin = std::chrono::steady_clock::now();
    checkRequestsAreAnswered([this] {
      asio::post(m_Context, [this] {
        m_Gateway->stop([this] { m_Context.stop(); });
        m_Gateway->endStop();
      });
      m_Thread.join();
    });
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Begin <
                   std::chrono::seconds(2));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlannedStopTest);
