//===-- RolloutTest.cpp - Roll-outs through a complete gateway ------------===//
#include "GatewayFixture.h"

#include "LibGateway/PoolRollout.h"

#include <atomic>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

/// Runs two targets of version v1 and two of v2 under constant requests.
class RolloutTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(RolloutTest);
  CPPUNIT_TEST(testHealthyVersionIsCompleted);
  CPPUNIT_TEST(testFailingVersionIsRolledBack);
  CPPUNIT_TEST(testSampleStaysWithinItsShare);
  CPPUNIT_TEST(testWithdrawnOrderIsRolledBack);
  CPPUNIT_TEST(testOrderWithoutTargetsIsRolledBack);
  CPPUNIT_TEST(testInvalidOrdersAreIgnored);
  CPPUNIT_TEST(testNewVersionWithoutOrderIsServed);
  CPPUNIT_TEST(testRecordSurvivesARestart);
  CPPUNIT_TEST_SUITE_END();

  std::atomic<bool> m_IsFailing{false};
  std::atomic<bool> m_IsCalling{false};
  std::atomic<int> m_Refused{0};
  std::vector<std::thread> m_Callers;

  void addVersion(const std::string &Version, bool IsAnnounced = true) {
    bool IsNew = Version != "v1";
    addTarget([this, IsNew](const Request &Read) {
      if (IsNew && m_IsFailing && ++m_Answers % 2 == 0)
        return completeResponse(Read, "broken", "500 Internal Server Error");
      return completeResponse(Read, "answer");
    });
    if (!IsAnnounced)
      m_Store.m_Content.pop_back();
    else
      m_Store.m_Content.back().m_Value = versioned(m_Targets.size(), Version);
  }
  std::string versioned(std::size_t Number, const std::string &Version) const {
    std::string Out = announcement(Number, 1);
    std::string Field = R"("version":"v1")";
    return Out.replace(Out.find(Field), Field.size(),
                       R"("version":")" + Version + "\"");
  }
  std::size_t requestsOf(std::size_t First, std::size_t Last) const {
    std::size_t Sum = 0;
    for (std::size_t I = First; I <= Last; ++I)
      Sum += m_Targets[I - 1]->requests().size();
    return Sum;
  }
  void startCallers() {
    m_IsCalling = true;
    for (int I = 0; I < 4; ++I)
      m_Callers.emplace_back([this] {
        while (m_IsCalling) {
          m_Refused += send(request("/once/x")).m_Status == 503 ? 1 : 0;
          std::this_thread::sleep_for(milliseconds(4));
        }
      });
  }
  void order(double BakeSeconds) {
    m_Store.change("op/rollout/app",
                   R"({"service":"app","targetVersion":"v2","bakeS":)" +
                       std::to_string(BakeSeconds) + "}");
  }
  std::string state() { return m_Store.valueOf("status/rollout/app"); }
  bool isState(const char *State) {
    return state().find(State) != std::string::npos;
  }
  void startWithTwoVersions() {
    addVersion("v1");
    addVersion("v1");
    addVersion("v2", false);
    addVersion("v2", false);
    start();
    // Time after which a process knows that it has no peers.
    std::this_thread::sleep_for(milliseconds(3200));
    startCallers();
  }
  void announceNew() {
    m_Store.change(keyOf(3), versioned(3, "v2"));
    m_Store.change(keyOf(4), versioned(4, "v2"));
  }

