//===-- TargetBackoffTest.cpp - Targets that back off or leave ------------===//
//
// Guards against requests to a target within the back-off that it asked for,
// also while all targets of the pool back off, and to a target that leaves.
//
//===----------------------------------------------------------------------===//
#include "GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;

class TargetBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetBackoffTest);
  CPPUNIT_TEST(testBackoffHoldsWhileAllTargetsBackOff);
  CPPUNIT_TEST(testBackoffSurvivesReannouncement);
  CPPUNIT_TEST(testTargetIsUsedAfterBackoff);
  CPPUNIT_TEST(testLeavingTargetGetsNoRequests);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Targets = 3;
  static constexpr milliseconds Backoff{2000};
  /// Time after a refusal in which requests that are in flight may arrive.
  static constexpr milliseconds InFlightTime{500};
  static constexpr std::size_t MaxInBackoff = 2;

  static void refuseRequests(GatewayFleet &Fleet, std::size_t Target) {
    Fleet.runOnTargetThread([&] {
      Fleet.target(Target).setBackpressure({"Retry-After: 2\r\n", true});
    });
  }
  struct TimedReply {
    Reply m_Reply;
    core::TimePoint m_At;
  };
  /// Sends 25 requests a second for \p Time, without waiting for responses.
  static std::vector<TimedReply> sendFor(GatewayFleet &Fleet,
                                         milliseconds Time) {
    core::TimePoint End = core::steadyNow() + Time;
    std::vector<std::future<TimedReply>> Calls;
    while (core::steadyNow() < End) {
      Calls.push_back(std::async(std::launch::async, [&] {
        Reply Received = Fleet.send(0, "/again/x", "");
        return TimedReply{Received, core::steadyNow()};
      }));
      std::this_thread::sleep_for(milliseconds(40));
    }
    std::vector<TimedReply> Out;
    for (auto &Each : Calls)
      Out.push_back(Each.get());
    return Out;
  }
  /// Sends more requests than one target has slots; all must be served.
  static void sendConcurrently(GatewayFleet &Fleet, std::size_t Gateway) {
    std::vector<std::future<Reply>> Calls;
    for (int I = 0; I < 12; ++I)
      Calls.push_back(std::async(std::launch::async, [&Fleet, Gateway] {
        return Fleet.send(Gateway, "/again/x", "");
      }));
    for (auto &Each : Calls)
      CPPUNIT_ASSERT_EQUAL(200U, Each.get().m_Status);
  }
  /// Returns the earliest end of the back-offs that the targets, which refuse
  /// all requests, asked for until \p Now.
  static core::TimePoint firstBackoffEnd(GatewayFleet &Fleet,
                                         core::TimePoint Now) {
    core::TimePoint First = core::TimePoint::max();
    for (std::size_t I = 0; I < Targets; ++I) {
      std::vector<core::TimePoint> Refused = Fleet.arrivalsAt(I);
      auto Last = std::upper_bound(Refused.begin(), Refused.end(), Now);
      if (Last == Refused.begin())
        return Now;
      First = std::min(First, *std::prev(Last) + Backoff);
    }
    return First;
  }
  /// Returns the most arrivals within one back-off of a target that refuses
  /// all requests.
  static std::size_t
  maxInBackoff(const std::vector<core::TimePoint> &Arrivals) {
    std::size_t Max = 0;
    for (const core::TimePoint &Refused : Arrivals)
      Max = std::max(Max, static_cast<std::size_t>(std::count_if(
                              Arrivals.begin(), Arrivals.end(),
                              [&](const core::TimePoint &Each) {
                                return Each > Refused + InFlightTime &&
                                       Each < Refused + Backoff;
                              })));
    return Max;
  }

public:
  void testBackoffHoldsWhileAllTargetsBackOff() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    for (std::size_t I = 0; I < Targets; ++I)
      refuseRequests(Fleet, I);
    std::vector<TimedReply> Replies = sendFor(Fleet, milliseconds(4500));
    for (std::size_t I = 0; I < Targets; ++I)
      CPPUNIT_ASSERT(maxInBackoff(Fleet.arrivalsAt(I)) <= MaxInBackoff);
    // Refused callers are told to return after the first back-off, spread out:
    // the gateway adds 0.15 s to 0.5 s and up to a quarter of the time left.
    std::set<std::string> Times;
    for (const TimedReply &Each : Replies) {
      CPPUNIT_ASSERT_EQUAL(503U, Each.m_Reply.m_Status);
      std::string Text = Each.m_Reply.header("Retry-After");
      Times.insert(Text);
      double RetryAfter = std::stod(Text);
      double TimeLeft =
          core::toSeconds(firstBackoffEnd(Fleet, Each.m_At) - Each.m_At);
      CPPUNIT_ASSERT(RetryAfter >= TimeLeft);
      CPPUNIT_ASSERT(RetryAfter <= std::max(TimeLeft, 0.0) * 1.25 + 0.6);
    }
    CPPUNIT_ASSERT(Times.size() > Replies.size() / 2);
  }

  void testBackoffSurvivesReannouncement() {
    GatewayFleet Fleet(1, Targets);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    for (std::size_t I = 0; I < Targets; ++I)
      refuseRequests(Fleet, I);
    for (std::size_t I = 0; I < Targets; ++I)
      Fleet.send(0, "/again/x", "");
    // Long enough for the target to be removed.
    Fleet.runOnTargetThread([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(milliseconds(1500));
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    std::this_thread::sleep_for(milliseconds(100));
    // 1.6 s of the 2 s of back-off have passed.
    sendFor(Fleet, milliseconds(200));
    CPPUNIT_ASSERT(maxInBackoff(Fleet.arrivalsAt(0)) <= MaxInBackoff);
  }

  void testTargetIsUsedAfterBackoff() {
    GatewayFleet Fleet(1, 1);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    refuseRequests(Fleet, 0);
    CPPUNIT_ASSERT_EQUAL(503U, Fleet.send(0, "/again/x", "").m_Status);
    Fleet.runOnTargetThread([&] { Fleet.target(0).setBackpressure({}); });
    CPPUNIT_ASSERT_EQUAL(503U, Fleet.send(0, "/again/x", "").m_Status);
    std::this_thread::sleep_for(Backoff);
    CPPUNIT_ASSERT_EQUAL(200U, Fleet.send(0, "/again/x", "").m_Status);
  }

  /// Guards against requests to a target that has stated that it leaves, while
  /// the store does not show that or announces the target again.
  void testLeavingTargetGetsNoRequests() {
    GatewayFleet Fleet(2, 2);
    Fleet.startAll();
    CPPUNIT_ASSERT(Fleet.waitUntilReady());
    Fleet.runOnTargetThread(
        [&] { Fleet.target(0).setBackpressure({"Server-Leaving: 1\r\n"}); });
    sendConcurrently(Fleet, 0);
    CPPUNIT_ASSERT(!Fleet.arrivalsAt(0).empty());
    sendFor(Fleet, milliseconds(1000));
    core::TimePoint Since = core::steadyNow();
    Fleet.runOnTargetThread([&] { Fleet.target(0).withdrawAnnouncement(); });
    std::this_thread::sleep_for(milliseconds(1500));
    Fleet.runOnTargetThread([&] { Fleet.target(0).reannounce(); });
    std::this_thread::sleep_for(milliseconds(100));
    sendFor(Fleet, milliseconds(500));
    // The other instance has received the update.
    sendConcurrently(Fleet, 1);
    for (const core::TimePoint &Each : Fleet.arrivalsAt(0))
      CPPUNIT_ASSERT(Each < Since);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetBackoffTest);
