//===-- RefusalLogTest.cpp - What a gateway logs of refusals --------------===//
// Guards against refusals for want of a slot whose log lines and metrics don't
// tell operators who held the slots.
#include "GatewayFixture.h"

#include "LibCore/Log.h"

#include <mutex>

using namespace yardrill;
using namespace yardrill::tests;

class RefusalLogTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RefusalLogTest);
  CPPUNIT_TEST(testFullPool);
  CPPUNIT_TEST(testIdlePool);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Slots = 4; ///< Of a target of the fixture.

  std::mutex m_Mutex;
  std::vector<std::string> m_Lines; ///< Of refused requests.

  static std::string configuration() {
    std::string Out = Configuration;
    const std::string Service = R"({"name":"app"})";
    return Out.replace(Out.find(Service), Service.size(),
                       R"({"name":"app","engine":{"stride":1}})");
  }
  /// Returns the log line of a refused request; empty if there is none. The
  /// gateway logs a refusal after it has sent it.
  std::string refusalOf(const http::RequestMessage &Request) {
    std::string Id = " request=" + *Request.m_Headers.find("Attempt-Id") + " ";
    std::string Out;
    eventually([&] {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      for (const std::string &Line : m_Lines)
        if (has(Line, Id))
          Out = Line;
      return !Out.empty();
    });
    return Out;
  }
  static bool has(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

public:
  void setUp() override {
    core::setLogSink([this](const std::string &Line) {
      std::lock_guard<std::mutex> Lock(m_Mutex);
      if (has(Line, "event=request-refused"))
        m_Lines.push_back(Line);
    });
    m_Store.m_Content.push_back(
        {"op/config", configuration(), platform::Revision(1)});
  }
  void tearDown() override {
    GatewayFixture::tearDown();
    core::setLogSink(nullptr);
  }

  void testFullPool() {
    addTarget([](const Request &) { return "wait"; });
    start(false);
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
    std::vector<std::thread> Callers;
    for (int I = 0; I < Slots; ++I)
      Callers.emplace_back([this, Each = request("/stream/x")] { send(Each); });
    bool AreRunning =
        eventually([this] { return requestCount() == std::size_t(Slots); });
    http::RequestMessage Late = request("/stream/x");
    Reply Refused = send(Late);
    for (std::thread &Each : Callers)
      Each.join();
    CPPUNIT_ASSERT(AreRunning);
    CPPUNIT_ASSERT_EQUAL(503U, Refused.m_Status);
    std::string Line = refusalOf(Late);
    for (const char *Part :
         {" reason=no-target ", " account=owner ", " route_tier=",
          " retry_after_us=", " waiting_ahead=\"\"", " running=1/1:4"})
      CPPUNIT_ASSERT_MESSAGE(Line, has(Line, Part));
  }

  // A refusal for another reason has no inputs that would mislead.
  void testIdlePool() {
    addTarget([](const Request &) { return "wait"; });
    start(false);
    CPPUNIT_ASSERT(eventually([this] { return readiness() == 200; }));
    http::RequestMessage Unknown = request("/stream/x", "no such key");
    CPPUNIT_ASSERT_EQUAL(401U, send(Unknown).m_Status);
    std::string Line = refusalOf(Unknown);
    CPPUNIT_ASSERT_MESSAGE(Line, has(Line, " reason=unknown-key "));
    CPPUNIT_ASSERT_MESSAGE(Line, !has(Line, " running="));
    CPPUNIT_ASSERT_MESSAGE(Line, !has(Line, " waiting_ahead="));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RefusalLogTest);
