//===-- VersionHistoryTest.cpp - What proves that one version served ------===//
//
// Guards against a version or a route's earlier pool that is forgotten while
// callers may still resume streams of it.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/RouteHistory.h"
#include "LibRouting/TargetDirectory.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::seconds;

class VersionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(VersionHistoryTest);
  CPPUNIT_TEST(testGoneVersionCountsForTheRetentionTime);
  CPPUNIT_TEST(testVersionChangedInPlaceCounts);
  CPPUNIT_TEST(testWithdrawnTargetCounts);
  CPPUNIT_TEST(testMovedRouteIsRemembered);
  CPPUNIT_TEST(testRouteThatGetsRequestsOfAnotherIsRemembered);
  CPPUNIT_TEST(testNewRouteHasNoPast);
  CPPUNIT_TEST_SUITE_END();

  static constexpr seconds Retention{45};
  core::TimePoint m_Now{std::chrono::hours(1)};
  core::PoolName m_Pool{"p"};
  TargetDirectory m_Targets;

  Target target(const char *Name, const char *Version) const {
    Target Out;
    Out.m_Name = core::TargetName(Name);
    Out.m_Pool = m_Pool;
    Out.m_Version = core::TargetVersion(Version);
    return Out;
  }
  bool hasOnly(const char *Version) const {
    return m_Targets.versions().onlyVersion(m_Pool) ==
           core::TargetVersion(Version);
  }
  void pass(core::Duration Time) {
    m_Now += Time;
    m_Targets.removeExpired(m_Now);
  }
  static Route route(const char *Prefix, const char *Pool) {
    Route Out;
    Out.m_Host = "h";
    Out.m_Prefix = Prefix;
    Out.m_Kind = RouteKind::Stream;
    Out.m_IsResumable = true;
    Out.m_Pools = {{core::PoolName(Pool), 1}};
    return Out;
  }
  static std::shared_ptr<const RoutingTable>
  table(const std::vector<Route> &Routes) {
    RoutingTable::Builder Builder;
    for (const Route &Each : Routes)
      Builder.route(Each);
    return Builder.build();
  }
  static bool hasLedTo(const RouteHistory &History, const RoutingTable &Table,
                       const char *Path, core::TimePoint Now) {
    const Route *Found = Table.findRoute("h", Path);
    return History.hasLedTo(Found->m_Hash, Found->m_Pools.front().m_Pool,
                            Retention, Now);
  }

public:
  void setUp() override {
    m_Targets.setVersionRetention(Retention);
    m_Targets.announce(target("a", "v1"));
    m_Targets.announce(target("b", "v1"));
  }

  void testGoneVersionCountsForTheRetentionTime() {
    CPPUNIT_ASSERT(hasOnly("v1"));
    m_Targets.announce(target("c", "v2"));
    CPPUNIT_ASSERT(!m_Targets.versions().onlyVersion(m_Pool));
    m_Targets.withdraw(core::TargetName("c"), m_Now);
    pass(seconds(3));
    pass(Retention - seconds(1));
    CPPUNIT_ASSERT(!m_Targets.versions().onlyVersion(m_Pool));
    pass(seconds(2));
    CPPUNIT_ASSERT(hasOnly("v1"));
  }
  void testVersionChangedInPlaceCounts() {
    m_Targets.announce(target("b", "v2"));
    CPPUNIT_ASSERT(!m_Targets.versions().onlyVersion(m_Pool));
    m_Targets.announce(target("a", "v2"));
    pass(seconds(1));
    CPPUNIT_ASSERT(!m_Targets.versions().onlyVersion(m_Pool));
    pass(Retention + seconds(1));
    CPPUNIT_ASSERT(hasOnly("v2"));
  }
  void testWithdrawnTargetCounts() {
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    m_Targets.withdraw(core::TargetName("b"), m_Now);
    pass(seconds(5));
    CPPUNIT_ASSERT(hasOnly("v1"));
  }

  void testMovedRouteIsRemembered() {
    RouteHistory History;
    History.update(*table({route("/a/", "p")}), m_Now);
    auto Moved = table({route("/a/", "q")});
    CPPUNIT_ASSERT(
        hasLedTo(History, *table({route("/a/", "p")}), "/a/x", m_Now));
    History.update(*Moved, m_Now);
    CPPUNIT_ASSERT(!hasLedTo(History, *Moved, "/a/x", m_Now + seconds(44)));
    CPPUNIT_ASSERT(hasLedTo(History, *Moved, "/a/x", m_Now + seconds(46)));
  }
  void testRouteThatGetsRequestsOfAnotherIsRemembered() {
    RouteHistory History;
    History.update(*table({route("/a/", "p"), route("/a/b/", "q")}), m_Now);
    auto Merged = table({route("/a/", "p")});
    History.update(*Merged, m_Now);
    CPPUNIT_ASSERT(!hasLedTo(History, *Merged, "/a/b/x", m_Now + seconds(44)));
  }
  void testNewRouteHasNoPast() {
    RouteHistory History;
    History.update(*table({route("/a/", "p")}), m_Now);
    auto Split = table({route("/a/", "p"), route("/a/b/", "p")});
    History.update(*Split, m_Now);
    CPPUNIT_ASSERT(!hasLedTo(History, *Split, "/a/b/x", m_Now + seconds(44)));
    CPPUNIT_ASSERT(hasLedTo(History, *Split, "/a/x", m_Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionHistoryTest);
