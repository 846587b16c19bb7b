//===-- PolicyInForceTest.cpp - Effect of policy programs on scheduling ---===//
#include "LibDecision/DecisionCore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::decision;

class PolicyInForceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyInForceTest);
  CPPUNIT_TEST(testOrderWithinAnAccount);
  CPPUNIT_TEST(testAllowedTargets);
  CPPUNIT_TEST(testNotSheddable);
  CPPUNIT_TEST(testFailingProgramLosesNothing);
  CPPUNIT_TEST(testNewProgramWithoutRestart);
  CPPUNIT_TEST_SUITE_END();

  DecisionCore m_Core;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_NextRequest = 1;
  std::uint64_t m_NextVersion = 1;

  void publish(const std::string &Policy) {
    std::string Text = "tiers: [{name: a, tier: 1, deadline_ms: 1000}]\n"
                       "pools:\n"
                       "  - name: p\n"
                       "    kind: model\n"
                       "    models: [m]\n"
                       "    queue_limit: 3\n"
                       "    targets:\n"
                       "      - {name: near, address: 127.0.0.1:1, data_hall: "
                       "x, places: 1}\n"
                       "      - {name: far, address: 127.0.0.1:2, data_hall: "
                       "y, places: 1}\n"
                       "policy: |\n  " +
                       Policy + "\n";
    process(ConfigurationAccepted{config::FleetConfiguration::parse(
        Text, "test", core::ConfigurationVersion(m_NextVersion++))});
  }

  std::vector<Action> process(const Event &What) {
    return m_Core.handle(What, m_Now);
  }

  std::vector<Action> arrive(std::uint32_t OutputTokens) {
    RequestArrived Arrival;
    Arrival.m_Request = core::RequestId(m_NextRequest++);
    Arrival.m_Tier = core::TierNumber(1);
    Arrival.m_Pool = core::PoolName("p");
    Arrival.m_OutputTokens = OutputTokens;
    return process(Arrival);
  }

  static const Dispatch &dispatchIn(const std::vector<Action> &Actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.size());
    CPPUNIT_ASSERT(std::holds_alternative<Dispatch>(Actions.front()));
    return std::get<Dispatch>(Actions.front());
  }

  std::vector<Action> end(std::uint64_t Request) {
    return process(ResponseEnded{core::RequestId(Request)});
  }

public:
  void setUp() override {
    InstanceStarted Start;
    Start.m_Identities = 10;
    process(Start);
  }

  void testOrderWithinAnAccount() {
    publish("function decide(r) return {order = r.output_tokens} end");
    arrive(1);
    arrive(1);
    arrive(30);
    arrive(10);
    arrive(20);
    // Each end frees a slot for the next request in the policy's order.
    CPPUNIT_ASSERT(dispatchIn(end(1)).m_Request == core::RequestId(4));
    CPPUNIT_ASSERT(dispatchIn(end(2)).m_Request == core::RequestId(5));
    CPPUNIT_ASSERT(dispatchIn(end(4)).m_Request == core::RequestId(3));
  }

  void testAllowedTargets() {
    publish("function decide(r) if r.output_tokens > 5 then return "
            "{data_halls = {'y'}} end return {targets = {'near'}} end");
    CPPUNIT_ASSERT(dispatchIn(arrive(9)).m_Target == core::TargetName("far"));
    // A request that waits for a full data hall does not block the next one.
    CPPUNIT_ASSERT(arrive(9).empty());
    CPPUNIT_ASSERT(dispatchIn(arrive(1)).m_Target == core::TargetName("near"));
    CPPUNIT_ASSERT(dispatchIn(end(1)).m_Request == core::RequestId(2));
  }

  void testNotSheddable() {
    publish("function decide(r) return {sheddable = r.output_tokens < 5} end");
    for (int I = 0; I < 2; ++I)
      dispatchIn(arrive(9));
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(arrive(9).empty());
    // The queue is full of requests that may not be shed, so the new one is
    // refused.
    auto Actions = arrive(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Actions.size());
    CPPUNIT_ASSERT(std::get<Refuse>(Actions.front()).m_Request ==
                   core::RequestId(6));
    m_Now += std::chrono::seconds(5);
    for (const Action &Each : process(TimePassed{}))
      CPPUNIT_ASSERT(!std::holds_alternative<Refuse>(Each));
  }

  void testFailingProgramLosesNothing() {
    publish("function decide(r) while true do end end");
    dispatchIn(arrive(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_Core.policyFailures());
    publish("function decide(r) return r.nothing.there end");
    dispatchIn(arrive(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_Core.policyFailures());
  }

  void testNewProgramWithoutRestart() {
    publish("function decide(r) return {targets = {'near'}} end");
    CPPUNIT_ASSERT(dispatchIn(arrive(1)).m_Target == core::TargetName("near"));
    publish("function decide(r) return {targets = {'far'}} end");
    CPPUNIT_ASSERT(dispatchIn(arrive(1)).m_Target == core::TargetName("far"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyInForceTest);
