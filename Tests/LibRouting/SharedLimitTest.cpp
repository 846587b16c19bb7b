#include "LibRouting/AdmissionBook.h"

#include "LibRouting/FleetShare.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class SharedLimitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedLimitTest);
  CPPUNIT_TEST(testSenderKeepsItsPace);
  CPPUNIT_TEST(testLostTimeIsCreditedALittle);
  CPPUNIT_TEST(testNewSenderWaitsAPace);
  CPPUNIT_TEST(testPaceFollowsTheLimit);
  CPPUNIT_TEST(testNewestWordCounts);
  CPPUNIT_TEST(testStrayAnswerDoesNotEndALimit);
  CPPUNIT_TEST(testTargetThatNamesNothingIsStillAsked);
  CPPUNIT_TEST(testUnreadableLimitChangesNothing);
  CPPUNIT_TEST(testNothingIsKeptOfTargetsThatNameNothing);
  CPPUNIT_TEST(testRunsAreApart);
  CPPUNIT_TEST(testOthersAreToldWhileItHoldsAndWhenItEnds);
  CPPUNIT_TEST(testUntoldLimitIsForgotten);
  CPPUNIT_TEST(testWhatHasEndedIsForgottenUnderTraffic);
  CPPUNIT_TEST(testRestIsOfThisInstanceAlone);
  CPPUNIT_TEST(testLongerRestIsNotShortened);
  CPPUNIT_TEST(testLeavingIsNeverUnsaid);
  CPPUNIT_TEST(testAllNameTheSameSenders);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  std::size_t m_Senders = 1;
  AdmissionBook m_Book{[this](const TargetRun &) { return m_Senders; }};
  TargetRun m_Run{core::TargetName("a"), core::TargetBirth(7)};

  static TargetTerms limited(double PerSecond) {
    TargetTerms Out;
    Out.m_RequestsPerSecond = PerSecond;
    return Out;
  }
  /// Requests that are sent in \p Time by one who always has some.
  int sentIn(core::Duration Time) {
    int Out = 0;
    core::TimePoint End = m_Now + Time;
    for (; m_Now < End; m_Now += milliseconds(10))
      if (m_Book.isOpen(m_Run, m_Now)) {
        m_Book.noteSent(m_Run, m_Now);
        ++Out;
      }
    return Out;
  }

