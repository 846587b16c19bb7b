//===-- DispatcherWaitingTest.cpp - Early refusals and returns ------------===//
//
// Guards against callers that wait in vain, against refusals of those that
// would have been served, and against returned callers that are refused again.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/Dispatcher.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <memory>
#include <random>
#include <vector>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds SlotTime{500};
static constexpr milliseconds Objective{1000};
static constexpr milliseconds Step{5};

class DispatcherWaitingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherWaitingTest);
  CPPUNIT_TEST(testWhoCanNotBeServedIsRefusedSoon);
  CPPUNIT_TEST(testWhoCanBeServedIsNotRefused);
  CPPUNIT_TEST(testEarlyRefusalsLoseNoResponse);
  CPPUNIT_TEST(testNothingIsRefusedEarlyAfterARestart);
  CPPUNIT_TEST(testWaitEndsWhenTheOutlookWorsens);
  CPPUNIT_TEST(testReturnedCallerWaits);
  CPPUNIT_TEST(testLateReturnGoesBehindThoseInTimeOfItsTier);
  CPPUNIT_TEST(testReturnWithinTheObjectiveKeepsItsPlace);
  CPPUNIT_TEST(testReturnIsScheduledOnlyInAShortage);
  CPPUNIT_TEST_SUITE_END();

  struct Run {
    PlacementRequest m_Request;
    std::optional<core::TimePoint> m_SentAt;
    std::optional<core::TimePoint> m_RefusedAt;
  };

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  std::uint64_t m_NextRequest = 1;
  std::map<core::RequestId, Run> m_Runs;
  std::multimap<core::TimePoint, std::pair<core::RequestId, core::TargetName>>
      m_Ends;
  std::vector<core::RequestId> m_Order;
  std::mt19937_64 m_Random{1};
  std::unique_ptr<TargetDirectory> m_Targets;
  std::unique_ptr<Dispatcher> m_Dispatcher;

  /// Starts an instance before two targets of two slots each.
  void start(bool HasPrediction) {
    m_Runs.clear();
    m_Ends.clear();
    m_Order.clear();
    m_Random.seed(1);
    m_Targets = std::make_unique<TargetDirectory>();
    for (const char *Name : {"a", "b"}) {
      Target Added;
      Added.m_Name = core::TargetName(Name);
      Added.m_Pool = m_Pool;
      Added.m_DataHall = core::DataHallName("hall");
      Added.m_Slots = 2;
      m_Targets->announce(Added);
    }
    m_Dispatcher = std::make_unique<Dispatcher>(
        *m_Targets, core::DataHallName("hall"),
        PlacementPolicy::LeastPredictedWait,
        DispatcherHooks{
            [this](core::RequestId Id, const routing::Target &Chosen) {
              CPPUNIT_ASSERT(!m_Runs[Id].m_RefusedAt);
              m_Runs[Id].m_SentAt = m_Now;
              m_Order.push_back(Id);
              m_Ends.emplace(m_Now + SlotTime, std::pair(Id, Chosen.m_Name));
            },
            [this](core::RequestId Id) {
              CPPUNIT_ASSERT(!m_Runs[Id].m_SentAt);
              CPPUNIT_ASSERT(!m_Runs[Id].m_RefusedAt);
              m_Runs[Id].m_RefusedAt = m_Now;
            },
            nullptr});
    OverloadSettings Settings{false, false, HasPrediction, true, false, false};
    m_Dispatcher->setOverload(Settings);
  }
  PlacementRequest stream(std::uint32_t Tier = 1) {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(m_NextRequest++);
    Out.m_Pool = m_Pool;
    Out.m_Priority.m_Account = core::TierNumber(Tier);
    Out.m_Priority.m_Route = core::TierNumber(Tier);
    Out.m_IsInference = true;
    Out.m_ArrivedAt = m_Now;
    Out.m_FirstByteDue = m_Now + Objective;
    Out.m_EndsAt = m_Now + seconds(6);
    Out.m_FirstEventDeadline = m_Now + seconds(4);
    return Out;
  }
  /// A stream whose caller was refused before.
  PlacementRequest returned(core::Duration Elapsed, std::uint32_t Tier = 1) {
    PlacementRequest Out = stream(Tier);
    Out.m_FirstArrivedAt = m_Now - Elapsed;
    return Out;
  }
  core::RequestId place(const PlacementRequest &Request) {
    m_Runs[Request.m_Request].m_Request = Request;
    m_Dispatcher->place(Request, m_Now);
    return Request.m_Request;
  }
  core::RequestId place(std::uint32_t Tier = 1) { return place(stream(Tier)); }
  bool isSent(core::RequestId Id) { return m_Runs[Id].m_SentAt.has_value(); }
  bool isRefused(core::RequestId Id) {
    return m_Runs[Id].m_RefusedAt.has_value();
  }
  void advance(core::Duration Time) {
    for (core::TimePoint Until = m_Now + Time; m_Now < Until;) {
      m_Now += Step;
      while (!m_Ends.empty() && m_Ends.begin()->first <= m_Now) {
        auto [Id, Target] = m_Ends.begin()->second;
        m_Ends.erase(m_Ends.begin());
        m_Targets->recordEnd(Target, 0);
        m_Dispatcher->recordEnd(Id, m_Now);
        m_Dispatcher->dispatchWaiting(m_Now);
      }
      m_Dispatcher->dispatchWaiting(m_Now);
    }
  }
  /// Sends requests at random. Eight a second can be served.
  void load(double PerSecond, core::Duration Time, std::uint32_t Tier = 1) {
    std::poisson_distribution<int> Arrivals(PerSecond * core::toSeconds(Step));
    for (core::TimePoint Until = m_Now + Time; m_Now < Until;) {
      for (int I = Arrivals(m_Random); I > 0; --I)
        place(Tier);
      advance(Step);
    }
  }
  /// Fills all slots, once their slot time is known.
  void fill() {
    load(7, seconds(4));
    advance(seconds(3));
    for (int I = 0; I < 4; ++I)
      place();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_Dispatcher->waiting());
  }
  std::size_t served() const {
    return static_cast<std::size_t>(
        std::count_if(m_Runs.begin(), m_Runs.end(), [](const auto &Each) {
          return Each.second.m_SentAt.has_value();
        }));
  }

