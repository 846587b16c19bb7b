//===-- DispatcherTierTest.cpp - Slots by tier in a shortage --------------===//
//
// Guards against a lowest tier that occupies the slots of higher ones while
// slots are scarce, also at its queue deadline, and against a bound that leaves
// slots idle or applies where nothing is known.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class DispatcherTierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTierTest);
  CPPUNIT_TEST(testLowestTierLeavesWhatHigherOnesNeed);
  CPPUNIT_TEST(testDeniedStreamIsRefusedAtItsDeadline);
  CPPUNIT_TEST(testRetriedStreamIsNotRefusedForTheBound);
  CPPUNIT_TEST(testShortRequestIsSentAtItsDeadline);
  CPPUNIT_TEST(testLowestTierKeepsItsFloor);
  CPPUNIT_TEST(testLowestTierUsesSlotsThatNobodyWants);
  CPPUNIT_TEST(testFollowsTheDemandOfPeers);
  CPPUNIT_TEST(testUnknownDemandMeansTheReserve);
  CPPUNIT_TEST(testSwitchedOff);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::uint64_t Slots = 20;
  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  core::TargetName m_Target{"a"};
  TargetDirectory m_Targets;
  std::set<core::RequestId> m_Sent;
  std::set<core::RequestId> m_Refused;
  std::uint64_t m_NextId = 1;
  Dispatcher m_Dispatcher{
      m_Targets,
      core::DataHallName("hall"),
      PlacementPolicy::LeastPredictedWait,
      {[this](core::RequestId Request, const Target &Chosen) {
         m_Sent.insert(Request);
         CPPUNIT_ASSERT(Chosen.m_Name == m_Target);
       },
       [this](core::RequestId Request) { m_Refused.insert(Request); }}};

  static Priority tier(std::uint32_t Route) {
    Priority Out;
    Out.m_Route = core::TierNumber(Route);
    return Out;
  }
  PlacementRequest stream(std::uint32_t Tier) {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(m_NextId++);
    Out.m_Pool = m_Pool;
    Out.m_Priority = tier(Tier);
    Out.m_IsInference = true;
    Out.m_ArrivedAt = m_Now;
    Out.m_FirstByteDue = m_Now + milliseconds(1000);
    Out.m_FirstEventDeadline = m_Now + milliseconds(1000);
    Out.m_EndsAt = m_Now + milliseconds(3000);
    return Out;
  }
  /// Returns how many of the requests were sent at once.
  std::size_t place(std::uint32_t Tier, std::uint64_t Count) {
    std::size_t Before = m_Sent.size();
    for (std::uint64_t I = 0; I < Count; ++I)
      m_Dispatcher.place(stream(Tier), m_Now);
    return m_Sent.size() - Before;
  }
  void end(core::RequestId Id) {
    m_Targets.recordEnd(m_Target, 0);
    m_Dispatcher.recordEnd(Id, m_Now);
    m_Sent.erase(Id);
  }
  /// Lets a peer report demand of the highest tier for this many slots.
  void reportDemand(double OfferedSlots) {
    TierDemand High;
    High.m_ArrivalsPerSecond = OfferedSlots * 2;
    High.m_OfferedSlots = OfferedSlots;
    m_Dispatcher.demand().setPeers(
        {{{"10.1.0.2", 7600}, {{hashOf(m_Pool), {{tier(1), High}}}}}});
    m_Now += milliseconds(40);
  }

public:
  void setUp() override {
    Target Announced;
    Announced.m_Name = m_Target;
    Announced.m_Pool = m_Pool;
    Announced.m_DataHall = core::DataHallName("hall");
    Announced.m_Slots = Slots;
    m_Targets.announce(Announced);
    OverloadSettings Settings{false, false, false, false, false, false};
    Settings.m_TierConcurrency = true;
    m_Dispatcher.setOverload(Settings);
  }

  void testLowestTierLeavesWhatHigherOnesNeed() {
    reportDemand(10);
    std::size_t Low = place(3, Slots);
    CPPUNIT_ASSERT(Low >= 2 && Low <= 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t(10), place(1, 10));
  }

  void testDeniedStreamIsRefusedAtItsDeadline() {
    reportDemand(10);
    std::size_t Low = place(3, Slots);
    std::size_t Waiting = m_Dispatcher.waiting();
    CPPUNIT_ASSERT_EQUAL(Slots - Low, Waiting);
    m_Now += milliseconds(990);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(Low, m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(Waiting, m_Refused.size());
  }

  void testRetriedStreamIsNotRefusedForTheBound() {
    reportDemand(10);
    place(3, Slots);
    PlacementRequest Again = stream(3);
    Again.m_TriedTargets.insert(core::TargetName("b"));
    m_Dispatcher.place(Again, m_Now);
    m_Now += milliseconds(990);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Sent.count(Again.m_Request) == 1);
  }

  void testShortRequestIsSentAtItsDeadline() {
    reportDemand(10);
    place(3, Slots);
    PlacementRequest Short = stream(3);
    Short.m_IsInference = false;
    m_Dispatcher.place(Short, m_Now);
    m_Now += milliseconds(1040);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Sent.count(Short.m_Request) == 0);
    m_Now += milliseconds(10);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Sent.count(Short.m_Request) == 1);
  }

  void testLowestTierKeepsItsFloor() {
    reportDemand(100);
    CPPUNIT_ASSERT(place(3, Slots) >= 2);
  }

  void testLowestTierUsesSlotsThatNobodyWants() {
    place(1, 1);
    m_Now += milliseconds(500);
    end(core::RequestId(1));
    // The highest tier still counts as present, but wants no slots any more.
    m_Now += std::chrono::seconds(9);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots), place(3, Slots));
  }

  void testFollowsTheDemandOfPeers() {
    reportDemand(10);
    std::size_t Low = place(3, Slots);
    CPPUNIT_ASSERT(Low < Slots);
    m_Dispatcher.demand().setPeers({});
    m_Now += milliseconds(40);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots), m_Sent.size());
  }

  void testUnknownDemandMeansTheReserve() {
    place(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots - 2), place(3, Slots));
    m_Now += milliseconds(990);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots), m_Sent.size());
  }

  void testSwitchedOff() {
    m_Dispatcher.setOverload({false, false, false, false, false, false});
    reportDemand(10);
    place(1, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots - 2), place(3, Slots));
    m_Now += milliseconds(990);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Slots), m_Sent.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTierTest);
