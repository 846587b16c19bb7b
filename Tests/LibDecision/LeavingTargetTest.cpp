//===-- LeavingTargetTest.cpp - Leaving targets of the instance list ------===//
//
// A target that the instance list shows as leaving gets no request, also when
// the list arrives before the configuration that adds the target.
//
//===----------------------------------------------------------------------===//
#include "LibDecision/DecisionCore.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::decision;

class LeavingTargetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeavingTargetTest);
  CPPUNIT_TEST(testListedBeforeConfiguration);
  CPPUNIT_TEST(testListedBeforeTargetIsAdded);
  CPPUNIT_TEST(testComesBack);
  CPPUNIT_TEST_SUITE_END();

  DecisionCore m_Core;
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_NextRequest = 1;
  std::uint64_t m_NextVersion = 1;

  std::vector<Action> process(const Event &What) {
    return m_Core.handle(What, m_Now);
  }

  void publish(const std::vector<std::string> &Targets) {
    std::string Text = "tiers: [{name: a, tier: 1, deadline_ms: 1000}]\n"
                       "pools:\n  - name: p\n    kind: model\n"
                       "    models: [m]\n    targets:\n";
    for (const std::string &Name : Targets)
      Text += "      - {name: " + Name +
              ", address: 127.0.0.1:1, data_hall: x, places: 4}\n";
    process(ConfigurationAccepted{config::FleetConfiguration::parse(
        Text, "test", core::ConfigurationVersion(m_NextVersion++))});
  }

  bool isDispatched() {
    RequestArrived Arrival;
    Arrival.m_Request = core::RequestId(m_NextRequest++);
    Arrival.m_Tier = core::TierNumber(1);
    Arrival.m_Pool = core::PoolName("p");
    auto Actions = process(Arrival);
    return !Actions.empty() && std::holds_alternative<Dispatch>(Actions[0]);
  }

public:
  void setUp() override { process(InstanceStarted{}); }

  /// A starting instance may receive the list before the configuration.
  void testListedBeforeConfiguration() {
    process(TargetStateChanged{core::TargetName("t"), true});
    publish({"t"});
    CPPUNIT_ASSERT(!isDispatched());
  }

  void testListedBeforeTargetIsAdded() {
    publish({"other"});
    process(TargetStateChanged{core::TargetName("t"), true});
    publish({"t"});
    CPPUNIT_ASSERT(!isDispatched());
  }

  void testComesBack() {
    publish({"t"});
    process(TargetStateChanged{core::TargetName("t"), true});
    publish({"t"});
    CPPUNIT_ASSERT(!isDispatched());
    process(TargetStateChanged{core::TargetName("t"), false});
    CPPUNIT_ASSERT(isDispatched());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTargetTest);
