//===-- QuotaReplacementTest.cpp - Quotas of a fleet that is replaced -----===//
//
// Guards against accounts below their limits that are refused for good once the
// owners of their quotas are gone, after announced stops or without a word.
//
//===----------------------------------------------------------------------===//
#include "ReplacedFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::ReplacedFleet;

class QuotaReplacementTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaReplacementTest);
  CPPUNIT_TEST(testReplacementAfterAnnouncedStops);
  CPPUNIT_TEST(testAllStopAtOnceAndOthersCome);
  CPPUNIT_TEST(testAllStopAndNoneOfThemRemembers);
  CPPUNIT_TEST(testMostStopAndNoneComes);
  CPPUNIT_TEST(testLossOfMostStopsNoAccount);
  CPPUNIT_TEST(testOldInstancesReturnAfterTheTakeover);
  CPPUNIT_TEST(testRollingRestartMovesNoOwner);
  CPPUNIT_TEST(testLongOutageOfTheStoreStopsNoAccount);
  CPPUNIT_TEST(testLostMajorityReturnsWithAnOldList);
  CPPUNIT_TEST_SUITE_END();

public:
  void testReplacementAfterAnnouncedStops() {
    for (auto Gap : {milliseconds(500), milliseconds(2000), milliseconds(7000),
                     milliseconds(30000)})
      for (bool IsNewFirst : {false, true}) {
        ReplacedFleet Replaced(7);
        Replaced.replaceInSteps(1, Gap, IsNewFirst);
        Replaced.checkRecovery("stops, gap_ms=" + std::to_string(Gap.count()));
      }
  }

  void testAllStopAtOnceAndOthersCome() {
    for (std::size_t Size : {7U, 78U}) {
      ReplacedFleet Replaced(Size);
      Replaced.replaceInSteps(Size, seconds(1), false);
      Replaced.checkRecovery("all stop at once");
    }
  }

  void testAllStopAndNoneOfThemRemembers() {
    ReplacedFleet Replaced(3);
    Replaced.fleet().stop(0);
    Replaced.fleet().stop(1);
    Replaced.run(seconds(7));
    Replaced.join(3);
    Replaced.run(seconds(3));
    Replaced.fleet().stop(2);
    Replaced.run(seconds(23));
    // Whoever has heard of the stops restarts.
    Replaced.kill(3, 6, milliseconds(900));
    Replaced.checkRecovery("stops, then all restart");
  }

  void testMostStopAndNoneComes() {
    ReplacedFleet Replaced(7);
    for (std::size_t I = 0; I < 6; ++I) {
      Replaced.fleet().stop(I);
      Replaced.run(milliseconds(1300));
    }
    Replaced.checkRecovery("six of seven stop");
  }

  void testLossOfMostStopsNoAccount() {
    ReplacedFleet Half(7);
    Half.kill(0, 4);
    Half.join(4);
    Half.run(seconds(120));
    double HalfShare = Half.grantedShare(seconds(60));
    ReplacedFleet All(7);
    All.kill(0, 7);
    All.join(7);
    All.run(seconds(200));
    double AllShare = All.grantedShare(seconds(30));
    std::cerr << "\nlost=4 served_after_60s=" << HalfShare
              << " lost=7 served_after_170s=" << AllShare;
    Half.checkQuota("half is lost");
    All.checkQuota("all are lost");
    CPPUNIT_ASSERT(HalfShare >= 0.25);
    CPPUNIT_ASSERT(AllShare >= 0.25);
  }

  void testOldInstancesReturnAfterTheTakeover() {
    ReplacedFleet Replaced(7);
    Replaced.replaceInSteps(1, seconds(2), false);
    Replaced.run(seconds(60));
    for (std::size_t I = 0; I < 7; ++I)
      Replaced.fleet().restart(I);
    Replaced.checkRecovery("old ones return");
  }

  void testRollingRestartMovesNoOwner() {
    ReplacedFleet Replaced(7);
    for (std::size_t I = 0; I < 7; ++I) {
      Replaced.fleet().stop(I, milliseconds(900));
      Replaced.run(seconds(7));
    }
    Replaced.checkRecovery("rolling restart");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Replaced.fleet().ownerChanges());
  }

  void testLongOutageOfTheStoreStopsNoAccount() {
    for (std::size_t Lost : {0U, 1U}) {
      ReplacedFleet Affected(7);
      Affected.fleet().loseStore(std::chrono::minutes(10));
      Affected.kill(0, Lost);
      Affected.run(seconds(100));
      double First = Affected.grantedShare(seconds(80));
      Affected.run(seconds(60));
      double Later = Affected.grantedShare(seconds(30));
      std::cerr << "\noutage, lost=" << Lost << " served_after_20s=" << First
                << " served_after_130s=" << Later;
      CPPUNIT_ASSERT(First >= (Lost == 0 ? ReplacedFleet::AimedShare : 0.25));
      CPPUNIT_ASSERT(Later >= 0.25);
      Affected.checkQuota("outage");
    }
  }

  void testLostMajorityReturnsWithAnOldList() {
    // It was split off with its callers, and comes back after the takeover.
    ReplacedFleet Replaced(7);
    std::vector<std::size_t> SplitOff{0, 1, 2, 3};
    Replaced.fleet().split(SplitOff, seconds(70));
    Replaced.join(4);
    Replaced.run(seconds(90));
    Replaced.checkQuota("split off");
    Replaced.fleet().split(SplitOff, seconds(20));
    Replaced.checkRecovery("split off twice");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaReplacementTest);
