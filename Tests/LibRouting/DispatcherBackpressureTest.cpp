//===-- DispatcherBackpressureTest.cpp - Waiting for throttled targets ----===//
#include "LibRouting/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class DispatcherBackpressureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherBackpressureTest);
  CPPUNIT_TEST(testBackoffHoldsWithoutOtherTargets);
  CPPUNIT_TEST(testWaitsForRateLimitedTarget);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  TargetDirectory m_Targets;
  std::map<core::RequestId, core::TargetName> m_Sent;
  std::set<core::RequestId> m_Refused;
  Dispatcher m_Dispatcher{
      m_Targets,
      core::DataHallName("hall"),
      PlacementPolicy::LeastPredictedWait,
      {[this](core::RequestId Request, const Target &Chosen) {
         m_Sent[Request] = Chosen.m_Name;
       },
       [this](core::RequestId Request) { m_Refused.insert(Request); }}};

  /// Announces the only target, "a".
  void announce(std::size_t Slots) {
    Target Out;
    Out.m_Name = core::TargetName("a");
    Out.m_Pool = m_Pool;
    Out.m_DataHall = core::DataHallName("hall");
    Out.m_Slots = Slots;
    m_Targets.announce(Out);
  }
  /// Returns a request that waits up to 350 ms for a slot.
  PlacementRequest request(std::uint64_t Id, std::uint32_t Tier = 1) const {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(Id);
    Out.m_Pool = m_Pool;
    Out.m_Priority.m_Route = core::TierNumber(Tier);
    Out.m_ArrivedAt = m_Now;
    Out.m_FirstByteDue = m_Now + milliseconds(100);
    Out.m_FirstEventDeadline = m_Now + milliseconds(1000);
    Out.m_EndsAt = m_Now + milliseconds(1000);
    return Out;
  }
  void place(std::uint64_t Id, std::uint32_t Tier = 1) {
    m_Dispatcher.place(request(Id, Tier), m_Now);
  }
  std::string sentTo(std::uint64_t Id) {
    auto Found = m_Sent.find(core::RequestId(Id));
    return Found == m_Sent.end() ? "" : Found->second.value();
  }

public:
  /// Unlike a cooldown, a back-off also holds if there is no other target and
  /// the queue deadline has passed.
  void testBackoffHoldsWithoutOtherTargets() {
    announce(2);
    TargetBackpressure BackingOff;
    BackingOff.m_Backoff = milliseconds(300);
    m_Targets.throttles().update(core::TargetName("a"), BackingOff, m_Now);
    // Waits for the end of the back-off.
    place(1);
    CPPUNIT_ASSERT(m_Refused.empty());
    // Its queue deadline is before that end.
    PlacementRequest Short = request(2);
    Short.m_EndsAt = m_Now + milliseconds(500);
    m_Dispatcher.place(Short, m_Now);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(2)) == 1);
    m_Now += milliseconds(299);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(1));
    m_Now += milliseconds(1);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(1));
  }

  void testWaitsForRateLimitedTarget() {
    FleetSubset::Fleet Alone{{{"10.1.0.1", 7600}, core::DataHallName("hall")}};
    m_Targets.setSubset(FleetSubset({"10.1.0.1", 7600}, Alone));
    announce(6);
    TargetBackpressure Limited;
    Limited.m_RequestsPerSecond = 5;
    m_Targets.throttles().update(core::TargetName("a"), Limited, m_Now);
    // The target accepts one request after 200 ms and one after 400 ms; these
    // wait up to 350 ms.
    place(1);
    CPPUNIT_ASSERT(m_Refused.empty());
    place(2);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(2)) == 1);
    // A request of a lower tier is served after the waiting one, which would be
    // too late for it.
    m_Refused.clear();
    place(3, 2);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(3)) == 1);
    m_Now += milliseconds(200);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Dispatcher.waiting());
    CPPUNIT_ASSERT(m_Targets.availableAt(m_Pool, 0, m_Now) ==
                   m_Now + milliseconds(200));
    CPPUNIT_ASSERT(m_Targets.availableAt(m_Pool, 2, m_Now) ==
                   m_Now + milliseconds(600));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherBackpressureTest);
