//===-- SurplusResponseTest.cpp - Second copies of responses --------------===//
//
// Guards against a second copy of a response that counts as the response to a
// later attempt with the same id.
//
//===----------------------------------------------------------------------===//
#include "GatewayFixture.h"

#include <map>

using namespace yardrill;
using namespace yardrill::tests;

class SurplusResponseTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(SurplusResponseTest);
  CPPUNIT_TEST(testRefusalOfTheTargetBeforeARestart);
  CPPUNIT_TEST(testRefusalOfTheTargetBeforeARestartOfOneOfTwo);
  CPPUNIT_TEST(testResponseToAnEarlierRequestWithTheSameId);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int Restarts = 12;
  static constexpr int RequestsPerRestart = 4;

  static constexpr std::size_t FirstNumber = 10;

  std::string m_CurrentName;         ///< Of the restarted target.
  std::map<std::string, int> m_Runs; ///< By id.
  std::atomic<int> m_Refused{0};

  std::string respond(const Request &Received) {
    if (Received["Expect-Replica"] != m_CurrentName) {
      ++m_Refused;
      return completeResponse(Received, "", "421 Misdirected Request",
                              "Replica-Id: " + m_CurrentName + "\r\n");
    }
    ++m_Runs[attemptIdOf(Received)];
    return completeResponse(Received, "answer");
  }
  static std::string nameOf(std::size_t Number) {
    return keyOf(Number).substr(keyOf(Number).find('/') + 1);
  }

  /// Restarts a target at its address again and again, while the announcements
  /// of its earlier incarnations stay. Each request must run once.
  void assertEachRunsOnce() {
    start();
    int Sent = 0;
    for (int I = 0; I < Restarts; ++I) {
      std::size_t Number = FirstNumber + static_cast<std::size_t>(I);
      asio::post(m_Context, [this, Number] { m_CurrentName = nameOf(Number); });
      m_Store.change(keyOf(Number),
                     announcementAt(m_Targets[0]->port(),
                                    static_cast<std::int64_t>(Number)));
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      for (int J = 0; J < RequestsPerRestart; ++J) {
        CPPUNIT_ASSERT_EQUAL(200U, send(request("/once/x")).m_Status);
        ++Sent;
      }
    }
    CPPUNIT_ASSERT(m_Refused > 0);
    CPPUNIT_ASSERT_EQUAL(Sent, static_cast<int>(m_Runs.size()));
    for (const auto &[Id, Count] : m_Runs)
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Id, 1, Count);
  }

public:
  void testRefusalOfTheTargetBeforeARestart() {
    addTarget([this](const Request &Received) { return respond(Received); });
    m_Targets[0]->m_SendsSecondCopies = true;
    assertEachRunsOnce();
  }

  void testRefusalOfTheTargetBeforeARestartOfOneOfTwo() {
    addTarget([this](const Request &Received) { return respond(Received); });
    addTarget([this](const Request &Received) {
      ++m_Runs[attemptIdOf(Received)];
      return completeResponse(Received, "answer");
    });
    m_Targets[0]->m_SendsSecondCopies = true;
    assertEachRunsOnce();
  }

  void testResponseToAnEarlierRequestWithTheSameId() {
    int Next = 0;
    addTarget([&Next](const Request &Received) {
      return completeResponse(Received, std::to_string(++Next));
    });
    m_Targets[0]->m_SendsSecondCopies = true;
    start();
    http::RequestMessage Repeated = request("/again/x");
    CPPUNIT_ASSERT_EQUAL(std::string("1"), send(Repeated).m_Body);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), send(request("/again/x")).m_Body);
    CPPUNIT_ASSERT_EQUAL(std::string("3"), send(Repeated).m_Body);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), send(Repeated).m_Body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SurplusResponseTest);
