//===-- SlotLendingTest.cpp - Lending slots between groups ----------------===//
//
// Guards against free slots that other groups can't use, against lending what
// the own group needs, against slots that stay taken after a message is lost or
// an instance exits, and against a flood of questions in a shortage everywhere.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/SlotLending.h"
#include "LibRouting/SlotBorrowing.h"
#include "LibRouting/SlotExchange.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

class SlotLendingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotLendingTest);
  CPPUNIT_TEST(testAsksTwoAndUsesOne);
  CPPUNIT_TEST(testPrefersLocalDataHall);
  CPPUNIT_TEST(testAsksAgainOnlyAfterTimeout);
  CPPUNIT_TEST(testAsksNobodyWithoutOtherGroups);
  CPPUNIT_TEST(testAsksOnlyWithObjective);
  CPPUNIT_TEST(testAsksNobodyWithFreeSlots);
  CPPUNIT_TEST(testLateGrantIsReturnedOrUsedByAnother);
  CPPUNIT_TEST(testQuestionsFallOffAndRecover);
  CPPUNIT_TEST(testHerdLeavesReserve);
  CPPUNIT_TEST(testLendsNothingThatItsGroupNeeds);
  CPPUNIT_TEST(testLendsOnlySoundTargets);
  CPPUNIT_TEST(testLendsInDataHallOfBorrower);
  CPPUNIT_TEST(testLostMessagesCostALeaseTime);
  CPPUNIT_TEST(testTargetLeavesMeanwhile);
  CPPUNIT_TEST(testRestartedLenderIgnoresReturn);
  CPPUNIT_TEST(testBorrowedSlotIsNotHandedOver);
  CPPUNIT_TEST(testReturnedWhenRequestEnds);
  CPPUNIT_TEST(testNothingHappensWhenOff);
  CPPUNIT_TEST_SUITE_END();

  static config::Endpoint address(int Number) {
    return {"10.0.0." + std::to_string(Number), 7600};
  }

  core::TimePoint m_Now{std::chrono::hours(1)};
  const core::PoolName m_Pool{"pool"};
  const core::DataHallName m_Hall{"hall-1"};

  // The borrower, in one of two groups. All slots of its subset are taken.
  std::mt19937_64 m_Random{1};
  FleetSubset::Fleet m_Fleet;
  TargetIncarnation m_Borrowed; ///< A target of the other group.
  TargetDirectory m_OwnTargets;
  Dispatcher m_Requests{
      m_OwnTargets,
      m_Hall,
      PlacementPolicy::LeastPredictedWait,
      {[](core::RequestId, const Target &) {},
       [](core::RequestId) {},
       {},
       [this](core::RequestId Id) { m_Borrower.recordEnd(Id); }}};
  std::vector<std::pair<config::Endpoint, SlotQuestion>> m_Asked;
  std::vector<std::pair<config::Endpoint, SlotLeaseId>> m_Returned;
  SlotBorrowing m_Borrower{
      m_Requests,
      m_Hall,
      1,
      {[this](const core::PoolName &Pool) {
         return m_OwnTargets.instancesOutsideSubset(Pool);
       },
       [this](const config::Endpoint &To, const SlotQuestion &Question) {
         m_Asked.emplace_back(To, Question);
       },
       [this](const TargetIncarnation &Target, core::TimePoint Now) {
         return m_Requests.sendWaitingToLent(Target, Now);
       },
       [this](const config::Endpoint &To, SlotLeaseId Lease) {
         m_Returned.emplace_back(To, Lease);
       },
       [this] {
         return std::uniform_real_distribution<double>(0, 1)(m_Random);
       }}};

  // The lender.
  TargetDirectory m_Targets;
  Dispatcher m_Dispatcher{
      m_Targets,
      core::DataHallName("b"),
      PlacementPolicy::LeastPredictedWait,
      {[](core::RequestId, const Target &) {}, [](core::RequestId) {}, {}, {}}};
  SlotLeases m_Leases{m_Targets, 1000};
  SlotLending m_Lender{m_Targets, m_Dispatcher, m_Leases};

  PlacementRequest request(std::uint64_t Id) const {
    PlacementRequest Out;
    Out.m_Request = core::RequestId(Id);
    Out.m_Pool = m_Pool;
    Out.m_IsInference = true;
    Out.m_ArrivedAt = m_Now;
    Out.m_FirstByteDue = m_Now + seconds(1);
    Out.m_FirstEventDeadline = m_Now + seconds(5);
    Out.m_EndsAt = m_Now + seconds(10);
    return Out;
  }
  /// Adds a waiting request and lets it ask.
  void wait(std::uint64_t Id) {
    m_Requests.place(request(Id), m_Now);
    m_Borrower.update(m_Now);
  }
  /// Lets time pass; all waiting requests ask when they may.
  void advance(core::Duration Time) {
    for (core::TimePoint End = m_Now + Time; m_Now < End;) {
      m_Now += milliseconds(20);
      m_Borrower.update(m_Now);
    }
  }
  void grantAll(SlotLeaseId Lease) {
    auto Asked = std::move(m_Asked);
    m_Asked.clear();
    for (const auto &[To, Question] : Asked)
      m_Borrower.handleGrant(To, Question.m_Id, Lease++, m_Borrowed, m_Now);
  }
  Target target(int Number, std::size_t Slots = 5,
                const std::string &Hall = "b") const {
    Target Out;
    Out.m_Name = core::TargetName("t-" + std::to_string(Number));
    Out.m_Pool = m_Pool;
    Out.m_DataHall = core::DataHallName(Hall);
    Out.m_Slots = Slots;
    return Out;
  }
  Target announce(int Number, std::size_t Slots = 5,
                  const std::string &Hall = "b") {
    Target Out = target(Number, Slots, Hall);
    m_Targets.announce(Out);
    return Out;
  }
  std::optional<SlotLease> lend(core::Duration Expected = seconds(1)) {
    SlotQuestion Question;
    Question.m_Id = 7;
    Question.m_Pool = m_Pool;
    Question.m_ExpectedTime = Expected;
    return m_Lender.grant(Question, {address(9), m_Hall}, m_Now);
  }
  void fillSubset() {
    for (KnownTarget *Each : m_OwnTargets.subsetOf(m_Pool))
      if (Each->running() < Each->m_Target.m_Slots)
        m_OwnTargets.tryStartRequest(Each->m_Target.incarnation(), 0, m_Now);
  }
  std::size_t freeSlots() {
    std::size_t Out = 0;
    for (const KnownTarget *Each : m_Targets.subsetOf(m_Pool))
      Out += Each->m_Target.m_Slots - Each->running();
    return Out;
  }

