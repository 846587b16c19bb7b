//===-- StreamOriginModelTest.cpp - Resumed streams in simulated fleets ---===//
//
// Guards against streams that go on at another version, whatever the instance
// that is asked knows, and against callers in touch that are turned away
// although somebody knows where their stream began.
//
//===----------------------------------------------------------------------===//
#include "StreamOriginSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::tests;
using namespace std::chrono_literals;

class StreamOriginModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamOriginModelTest);
  CPPUNIT_TEST(testNoStreamChangesItsVersion);
  CPPUNIT_TEST(testStreamsOfAKilledInstanceGoOn);
  CPPUNIT_TEST(testStreamsOfOneVersionNeedNoMessage);
  CPPUNIT_TEST(testNothingIsGuessedAfterARestartOfAll);
  CPPUNIT_TEST_SUITE_END();

  static void addTo(StreamResult &Sum, const StreamResult &Each) {
    Sum.m_Resumed += Each.m_Resumed;
    Sum.m_GoneOn += Each.m_GoneOn;
    Sum.m_ResumedInTouch += Each.m_ResumedInTouch;
    Sum.m_GoneOnInTouch += Each.m_GoneOnInTouch;
    Sum.m_Changed += Each.m_Changed;
    Sum.m_Datagrams += Each.m_Datagrams;
  }
  static StreamResult playRandom(std::uint64_t Days, std::size_t Instances,
                                 std::size_t Targets) {
    StreamResult Sum;
    for (std::uint64_t Seed = 1; Seed <= Days; ++Seed)
      addTo(Sum, simulate(randomStreamScenario(Seed, Instances, Targets)));
    return Sum;
  }

public:
  void testNoStreamChangesItsVersion() {
    for (const StreamResult &Result :
         {playRandom(60, 7, 9), playRandom(60, 3, 4), playRandom(1, 78, 93)}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.m_Changed);
      CPPUNIT_ASSERT(Result.m_ResumedInTouch > 100);
      CPPUNIT_ASSERT(2 * Result.m_GoneOnInTouch >= Result.m_ResumedInTouch);
    }
  }

  void testStreamsOfAKilledInstanceGoOn() {
    for (std::size_t Instances : {7, 78}) {
      StreamScenario Scenario;
      Scenario.m_Instances = Instances;
      Scenario.m_Length = 20000ms;
      Scenario.m_Releases = {2000ms, 9000ms};
      for (int I = 0; I < 8; ++I)
        Scenario.m_Faults.push_back(
            {3000ms + I * 2000ms, 0ms, StreamFaultKind::Kill, 0.15});
      StreamResult Result = simulate(Scenario);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.m_Changed);
      CPPUNIT_ASSERT(Result.m_ResumedInTouch >= 12);
      CPPUNIT_ASSERT(10 * Result.m_GoneOnInTouch >=
                     9 * Result.m_ResumedInTouch);
    }
  }

  void testStreamsOfOneVersionNeedNoMessage() {
    StreamScenario Scenario;
    StreamResult Calm = simulate(Scenario);
    CPPUNIT_ASSERT(Calm.m_Begun > 1000);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Calm.m_Datagrams);
    Scenario.m_Faults = {{5000ms, 0ms, StreamFaultKind::Kill, 0.3}};
    StreamResult Killed = simulate(Scenario);
    CPPUNIT_ASSERT(Killed.m_Resumed > 0);
    CPPUNIT_ASSERT_EQUAL(Killed.m_ResumedInTouch, Killed.m_GoneOnInTouch);
  }

  void testNothingIsGuessedAfterARestartOfAll() {
    StreamScenario Scenario;
    Scenario.m_Releases = {2000ms};
    Scenario.m_Faults = {{5000ms, 0ms, StreamFaultKind::Kill, 1.0}};
    Scenario.m_Length = 8000ms;
    StreamResult Result = simulate(Scenario);
    CPPUNIT_ASSERT(Result.m_Resumed > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Result.m_GoneOn);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginModelTest);
