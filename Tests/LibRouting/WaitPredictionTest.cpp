//===-- WaitPredictionTest.cpp - Predicted waits and slot rates -----------===//
//
// Guards against refusals of requests that would have been served, and against
// hopeless waits.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/WaitPrediction.h"
#include "LibRouting/SlotRate.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class WaitPredictionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitPredictionTest);
  CPPUNIT_TEST(testUnknownRatePredictsNothing);
  CPPUNIT_TEST(testWaitIsRequestsAheadOverRate);
  CPPUNIT_TEST(testRefusesOnlyBeyondTheMargin);
  CPPUNIT_TEST(testWrongPredictionsWidenTheMargin);
  CPPUNIT_TEST(testWaitInVainLengthensPredictions);
  CPPUNIT_TEST(testRefusalsAheadDoNotLookLikeSpeed);
  CPPUNIT_TEST(testWaitingRequestStaysLongerThanArrivingOne);
  CPPUNIT_TEST(testRateIsRunningOverSlotTime);
  CPPUNIT_TEST(testLowerTierGetsWhatHigherOnesLeave);
  CPPUNIT_TEST(testRateIsAtLeastAsObserved);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  Priority m_Tier;
  WaitPrediction m_Prediction;

  PredictedWait predict(double Ahead, double SlotsPerSecond) const {
    auto Out = m_Prediction.predict(m_Pool, m_Tier, {Ahead, SlotsPerSecond});
    CPPUNIT_ASSERT(Out.has_value());
    return *Out;
  }
  StartedWait started(const PredictedWait &Wait) const {
    return {Wait, m_Now, 9, 0};
  }
  void recordWait(const PredictedWait &Wait, core::Duration Actual) {
    m_Prediction.recordWait(m_Pool, m_Tier, started(Wait), m_Now + Actual);
  }
  static Priority tier(std::uint32_t Number) {
    return {core::TierNumber(Number), core::TierNumber(Number)};
  }
  /// Demand of a tier whose requests hold a slot for half a second.
  static TierDemand demand(std::uint32_t Running, double ArrivalsPerSecond) {
    TierDemand Out;
    Out.m_Running = Running;
    Out.m_ArrivalsPerSecond = ArrivalsPerSecond;
    Out.m_OfferedSlots = ArrivalsPerSecond / 2;
    return Out;
  }

