//===-- SharedRateLimitTest.cpp - Throttles of one instance and senders ---===//
#include "LibRouting/TargetThrottleTable.h"

#include "LibRouting/FleetSubset.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class SharedRateLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedRateLimitTest);
  CPPUNIT_TEST(testSenderKeepsItsRate);
  CPPUNIT_TEST(testIdleTimeEarnsLimitedCredit);
  CPPUNIT_TEST(testNewSenderWaitsOneInterval);
  CPPUNIT_TEST(testIntervalFollowsTheLimit);
  CPPUNIT_TEST(testNewestUpdateWins);
  CPPUNIT_TEST(testReorderedResponseDoesNotClearLimit);
  CPPUNIT_TEST(testZeroLimitIsStillProbed);
  CPPUNIT_TEST(testUnreadableLimitChangesNothing);
  CPPUNIT_TEST(testNoStateWithoutBackpressure);
  CPPUNIT_TEST(testIncarnationsHaveSeparateThrottles);
  CPPUNIT_TEST(testLimitIsReportedUntilCleared);
  CPPUNIT_TEST(testUnreportedLimitExpires);
  CPPUNIT_TEST(testClearedStateExpiresUnderTraffic);
  CPPUNIT_TEST(testBackoffIsLocal);
  CPPUNIT_TEST(testLongerBackoffIsNotShortened);
  CPPUNIT_TEST(testLeavingIsPermanent);
  CPPUNIT_TEST(testInstancesAgreeOnSenders);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  std::size_t m_Senders = 1;
  TargetThrottleTable m_Throttles{
      [this](const TargetIncarnation &) { return m_Senders; }};
  TargetIncarnation m_Incarnation{core::TargetName("a"),
                                  core::TargetStartTime(7)};

  static TargetBackpressure limited(double PerSecond) {
    TargetBackpressure Out;
    Out.m_RequestsPerSecond = PerSecond;
    return Out;
  }
  /// Returns the number of requests sent in \p Time under constant demand.
  int sentIn(core::Duration Time) {
    int Out = 0;
    core::TimePoint End = m_Now + Time;
    for (; m_Now < End; m_Now += milliseconds(10))
      if (m_Throttles.acceptsRequests(m_Incarnation, m_Now)) {
        m_Throttles.recordSent(m_Incarnation, m_Now);
        ++Out;
      }
    return Out;
  }

