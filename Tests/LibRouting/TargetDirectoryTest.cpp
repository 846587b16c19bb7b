//===-- TargetDirectoryTest.cpp - Expiry and restarts of targets ----------===//
#include "LibRouting/TargetDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class TargetDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetDirectoryTest);
  CPPUNIT_TEST(testExpiredTargetsOfSmallPoolAreRemovedSoon);
  CPPUNIT_TEST(testRestartedTargetStartsFresh);
  CPPUNIT_TEST(testRequestsOfEndedIncarnationAreIgnored);
  CPPUNIT_TEST(testRejectionsOfBrittleTargetStayWithinItsLimit);
  CPPUNIT_TEST(testRejectionsOfOtherTargetsHaveNoLimit);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  TargetDirectory m_Targets;

  bool announce(const char *Name, const char *Pool,
                std::int64_t StartTime = 0) {
    Target Announced;
    Announced.m_Name = core::TargetName(Name);
    Announced.m_StartTime = core::TargetStartTime(StartTime);
    Announced.m_Pool = core::PoolName(Pool);
    return m_Targets.announce(Announced) == AnnouncementEffect::NewIncarnation;
  }
  static TargetIncarnation incarnation(const char *Name,
                                       std::int64_t StartTime) {
    return {core::TargetName(Name), core::TargetStartTime(StartTime)};
  }

public:
  /// Guards against taking the exit of most targets of one pool for an outage
  /// of the store, which would keep them in use for longer than the allowed 2
  /// s.
  void testExpiredTargetsOfSmallPoolAreRemovedSoon() {
    for (const char *Name : {"a", "b", "c"})
      announce(Name, "small");
    for (const char *Name : {"d", "e", "f", "g"})
      announce(Name, "other");
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    m_Now += milliseconds(900);
    m_Targets.withdraw(core::TargetName("b"), m_Now);
    m_Now += milliseconds(300);
    m_Targets.removeExpired(m_Now);
    CPPUNIT_ASSERT(!m_Targets.find(core::TargetName("a")));
    CPPUNIT_ASSERT(m_Targets.find(core::TargetName("b")));
    m_Now += milliseconds(900);
    m_Targets.removeExpired(m_Now);
    CPPUNIT_ASSERT(!m_Targets.find(core::TargetName("b")));
    // Most targets of all pools are missing, which indicates an outage.
    for (const char *Name : {"c", "d", "e"})
      m_Targets.withdraw(core::TargetName(Name), m_Now);
    m_Now += milliseconds(2000);
    m_Targets.removeExpired(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_Targets.all().size());
  }

  /// Guards against instances that together cause more rejections than a target
  /// bears; each asks as often as it may.
  void testRejectionsOfBrittleTargetStayWithinItsLimit() {
    static constexpr std::size_t Instances = 7;
    static constexpr double Limit = 3;
    FleetSubset::Fleet Fleet;
    for (std::size_t I = 0; I < Instances; ++I)
      Fleet[{"10.0.0." + std::to_string(I + 1), 7600}] =
          core::DataHallName("hall");
    m_Targets.setSubset(FleetSubset({"10.0.0.1", 7600}, Fleet, Instances));
    announce("a", "pool");
    m_Targets.setMaxRejections(incarnation("a", 0), Limit);
    const KnownTarget *Known = m_Targets.find(core::TargetName("a"));
    int Rejections = 0;
    for (int Ms = 0; Ms < 60000; Ms += 10) {
      m_Now += milliseconds(10);
      if (!m_Targets.acceptsRequests(*Known, m_Now))
        continue;
      ++Rejections;
      m_Targets.recordFailure(incarnation("a", 0), TargetFailure::Refused,
                              m_Now);
    }
    CPPUNIT_ASSERT(Rejections > 0);
    CPPUNIT_ASSERT(Rejections * Instances <= 60 * Limit + Instances);
  }

  void testRejectionsOfOtherTargetsHaveNoLimit() {
    announce("a", "pool");
    m_Targets.recordFailure(incarnation("a", 0), TargetFailure::Refused, m_Now);
    CPPUNIT_ASSERT(m_Targets.acceptsRequests(
        *m_Targets.find(core::TargetName("a")), m_Now));
  }

  /// Guards against keeping load, cooldown, slowness or replacement of an
  /// earlier incarnation when a target restarts under the same name.
  void testRestartedTargetStartsFresh() {
    CPPUNIT_ASSERT(announce("a", "pool", 5000));
    announce("b", "pool", 5000);
    for (int I = 0; I < 3; ++I) {
      m_Targets.tryStartRequest(incarnation("a", 5000), 1000, m_Now);
      m_Targets.recordFailure(incarnation("a", 5000),
                              TargetFailure::Unreachable, m_Now);
      m_Targets.recordServiceTime(incarnation("a", 5000), milliseconds(90));
      m_Targets.recordServiceTime(incarnation("b", 5000), milliseconds(10));
    }
    m_Targets.recordReplacement(incarnation("a", 5000));
    std::uint32_t Before = m_Targets.find(core::TargetName("a"))->m_Hash;
    m_Targets.setRemoteLoad({{Before, {4, 4000}}});
    // Another announcement of the same incarnation keeps its state.
    CPPUNIT_ASSERT(!announce("a", "pool", 5000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7),
                         m_Targets.find(core::TargetName("a"))->running());
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    // The target's clock was set back in between.
    CPPUNIT_ASSERT(announce("a", "pool", 4000));
    const KnownTarget &Known = *m_Targets.find(core::TargetName("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Known.running());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0),
                         Known.m_LocalLoad.m_PendingPromptTokens);
    CPPUNIT_ASSERT(Known.acceptsRequests() && !Known.isOnProbation() &&
                   !Known.m_ExpiredAt);
    CPPUNIT_ASSERT(Known.m_CooldownUntil <= m_Now && Known.m_FailureRate == 0);
    CPPUNIT_ASSERT(Known.m_Slowness == 1 && Known.m_ServiceTimeMs == 0);
    // Remote load of the earlier incarnation does not count.
    CPPUNIT_ASSERT(Known.m_Hash != Before);
    m_Targets.setRemoteLoad({{Before, {4, 4000}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Known.running());
    CPPUNIT_ASSERT(!m_Targets.findByIncarnation(incarnation("a", 5000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         m_Targets.subsetOf(core::PoolName("pool")).size());
  }

  void testRequestsOfEndedIncarnationAreIgnored() {
    announce("a", "pool", 1);
    m_Targets.tryStartRequest(incarnation("a", 1), 1000, m_Now);
    m_Targets.tryStartRequest(incarnation("a", 1), 1000, m_Now);
    announce("a", "pool", 2);
    m_Targets.tryStartRequest(incarnation("a", 2), 700, m_Now);
    m_Targets.recordFirstEvent(incarnation("a", 1), 1000);
    m_Targets.recordEnd(incarnation("a", 1), 1000);
    m_Targets.recordEnd(incarnation("a", 1), 1000);
    m_Targets.recordFailure(incarnation("a", 1), TargetFailure::Unreachable,
                            m_Now);
    m_Targets.recordReplacement(incarnation("a", 1));
    const KnownTarget &Known = *m_Targets.find(core::TargetName("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Known.running());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(700),
                         Known.m_LocalLoad.m_PendingPromptTokens);
    CPPUNIT_ASSERT(Known.acceptsRequests() && Known.m_CooldownUntil <= m_Now);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetDirectoryTest);
