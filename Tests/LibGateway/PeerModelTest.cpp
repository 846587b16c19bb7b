//===-- PeerModelTest.cpp - Control messages of whole fleets --------------===//
//
// Guards against control traffic that grows with the fleet, and against changes
// of the store that reach some instances late, also while followers of the
// store and a third of all instances are lost.
//
//===----------------------------------------------------------------------===//
#include "PeerSimulation.h"

#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::tests;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerModelTest);
  CPPUNIT_TEST(testTrafficAtRest);
  CPPUNIT_TEST(testChangesReachAllInstances);
  CPPUNIT_TEST(testChangesReachAllDespiteLosses);
  CPPUNIT_TEST(testLostFollowersAreReplaced);
  CPPUNIT_TEST(testThirdOfTheFleetIsLost);
  CPPUNIT_TEST_SUITE_END();

  static PeerScenario fleet(std::size_t Instances) {
    PeerScenario Out;
    Out.m_Instances = Instances;
    Out.m_Targets = 3 * Instances;
    return Out;
  }
  static void assertKnownWithin(core::Duration Max, const PeerResult &Result) {
    CPPUNIT_ASSERT_MESSAGE(std::to_string(core::toSeconds(Result.m_LastDelay)) +
                               " s",
                           Result.m_LastDelay <= Max);
  }

public:
  /// The aim: 4 KB/s for an instance of 985, growing to a power under 0.3, and
  /// at most 5 times that at the busiest one.
  void testTrafficAtRest() {
    PeerResult Small = simulatePeers(fleet(100));
    PeerResult Large = simulatePeers(fleet(300));
    double Middle = Large.m_Middle.m_BytesPerSecond;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Middle), Middle <= 4096);
    double Power =
        std::log(Middle / Small.m_Middle.m_BytesPerSecond) / std::log(3);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Power), Power < 0.3);
    double Busiest = Large.m_Busiest.m_BytesPerSecond;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Busiest), Busiest <= 5 * Middle);
    CPPUNIT_ASSERT(Large.m_IsWriterListRight);
  }

  /// The aim: one second to the last instance.
  void testChangesReachAllInstances() {
    PeerScenario Scenario = fleet(300);
    Scenario.m_ChangesPerSecond = 5;
    Scenario.m_LossShare = 0;
    PeerResult Result = simulatePeers(Scenario);
    assertKnownWithin(seconds(1), Result);
  }

  /// Lost datagrams are noticed by the next heartbeat, and then fetched.
  void testChangesReachAllDespiteLosses() {
    PeerScenario Scenario = fleet(300);
    Scenario.m_ChangesPerSecond = 2;
    Scenario.m_LossShare = 0.02;
    PeerResult Result = simulatePeers(Scenario);
    assertKnownWithin(seconds(3), Result);
  }

  /// A change must be in force within 5 s.
  void testLostFollowersAreReplaced() {
    PeerScenario Scenario = fleet(100);
    Scenario.m_ChangesPerSecond = 2;
    Scenario.m_Length = seconds(20);
    Scenario.m_KillAt = seconds(3);
    Scenario.m_AreFollowersKilled = true;
    PeerResult Result = simulatePeers(Scenario);
    assertKnownWithin(seconds(5), Result);
    CPPUNIT_ASSERT(Result.m_MaxFollowers <= 48);
  }

  void testThirdOfTheFleetIsLost() {
    PeerScenario Scenario = fleet(300);
    Scenario.m_ChangesPerSecond = 2;
    Scenario.m_Length = seconds(20);
    Scenario.m_KillAt = seconds(3);
    Scenario.m_KilledShare = 0.35;
    for (Scenario.m_Seed = 1; Scenario.m_Seed <= 4; ++Scenario.m_Seed) {
      PeerResult Result = simulatePeers(Scenario);
      assertKnownWithin(seconds(5), Result);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Scenario.m_Seed),
                             Result.m_IsWriterListRight);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerModelTest);
