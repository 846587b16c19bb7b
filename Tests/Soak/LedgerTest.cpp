//===-- LedgerTest.cpp - Each check of the soak notices what it is for ----===//
#include "Ledger.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill::soak;
using std::chrono::milliseconds;
using std::chrono::seconds;

class LedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LedgerTest);
  CPPUNIT_TEST(testQuietRunBreaksNothing);
  CPPUNIT_TEST(testSecondRun);
  CPPUNIT_TEST(testRefusalThatIsNotTrue);
  CPPUNIT_TEST(testRequestThatNobodySent);
  CPPUNIT_TEST(testDenied);
  CPPUNIT_TEST(testLeavingTarget);
  CPPUNIT_TEST(testLostAnswer);
  CPPUNIT_TEST(testPlannedStop);
  CPPUNIT_TEST(testHeldBeyondItsTime);
  CPPUNIT_TEST(testTimeOverIsNotLost);
  CPPUNIT_TEST(testTroubleExcuses);
  CPPUNIT_TEST(testQuota);
  CPPUNIT_TEST(testRetries);
  CPPUNIT_TEST(testRecovery);
  CPPUNIT_TEST(testContentThatEndsTargets);
  CPPUNIT_TEST(testLimitOfATarget);
  CPPUNIT_TEST(testLimitCountsThoseWhoWereTold);
  CPPUNIT_TEST(testRestOfATarget);
  CPPUNIT_TEST(testTargetThatSaysItLeaves);
  CPPUNIT_TEST_SUITE_END();

  TimePoint m_Now{std::chrono::hours(1)};
  Ledger m_Book{2, [this] { return m_Now; }};
  int m_Next = 0;

  std::string send(RequestKind Kind = RequestKind::NonIdempotent,
                   const std::string &Account = "open") {
    Attempt What;
    What.m_Id = "a" + std::to_string(++m_Next);
    What.m_Kind = Kind;
    What.m_Account = Account;
    What.m_Tokens = 100;
    What.m_SentAt = m_Now;
    What.m_TimeLimit = seconds(2);
    m_Book.sent(What);
    return What.m_Id;
  }
  void run(const std::string &Id) {
    m_Book.arrived(Id, "i-1", std::nullopt);
    m_Book.ran(Id);
  }
  void expect(const std::string &Rule) {
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Book.violations().size());
    CPPUNIT_ASSERT_EQUAL(Rule, m_Book.violations()[0].substr(
                                   0, m_Book.violations()[0].find(':')));
  }
  void expectNothing() { CPPUNIT_ASSERT(m_Book.violations().empty()); }

  void arriveAtRun(const std::string &Run) {
    std::string Id = send();
    m_Book.arrivedAtRun(Id, Run);
  }
  void state(const std::string &Run, const TargetStatement &What) {
    m_Book.stated(send(), Run, What);
  }