public:
  void testSenderKeepsItsPace() {
    m_Book.take(m_Run, limited(2), m_Now);
    int Sent = sentIn(seconds(20));
    CPPUNIT_ASSERT(Sent >= 38 && Sent <= 41);
    m_Senders = 3;
    m_Book.invalidateSenders();
    Sent = sentIn(seconds(30));
    CPPUNIT_ASSERT(Sent >= 18 && Sent <= 22);
    m_Senders = 0;
    m_Book.invalidateSenders();
    CPPUNIT_ASSERT_EQUAL(0, sentIn(seconds(30)));
  }

  void testLostTimeIsCreditedALittle() {
    m_Book.take(m_Run, limited(1), m_Now);
    m_Now += seconds(60);
    // One at once, and the next earlier by the tolerance.
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(600)));
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(100)));
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(900)));
  }

  void testNewSenderWaitsAPace() {
    m_Book.take(m_Run, limited(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(990)));
    m_Now += seconds(10);
    m_Senders = 0;
    m_Book.invalidateSenders();
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now));
    m_Senders = 1;
    m_Book.invalidateSenders();
    CPPUNIT_ASSERT_EQUAL(0, sentIn(milliseconds(990)));
  }

  void testPaceFollowsTheLimit() {
    m_Book.take(m_Run, limited(0.5), m_Now);
    CPPUNIT_ASSERT_EQUAL(1, sentIn(milliseconds(2010)));
    m_Book.take(m_Run, limited(10), m_Now);
    int Sent = sentIn(seconds(1));
    CPPUNIT_ASSERT(Sent >= 9 && Sent <= 11);
    m_Book.take(m_Run, limited(0.5), m_Now);
    CPPUNIT_ASSERT(sentIn(seconds(2)) <= 1);
  }

  void testNewestWordCounts() {
    m_Book.take({m_Run, {3.0, m_Now - milliseconds(500)}}, m_Now);
    CPPUNIT_ASSERT(m_Book.take({m_Run, {2.0, m_Now}}, m_Now));
    // Told later, heard earlier.
    CPPUNIT_ASSERT(
        !m_Book.take({m_Run, {5.0, m_Now - milliseconds(10)}}, m_Now));
    CPPUNIT_ASSERT_EQUAL(2.0, *m_Book.termsOf(m_Run).m_Limit.m_PerSecond);
    m_Now += seconds(3);
    CPPUNIT_ASSERT(m_Book.take(m_Run, {}, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Book.limited());
    // An ended limit does not come back from a slow peer.
    CPPUNIT_ASSERT(!m_Book.take({m_Run, {2.0, m_Now - seconds(1)}}, m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Book.limited());
  }

  void testStrayAnswerDoesNotEndALimit() {
    m_Book.take(m_Run, limited(1), m_Now);
    // It was made before the limit was named.
    CPPUNIT_ASSERT(!m_Book.take(m_Run, {}, m_Now + milliseconds(200)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.limited());
    CPPUNIT_ASSERT(m_Book.take(m_Run, {}, m_Now + seconds(2)));
  }

  void testTargetThatNamesNothingIsStillAsked() {
    m_Book.take(m_Run, limited(0), m_Now);
    int Sent = sentIn(seconds(40));
    CPPUNIT_ASSERT(Sent >= 9 && Sent <= 10);
  }

  void testUnreadableLimitChangesNothing() {
    TargetTerms Unreadable;
    Unreadable.m_IsLimitUnreadable = true;
    CPPUNIT_ASSERT(!m_Book.take(m_Run, Unreadable, m_Now));
    CPPUNIT_ASSERT(m_Book.isOpen(m_Run, m_Now));
    m_Book.take(m_Run, limited(1), m_Now);
    CPPUNIT_ASSERT(!m_Book.take(m_Run, Unreadable, m_Now + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.limited());
    TargetTerms Refusal;
    Refusal.m_IsLimitUnsaid = true;
    CPPUNIT_ASSERT(!m_Book.take(m_Run, Refusal, m_Now + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.limited());
  }

  void testNothingIsKeptOfTargetsThatNameNothing() {
    for (int I = 0; I < 1000; ++I) {
      CPPUNIT_ASSERT(!m_Book.take(m_Run, {}, m_Now));
      CPPUNIT_ASSERT(m_Book.isOpen(m_Run, m_Now));
      m_Book.noteSent(m_Run, m_Now);
    }
    CPPUNIT_ASSERT(m_Book.isEmpty());
    CPPUNIT_ASSERT(m_Book.toTell(m_Now).empty());
  }

  void testRunsAreApart() {
    m_Senders = 0;
    m_Book.take(m_Run, limited(1), m_Now);
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now));
    CPPUNIT_ASSERT(m_Book.isOpen({m_Run.m_Name, core::TargetBirth(8)}, m_Now));
  }

  void testOthersAreToldWhileItHoldsAndWhenItEnds() {
    CPPUNIT_ASSERT(m_Book.take(m_Run, limited(1), m_Now));
    m_Now += seconds(20);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.toTell(m_Now).size());
    // One that is no sender hears of it from the others.
    m_Senders = 0;
    m_Book.invalidateSenders();
    m_Book.isOpen(m_Run, m_Now);
    CPPUNIT_ASSERT(m_Book.toTell(m_Now).empty());
    m_Senders = 1;
    m_Book.invalidateSenders();
    CPPUNIT_ASSERT(m_Book.take(m_Run, {}, m_Now));
    CPPUNIT_ASSERT(!m_Book.toTell(m_Now).at(0).m_Limit.m_PerSecond);
    CPPUNIT_ASSERT(m_Book.toTell(m_Now + seconds(10)).empty());
  }

  void testUntoldLimitIsForgotten() {
    m_Senders = 0;
    m_Book.take({m_Run, {1.0, m_Now}}, m_Now);
    m_Book.forgetOld(m_Now + seconds(29));
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now));
    m_Book.forgetOld(m_Now + seconds(30));
    CPPUNIT_ASSERT(m_Book.isOpen(m_Run, m_Now));
    // One that may send finds out by itself.
    m_Senders = 1;
    m_Book.take({m_Run, {1.0, m_Now}}, m_Now);
    m_Book.forgetOld(m_Now + seconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.limited());
  }

  void testWhatHasEndedIsForgottenUnderTraffic() {
    m_Book.take(m_Run, limited(1), m_Now);
    m_Now += seconds(5);
    m_Book.take(m_Run, {}, m_Now);
    for (int I = 0; I < 30; ++I) {
      CPPUNIT_ASSERT(!m_Book.isEmpty());
      m_Now += seconds(1);
      m_Book.take(m_Run, {}, m_Now);
      m_Book.forgetOld(m_Now);
    }
    CPPUNIT_ASSERT(m_Book.isEmpty());
    // A rest that is over as well.
    TargetTerms Tired;
    Tired.m_Rest = seconds(3);
    m_Book.take(m_Run, Tired, m_Now);
    m_Book.forgetOld(m_Now);
    CPPUNIT_ASSERT(!m_Book.isEmpty());
    m_Book.forgetOld(m_Now + seconds(3));
    CPPUNIT_ASSERT(m_Book.isEmpty());
  }

  void testRestIsOfThisInstanceAlone() {
    TargetTerms Tired;
    Tired.m_Rest = seconds(3);
    CPPUNIT_ASSERT(!m_Book.take(m_Run, Tired, m_Now));
    CPPUNIT_ASSERT(m_Book.toTell(m_Now).empty());
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now + milliseconds(2999)));
    CPPUNIT_ASSERT(m_Book.isOpen(m_Run, m_Now + seconds(3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.resting(m_Now));
    CPPUNIT_ASSERT(m_Book.opening(m_Run, m_Now)->m_At == m_Now + seconds(3));
    // A new run has none.
    CPPUNIT_ASSERT(m_Book.isOpen({m_Run.m_Name, core::TargetBirth(8)}, m_Now));
  }

  void testLongerRestIsNotShortened() {
    TargetTerms Tired;
    Tired.m_Rest = std::chrono::hours(1);
    m_Book.take(m_Run, Tired, m_Now);
    Tired.m_Rest = milliseconds(10);
    m_Book.take(m_Run, Tired, m_Now);
    m_Book.take(m_Run, {}, m_Now + seconds(1));
    m_Book.forgetOld(m_Now + seconds(3599));
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now + seconds(3599)));
    CPPUNIT_ASSERT(m_Book.isOpen(m_Run, m_Now + seconds(3600)));
  }

  void testLeavingIsNeverUnsaid() {
    TargetTerms Leaving;
    Leaving.m_IsLeaving = true;
    CPPUNIT_ASSERT(m_Book.take(m_Run, Leaving, m_Now));
    CPPUNIT_ASSERT(m_Book.toTell(m_Now).at(0).m_IsLeaving);
    CPPUNIT_ASSERT(!m_Book.take(m_Run, Leaving, m_Now));
    CPPUNIT_ASSERT(!m_Book.take(m_Run, {}, m_Now + seconds(2)));
    m_Book.forgetOld(m_Now + seconds(100));
    CPPUNIT_ASSERT(!m_Book.isOpen(m_Run, m_Now + seconds(100)));
    CPPUNIT_ASSERT(!m_Book.opening(m_Run, m_Now));
    CPPUNIT_ASSERT(m_Book.isLeaving(m_Run));
    // Told by another instance: not told on.
    TargetRun Other{core::TargetName("b")};
    CPPUNIT_ASSERT(m_Book.take({Other, {}, true}, m_Now));
    CPPUNIT_ASSERT(!m_Book.isOpen(Other, m_Now));
    CPPUNIT_ASSERT(m_Book.toTell(m_Now).size() == 1);
  }

  void testAllNameTheSameSenders() {
    for (std::size_t Count : {6U, 7U, 78U, 440U})
      for (std::size_t Targets : {3U, 9U, 168U, 3000U}) {
        FleetShare::Fleet Fleet;
        for (std::size_t I = 0; I < Count; ++I)
          Fleet[{"10.1." + std::to_string(I / 200) + "." +
                     std::to_string(I % 200 + 1),
                 7600}] = core::DataHallName("h" + std::to_string(I % 3));
        std::size_t Members = FleetShare::membersFor(Count, Targets);
        std::size_t Senders = 0;
        const std::size_t Rank = Targets / 2;
        for (const auto &[Address, Hall] : Fleet) {
          FleetShare Share(Address, Fleet, Members);
          if (!Share.isOwn(Rank, Targets))
            continue;
          auto Sharers = Share.sharersOf(Targets);
          CPPUNIT_ASSERT(std::count(Sharers.begin(), Sharers.end(), Address) ==
                         1);
          Senders +=
              Share.orderFor(m_Run.hash(), Targets) < SharedLimit::MostSenders
                  ? 1
                  : 0;
        }
        CPPUNIT_ASSERT_EQUAL(SharedLimit::MostSenders, Senders);
      }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedLimitTest);
