//===-- QuarantineTableTest.cpp - Incriminated and cleared contents -------===//
#include "LibQuarantine/QuarantineTable.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

class QuarantineTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineTableTest);
  CPPUNIT_TEST(testThreeIncarnationsQuarantine);
  CPPUNIT_TEST(testDuplicateReportsCountOnce);
  CPPUNIT_TEST(testSuccessClearsEarlierIncarnations);
  CPPUNIT_TEST(testRecentSuccessClearsLaterReports);
  CPPUNIT_TEST(testOldSuccessIsIgnored);
  CPPUNIT_TEST(testClearedIncarnationsStayCleared);
  CPPUNIT_TEST(testMergeIsOrderIndependent);
  CPPUNIT_TEST(testOnlyLocalChangesAreUpdates);
  CPPUNIT_TEST(testLeastSuspectedContentsAreEvicted);
  CPPUNIT_TEST(testIncarnationsAreBounded);
  CPPUNIT_TEST(testPartBesideAHarmfulOneIsExplained);
  CPPUNIT_TEST(testVerdictsDoNotDependOnTheOrder);
  CPPUNIT_TEST(testEquallySuspectPartsAreDoubtful);
  CPPUNIT_TEST(testWholeContentIsNeverExplained);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now = core::steadyNow();

  static ContentDigest content(std::uint64_t Number) {
    return {Number, ~Number};
  }

