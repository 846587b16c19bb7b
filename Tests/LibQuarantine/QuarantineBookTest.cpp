//===-- QuarantineBookTest.cpp - What stands against a content ------------===//
#include "LibQuarantine/QuarantineBook.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::quarantine;
using std::chrono::milliseconds;
using std::chrono::seconds;

class QuarantineBookTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuarantineBookTest);
  CPPUNIT_TEST(testThreeRunsQuarantine);
  CPPUNIT_TEST(testOneRunCountsOnceWhoeverTells);
  CPPUNIT_TEST(testWholeAnswerExcusesWhatWasBefore);
  CPPUNIT_TEST(testWholeAnswerSpeaksAgainstNewsOfAWhile);
  CPPUNIT_TEST(testWholeAnswerOfLongAgoSaysNothing);
  CPPUNIT_TEST(testExcusedIsForGood);
  CPPUNIT_TEST(testAllAgreeInWhateverOrderTheyHear);
  CPPUNIT_TEST(testOnlyWhatIsNewHereIsNews);
  CPPUNIT_TEST(testManyContentsPushOutTheLeastSuspected);
  CPPUNIT_TEST(testManyRunsAreBounded);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now = core::steadyNow();

  static ContentDigest content(std::uint64_t Number) {
    return {Number, ~Number};
  }

public:
  void testThreeRunsQuarantine() {
    std::vector<bool> Changes;
    QuarantineBook Book(
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
  void testOneRunCountsOnceWhoeverTells() {
    QuarantineBook Book;
    for (int I = 0; I < 5; ++I)
      Book.noteTargetExit(content(1), 10, m_Now);
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Book.standing(content(1)));
  }

  void testWholeAnswerExcusesWhatWasBefore() {
    std::vector<bool> Changes;
    QuarantineBook Book(
        [&](const ContentDigest &, bool Is) { Changes.push_back(Is); });
    for (RunHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    Book.noteWhole(content(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.standing(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.quarantined());
    CPPUNIT_ASSERT((Changes == std::vector<bool>{true, false}));
  }

  void testWholeAnswerSpeaksAgainstNewsOfAWhile() {
    QuarantineBook Book;
    Book.noteWhole(content(1), m_Now);
    Book.takeNews();
    m_Now += seconds(20);
    for (RunHash Run : {10, 11, 12})
      Book.merge({content(1), Run, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.standing(content(1)));
    // The others have not seen the answer.
    std::vector<Observation> News = Book.takeNews();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), News.size());
    for (const Observation &Each : News)
      CPPUNIT_ASSERT(Each.m_IsExcused);
  }

  /// A new version of the targets may end under what the last one served.
  void testWholeAnswerOfLongAgoSaysNothing() {
    QuarantineBook Book;
    Book.noteWhole(content(1), m_Now);
    m_Now += seconds(31);
    for (RunHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
  }

  void testExcusedIsForGood() {
    QuarantineBook Book;
    Book.merge({content(1), 10, true}, m_Now);
    Book.noteTargetExit(content(1), 10, m_Now);
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.standing(content(1)));
    CPPUNIT_ASSERT(Book.isExcused(content(1), 10));
  }

  void testAllAgreeInWhateverOrderTheyHear() {
    std::vector<Observation> All;
    for (RunHash Run = 0; Run < 6; ++Run) {
      All.push_back({content(1), Run, false});
      if (Run % 2 == 0)
        All.push_back({content(1), Run, true});
    }
    std::mt19937 Random(1);
    for (int Round = 0; Round < 50; ++Round) {
      std::shuffle(All.begin(), All.end(), Random);
      QuarantineBook Book;
      for (const Observation &Each : All)
        Book.merge(Each, m_Now);
      for (const Observation &Each : All)
        Book.merge(Each, m_Now);
      CPPUNIT_ASSERT_EQUAL(std::size_t(3), Book.standing(content(1)));
    }
  }

  void testOnlyWhatIsNewHereIsNews() {
    QuarantineBook Book;
    Book.merge({content(1), 10, false}, m_Now);
    CPPUNIT_ASSERT(Book.takeNews().empty());
    Book.noteTargetExit(content(1), 10, m_Now);
    CPPUNIT_ASSERT(Book.takeNews().empty());
    Book.noteTargetExit(content(1), 11, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Book.takeNews().size());
    CPPUNIT_ASSERT(Book.takeNews().empty());
  }

  /// Somebody who sends another body each time must not push out what is
  /// quarantined.
  void testManyContentsPushOutTheLeastSuspected() {
    QuarantineBook Book;
    for (RunHash Run : {10, 11, 12})
      Book.noteTargetExit(content(1), Run, m_Now);
    for (std::uint64_t I = 2; I < 5000; ++I)
      Book.noteTargetExit(content(I), 10, m_Now + milliseconds(I));
    CPPUNIT_ASSERT_EQUAL(QuarantineBook::MostContents, Book.size());
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Book.standing(content(4999)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Book.standing(content(2)));
  }

  void testManyRunsAreBounded() {
    QuarantineBook Book;
    for (RunHash Run = 0; Run < 100; ++Run)
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT_EQUAL(QuarantineBook::MostRuns,
                         Book.observations(content(1)).size());
    // Excused ones give way.
    Book.noteWhole(content(1), m_Now);
    m_Now += seconds(60);
    for (RunHash Run : {200, 201, 202})
      Book.noteTargetExit(content(1), Run, m_Now);
    CPPUNIT_ASSERT(Book.isQuarantined(content(1)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantineBookTest);
