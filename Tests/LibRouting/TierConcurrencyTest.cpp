//===-- TierConcurrencyTest.cpp - Bound on the slots of lower tiers -------===//
//
// Guards against long requests of low tiers that hold the slots which higher
// tiers need in a shortage, and against the opposite: a low tier that is
// starved, or kept from slots that nobody else wants.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/TierConcurrency.h"
#include "LibRouting/TierConcurrencyTable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

namespace {

Priority tier(std::uint32_t Route) {
  Priority Out;
  Out.m_Route = core::TierNumber(Route);
  return Out;
}

TierDemand demand(double PerSecond, double SlotSeconds, unsigned Running = 0,
                  unsigned Waiting = 0) {
  TierDemand Out;
  Out.m_ArrivalsPerSecond = PerSecond;
  Out.m_OfferedSlots = PerSecond * SlotSeconds;
  Out.m_Running = Running;
  Out.m_Waiting = Waiting;
  return Out;
}

} // namespace

class TierConcurrencyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TierConcurrencyTest);
  CPPUNIT_TEST(testHighestTierHasNoBound);
  CPPUNIT_TEST(testLeavesWhatHigherTiersNeed);
  CPPUNIT_TEST(testNeverBelowTheFloor);
  CPPUNIT_TEST(testMiddleTierKeepsItsOwnFloor);
  CPPUNIT_TEST(testUsesAllSlotsWithoutHigherDemand);
  CPPUNIT_TEST(testUnknownSlotTimeMeansNoBound);
  CPPUNIT_TEST(testLeavesFreeSlotsToWaitingHigherTiers);
  CPPUNIT_TEST(testWaitOfHigherTiersRaisesTheBound);
  CPPUNIT_TEST(testShortRequestsNeedNotLeaveTheirSlots);
  CPPUNIT_TEST(testCountsPeersUntilTheyAreSilent);
  CPPUNIT_TEST(testCountsStartsAndEndsAtOnce);
  CPPUNIT_TEST_SUITE_END();

  const core::PoolName m_Pool{"pool"};
  core::TimePoint m_Now{std::chrono::hours(1)};