public:
  void setUp() override {
    m_Requests.setOverload(OverloadSettings());
    m_Dispatcher.setOverload(OverloadSettings());
    for (int I = 1; I <= 16; ++I)
      m_Fleet[address(I)] = I % 4 == 0 ? m_Hall : core::DataHallName("b");
    for (int I = 0; I < 12; ++I)
      m_OwnTargets.announce(target(I, 1));
    m_OwnTargets.setSubset(FleetSubset(address(1), m_Fleet, 8));
    const auto &Subset = m_OwnTargets.subsetOf(m_Pool);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Subset.size());
    for (KnownTarget *Each : m_OwnTargets.allTargetsOf(m_Pool))
      if (std::find(Subset.begin(), Subset.end(), Each) == Subset.end())
        m_Borrowed = Each->m_Target.incarnation();
    fillSubset();
  }

  void testAsksTwoAndUsesOne() {
    wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Asked.size());
    config::Endpoint First = m_Asked[0].first;
    config::Endpoint Second = m_Asked[1].first;
    CPPUNIT_ASSERT(!(First == Second));
    grantAll(50);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Requests.waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returned.size());
    CPPUNIT_ASSERT(m_Returned[0] == std::make_pair(Second, SlotLeaseId(51)));
    m_Borrower.recordEnd(core::RequestId(1));
    m_Borrower.recordEnd(core::RequestId(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Returned.size());
    CPPUNIT_ASSERT(m_Returned[1] == std::make_pair(First, SlotLeaseId(50)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_Borrower.borrowedCount());
  }

  /// Traffic between data halls costs, and so one of the two instances is a
  /// near one where there is one.
  void testPrefersLocalDataHall() {
    FleetSubset Division(address(1), m_Fleet, 8);
    for (std::uint64_t Id = 1; Id <= 20; ++Id) {
      m_Asked.clear();
      wait(Id);
      CPPUNIT_ASSERT(
          std::any_of(m_Asked.begin(), m_Asked.end(), [&](const auto &Each) {
            return m_Fleet[Each.first] == m_Hall;
          }));
      for (const auto &[To, Question] : m_Asked) {
        CPPUNIT_ASSERT(!Division.isGroupPeer(To));
        CPPUNIT_ASSERT_EQUAL(m_Fleet[To], m_OwnTargets.dataHallOf(To));
      }
      grantAll(1);
    }
  }

  void testAsksAgainOnlyAfterTimeout() {
    wait(1);
    std::size_t Once = m_Asked.size();
    advance(milliseconds(80));
    CPPUNIT_ASSERT_EQUAL(Once, m_Asked.size());
    advance(milliseconds(20));
    CPPUNIT_ASSERT_GREATER(Once, m_Asked.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_Borrower.questionCount());
  }

  void testAsksNobodyWithoutOtherGroups() {
    m_OwnTargets.setSubset(FleetSubset());
    fillSubset();
    wait(1);
    advance(seconds(2));
    CPPUNIT_ASSERT(m_Asked.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_Borrower.questionCount());
  }

  void testAsksOnlyWithObjective() {
    PlacementRequest Request = request(1);
    Request.m_FirstByteDue = Request.m_FirstEventDeadline;
    m_Requests.place(Request, m_Now);
    advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Requests.waiting());
    CPPUNIT_ASSERT(m_Asked.empty());
  }

  /// A request may wait although slots are free, for example behind others.
  void testAsksNobodyWithFreeSlots() {
    m_Requests.place(request(1), m_Now);
    m_OwnTargets.recordEnd(
        m_OwnTargets.subsetOf(m_Pool).front()->m_Target.incarnation(), 0);
    advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Requests.waiting());
    CPPUNIT_ASSERT(m_Asked.empty());
  }

  void testLateGrantIsReturnedOrUsedByAnother() {
    wait(1);
    m_Requests.withdraw(core::RequestId(1)); // Served by its own group.
    advance(seconds(1));
    auto Asked = m_Asked;
    grantAll(50);
    CPPUNIT_ASSERT_EQUAL(Asked.size(), m_Returned.size());
    m_Returned.clear();
    m_Asked = {Asked.front()};
    m_Requests.place(request(2), m_Now);
    grantAll(60);
    CPPUNIT_ASSERT(m_Returned.empty());
    m_Borrower.recordEnd(core::RequestId(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returned.size());
  }

  /// In a shortage everywhere, a question costs a fleet of any size four
  /// datagrams, two questions a second from each instance. A caller must not
  /// notice for long that it has ended.
  void testQuestionsFallOffAndRecover() {
    for (std::uint64_t Id = 1; Id <= 20; ++Id)
      wait(Id);
    advance(seconds(10));
    std::uint64_t Before = m_Borrower.questionCount();
    m_Asked.clear();
    advance(seconds(10));
    std::uint64_t InShortage = m_Borrower.questionCount() - Before;
    CPPUNIT_ASSERT_LESSEQUAL(std::uint64_t(30), InShortage);
    CPPUNIT_ASSERT_GREATEREQUAL(std::uint64_t(15), InShortage);
    CPPUNIT_ASSERT_LESSEQUAL(2 * InShortage, std::uint64_t(m_Asked.size()));
    m_Asked.clear();
    for (SlotLeaseId I = 0; I < 10; ++I) {
      advance(milliseconds(100));
      grantAll(100 * I + 1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Requests.waiting());
  }

  void testHerdLeavesReserve() {
    for (int I = 0; I < 4; ++I)
      announce(I);
    for (int I = 0; I < 4; ++I)
      m_Targets.tryStartRequest(target(I).incarnation(), 0, m_Now);
    std::size_t Granted = 0;
    for (int I = 0; I < 100; ++I)
      Granted += lend() ? 1 : 0;
    CPPUNIT_ASSERT_GREATER(std::size_t(0), Granted);
    CPPUNIT_ASSERT_EQUAL(Granted, m_Leases.size());
    double Reserve = m_Lender.reservedSlots(m_Pool, m_Now);
    // Two standard deviations of an offered load of four slots.
    CPPUNIT_ASSERT_GREATEREQUAL(4.0, Reserve);
    CPPUNIT_ASSERT_GREATEREQUAL(Reserve, static_cast<double>(freeSlots()));
    // All of it comes back.
    m_Now += SlotLending::MaxLeaseTime;
    m_Leases.releaseExpired(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(16), freeSlots());
  }

  void testLendsNothingThatItsGroupNeeds() {
    announce(0);
    TierDemand Waits;
    Waits.m_Waiting = 1;
    ReportedDemand Reported{{hashOf(m_Pool), {{Priority(), Waits}}}};
    m_Dispatcher.demand().setPeers({{address(4), Reported}});
    CPPUNIT_ASSERT(!lend());
    m_Dispatcher.demand().setPeers({});
    CPPUNIT_ASSERT(lend());
  }

  void testLendsOnlySoundTargets() {
    Target Only = announce(0);
    CPPUNIT_ASSERT(lend());
    TargetIncarnation Incarnation = Only.incarnation();
    m_Targets.setDrained(Only.m_DataHall, true, m_Now);
    CPPUNIT_ASSERT(!lend());
    m_Targets.setDrained(Only.m_DataHall, false, m_Now);
    CPPUNIT_ASSERT(lend());
    m_Targets.recordFailure(Incarnation, TargetFailure::Refused, m_Now);
    CPPUNIT_ASSERT(!lend()); // Cooldown.
    m_Targets.recordFailure(Incarnation, TargetFailure::Refused, m_Now);
    m_Now += seconds(3);
    CPPUNIT_ASSERT(!lend()); // Probation.
    m_Targets.recordSuccess(Incarnation);
    CPPUNIT_ASSERT(lend());
    TargetBackpressure Limited;
    Limited.m_RequestsPerSecond = 100;
    m_Targets.throttles().update(Incarnation, Limited, m_Now);
    CPPUNIT_ASSERT(!lend());
  }

  void testLendsInDataHallOfBorrower() {
    announce(0);
    Target Near = announce(1, 5, m_Hall.value());
    auto Lease = lend();
    CPPUNIT_ASSERT(Lease && Lease->m_Target == Near.incarnation());
  }

  /// A lost grant, a lost return and a borrower that exits look alike: nothing
  /// comes back. The slot is free again after twice the expected time, and the
  /// borrower has asked somebody else long before.
  void testLostMessagesCostALeaseTime() {
    announce(0, 2);
    CPPUNIT_ASSERT(lend(seconds(2)));
    CPPUNIT_ASSERT(!lend());
    m_Now += milliseconds(3999);
    CPPUNIT_ASSERT(m_Leases.releaseExpired(m_Now).empty());
    m_Now += milliseconds(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Leases.releaseExpired(m_Now).size());
    CPPUNIT_ASSERT(lend(seconds(3600)));
    m_Now += SlotLending::MaxLeaseTime;
    m_Leases.releaseExpired(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), freeSlots());
  }

  void testTargetLeavesMeanwhile() {
    Target Leaving = announce(0);
    auto Lease = lend();
    CPPUNIT_ASSERT(Lease);
    Leaving.m_IsLeaving = true;
    m_Targets.announce(Leaving);
    CPPUNIT_ASSERT(!lend());
    // Its next incarnation has no lease, and the return takes nothing from it.
    Leaving.m_IsLeaving = false;
    Leaving.m_StartTime = core::TargetStartTime(5);
    m_Targets.announce(Leaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), freeSlots());
    CPPUNIT_ASSERT(lend());
    m_Leases.release(Lease->m_Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), freeSlots());
  }

  void testRestartedLenderIgnoresReturn() {
    announce(0);
    auto Lease = lend();
    CPPUNIT_ASSERT(Lease);
    SlotLeases Restarted(m_Targets, 77);
    CPPUNIT_ASSERT(!Restarted.release(Lease->m_Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), freeSlots());
  }

  /// A slot that comes free is offered to group peers, but this one is not the
  /// group's.
  void testBorrowedSlotIsNotHandedOver() {
    SlotExchange Exchange(m_Requests, m_OwnTargets, 1,
                          {[](const config::Endpoint &, const SlotGrant &) {},
                           [](const config::Endpoint &, SlotLeaseId) {},
                           [] { return 0.5; }});
    TierDemand Waits;
    Waits.m_Waiting = 1;
    ReportedDemand Reported{{hashOf(m_Pool), {{Priority(), Waits}}}};
    m_Requests.demand().setPeers({{address(2), Reported}});
    CPPUNIT_ASSERT(!Exchange.handleFreedSlot(m_Borrowed, m_Now));
    TargetIncarnation Own =
        m_OwnTargets.subsetOf(m_Pool).front()->m_Target.incarnation();
    m_OwnTargets.recordEnd(Own, 0);
    CPPUNIT_ASSERT(Exchange.handleFreedSlot(Own, m_Now));
  }

  void testReturnedWhenRequestEnds() {
    wait(1);
    m_Asked.resize(1);
    grantAll(50);
    CPPUNIT_ASSERT(m_Returned.empty());
    m_Requests.recordEnd(core::RequestId(1), m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Returned.size());
  }

  void testNothingHappensWhenOff() {
    OverloadSettings Off;
    Off.m_SlotLending = false;
    m_Requests.setOverload(Off);
    m_Dispatcher.setOverload(Off);
    announce(0);
    wait(1);
    advance(seconds(1));
    CPPUNIT_ASSERT(m_Asked.empty());
    CPPUNIT_ASSERT(!lend());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotLendingTest);