public:
  void testUnknownRatePredictsNothing() {
    CPPUNIT_ASSERT(!m_Prediction.predict(m_Pool, m_Tier, {5, 0}));
    // Nothing is ahead: the next slot is its own.
    CPPUNIT_ASSERT(!m_Prediction.predict(m_Pool, m_Tier, {0, 10}));
    SlotRate Unknown;
    TierDemand New;
    New.m_Running = 4;
    New.m_ArrivalsPerSecond = 8;
    CPPUNIT_ASSERT_EQUAL(
        0.0, Unknown.rates(m_Pool, {{m_Tier, New}}, m_Tier, m_Now).m_OfTier);
  }

  void testWaitIsRequestsAheadOverRate() {
    CPPUNIT_ASSERT(predict(9, 10).m_Expected == seconds(1));
  }

  void testRefusesOnlyBeyondTheMargin() {
    PredictedWait Wait = predict(9, 10);
    CPPUNIT_ASSERT(!WaitPrediction::refusesOnArrival(Wait, milliseconds(1000)));
    CPPUNIT_ASSERT(!WaitPrediction::refusesOnArrival(Wait, milliseconds(800)));
    CPPUNIT_ASSERT(WaitPrediction::refusesOnArrival(Wait, milliseconds(700)));
    for (int I = 0; I < 40; ++I)
      recordWait(Wait, milliseconds(1000));
    // Predictions that were always right need no margin.
    CPPUNIT_ASSERT(
        WaitPrediction::refusesOnArrival(predict(9, 10), milliseconds(900)));
  }

  void testWrongPredictionsWidenTheMargin() {
    PredictedWait Wait = predict(9, 10);
    auto MarginAfter = [&](milliseconds Short, milliseconds Long) {
      for (int I = 0; I < 40; ++I)
        recordWait(Wait, I % 2 ? Short : Long);
      PredictedWait Now = predict(9, 10);
      return Now.m_Expected - Now.m_AtLeast;
    };
    core::Duration Right = MarginAfter(milliseconds(1000), milliseconds(1000));
    core::Duration Wrong = MarginAfter(milliseconds(300), milliseconds(1700));
    CPPUNIT_ASSERT(Right < milliseconds(50));
    CPPUNIT_ASSERT(milliseconds(200) < Wrong);
    // One that is served sooner than predicted is not refused next time.
    for (int I = 0; I < 40; ++I)
      recordWait(Wait, milliseconds(400));
    CPPUNIT_ASSERT(
        !WaitPrediction::refusesOnArrival(predict(9, 10), milliseconds(500)));
  }

  void testWaitInVainLengthensPredictions() {
    PredictedWait Wait = predict(9, 10);
    // It could still have begun as predicted, so that nothing is learned.
    m_Prediction.recordRefusal(m_Pool, m_Tier, started(Wait),
                               m_Now + milliseconds(500));
    CPPUNIT_ASSERT(predict(9, 10).m_Expected == Wait.m_Expected);
    m_Prediction.recordRefusal(m_Pool, m_Tier, started(Wait),
                               m_Now + milliseconds(2000));
    CPPUNIT_ASSERT(Wait.m_Expected < predict(9, 10).m_Expected);
  }

  void testRefusalsAheadDoNotLookLikeSpeed() {
    PredictedWait Wait = predict(9, 10);
    StartedWait Started = started(Wait);
    Started.m_AheadRefused = 5;
    for (int I = 0; I < 40; ++I)
      m_Prediction.recordWait(m_Pool, m_Tier, Started,
                              m_Now + milliseconds(500));
    CPPUNIT_ASSERT(milliseconds(990) <= predict(9, 10).m_Expected);
  }

  void testWaitingRequestStaysLongerThanArrivingOne() {
    PredictedWait Wait = predict(9, 10);
    CPPUNIT_ASSERT(WaitPrediction::refusesOnArrival(Wait, milliseconds(700)));
    CPPUNIT_ASSERT(!WaitPrediction::refusesWaiting(Wait, milliseconds(700)));
    CPPUNIT_ASSERT(WaitPrediction::refusesWaiting(Wait, milliseconds(300)));
  }

  void testRateIsRunningOverSlotTime() {
    SlotRate Rate;
    PoolDemand Group{{tier(1), demand(10, 4)}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        20.0, Rate.rates(m_Pool, Group, tier(1), m_Now).m_OfTier, 1e-6);
    // A tier that has just begun holds slots as long as the others.
    TierDemand New;
    New.m_Running = 5;
    Group[tier(2)] = New;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        30.0, Rate.rates(m_Pool, Group, tier(1), m_Now).m_Total, 1e-6);
  }

  void testLowerTierGetsWhatHigherOnesLeave() {
    SlotRate Rate;
    PoolDemand Group{{tier(1), demand(10, 15)}, {tier(2), demand(0, 50)}};
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        20.0, Rate.rates(m_Pool, Group, tier(1), m_Now).m_OfTier, 1e-6);
    // About 15 a second arrive, more or less.
    double Left = Rate.rates(m_Pool, Group, tier(2), m_Now).m_OfTier;
    CPPUNIT_ASSERT(5 <= Left && Left <= 10);
    Group[tier(1)] = demand(10, 100);
    double Floor = Rate.rates(m_Pool, Group, tier(2), m_Now).m_OfTier;
    CPPUNIT_ASSERT(0 < Floor && Floor < 5);
  }

  void testRateIsAtLeastAsObserved() {
    SlotRate Rate;
    PoolDemand Group{{tier(1), demand(1, 4)}};
    for (int I = 0; I < 1000; ++I)
      Rate.recordEnd(m_Pool, m_Now += milliseconds(10));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        100.0, Rate.rates(m_Pool, Group, tier(1), m_Now).m_Total, 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
        2.0, Rate.rates(m_Pool, Group, tier(1), m_Now + seconds(20)).m_Total,
        0.1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitPredictionTest);
