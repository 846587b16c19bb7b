//===-- AccountFairnessTest.cpp - Order of client accounts that wait ------===//
//
// Guards against an account that floods a pool and takes the slots of others,
// and against state that outlasts the requests that wait.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class AccountFairnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountFairnessTest);
  CPPUNIT_TEST(testFloodWaitsBehindItself);
  CPPUNIT_TEST(testIdleAccountGainsNoCredit);
  CPPUNIT_TEST(testLargeRequestsCostMore);
  CPPUNIT_TEST(testLargeRequestIsNotPushedBack);
  CPPUNIT_TEST(testWithdrawnRequestCostsNothing);
  CPPUNIT_TEST(testOneAccountIsServedByDueTime);
  CPPUNIT_TEST(testTiersAndPoolsAreSeparate);
  CPPUNIT_TEST(testForgetsIdleAccounts);
  CPPUNIT_TEST_SUITE_END();

  AccountFairness m_Fairness;
  std::vector<PlacementRequest> m_Waiting;
  std::uint64_t m_NextId = 1;

  PlacementRequest request(const std::string &Account) {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(m_NextId++);
    Out.m_Pool = core::PoolName("pool");
    Out.m_Account = core::AccountName(Account);
    Out.m_FirstByteDue = core::TimePoint(milliseconds(m_NextId));
    return Out;
  }
  PlacementRequest add(PlacementRequest Request) {
    m_Fairness.add(Request);
    m_Waiting.push_back(Request);
    return Request;
  }
  void add(const std::string &Account, int Count) {
    for (int I = 0; I < Count; ++I)
      add(request(Account));
  }
  double tag(const PlacementRequest &Request) const {
    return m_Fairness.startTag(Request.m_Request);
  }
  /// Sends the request with the lowest tag, the earlier one of equal ones.
  PlacementRequest send() {
    auto First = std::min_element(
        m_Waiting.begin(), m_Waiting.end(),
        [&](const auto &A, const auto &B) { return tag(A) < tag(B); });
    PlacementRequest Out = *First;
    m_Waiting.erase(First);
    m_Fairness.recordSent(Out);
    return Out;
  }
  std::map<std::string, int> send(int Count) {
    std::map<std::string, int> Out;
    for (int I = 0; I < Count; ++I)
      ++Out[send().m_Account.value()];
    return Out;
  }

public:
  void testFloodWaitsBehindItself() {
    add("flood", 70);
    add("a", 10);
    add("b", 10);
    auto Sent = send(30);
    CPPUNIT_ASSERT(Sent["flood"] >= 9 && Sent["flood"] <= 11);
    CPPUNIT_ASSERT(Sent["a"] >= 9);
    CPPUNIT_ASSERT(Sent["b"] >= 9);
    // A newcomer does not wait behind the rest of the flood.
    add("new", 1);
    CPPUNIT_ASSERT_EQUAL(1, send(3)["new"]);
  }

  void testIdleAccountGainsNoCredit() {
    add("busy", 100);
    send(50);
    add("late", 50);
    auto Sent = send(20);
    CPPUNIT_ASSERT(Sent["late"] >= 9 && Sent["late"] <= 11);
  }

  void testLargeRequestsCostMore() {
    for (int I = 0; I < 40; ++I) {
      PlacementRequest Large = request("large");
      Large.m_ExpectedEvents = 300;
      add(Large);
      PlacementRequest Small = request("small");
      Small.m_ExpectedEvents = 100;
      add(Small);
    }
    auto Sent = send(40);
    // Three small ones take as long as a large one.
    CPPUNIT_ASSERT(Sent["large"] >= 8 && Sent["large"] <= 13);
  }

  void testLargeRequestIsNotPushedBack() {
    add("small", 20);
    PlacementRequest Large = request("large");
    Large.m_PromptTokens = 100000;
    Large.m_ExpectedEvents = 10000;
    add(Large);
    add("small", 20);
    CPPUNIT_ASSERT_EQUAL(1, send(2)["large"]);
  }

  void testWithdrawnRequestCostsNothing() {
    add("other", 20);
    PlacementRequest First = add(request("account"));
    PlacementRequest Second = add(request("account"));
    double FirstTag = tag(First);
    CPPUNIT_ASSERT(tag(Second) > FirstTag);
    m_Fairness.remove(First);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(FirstTag, tag(Second), 1e-9);
  }

  /// The order of a single account must not depend on that of arrival, or its
  /// urgent requests wait behind others.
  void testOneAccountIsServedByDueTime() {
    PlacementRequest Urgent = request("a");
    PlacementRequest Later = request("a");
    add(Later);
    add(Urgent);
    CPPUNIT_ASSERT(tag(Urgent) < tag(Later));
  }

  void testTiersAndPoolsAreSeparate() {
    add("a", 20);
    PlacementRequest OtherTier = request("a");
    OtherTier.m_Priority.m_Route = core::TierNumber(2);
    add(OtherTier);
    PlacementRequest OtherPool = request("a");
    OtherPool.m_Pool = core::PoolName("other");
    add(OtherPool);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, tag(OtherTier), 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, tag(OtherPool), 1e-9);
  }

  void testForgetsIdleAccounts() {
    add("flood", 200);
    for (int I = 0; I < 10000; ++I) {
      add("account " + std::to_string(I), 1);
      send(1);
      add("flood", 1);
      send(1);
    }
    CPPUNIT_ASSERT(m_Fairness.accountCount() < 500);
    while (!m_Waiting.empty())
      send();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Fairness.accountCount());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountFairnessTest);
