//===-- ApplicationTest.cpp - Tests of the application stand-in -----------===//
//
// Guards against tests with slow callers whose target never cuts off a
// response, or cuts off one that is read.
//
//===----------------------------------------------------------------------===//
#include "Fleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace yardrill;
using namespace yardrill::tests;

class ApplicationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ApplicationTest);
  CPPUNIT_TEST(testUnreadResponseIsCutOff);
  CPPUNIT_TEST(testReadResponseIsComplete);
  CPPUNIT_TEST_SUITE_END();

  /// Exceeds what the sockets' buffers hold.
  static constexpr std::uint64_t ResponseBytes = 64UL * 1024 * 1024;
  static constexpr std::chrono::milliseconds UnreadLimit{500};

  Process m_Application;
  int m_Port = 0;

  static http::RequestMessage request() {
    http::RequestMessage Out;
    Out.m_Method = "GET";
    Out.m_Target = "/";
    Out.m_Headers.set("Host", "application");
    return Out;
  }

public:
  void setUp() override {
    m_Port = freePort();
    m_Application = Process({program("Tests/stand_in"), "application",
                             "--port=" + std::to_string(m_Port)},
                            "/dev/null");
    CPPUNIT_ASSERT(eventually([&] { return !countersOf(m_Port).empty(); }));
    controlStandIn(m_Port, {{"response_bytes", ResponseBytes},
                            {"unread_limit_ms", UnreadLimit.count()}});
  }
  void tearDown() override { m_Application.kill(); }

  void testUnreadResponseIsCutOff() {
    bool IsFirst = true;
    Reply Received = call(m_Port, request(), [&](const std::string &) {
      // Longer than the limit, once.
      if (std::exchange(IsFirst, false))
        std::this_thread::sleep_for(4 * UnreadLimit);
      return true;
    });
    CPPUNIT_ASSERT(!Received.isComplete());
    CPPUNIT_ASSERT(Received.m_Body.size() < ResponseBytes);
  }

  void testReadResponseIsComplete() {
    Reply Received = call(m_Port, request());
    CPPUNIT_ASSERT(Received.isComplete());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ResponseBytes}, Received.m_Body.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ApplicationTest);
