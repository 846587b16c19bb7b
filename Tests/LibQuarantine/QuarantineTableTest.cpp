//===-- QuarantineTableTest.cpp - What stands against a content
//------------===//
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
  CPPUNIT_TEST(testThreeRunsQuarantine);
  CPPUNIT_TEST(testDuplicateReportsCountOnce);
  CPPUNIT_TEST(testSuccessClearsEarlierIncarnations);
  CPPUNIT_TEST(testRecentSuccessClearsLaterReports);
  CPPUNIT_TEST(testOldSuccessIsIgnored);
  CPPUNIT_TEST(testClearedIncarnationsStayCleared);
  CPPUNIT_TEST(testMergeIsOrderIndependent);
  CPPUNIT_TEST(testOnlyLocalChangesAreUpdates);
  CPPUNIT_TEST(testLeastSuspectedContentsAreEvicted);
  CPPUNIT_TEST(testManyRunsAreBounded);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now = core::steadyNow();

  static ContentDigest content(std::uint64_t Number) {
    return {Number, ~Number};
  }

public:
  void testThreeRunsQuarantine() {
    std::vector<bool> Changes;
    QuarantineTable Book(
        [&](const ContentDigest &, bool Is) { Changes.push_back(Is); });
    Book.noteTargetExit(content(1), 10, m_Now);
    Book.noteTargetExit(content(1), 11, m_Now);
    CPPUNIT_ASSERT(!Book.isQuarantined(content(1)));
    Book.noteTargetExit(content(1), 12, m_Now);
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
    CPPUNIT_ASSERT(!Book.isQuarantined(content(2)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Book.quarantined());
    CPPUNIT_ASSERT(Changes == std::vector<bool>{true});
    // It holds, however long.
    Book.noteTargetExit(content(2), 10, m_Now + std::chrono::hours(100));
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
  }

  /// Several attempts of one content may run at a target that ends, and
  /// several instances see the end of each.
  void testDuplicateReportsCountOnce() {
    QuarantineTable Book;
    for (int I = 0; I < 5; ++I)
      Book.noteTargetExit(content(1), 10, m_Now);
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Book.incriminatingIncarnations(content(1)));
  }

  void testSuccessClearsEarlierIncarnations() {
    std::vector<bool> Changes;
    QuarantineTable Book(
        [&](const ContentDigest &, bool Is) { Changes.push_back(Is); });
    for (IncarnationHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    Book.noteSuccess(content(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Book.incriminatingIncarnations(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.quarantined());
    CPPUNIT_ASSERT((Changes == std::vector<bool>{true, false}));
  }

  void testRecentSuccessClearsLaterReports() {
    QuarantineTable Book;
    Book.noteSuccess(content(1), m_Now);
    Book.takeUpdates();
    m_Now += seconds(20);
    for (IncarnationHash Run : {10, 11, 12})
      Book.merge({content(1), Run, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Book.incriminatingIncarnations(content(1)));
    // The others have not seen the answer.
    std::vector<Observation> News = Book.takeUpdates();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), News.size());
    for (const Observation &Each : News)
      CPPUNIT_ASSERT(Each.m_IsCleared);
  }

  /// A new version of the targets may end under what the last one served.
  void testOldSuccessIsIgnored() {
    QuarantineTable Book;
    Book.noteSuccess(content(1), m_Now);
    m_Now += seconds(31);
    for (IncarnationHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
  }

  void testClearedIncarnationsStayCleared() {
    QuarantineTable Book;
    Book.merge({content(1), 10, true}, m_Now);
    Book.noteTargetExit(content(1), 10, m_Now);
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Book.incriminatingIncarnations(content(1)));
    CPPUNIT_ASSERT(Book.isCleared(content(1), 10));
  }

  void testMergeIsOrderIndependent() {
    std::vector<Observation> All;
    for (IncarnationHash Run = 0; Run < 6; ++Run) {
      All.push_back({content(1), Run, false});
      if (Run % 2 == 0)
        All.push_back({content(1), Run, true});
    }
    std::mt19937 Random(1);
    for (int Round = 0; Round < 50; ++Round) {
      std::shuffle(All.begin(), All.end(), Random);
      QuarantineTable Book;
      for (const Observation &Each : All)
        Book.merge(Each, m_Now);
      for (const Observation &Each : All)
        Book.merge(Each, m_Now);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                           Book.incriminatingIncarnations(content(1)));
    }
  }

  void testOnlyLocalChangesAreUpdates() {
    QuarantineTable Book;
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT(Book.takeUpdates().empty());
    Book.noteTargetExit(content(1), 10, m_Now);
    CPPUNIT_ASSERT(Book.takeUpdates().empty());
    Book.noteTargetExit(content(1), 11, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Book.takeUpdates().size());
    CPPUNIT_ASSERT(Book.takeUpdates().empty());
  }

  /// Somebody who sends another body each time must not push out what is
  /// quarantined.
  void testLeastSuspectedContentsAreEvicted() {
    QuarantineTable Book;
    for (IncarnationHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    for (std::uint64_t I = 2; I < 5000; ++I)
      Book.noteTargetExit(content(I), 10, m_Now + milliseconds(I));
    CPPUNIT_ASSERT_EQUAL(QuarantineTable::MaxContents, Book.size());
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Book.incriminatingIncarnations(content(4999)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Book.incriminatingIncarnations(content(2)));
  }

  void testManyRunsAreBounded() {
    QuarantineTable Book;
    for (IncarnationHash Run = 0; Run < 100; ++Run)
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT_EQUAL(QuarantineTable::MaxIncarnations,
                         Book.observations(content(1)).size());
    // Excused ones give way.
    Book.noteSuccess(content(1), m_Now);
    m_Now += seconds(60);
    for (IncarnationHash Run : {200, 201, 202})
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineTableTest);
