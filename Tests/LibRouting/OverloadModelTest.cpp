//===-- OverloadModelTest.cpp - Requests of a fleet under overload --------===//
//
// Guards against requests that an overloaded fleet loses, sends to two targets
// or refuses although they run, and against a model in which nothing is short.
// States nothing about policy.
//
//===----------------------------------------------------------------------===//
#include "OverloadScenarios.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::seconds;

class OverloadModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadModelTest);
  CPPUNIT_TEST(testEachRequestEndsOnce);
  CPPUNIT_TEST(testEachRequestEndsOnceInAnUnevenFleet);
  CPPUNIT_TEST(testEachRequestEndsOnceDespiteFaults);
  CPPUNIT_TEST(testEachRequestEndsOnceWithAllDecisionsOn);
  CPPUNIT_TEST(testShortageIsRefused);
  CPPUNIT_TEST(testNothingIsRefusedWithoutShortage);
  CPPUNIT_TEST(testOnlyRestartsLoseRequests);
  CPPUNIT_TEST(testFloodingAccountSendsMore);
  CPPUNIT_TEST(testFirstArrivalsDoNotDependOnReturns);
  CPPUNIT_TEST_SUITE_END();

  static void checkSums(const CallerResult &Result) {
    for (const KindResult &Kind : Result.m_Kinds) {
      const CallerOutcomes &All = Kind.m_All;
      CPPUNIT_ASSERT(All.m_Sent > 0);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Kind.m_Kind, All.m_Sent, All.ended());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Kind.m_Kind, std::size_t{0},
                                   All.m_Unfinished);
      CPPUNIT_ASSERT(All.m_ReturnersServed + All.m_RefusedTwice <=
                     All.m_Returned);
      CPPUNIT_ASSERT(All.m_RefusedTwice <= All.m_Refused);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Kind.m_Kind, std::size_t{0},
                                   All.m_BrokenPromises);
      CallerOutcomes Accounts;
      for (const auto &[Account, Outcomes] : Kind.m_Accounts) {
        CPPUNIT_ASSERT_EQUAL(Outcomes.m_Sent, Outcomes.ended());
        Accounts += Outcomes;
      }
      CPPUNIT_ASSERT_EQUAL(All.m_Sent, Accounts.m_Sent);
      CPPUNIT_ASSERT_EQUAL(All.m_InTime, Accounts.m_InTime);
      CPPUNIT_ASSERT_EQUAL(All.m_Late, Accounts.m_Late);
      CPPUNIT_ASSERT_EQUAL(All.m_Refused, Accounts.m_Refused);
    }
  }

  void testEachRequestEndsOnce() {
    for (std::size_t Instances : {6, 67, 131, 300})
      checkSums(simulateDispatch(longShortage(Instances)).m_Callers);
  }

  void testEachRequestEndsOnceInAnUnevenFleet() {
    DispatchScenario Scenario = longShortage(67);
    addAccounts(Scenario, 4);
    addFlood(Scenario, 6, seconds(4), seconds(9));
    for (RequestKind &Each : Scenario.m_Kinds) {
      Each.m_ClumpSize = 3;
      Each.m_Spread = SlotTimeSpread::Lognormal;
    }
    Scenario.m_Kinds.back().m_IsStream = false;
    Scenario.m_Callers.m_InstanceSpread = 0.5;
    Scenario.m_Callers.m_IsFirstArrivalStated = true;
    checkSums(simulateDispatch(Scenario).m_Callers);
  }

  static DispatchScenario faulty() {
    DispatchScenario Out = longShortage(67);
    Out.m_Network.m_LossShare = 0.05;
    Out.m_SilentInstances = {{0.3, seconds(3), seconds(6)}};
    Out.m_LeavingTargets = {{0.3, seconds(5), seconds(10)}};
    Out.m_RestartAt = seconds(9);
    return Out;
  }

  void testEachRequestEndsOnceDespiteFaults() {
    checkSums(simulateDispatch(faulty()).m_Callers);
  }

  void testEachRequestEndsOnceWithAllDecisionsOn() {
    DispatchScenario Scenario = faulty();
    addAccounts(Scenario, 3);
    Scenario.m_Overload = routing::OverloadSettings();
    checkSums(simulateDispatch(Scenario).m_Callers);
    Scenario.m_Kinds.back().m_IsStream = false;
    checkSums(simulateDispatch(Scenario).m_Callers);
  }

  void testShortageIsRefused() {
    DispatchResult Result = simulateDispatch(longShortage(67));
    CallerOutcomes All = Result.m_Callers.sum();
    CPPUNIT_ASSERT(All.m_Refused > 0);
    CPPUNIT_ASSERT(All.m_Returned >= All.m_RefusedTwice);
    CPPUNIT_ASSERT(Result.m_RefusingTime > core::Duration::zero());
  }

  void testNothingIsRefusedWithoutShortage() {
    DispatchScenario Scenario = longShortage(67, 0.3);
    for (RequestKind &Each : Scenario.m_Kinds)
      Each.m_Bursts.clear();
    DispatchResult Result = simulateDispatch(Scenario);
    CallerOutcomes All = Result.m_Callers.sum();
    CPPUNIT_ASSERT_EQUAL(All.m_Sent, All.m_InTime);
    CPPUNIT_ASSERT(Result.m_RefusingTime == core::Duration::zero());
  }

  void testOnlyRestartsLoseRequests() {
    DispatchScenario Scenario = faulty();
    CPPUNIT_ASSERT(simulateDispatch(Scenario).m_Callers.sum().m_Lost > 0);
    Scenario.m_RestartAt.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         simulateDispatch(Scenario).m_Callers.sum().m_Lost);
  }

  void testFloodingAccountSendsMore() {
    DispatchScenario Scenario = longShortage(67);
    addAccounts(Scenario, 4);
    addFlood(Scenario, 6, seconds(0), Scenario.m_Length);
    const CallerResult Result = simulateDispatch(Scenario).m_Callers;
    const auto &Accounts = Result.kind(TopKind).m_Accounts;
    auto Flooding = Accounts.begin();
    auto Usual = std::next(Flooding);
    CPPUNIT_ASSERT(Flooding->second.m_Sent > 5 * Usual->second.m_Sent);
    CPPUNIT_ASSERT(Flooding->second.m_Sent < 7 * Usual->second.m_Sent);
  }

  void testFirstArrivalsDoNotDependOnReturns() {
    DispatchScenario Scenario = longShortage(6);
    std::size_t Sent = simulateDispatch(Scenario).m_Callers.sum().m_Sent;
    Scenario.m_RetryAfter = [](routing::Dispatcher &,
                               const routing::PlacementRequest &,
                               core::TimePoint) { return seconds(1); };
    CPPUNIT_ASSERT_EQUAL(Sent,
                         simulateDispatch(Scenario).m_Callers.sum().m_Sent);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OverloadModelTest);