public:
  void testHighestTierHasNoBound() {
    TierConcurrency Bound({{tier(1), demand(40, 1)}, {tier(3), demand(40, 1)}},
                          50, {});
    CPPUNIT_ASSERT(!Bound.maxHeld(tier(1)));
    CPPUNIT_ASSERT(!Bound.mayStart(tier(1), 1));
    CPPUNIT_ASSERT(Bound.maxHeld(tier(3)));
  }

  void testLeavesWhatHigherTiersNeed() {
    TierConcurrency Bound({{tier(1), demand(40, 0.5)},
                           {tier(2), demand(20, 0.25)},
                           {tier(3), demand(20, 1.8)}},
                          50, {});
    // The higher tiers want 25 and 20 slots on average, and at times more.
    CPPUNIT_ASSERT(*Bound.maxHeld(tier(3)) < 25);
    CPPUNIT_ASSERT(*Bound.maxHeld(tier(3)) > 15);
    CPPUNIT_ASSERT(*Bound.maxHeld(tier(2)) < 30);
    CPPUNIT_ASSERT(*Bound.maxHeld(tier(2)) > *Bound.maxHeld(tier(3)));
  }

  void testNeverBelowTheFloor() {
    TierConcurrency Bound(
        {{tier(1), demand(200, 0.5)}, {tier(3), demand(50, 2, 4)}}, 50, {});
    CPPUNIT_ASSERT(*Bound.maxHeld(tier(3)) >= 5);
    // A quarter of an equal service: 100 slots at 50 / 200 each, a quarter.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.25, *Bound.maxHeld(tier(3)), 1e-9);
    CPPUNIT_ASSERT(*Bound.mayStart(tier(3), 1));
    // A single slot is left even where a tenth of them is less than one.
    TierConcurrency Small({{tier(1), demand(200, 0.5)}, {tier(3), {}}}, 4, {});
    CPPUNIT_ASSERT(*Small.mayStart(tier(3), 1));
  }

  void testMiddleTierKeepsItsOwnFloor() {
    PoolDemand Demand{{tier(1), demand(200, 0.5)},
                      {tier(2), demand(100, 0.5)},
                      {tier(3), demand(50, 1)}};
    TierConcurrency Known(Demand, 50, {});
    // The lowest tier at its floor does not take that of the middle one.
    Demand[tier(3)].m_Running =
        static_cast<std::uint32_t>(*Known.maxHeld(tier(3)));
    CPPUNIT_ASSERT(*TierConcurrency(Demand, 50, {}).mayStart(tier(2), 1));
  }

  void testUsesAllSlotsWithoutHigherDemand() {
    TierConcurrency Idle({{tier(1), demand(0, 0.5)}, {tier(3), demand(50, 2)}},
                         50, {});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, *Idle.maxHeld(tier(3)), 1e-9);
    TierConcurrency Alone({{tier(3), demand(50, 2)}}, 50, {});
    CPPUNIT_ASSERT(!Alone.maxHeld(tier(3)));
  }

  void testUnknownSlotTimeMeansNoBound() {
    TierConcurrency Bound(
        {{tier(1), demand(20, 0)}, {tier(3), demand(50, 2, 40)}}, 50, {});
    CPPUNIT_ASSERT(!Bound.maxHeld(tier(3)));
    CPPUNIT_ASSERT(!Bound.mayStart(tier(3), 10));
  }

  void testLeavesFreeSlotsToWaitingHigherTiers() {
    PoolDemand Demand{{tier(1), demand(10, 0.5, 5, 2)},
                      {tier(3), demand(10, 1, 10)}};
    CPPUNIT_ASSERT(!*TierConcurrency(Demand, 50, {}).mayStart(tier(3), 2));
    CPPUNIT_ASSERT(*TierConcurrency(Demand, 50, {}).mayStart(tier(3), 3));
    // A tier within its floor takes its turn.
    Demand[tier(3)].m_Running = 4;
    CPPUNIT_ASSERT(*TierConcurrency(Demand, 50, {}).mayStart(tier(3), 1));
  }

  void testWaitOfHigherTiersRaisesTheBound() {
    PoolDemand Demand{{tier(1), demand(50, 0.5)}, {tier(3), demand(20, 1)}};
    auto MaxHeld = [&](milliseconds Wait) {
      return *TierConcurrency(Demand, 50, {{tier(1), Wait}}).maxHeld(tier(3));
    };
    double Without = MaxHeld(milliseconds(0));
    // A quarter of the lower tier's slots comes free in half of the wait, so
    // that the other three quarters must fit.
    CPPUNIT_ASSERT_DOUBLES_EQUAL(Without / 0.75, MaxHeld(milliseconds(500)),
                                 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(50, MaxHeld(milliseconds(2000)), 1e-9);
  }

  void testShortRequestsNeedNotLeaveTheirSlots() {
    PoolDemand Demand{{tier(1), demand(10, 0.5, 5, 2)},
                      {tier(2), demand(20, 0.25, 10)},
                      {tier(3), demand(10, 1, 10)}};
    TierConcurrency Bound(
        Demand, 50,
        {{tier(1), milliseconds(600)}, {tier(2), milliseconds(600)}});
    CPPUNIT_ASSERT(*Bound.mayStart(tier(2), 1));
    CPPUNIT_ASSERT(!*Bound.mayStart(tier(3), 1));
  }

  /// The bound is about the group: an instance may hold none of the slots that
  /// lower tiers occupy.
  void testCountsPeersUntilTheyAreSilent() {
    DemandTable Demand;
    TierConcurrencyTable Table;
    auto MayStart = [&] {
      m_Now += milliseconds(40);
      return Table.mayStart(m_Pool, tier(3), Demand, 50, 10, m_Now);
    };
    Demand.recordArrival(m_Pool, tier(3), m_Now);
    CPPUNIT_ASSERT(!MayStart());
    Demand.setPeers(
        {{{"10.1.0.2", 7600},
          {{hashOf(m_Pool),
            {{tier(1), demand(60, 0.5)}, {tier(3), demand(20, 2, 20)}}}}}});
    CPPUNIT_ASSERT(!*MayStart());
    Demand.setPeers(
        {{{"10.1.0.2", 7600},
          {{hashOf(m_Pool),
            {{tier(1), demand(60, 0.5)}, {tier(3), demand(20, 2, 9)}}}}}});
    CPPUNIT_ASSERT(*MayStart());
    Demand.setPeers({});
    CPPUNIT_ASSERT(!MayStart());
  }

  void testCountsStartsAndEndsAtOnce() {
    DemandTable Demand;
    TierConcurrencyTable Table;
    Demand.setPeers(
        {{{"10.1.0.2", 7600},
          {{hashOf(m_Pool),
            {{tier(1), demand(60, 0.5)}, {tier(3), demand(20, 2)}}}}}});
    auto MayStart = [&] {
      return *Table.mayStart(m_Pool, tier(3), Demand, 50, 50, m_Now);
    };
    unsigned Started = 0;
    for (; Started < 50 && MayStart(); ++Started)
      Table.recordStart(m_Pool, tier(3));
    CPPUNIT_ASSERT(Started >= 5 && Started < 20);
    Table.recordEnd(m_Pool, tier(3));
    CPPUNIT_ASSERT(MayStart());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TierConcurrencyTest);