public:
  void testSenderKeepsItsRate() {
    m_Throttles.update(m_Incarnation, limited(2), m_Now);
    int Sent = sentIn(seconds(20));
    CPPUNIT_ASSERT(Sent >= 38 && Sent <= 41);
    m_Senders = 3;
    m_Throttles.invalidateSenders();
    Sent = sentIn(seconds(30));
    CPPUNIT_ASSERT(Sent >= 18 && Sent <= 22);
    m_Senders = 0;
    m_Throttles.invalidateSenders();
    CPPUNIT_ASSERT_EQUAL(0, sentIn(seconds(30)));
  }

  void testIdleTimeEarnsLimitedCredit() {
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    m_Now += seconds(60);
    // One immediately, and the next one early by the tolerance.
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(600)));
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(900)));
  }

  void testNewSenderWaitsOneInterval() {
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(990)));
    m_Now += seconds(10);
    m_Senders = 0;
    m_Throttles.invalidateSenders();
    CPPUNIT_ASSERT(!m_Throttles.acceptsRequests(m_Incarnation, m_Now));
    m_Senders = 1;
    m_Throttles.invalidateSenders();
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(990)));
  }

  void testIntervalFollowsTheLimit() {
    m_Throttles.update(m_Incarnation, limited(0.5), m_Now);
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(2010)));
    m_Throttles.update(m_Incarnation, limited(10), m_Now);
    int Sent = sentIn(seconds(1));
    CPPUNIT_ASSERT(Sent >= 9 && Sent <= 11);
    m_Throttles.update(m_Incarnation, limited(0.5), m_Now);
    CPPUNIT_ASSERT(sentIn(seconds(2)) <= 1);
  }

  void testNewestUpdateWins() {
    m_Throttles.update({m_Incarnation, {3.0, m_Now - milliseconds(500)}},
                       m_Now);
    CPPUNIT_ASSERT(m_Throttles.update({m_Incarnation, {2.0, m_Now}}, m_Now));
    // Reported later, but from an earlier response.
    CPPUNIT_ASSERT(!m_Throttles.update(
        {m_Incarnation, {5.0, m_Now - milliseconds(10)}}, m_Now));
    CPPUNIT_ASSERT_EQUAL(
        2.0, *m_Throttles.reportOf(m_Incarnation).m_Limit.m_PerSecond);
    m_Now += seconds(3);
    CPPUNIT_ASSERT(m_Throttles.update(m_Incarnation, {}, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Throttles.limited());
    // A delayed report does not restore a cleared limit.
    CPPUNIT_ASSERT(
        !m_Throttles.update({m_Incarnation, {2.0, m_Now - seconds(1)}}, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Throttles.limited());
  }

  void testReorderedResponseDoesNotClearLimit() {
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    // The response was made before the limit was stated.
    CPPUNIT_ASSERT(
        !m_Throttles.update(m_Incarnation, {}, m_Now + milliseconds(200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.limited());
    CPPUNIT_ASSERT(m_Throttles.update(m_Incarnation, {}, m_Now + seconds(2)));
  }

  void testZeroLimitIsStillProbed() {
    m_Throttles.update(m_Incarnation, limited(0), m_Now);
    int Sent = sentIn(seconds(40));
    CPPUNIT_ASSERT(Sent >= 9 && Sent <= 10);
  }

  void testUnreadableLimitChangesNothing() {
    TargetBackpressure Unreadable;
    Unreadable.m_IsLimitUnreadable = true;
    CPPUNIT_ASSERT(!m_Throttles.update(m_Incarnation, Unreadable, m_Now));
    CPPUNIT_ASSERT(m_Throttles.acceptsRequests(m_Incarnation, m_Now));
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    CPPUNIT_ASSERT(
        !m_Throttles.update(m_Incarnation, Unreadable, m_Now + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.limited());
    TargetBackpressure Refusal;
    Refusal.m_IsLimitUnspecified = true;
    CPPUNIT_ASSERT(
        !m_Throttles.update(m_Incarnation, Refusal, m_Now + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.limited());
  }

  void testNoStateWithoutBackpressure() {
    for (int I = 0; I < 1000; ++I) {
      CPPUNIT_ASSERT(!m_Throttles.update(m_Incarnation, {}, m_Now));
      CPPUNIT_ASSERT(m_Throttles.acceptsRequests(m_Incarnation, m_Now));
      m_Throttles.recordSent(m_Incarnation, m_Now);
    }
    CPPUNIT_ASSERT(m_Throttles.isEmpty());
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now).empty());
  }

  void testIncarnationsHaveSeparateThrottles() {
    m_Senders = 0;
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    CPPUNIT_ASSERT(!m_Throttles.acceptsRequests(m_Incarnation, m_Now));
    CPPUNIT_ASSERT(m_Throttles.acceptsRequests(
        {m_Incarnation.m_Name, core::TargetStartTime(8)}, m_Now));
  }

  void testLimitIsReportedUntilCleared() {
    CPPUNIT_ASSERT(m_Throttles.update(m_Incarnation, limited(1), m_Now));
    m_Now += seconds(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.dueReports(m_Now).size());
    // An instance that is not a sender does not report the limit.
    m_Senders = 0;
    m_Throttles.invalidateSenders();
    m_Throttles.acceptsRequests(m_Incarnation, m_Now);
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now).empty());
    m_Senders = 1;
    m_Throttles.invalidateSenders();
    CPPUNIT_ASSERT(m_Throttles.update(m_Incarnation, {}, m_Now));
    CPPUNIT_ASSERT(!m_Throttles.dueReports(m_Now).at(0).m_Limit.m_PerSecond);
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now + seconds(10)).empty());
  }

  void testUnreportedLimitExpires() {
    m_Senders = 0;
    m_Throttles.update({m_Incarnation, {1.0, m_Now}}, m_Now);
    m_Throttles.removeStale(m_Now + seconds(29));
    CPPUNIT_ASSERT(!m_Throttles.acceptsRequests(m_Incarnation, m_Now));
    m_Throttles.removeStale(m_Now + seconds(30));
    CPPUNIT_ASSERT(m_Throttles.acceptsRequests(m_Incarnation, m_Now));
    // A sender keeps the limit until a response clears it.
    m_Senders = 1;
    m_Throttles.update({m_Incarnation, {1.0, m_Now}}, m_Now);
    m_Throttles.removeStale(m_Now + seconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.limited());
  }

  void testClearedStateExpiresUnderTraffic() {
    m_Throttles.update(m_Incarnation, limited(1), m_Now);
    m_Now += seconds(5);
    m_Throttles.update(m_Incarnation, {}, m_Now);
    for (int I = 0; I < 30; ++I) {
      CPPUNIT_ASSERT(!m_Throttles.isEmpty());
      m_Now += seconds(1);
      m_Throttles.update(m_Incarnation, {}, m_Now);
      m_Throttles.removeStale(m_Now);
    }
    CPPUNIT_ASSERT(m_Throttles.isEmpty());
    // An entry is also removed after its back-off.
    TargetBackpressure BackingOff;
    BackingOff.m_Backoff = seconds(3);
    m_Throttles.update(m_Incarnation, BackingOff, m_Now);
    m_Throttles.removeStale(m_Now);
    CPPUNIT_ASSERT(!m_Throttles.isEmpty());
    m_Throttles.removeStale(m_Now + seconds(3));
    CPPUNIT_ASSERT(m_Throttles.isEmpty());
  }

  void testBackoffIsLocal() {
    TargetBackpressure BackingOff;
    BackingOff.m_Backoff = seconds(3);
    CPPUNIT_ASSERT(!m_Throttles.update(m_Incarnation, BackingOff, m_Now));
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now).empty());
    CPPUNIT_ASSERT(!m_Throttles.acceptsRequests(m_Incarnation,
                                                m_Now + milliseconds(2999)));
    CPPUNIT_ASSERT(
        m_Throttles.acceptsRequests(m_Incarnation, m_Now + seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Throttles.backedOff(m_Now));
    CPPUNIT_ASSERT(m_Throttles.availability(m_Incarnation, m_Now)->m_At ==
                   m_Now + seconds(3));
    // A new incarnation has no back-off.
    CPPUNIT_ASSERT(m_Throttles.acceptsRequests(
        {m_Incarnation.m_Name, core::TargetStartTime(8)}, m_Now));
  }

  void testLongerBackoffIsNotShortened() {
    TargetBackpressure BackingOff;
    BackingOff.m_Backoff = std::chrono::hours(1);
    m_Throttles.update(m_Incarnation, BackingOff, m_Now);
    BackingOff.m_Backoff = milliseconds(10);
    m_Throttles.update(m_Incarnation, BackingOff, m_Now);
    m_Throttles.update(m_Incarnation, {}, m_Now + seconds(1));
    m_Throttles.removeStale(m_Now + seconds(3599));
    CPPUNIT_ASSERT(
        !m_Throttles.acceptsRequests(m_Incarnation, m_Now + seconds(3599)));
    CPPUNIT_ASSERT(
        m_Throttles.acceptsRequests(m_Incarnation, m_Now + seconds(3600)));
  }

  void testLeavingIsPermanent() {
    TargetBackpressure Leaving;
    Leaving.m_IsLeaving = true;
    CPPUNIT_ASSERT(m_Throttles.update(m_Incarnation, Leaving, m_Now));
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now).at(0).m_IsLeaving);
    CPPUNIT_ASSERT(!m_Throttles.update(m_Incarnation, Leaving, m_Now));
    CPPUNIT_ASSERT(!m_Throttles.update(m_Incarnation, {}, m_Now + seconds(2)));
    m_Throttles.removeStale(m_Now + seconds(100));
    CPPUNIT_ASSERT(
        !m_Throttles.acceptsRequests(m_Incarnation, m_Now + seconds(100)));
    CPPUNIT_ASSERT(!m_Throttles.availability(m_Incarnation, m_Now));
    CPPUNIT_ASSERT(m_Throttles.isLeaving(m_Incarnation));
    // Changes that another instance reported are not passed on.
    TargetIncarnation Other{core::TargetName("b")};
    CPPUNIT_ASSERT(m_Throttles.update({Other, {}, true}, m_Now));
    CPPUNIT_ASSERT(!m_Throttles.acceptsRequests(Other, m_Now));
    CPPUNIT_ASSERT(m_Throttles.dueReports(m_Now).size() == 1);
  }

  void testInstancesAgreeOnSenders() {
    for (std::size_t Count : {6U, 7U, 78U, 440U})
      for (std::size_t Targets : {3U, 9U, 168U, 3000U}) {
        FleetSubset::Fleet Fleet;
        for (std::size_t I = 0; I < Count; ++I)
          Fleet[{"10.1." + std::to_string(I / 200) + "." +
                     std::to_string(I % 200 + 1),
                 7600}] = core::DataHallName("h" + std::to_string(I % 3));
        std::size_t Members = FleetSubset::groupSizeFor(Count, Targets);
        std::size_t Senders = 0;
        const std::size_t Rank = Targets / 2;
        for (const auto &[Address, Hall] : Fleet) {
          FleetSubset Subset(Address, Fleet, Members);
          if (!Subset.isInSubset(Rank, Targets))
            continue;
          auto Instances = Subset.subsetInstances(Targets);
          CPPUNIT_ASSERT(
              std::count(Instances.begin(), Instances.end(), Address) == 1);
          Senders += Subset.rendezvousRank(m_Incarnation.hash(), Targets) <
                             SharedRateLimit::MaxSenders
                         ? 1
                         : 0;
        }
        CPPUNIT_ASSERT_EQUAL(SharedRateLimit::MaxSenders, Senders);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedRateLimitTest);
