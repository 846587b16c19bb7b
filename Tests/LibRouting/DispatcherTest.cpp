//===-- DispatcherTest.cpp - Queueing and assignment of requests ----------===//
#include "LibRouting/Dispatcher.h"

#include "LibCore/Digest.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(testSpreadsOverFreeSlots);
  CPPUNIT_TEST(testCountsRemoteLoad);
  CPPUNIT_TEST(testBoundRequestWaitsForItsVersion);
  CPPUNIT_TEST(testBoundRequestHoldsNoOtherBack);
  CPPUNIT_TEST(testBoundRequestWithoutItsVersionIsRefusedAtOnce);
  CPPUNIT_TEST(testLoadOfOtherGroupsIsNotEstimated);
  CPPUNIT_TEST(testSlowTargetGetsLess);
  CPPUNIT_TEST(testSlowTargetUsesAllSlotsForShortPrompts);
  CPPUNIT_TEST(testHigherTierLeavesTheQueueFirst);
  CPPUNIT_TEST(testShortRequestIsSentAtDeadlineWithoutSlot);
  CPPUNIT_TEST(testStreamIsRefusedBeforeItsDeadline);
  CPPUNIT_TEST(testStreamIsGivenUpWhenItWouldBeginTooLate);
  CPPUNIT_TEST(testStreamIsRefusedOnceItCanNotBeginInTime);
  CPPUNIT_TEST(testLateRequestsGoBehindThoseInTime);
  CPPUNIT_TEST(testLowestTierLeavesSlotsFree);
  CPPUNIT_TEST(testReservedSlotIsUsedBeforeDeadline);
  CPPUNIT_TEST(testAccountTierPrecedesRouteTier);
  CPPUNIT_TEST(testLongResponsesGoToFastTargets);
  CPPUNIT_TEST(testLeavingAndTriedTargetsGetNothing);
  CPPUNIT_TEST(testTargetInCooldownIsUsedOnlyAlone);
  CPPUNIT_TEST(testWaitsForHealthyTargetDuringCooldown);
  CPPUNIT_TEST(testTargetOnProbationGetsOneRequest);
  CPPUNIT_TEST(testOneErrorStartsNoCooldown);
  CPPUNIT_TEST(testReplacedTargetGetsNothing);
  CPPUNIT_TEST(testRestartedTargetMayBeTriedAgain);
  CPPUNIT_TEST(testExpiredTargetsServeUntilRemoved);
  CPPUNIT_TEST(testReannouncedTargetKeepsItsState);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"pool"};
  TargetDirectory m_Targets;
  std::map<core::RequestId, core::TargetName> m_Sent;
  std::vector<core::RequestId> m_Order;
  std::set<core::RequestId> m_Refused;
  Dispatcher m_Dispatcher{
      m_Targets,
      core::DataHallName("hall"),
      PlacementPolicy::LeastPredictedWait,
      {[this](core::RequestId Request, const Target &Chosen) {
         m_Sent[Request] = Chosen.m_Name;
         m_Order.push_back(Request);
       },
       [this](core::RequestId Request) { m_Refused.insert(Request); }}};

  Target target(const std::string &Name, std::size_t Slots = 2) const {
    Target Out;
    Out.m_Name = core::TargetName(Name);
    Out.m_Pool = m_Pool;
    Out.m_DataHall = core::DataHallName("hall");
    Out.m_Slots = Slots;
    return Out;
  }
  void announce(const std::string &Name, std::size_t Slots = 2) {
    m_Targets.announce(target(Name, Slots));
  }
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
  void fail(const std::string &Name) {
    m_Targets.recordFailure(core::TargetName(Name), TargetFailure::Unreachable,
                            m_Now);
  }