public:
  void tearDown() override {
    m_IsCalling = false;
    for (std::thread &Each : m_Callers)
      Each.join();
    GatewayFixture::tearDown();
  }

  void testHealthyVersionIsCompleted() {
    startWithTwoVersions();
    auto Begin = core::steadyNow();
    order(5);
    announceNew();
    CPPUNIT_ASSERT(eventually([this] { return isState("in_progress"); }));
    CPPUNIT_ASSERT(eventually([this] { return isState("completed"); },
                              milliseconds(8000)));
    CPPUNIT_ASSERT(core::steadyNow() - Begin <= std::chrono::seconds(5));
    CPPUNIT_ASSERT(isState(R"("targetVersion":"v2")"));
    std::this_thread::sleep_for(milliseconds(100));
    std::size_t Old = requestsOf(1, 2);
    std::size_t New = requestsOf(3, 4);
    std::this_thread::sleep_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(Old, requestsOf(1, 2));
    CPPUNIT_ASSERT(requestsOf(3, 4) > New);
    CPPUNIT_ASSERT_EQUAL(0, m_Refused.load());
  }

  void testFailingVersionIsRolledBack() {
    m_IsFailing = true;
    startWithTwoVersions();
    std::size_t Before = requestsOf(1, 4);
    order(6);
    announceNew();
    CPPUNIT_ASSERT(eventually([this] { return isState("rolled_back"); },
                              milliseconds(7000)));
    std::this_thread::sleep_for(milliseconds(100));
    std::size_t New = requestsOf(3, 4);
    auto All = static_cast<double>(requestsOf(1, 4) - Before);
    CPPUNIT_ASSERT(New >= 5);
    CPPUNIT_ASSERT(static_cast<double>(New) <= 0.1 * All + 50);
    std::this_thread::sleep_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(New, requestsOf(3, 4));
    CPPUNIT_ASSERT_EQUAL(0, m_Refused.load());
  }

  /// New targets announced directly after the order never get more than their
  /// share of requests.
  void testSampleStaysWithinItsShare() {
    startWithTwoVersions();
    order(30);
    std::size_t Before = requestsOf(1, 4);
    announceNew();
    for (int I = 0; I < 15; ++I) {
      std::this_thread::sleep_for(milliseconds(100));
      auto New = static_cast<double>(requestsOf(3, 4));
      auto All = static_cast<double>(requestsOf(1, 4) - Before);
      CPPUNIT_ASSERT(New <= 0.1 * All + 1);
    }
    CPPUNIT_ASSERT(requestsOf(3, 4) > 0);
  }

  void testWithdrawnOrderIsRolledBack() {
    startWithTwoVersions();
    order(30);
    announceNew();
    CPPUNIT_ASSERT(eventually([this] { return requestsOf(3, 4) > 0; },
                              milliseconds(3000)));
    m_Store.remove("op/rollout/app");
    CPPUNIT_ASSERT(eventually([this] { return isState("rolled_back"); },
                              milliseconds(2000)));
    // The store holds the outcome some milliseconds before the gateway has read
    // it, and a request sent until then is still on its way.
    std::this_thread::sleep_for(milliseconds(100));
    std::size_t New = requestsOf(3, 4);
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(New, requestsOf(3, 4));
  }

  void testOrderWithoutTargetsIsRolledBack() {
    startWithTwoVersions();
    order(2);
    CPPUNIT_ASSERT(eventually([this] { return isState("in_progress"); }));
    CPPUNIT_ASSERT(eventually([this] { return isState("rolled_back"); },
                              milliseconds(3000)));
    // An order with the same content is a new order.
    order(3);
    CPPUNIT_ASSERT(eventually([this] { return isState("in_progress"); }));
  }

  void testInvalidOrdersAreIgnored() {
    startWithTwoVersions();
    for (const char *Text :
         {"", "{}", R"({"service":"other","targetVersion":"v2","bakeS":5})",
          R"({"service":"app","targetVersion":2,"bakeS":5})",
          R"({"service":"app","targetVersion":"v2","bakeS":0})",
          R"({"service":"app","targetVersion":"v2","bakeS":"5"})",
          R"({"service":"app","targetVersion":"","bakeS":5})",
          R"({"service":"app","targetVersion":"v2","bakeS":1e300})"})
      m_Store.change("op/rollout/app", Text);
    std::this_thread::sleep_for(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::string(), state());
  }

  void testNewVersionWithoutOrderIsServed() {
    startWithTwoVersions();
    announceNew();
    CPPUNIT_ASSERT(eventually([this] { return requestsOf(3, 4) > 20; },
                              milliseconds(3000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), state());
  }

  /// A version that was rolled back stays excluded after a restart of
  /// everything, even though its targets are still announced.
  void testRecordSurvivesARestart() {
    m_Store.m_Content.push_back(
        {"op/rollout/app",
         R"({"service":"app","targetVersion":"v2","bakeS":5})",
         platform::Revision(3)});
    m_Store.m_Content.push_back(
        {"status/rollout/app",
         R"({"state":"rolled_back","targetVersion":"v2"})",
         platform::Revision(5)});
    rollout::Record Record;
    Record.m_Order = rollout::OrderId(3);
    Record.m_Excluded.insert(core::TargetVersion("v2"));
    m_Store.m_Content.push_back(
        {gateway::RolloutService::recordKey(core::PoolName("app")),
         Record.toText(), platform::Revision(5)});
    for (const char *Version : {"v1", "v1", "v2", "v2"})
      addVersion(Version);
    start();
    startCallers();
    std::this_thread::sleep_for(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), requestsOf(3, 4));
    CPPUNIT_ASSERT(requestsOf(1, 2) > 20);
    // The excluded versions survive the round trip of the record.
    CPPUNIT_ASSERT(rollout::Record::parse(Record.toText())->m_Excluded ==
                   Record.m_Excluded);
    CPPUNIT_ASSERT(!rollout::Record::parse("order x\n"));
    CPPUNIT_ASSERT(!rollout::Record::parse(""));
  }

private:
  std::atomic<int> m_Answers{0};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RolloutTest);
