//===-- PoolPathsTest.cpp - When a path counts as lost --------------------===//
//
// Guards against an instance that takes dead or silent targets for a lost path,
// or doesn't notice a lost one.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/PoolPaths.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class PoolPathsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PoolPathsTest);
  CPPUNIT_TEST(testTwoDeadTargetsAreNoLostPath);
  CPPUNIT_TEST(testPathIsLostWhenNothingIsHeard);
  CPPUNIT_TEST(testOpenConnectionsStillDeliver);
  CPPUNIT_TEST(testOneConnectionOpensThePath);
  CPPUNIT_TEST(testSuccessBetweenFailuresKeepsThePathOpen);
  CPPUNIT_TEST(testOldFailuresDoNotAddUp);
  CPPUNIT_TEST(testSmallPoolNeedsAllItsTargets);
  CPPUNIT_TEST(testPoolsAreJudgedApart);
  CPPUNIT_TEST_SUITE_END();

  std::vector<std::pair<core::PoolName, PathState>> m_Changes;
  PoolPaths m_Paths{[this](const core::PoolName &Pool, PathState State) {
    m_Changes.emplace_back(Pool, State);
  }};
  core::TimePoint m_Start = core::TimePoint() + std::chrono::hours(1);
  core::PoolName m_Pool{"pool"};

  core::TimePoint at(int Ms) const { return m_Start + milliseconds(Ms); }
  void fail(const std::string &Name, int Ms, std::size_t PoolTargets = 9) {
    Target Failed;
    Failed.m_Name = core::TargetName(Name);
    Failed.m_Pool = m_Pool;
    m_Paths.recordConnectFailure(Failed, PoolTargets, at(Ms), at(Ms));
  }

public:
  void testTwoDeadTargetsAreNoLostPath() {
    for (int Ms = 0; Ms < 2000; Ms += 100) {
      fail("a", Ms);
      fail("b", Ms);
    }
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
  }
  void testPathIsLostWhenNothingIsHeard() {
    m_Paths.recordHeard(m_Pool, at(-1));
    fail("a", 0);
    fail("b", 10);
    fail("c", 20);
    CPPUNIT_ASSERT(m_Paths.stateOf(m_Pool) == PathState::Lost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Changes.size());
  }
  void testOpenConnectionsStillDeliver() {
    for (const char *Name : {"a", "b", "c"})
      fail(Name, 0);
    m_Paths.recordHeard(m_Pool, at(10));
    CPPUNIT_ASSERT(m_Paths.stateOf(m_Pool) == PathState::NoNewConnections);
    // Nothing is heard any more while failures go on.
    for (const char *Name : {"a", "b", "c"})
      fail(Name, 2000);
    m_Paths.removeExpired(at(3100));
    CPPUNIT_ASSERT(m_Paths.stateOf(m_Pool) == PathState::Lost);
  }
  void testOneConnectionOpensThePath() {
    for (const char *Name : {"a", "b", "c", "d"})
      fail(Name, 0);
    m_Paths.recordConnected(m_Pool, at(10));
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
    CPPUNIT_ASSERT(m_Changes.back().second == PathState::Open);
    // Begun before the path was open again.
    for (const char *Name : {"a", "b", "c", "d"})
      fail(Name, 5);
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
  }
  void testSuccessBetweenFailuresKeepsThePathOpen() {
    fail("a", 0);
    fail("b", 10);
    m_Paths.recordConnected(m_Pool, at(15));
    fail("c", 20);
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
  }
  void testOldFailuresDoNotAddUp() {
    fail("a", 0);
    fail("b", 2000);
    fail("c", 4000);
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
  }
  void testSmallPoolNeedsAllItsTargets() {
    fail("a", 0, 2);
    CPPUNIT_ASSERT(m_Paths.areAllOpen());
    fail("b", 10, 2);
    CPPUNIT_ASSERT(m_Paths.stateOf(m_Pool) == PathState::Lost);
  }
  void testPoolsAreJudgedApart() {
    for (const char *Name : {"a", "b", "c"})
      fail(Name, 0);
    CPPUNIT_ASSERT(m_Paths.stateOf(core::PoolName("other")) == PathState::Open);
    CPPUNIT_ASSERT(m_Paths.impairedPools() == std::vector{m_Pool});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PoolPathsTest);