public:
  void testWhoCanNotBeServedIsRefusedSoon() {
    start(true);
    fill();
    load(24, seconds(30));
    std::size_t Early = 0;
    std::size_t Refused = 0;
    for (const auto &[Id, Each] : m_Runs)
      if (Each.m_RefusedAt) {
        ++Refused;
        if (*Each.m_RefusedAt - Each.m_Request.m_ArrivedAt <= Objective / 4)
          ++Early;
      }
    CPPUNIT_ASSERT(100 < Refused);
    // The aim: the middle refusal comes within a quarter of the objective. A
    // request that may just be served waits, and some of these in vain.
    CPPUNIT_ASSERT(Refused < Early * 2);
  }

  void testWhoCanBeServedIsNotRefused() {
    start(true);
    fill();
    // The fifth slot comes free in half a second, the last of these in time.
    std::vector<core::RequestId> Waiting;
    for (int I = 0; I < 4; ++I)
      Waiting.push_back(place());
    advance(seconds(1));
    for (core::RequestId Each : Waiting)
      CPPUNIT_ASSERT(isSent(Each));
  }

  void testEarlyRefusalsLoseNoResponse() {
    start(false);
    load(16, seconds(30));
    std::size_t Before = served();
    start(true);
    load(16, seconds(30));
    CPPUNIT_ASSERT(Before * 99 <= served() * 100);
  }

  void testNothingIsRefusedEarlyAfterARestart() {
    start(true);
    for (int I = 0; I < 60; ++I)
      place();
    advance(SlotTime - Step);
    for (const auto &[Id, Each] : m_Runs)
      CPPUNIT_ASSERT(!Each.m_RefusedAt);
  }

  void testWaitEndsWhenTheOutlookWorsens() {
    start(true);
    fill();
    place(2);
    core::RequestId Low = place(2);
    CPPUNIT_ASSERT(!isRefused(Low));
    for (int I = 0; I < 30; ++I)
      place(1);
    advance(Objective / 4);
    CPPUNIT_ASSERT(isRefused(Low));
  }

  void testReturnedCallerWaits() {
    start(true);
    fill();
    while (!isRefused(place()))
      ;
    core::RequestId Returned = place(returned(seconds(2)));
    advance(Objective - 2 * Step);
    CPPUNIT_ASSERT(!isRefused(Returned));
    advance(Objective);
    CPPUNIT_ASSERT(isRefused(Returned) || isSent(Returned));
  }

  void testLateReturnGoesBehindThoseInTimeOfItsTier() {
    start(false);
    fill();
    core::RequestId Lower = place(2);
    core::RequestId Returned = place(returned(seconds(2), 1));
    std::vector<core::RequestId> InTime;
    for (int I = 0; I < 2; ++I)
      InTime.push_back(place(1));
    m_Order.clear();
    advance(seconds(1));
    CPPUNIT_ASSERT((m_Order == std::vector<core::RequestId>{
                                   InTime[0], InTime[1], Returned, Lower}));
  }

  void testReturnWithinTheObjectiveKeepsItsPlace() {
    start(false);
    fill();
    core::RequestId New = place();
    core::RequestId Returned = place(returned(milliseconds(300)));
    m_Order.clear();
    advance(seconds(1));
    CPPUNIT_ASSERT((m_Order == std::vector<core::RequestId>{Returned, New}));
  }

  void testReturnIsScheduledOnlyInAShortage() {
    start(true);
    auto Schedule = [this] {
      return m_Dispatcher->returnDelay(stream(), 0.5, m_Now);
    };
    CPPUNIT_ASSERT(!Schedule());
    for (int I = 0; I < 4; ++I)
      place();
    CPPUNIT_ASSERT(Schedule());
    advance(seconds(1));
    CPPUNIT_ASSERT(!Schedule());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherWaitingTest);