public:
  void testLimitOfATarget() {
    m_Book.limited("r", 2);
    state("r", {2.0, std::nullopt, false});
    m_Now += seconds(4);
    // 1.5 x 2 x 4 + 5 in 4 s.
    for (int I = 0; I < 17; ++I) {
      m_Now += milliseconds(200);
      arriveAtRun("r");
    }
    m_Book.finish(m_Now);
    expectNothing();
    m_Now += milliseconds(200);
    arriveAtRun("r");
    m_Book.finish(m_Now);
    expect("limit");
  }

  void testLimitCountsThoseWhoWereTold() {
    m_Book.limited("r", 2);
    m_Now += seconds(4);
    for (int I = 0; I < 50; ++I)
      arriveAtRun("r");
    state("r", {2.0, std::nullopt, false});
    m_Now += seconds(1);
    // It ended before they came.
    m_Book.limited("r", std::nullopt);
    for (int I = 0; I < 50; ++I)
      arriveAtRun("r");
    m_Book.finish(m_Now);
    expectNothing();
  }

  void testRestOfATarget() {
    m_Now += seconds(10);
    state("r", {std::nullopt, seconds(3), false});
    for (int I = 0; I < 5; ++I)
      arriveAtRun("r");
    m_Now += milliseconds(600);
    arriveAtRun("r");
    arriveAtRun("r");
    expectNothing();
    // A shorter one does not end it.
    state("r", {std::nullopt, milliseconds(100), false});
    arriveAtRun("r");
    expect("rest");
    m_Now += seconds(3);
    arriveAtRun("r");
    expect("rest");
  }

  void testTargetThatSaysItLeaves() {
    m_Now += seconds(10);
    state("r", {std::nullopt, std::nullopt, true});
    m_Now += seconds(2);
    arriveAtRun("r");
    expectNothing();
    m_Now += milliseconds(1);
    arriveAtRun("r");
    expect("leaving");
    m_Book.restarted(0);
    arriveAtRun("r");
    expect("leaving");
  }

  void testQuietRunBreaksNothing() {
    for (int I = 0; I < 100; ++I) {
      m_Now += milliseconds(100);
      std::string Id = send();
      run(Id);
      m_Book.answered(Id, 200);
    }
    m_Book.finish(m_Now - seconds(5));
    expectNothing();
  }

  void testSecondRun() {
    std::string Again = send(RequestKind::Idempotent);
    run(Again);
    run(Again);
    expectNothing();
    std::string Once = send(RequestKind::Stream);
    run(Once);
    run(Once);
    expect("once");
  }

  void testRefusalThatIsNotTrue() {
    std::string Id = send();
    m_Book.answered(Id, 503);
    expectNothing();
    run(Id);
    expect("refusal");
  }

  void testRequestThatNobodySent() {
    m_Book.arrived("forged", "i-1", std::nullopt);
    expect("unasked");
  }

  void testDenied() {
    m_Book.answered(send(), 404);
    expect("denied");
  }

  void testLeavingTarget() {
    TimePoint LeftAt = m_Now;
    m_Now += milliseconds(1900);
    m_Book.arrived(send(), "i-1", LeftAt);
    expectNothing();
    m_Now += milliseconds(200);
    m_Book.arrived(send(), "i-1", LeftAt);
    expect("leaving");
  }

  void testLostAnswer() {
    std::string Untouched = send();
    m_Now += milliseconds(100);
    m_Book.unanswered(Untouched, "reset");
    std::string OfTarget = send();
    run(OfTarget);
    m_Book.targetTrouble(OfTarget);
    m_Book.unanswered(OfTarget, "reset");
    expectNothing();
    std::string Id = send();
    run(Id);
    m_Book.unanswered(Id, "reset");
    expect("lost");
  }

  void testPlannedStop() {
    m_Book.setStopping(0, true);
    std::string Id = send();
    run(Id);
    m_Book.unanswered(Id, "reset");
    expect("stop");
  }

  void testHeldBeyondItsTime() {
    std::string Id = send();
    run(Id);
    m_Book.targetTrouble(Id);
    m_Now += milliseconds(2600);
    m_Book.unanswered(Id, "time-out");
    expect("held");
  }

  void testTimeOverIsNotLost() {
    // A target that the request reached late begins its answer too late.
    std::string Late = send(RequestKind::Stream);
    run(Late);
    m_Now += milliseconds(2200);
    m_Book.unanswered(Late, "reset");
    expectNothing();
    std::string Early = send(RequestKind::Stream);
    run(Early);
    m_Now += milliseconds(1900);
    m_Book.unanswered(Early, "reset");
    expect("lost");
  }

  void testTroubleExcuses() {
    m_Book.processTrouble(0, true);
    m_Book.unanswered(send(), "reset");
    m_Book.processTrouble(0, false);
    TimePoint LeftAt = m_Now;
    m_Now += milliseconds(2500);
    m_Book.arrived(send(), "i-1", LeftAt);
    expectNothing();
    // The other gateway had no trouble, and later this one has none either.
    CPPUNIT_ASSERT(m_Book.isInTouchSince(1, m_Now));
    CPPUNIT_ASSERT(!m_Book.isInTouchSince(0, m_Now));
    CPPUNIT_ASSERT(m_Book.isInTouchSince(0, m_Now + seconds(1)));
    m_Book.storeTrouble(true);
    CPPUNIT_ASSERT(!m_Book.isInTouchSince(1, m_Now + seconds(9)));
  }

  void testQuota() {
    m_Book.setQuota("limited", {100, 100});
    // (100 x 8 + 100) x 1.1 + 2,800 tokens are allowed in 8 s.
    for (int I = 0; I < 38; ++I)
      run(send(RequestKind::NonIdempotent, "limited"));
    m_Book.finish(m_Now);
    expect("quota");
  }

  void testRetries() {
    for (int I = 0; I < 53; ++I) {
      std::string Id = send(RequestKind::Idempotent);
      run(Id);
      run(Id);
      m_Book.answered(Id, 200);
    }
    m_Book.finish(m_Now);
    // 53 of 53: a fifth of them and 52 are allowed.
    expectNothing();
    std::string Id = send(RequestKind::Idempotent);
    for (int I = 0; I < 14; ++I)
      run(Id);
    m_Book.answered(Id, 200);
    m_Book.finish(m_Now);
    expect("retries");
  }

  void testRecovery() {
    TimePoint CalmSince = m_Now;
    m_Book.answered(send(), 503);
    m_Now += seconds(4);
    for (int I = 0; I < 9; ++I)
      m_Book.answered(send(), 200);
    m_Book.answered(send(), 503);
    m_Book.finish(CalmSince);
    expectNothing();
    m_Book.answered(send(), 503);
    m_Book.finish(CalmSince);
    expect("recovery");
  }

  void testContentThatEndsTargets() {
    auto Come = [this](std::size_t Gateway) {
      Attempt What;
      What.m_Id = "a" + std::to_string(++m_Next);
      What.m_Kind = RequestKind::Idempotent;
      What.m_Gateway = Gateway;
      What.m_Content = "bad";
      What.m_SentAt = m_Now;
      m_Book.sent(What);
      m_Book.arrived(What.m_Id, "i-1", std::nullopt);
    };
    for (int I = 0; I < 3; ++I) {
      Come(0);
      m_Book.endedUnder("bad");
    }
    // Within the contact time, and by a gateway out of touch, it may.
    for (int I = 0; I < 9; ++I)
      Come(0);
    m_Now += bounds::Contact + milliseconds(1);
    m_Book.processTrouble(1, true);
    for (int I = 0; I < 9; ++I)
      Come(1);
    for (int I = 0; I < 3; ++I)
      Come(0);
    m_Book.finish(m_Now);
    expectNothing();
    Come(0);
    m_Book.finish(m_Now);
    expect("quarantine");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LedgerTest);