public:
  void testSpreadsOverFreeSlots() {
    announce("a");
    announce("b");
    std::map<std::string, int> Counts;
    for (std::uint64_t Id = 1; Id <= 4; ++Id) {
      place(Id);
      ++Counts[sentTo(Id)];
    }
    CPPUNIT_ASSERT_EQUAL(2, Counts["a"]);
    CPPUNIT_ASSERT_EQUAL(2, Counts["b"]);
    place(5);
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(5));
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(5));
  }

  void announce(const std::string &Name, const std::string &Version) {
    Target Announced = target(Name, 1);
    Announced.m_Version = core::TargetVersion(Version);
    m_Targets.announce(Announced);
  }
  void placeBound(std::uint64_t Id, const std::string &Version) {
    PlacementRequest Bound = request(Id);
    Bound.m_Version = core::TargetVersion(Version);
    m_Dispatcher.place(Bound, m_Now);
  }
  void testBoundRequestWaitsForItsVersion() {
    announce("a", "v1");
    announce("b", "v2");
    placeBound(1, "v2");
    placeBound(2, "v2");
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(1));
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(2));
    m_Targets.recordEnd(core::TargetName("b"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(2));
  }
  void testBoundRequestHoldsNoOtherBack() {
    announce("a", "v1");
    announce("b", "v2");
    placeBound(1, "v2");
    placeBound(2, "v2");
    place(3);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
    place(4);
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(4));
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(2));
  }
  void testBoundRequestWithoutItsVersionIsRefusedAtOnce() {
    announce("a", "v1");
    placeBound(1, "v2");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Refused.count(core::RequestId(1)));
  }

  void testCountsRemoteLoad() {
    announce("a");
    announce("b");
    auto Hash = [](const char *Name) {
      return static_cast<std::uint32_t>(core::stableHash(Name));
    };
    m_Targets.setRemoteLoad({{Hash("a"), {2, 0}}});
    place(1);
    place(2);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(1));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(2));
    place(3);
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(3));
    m_Targets.setRemoteLoad({});
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
  }

  void testLoadOfOtherGroupsIsNotEstimated() {
    FleetSubset::Fleet Fleet;
    for (int I = 0; I < 80; ++I)
      Fleet[{"10.1.0." + std::to_string(100 + I), 7600}] =
          core::DataHallName("hall");
    m_Targets.setSubset(FleetSubset({"10.1.0.100", 7600}, Fleet));
    announce("a", 6);
    place(1);
    // One local request must not count once for each of the ten groups, which
    // would fill the target.
    m_Targets.setRemoteLoad({});
    place(2);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(2));
  }

  void testSlowTargetGetsLess() {
    announce("quick", 10);
    announce("slow", 10);
    for (int I = 0; I < 50; ++I) {
      m_Targets.recordServiceTime(core::TargetName("quick"), milliseconds(10));
      m_Targets.recordServiceTime(core::TargetName("slow"), milliseconds(40));
    }
    std::map<std::string, int> Counts;
    for (std::uint64_t Id = 1; Id <= 10; ++Id) {
      place(Id);
      ++Counts[sentTo(Id)];
    }
    CPPUNIT_ASSERT(Counts["quick"] >= 2 * Counts["slow"]);
  }

  void testSlowTargetUsesAllSlotsForShortPrompts() {
    announce("quick", 4);
    announce("quick too", 4);
    announce("slow", 4);
    for (int I = 0; I < 50; ++I) {
      m_Targets.recordServiceTime(core::TargetName("quick"), milliseconds(10));
      m_Targets.recordServiceTime(core::TargetName("quick too"),
                                  milliseconds(10));
      m_Targets.recordServiceTime(core::TargetName("slow"), milliseconds(40));
    }
    auto PlaceMany = [this](std::uint64_t First, std::uint32_t Tokens) {
      for (std::uint64_t Id = First; Id < First + 12; ++Id) {
        PlacementRequest Stream = request(Id);
        Stream.m_IsInference = true;
        Stream.m_FirstByteDue = Stream.m_EndsAt;
        Stream.m_PromptTokens = Tokens;
        m_Dispatcher.place(Stream, m_Now);
      }
    };
    PlaceMany(1, 20000);
    // All eight slots of the fast targets and one of the slow target.
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), m_Sent.size());
    for (std::uint64_t Id = 1; Id <= 12; ++Id)
      m_Dispatcher.withdraw(core::RequestId(Id));
    PlaceMany(21, 100);
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), m_Sent.size());
  }

  void testHigherTierLeavesTheQueueFirst() {
    announce("a", 1);
    place(1);
    place(2, 3);
    place(3, 2);
    place(4, 1);
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(4));
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(3));
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
    CPPUNIT_ASSERT(m_Dispatcher.withdraw(core::RequestId(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Dispatcher.waiting());
  }

  void testShortRequestIsSentAtDeadlineWithoutSlot() {
    announce("a", 1);
    place(1);
    place(2);
    m_Now += milliseconds(349);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(2));
    m_Now += milliseconds(1);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(2));
  }

  void testStreamIsRefusedBeforeItsDeadline() {
    announce("a", 1);
    place(1);
    PlacementRequest Stream = request(2);
    Stream.m_IsInference = true;
    Stream.m_FirstByteDue = Stream.m_EndsAt; // No first-byte objective.
    m_Dispatcher.place(Stream, m_Now);
    m_Now += milliseconds(849);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.empty());
    m_Now += milliseconds(1);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(2)) == 1);
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(2));
  }

  void testStreamIsGivenUpWhenItWouldBeginTooLate() {
    announce("a", 1);
    for (int I = 0; I < 30; ++I)
      m_Targets.recordFirstEventTime(m_Pool, milliseconds(400));
    place(1);
    PlacementRequest Stream = request(2);
    Stream.m_IsInference = true;
    Stream.m_FirstByteDue = Stream.m_EndsAt;
    m_Dispatcher.place(Stream, m_Now);
    m_Now += milliseconds(580);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.empty());
    // Streams begin 0.4 s after dispatch, and the caller gives up after 1 s.
    m_Now += milliseconds(30);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(2)) == 1);
  }

  void testStreamIsRefusedOnceItCanNotBeginInTime() {
    announce("a", 1);
    for (int I = 0; I < 30; ++I)
      m_Targets.recordFirstEventTime(m_Pool, milliseconds(200));
    place(1);
    PlacementRequest Stream = request(2);
    Stream.m_IsInference = true;
    Stream.m_FirstByteDue = m_Now + milliseconds(500);
    m_Dispatcher.place(Stream, m_Now);
    m_Now += milliseconds(280);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.empty());
    m_Now += milliseconds(30);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(2)) == 1);
    // With a free slot it is sent however late it is.
    m_Targets.recordEnd(core::TargetName("a"), 0);
    Stream.m_Request = core::RequestId(3);
    m_Dispatcher.place(Stream, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
  }

  void testLateRequestsGoBehindThoseInTime() {
    announce("a", 1);
    place(1);
    place(2);
    m_Now += milliseconds(150);
    place(3);
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(2));
  }

  void testLowestTierLeavesSlotsFree() {
    announce("a", 3);
    announce("b", 3);
    place(1, 1);
    for (std::uint64_t Id = 2; Id <= 6; ++Id)
      place(Id, 3);
    // One of six slots stays reserved for the higher tier.
    CPPUNIT_ASSERT(!sentTo(5).empty());
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(6));
    place(7, 1);
    CPPUNIT_ASSERT(!sentTo(7).empty());
    // A tier without requests of other tiers may use every slot.
    m_Targets.recordEnd(core::TargetName(sentTo(7)), 0);
    m_Now += std::chrono::seconds(11);
    place(8, 3);
    CPPUNIT_ASSERT(!sentTo(8).empty());
  }

  void testReservedSlotIsUsedBeforeDeadline() {
    announce("a", 3);
    PlacementRequest High = request(1, 1);
    High.m_IsInference = true;
    m_Dispatcher.place(High, m_Now);
    for (std::uint64_t Id = 2; Id <= 3; ++Id) {
      PlacementRequest Low = request(Id, 3);
      Low.m_IsInference = true;
      Low.m_FirstByteDue = Low.m_EndsAt;
      m_Dispatcher.place(Low, m_Now);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(2));
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(3));
    m_Now += milliseconds(850);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
  }

  void testAccountTierPrecedesRouteTier() {
    announce("a", 1);
    place(1);
    PlacementRequest Low = request(2, 1);
    Low.m_Priority.m_Account = core::TierNumber(2);
    m_Dispatcher.place(Low, m_Now);
    place(3, 3);
    m_Targets.recordEnd(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(3));
  }

  void testLongResponsesGoToFastTargets() {
    announce("quick", 10);
    announce("slow", 10);
    for (int I = 0; I < 50; ++I) {
      m_Targets.recordServiceTime(core::TargetName("quick"), milliseconds(10));
      m_Targets.recordServiceTime(core::TargetName("slow"), milliseconds(40));
    }
    for (std::uint64_t Id = 1; Id <= 6; ++Id) {
      PlacementRequest Long = request(Id);
      // Takes 0.5 s at the fast target and 2 s at the slow one; 1 s is left.
      Long.m_ExpectedEvents = 50;
      m_Dispatcher.place(Long, m_Now);
      CPPUNIT_ASSERT_EQUAL(std::string("quick"), sentTo(Id));
    }
  }

  void testLeavingAndTriedTargetsGetNothing() {
    announce("a");
    Target Leaving = target("b");
    Leaving.m_IsLeaving = true;
    m_Targets.announce(Leaving);
    PlacementRequest Again = request(1);
    Again.m_TriedTargets.insert(core::TargetName("a"));
    m_Dispatcher.place(Again, m_Now);
    CPPUNIT_ASSERT(m_Sent.empty());
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(1)) == 1);
  }

  void testTargetInCooldownIsUsedOnlyAlone() {
    announce("a");
    announce("b");
    fail("a");
    place(1);
    place(2);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(1));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(2));
    fail("b");
    m_Targets.recordEnd(core::TargetName("b"), 0);
    place(3);
    CPPUNIT_ASSERT(!sentTo(3).empty());
  }

  void testWaitsForHealthyTargetDuringCooldown() {
    announce("a");
    announce("b");
    fail("a");
    for (std::uint64_t Id = 1; Id <= 4; ++Id)
      place(Id);
    // The target in cooldown has free slots because it is down.
    CPPUNIT_ASSERT_EQUAL(std::string(), sentTo(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Dispatcher.waiting());
    m_Targets.recordEnd(core::TargetName("b"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(3));
  }

  void testTargetOnProbationGetsOneRequest() {
    announce("a", 3);
    announce("b", 1);
    fail("a");
    fail("a");
    m_Now += std::chrono::seconds(3);
    for (std::uint64_t Id = 1; Id <= 4; ++Id)
      place(Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Sent.size());
    // Its first event ends the probation.
    m_Targets.recordFirstEvent(core::TargetName("a"), 0);
    m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_Sent.size());
  }

  void testOneErrorStartsNoCooldown() {
    announce("a");
    announce("b", 1);
    m_Targets.recordFailure(core::TargetName("a"), TargetFailure::Failed,
                            m_Now);
    for (std::uint64_t Id = 1; Id <= 3; ++Id)
      place(Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), m_Sent.size());
  }

  void testReplacedTargetGetsNothing() {
    announce("a");
    m_Targets.recordReplacement(core::TargetName("a"));
    // Its announcement may be repeated before it expires.
    announce("a");
    place(1);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(1)) == 1);
  }

  /// A retry may go to a target that has restarted under the same name, because
  /// only its earlier incarnation was tried.
  void testRestartedTargetMayBeTriedAgain() {
    Target Again = target("a");
    Again.m_StartTime = core::TargetStartTime(1);
    m_Targets.announce(Again);
    PlacementRequest Wanted = request(1);
    Wanted.m_TriedTargets.insert(Again.incarnation());
    Again.m_StartTime = core::TargetStartTime(2);
    m_Targets.announce(Again);
    m_Dispatcher.place(Wanted, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), sentTo(1));
  }

  void testExpiredTargetsServeUntilRemoved() {
    announce("a");
    announce("b");
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    place(1);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(1));
    // A single missing target is removed soon.
    m_Now += milliseconds(1300);
    m_Targets.removeExpired(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Targets.all().size());
    // If most targets are missing, the store may be down and they may return.
    m_Targets.withdraw(core::TargetName("b"), m_Now);
    m_Now += milliseconds(2000);
    m_Targets.removeExpired(m_Now);
    place(2);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), sentTo(2));
    m_Now += milliseconds(500);
    m_Targets.removeExpired(m_Now);
    CPPUNIT_ASSERT(m_Targets.all().empty());
    place(3);
    CPPUNIT_ASSERT(m_Refused.count(core::RequestId(3)) == 1);
  }

  void testReannouncedTargetKeepsItsState() {
    announce("a");
    place(1);
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    announce("a");
    m_Now += std::chrono::seconds(10);
    m_Targets.removeExpired(m_Now);
    const KnownTarget *Known = m_Targets.find(core::TargetName("a"));
    CPPUNIT_ASSERT(Known && !Known->m_ExpiredAt);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Known->m_LocalLoad.m_Running);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);