public:
  void testThreeIncarnationsQuarantine() {
    std::vector<bool> Changes;
    QuarantineTable Table([&](const ContentDigest &, bool IsQuarantined) {
      Changes.push_back(IsQuarantined);
    });
    Table.noteTargetExit(content(1), 10, m_Now);
    Table.noteTargetExit(content(1), 11, m_Now);
    CPPUNIT_ASSERT(!Table.isQuarantined(content(1)));
    Table.noteTargetExit(content(1), 12, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(content(1)));
    CPPUNIT_ASSERT(!Table.isQuarantined(content(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.quarantined());
    CPPUNIT_ASSERT(Changes == std::vector<bool>{true});
    // A quarantine does not expire.
    Table.noteTargetExit(content(2), 10, m_Now + std::chrono::hours(100));
    CPPUNIT_ASSERT(Table.isQuarantined(content(1)));
  }

  /// Several attempts of one content may run at a target that exits, and
  /// several instances may report that exit.
  void testDuplicateReportsCountOnce() {
    QuarantineTable Table;
    for (int I = 0; I < 5; ++I)
      Table.noteTargetExit(content(1), 10, m_Now);
    Table.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Table.incriminatingIncarnations(content(1)));
  }

  void testSuccessClearsEarlierIncarnations() {
    std::vector<bool> Changes;
    QuarantineTable Table([&](const ContentDigest &, bool IsQuarantined) {
      Changes.push_back(IsQuarantined);
    });
    for (IncarnationHash Incarnation : {10, 11, 12})
      Table.noteTargetExit(content(1), Incarnation, m_Now);
    Table.noteSuccess(content(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Table.incriminatingIncarnations(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Table.quarantined());
    CPPUNIT_ASSERT((Changes == std::vector<bool>{true, false}));
  }

  void testRecentSuccessClearsLaterReports() {
    QuarantineTable Table;
    Table.noteSuccess(content(1), m_Now);
    Table.takeUpdates();
    m_Now += seconds(20);
    for (IncarnationHash Incarnation : {10, 11, 12})
      Table.merge({content(1), Incarnation, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Table.incriminatingIncarnations(content(1)));
    // Other instances do not know of the success.
    std::vector<Observation> Updates = Table.takeUpdates();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Updates.size());
    for (const Observation &Each : Updates)
      CPPUNIT_ASSERT(Each.m_IsCleared);
  }

  /// A new version of the targets may exit under a content that the previous
  /// version answered.
  void testOldSuccessIsIgnored() {
    QuarantineTable Table;
    Table.noteSuccess(content(1), m_Now);
    m_Now += seconds(31);
    for (IncarnationHash Incarnation : {10, 11, 12})
      Table.noteTargetExit(content(1), Incarnation, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(content(1)));
  }

  void testClearedIncarnationsStayCleared() {
    QuarantineTable Table;
    Table.merge({content(1), 10, true}, m_Now);
    Table.noteTargetExit(content(1), 10, m_Now);
    Table.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Table.incriminatingIncarnations(content(1)));
    CPPUNIT_ASSERT(Table.isCleared(content(1), 10));
  }

  void testMergeIsOrderIndependent() {
    std::vector<Observation> All;
    for (IncarnationHash Incarnation = 0; Incarnation < 6; ++Incarnation) {
      All.push_back({content(1), Incarnation, false});
      if (Incarnation % 2 == 0)
        All.push_back({content(1), Incarnation, true});
    }
    std::mt19937 Random(1);
    for (int Round = 0; Round < 50; ++Round) {
      std::shuffle(All.begin(), All.end(), Random);
      QuarantineTable Table;
      for (const Observation &Each : All)
        Table.merge(Each, m_Now);
      for (const Observation &Each : All)
        Table.merge(Each, m_Now);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                           Table.incriminatingIncarnations(content(1)));
    }
  }

  void testOnlyLocalChangesAreUpdates() {
    QuarantineTable Table;
    Table.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT(Table.takeUpdates().empty());
    Table.noteTargetExit(content(1), 10, m_Now);
    CPPUNIT_ASSERT(Table.takeUpdates().empty());
    Table.noteTargetExit(content(1), 11, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.takeUpdates().size());
    CPPUNIT_ASSERT(Table.takeUpdates().empty());
  }

  /// A client that sends a different body each time must not cause the eviction
  /// of quarantined contents.
  void testLeastSuspectedContentsAreEvicted() {
    QuarantineTable Table;
    for (IncarnationHash Incarnation : {10, 11, 12})
      Table.noteTargetExit(content(1), Incarnation, m_Now);
    for (std::uint64_t I = 2; I < 5000; ++I)
      Table.noteTargetExit(content(I), 10, m_Now + milliseconds(I));
    CPPUNIT_ASSERT_EQUAL(QuarantineTable::MaxContents, Table.size());
    CPPUNIT_ASSERT(Table.isQuarantined(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Table.incriminatingIncarnations(content(4999)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Table.incriminatingIncarnations(content(2)));
  }

  void testIncarnationsAreBounded() {
    QuarantineTable Table;
    for (IncarnationHash Incarnation = 0; Incarnation < 100; ++Incarnation)
      Table.noteTargetExit(content(1), Incarnation, m_Now);
    CPPUNIT_ASSERT_EQUAL(QuarantineTable::MaxIncarnations,
                         Table.observations(content(1)).size());
    // Cleared incarnations are evicted first.
    Table.noteSuccess(content(1), m_Now);
    m_Now += seconds(60);
    for (IncarnationHash Incarnation : {200, 201, 202})
      Table.noteTargetExit(content(1), Incarnation, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(content(1)));
  }

  static ContentDigest part(const char *Id) {
    return ContentDigest::ofPart(1, Id);
  }

  void testPartBesideAHarmfulOneIsExplained() {
    QuarantineTable Table;
    for (IncarnationHash Each : {10, 11, 12, 13})
      Table.noteTargetExit(part("bad"), Each, m_Now);
    for (IncarnationHash Each : {10, 11, 12})
      Table.noteTargetExit(part("beside"), Each, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(part("bad")));
    CPPUNIT_ASSERT(!Table.isQuarantined(part("beside")));
    CPPUNIT_ASSERT(!Table.isSuspect(part("beside")));
    // Exits that the first one doesn't explain count.
    for (IncarnationHash Each : {20, 21, 22})
      Table.noteTargetExit(part("beside"), Each, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(part("beside")));
  }

  void testVerdictsDoNotDependOnTheOrder() {
    std::vector<Observation> All;
    for (IncarnationHash Each : {10, 11, 12, 13})
      All.push_back({part("a"), Each, false});
    for (IncarnationHash Each : {10, 11, 12})
      All.push_back({part("b"), Each, Each == 12});
    for (IncarnationHash Each : {12, 13, 14, 15, 16})
      All.push_back({part("c"), Each, false});
    std::mt19937 Random(1);
    for (int I = 0; I < 100; ++I) {
      std::shuffle(All.begin(), All.end(), Random);
      QuarantineTable Table;
      for (const Observation &Each : All)
        Table.merge(Each, m_Now);
      CPPUNIT_ASSERT(!Table.isQuarantined(part("a")));
      CPPUNIT_ASSERT(!Table.isQuarantined(part("b")));
      CPPUNIT_ASSERT(Table.isQuarantined(part("c")));
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Table.quarantined());
    }
  }

  void testEquallySuspectPartsAreDoubtful() {
    QuarantineTable Table;
    for (IncarnationHash Each : {10, 11, 12}) {
      Table.noteTargetExit(part("bad"), Each, m_Now);
      Table.noteTargetExit(part("beside"), Each, m_Now);
    }
    CPPUNIT_ASSERT(Table.isQuarantined(part("beside")));
    CPPUNIT_ASSERT(Table.isDoubtful({content(9), part("beside")}));
    CPPUNIT_ASSERT(!Table.isDoubtful({part("bad"), part("beside")}));
    Table.noteSuccess(part("beside"), m_Now);
    CPPUNIT_ASSERT(!Table.isQuarantined(part("beside")));
    CPPUNIT_ASSERT(Table.isQuarantined(part("bad")));
    CPPUNIT_ASSERT(!Table.isDoubtful({part("bad")}));
  }

  void testWholeContentIsNeverExplained() {
    QuarantineTable Table;
    for (IncarnationHash Each : {10, 11, 12, 13})
      Table.noteTargetExit(content(1), Each, m_Now);
    for (IncarnationHash Each : {10, 11, 12})
      Table.noteTargetExit(content(2), Each, m_Now);
    CPPUNIT_ASSERT(Table.isQuarantined(content(2)));
    CPPUNIT_ASSERT(!Table.isDoubtful({content(2)}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTableTest);
