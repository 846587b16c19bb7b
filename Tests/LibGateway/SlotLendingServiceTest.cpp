//===-- SlotLendingServiceTest.cpp - Messages that lend slots -------------===//
//
// Guards against questions, grants and returns that get lost between the two
// groups: in the translation, at the wrong service, or on the way.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/SlotLendingService.h"
#include "LibGateway/SlotService.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <deque>

using namespace yardrill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// What a gateway has for the slots of others.
struct Side {
  using Send = gateway::SlotService::Send;

  Side(const config::Endpoint &Self, const routing::FleetSubset::Fleet &Fleet,
       const Send &Hook)
      : m_Dispatcher(m_Targets, core::DataHallName("hall"),
                     routing::PlacementPolicy::LeastPredictedWait,
                     {[](core::RequestId, const routing::Target &) {},
                      [this](core::RequestId) { ++m_Refused; },
                      {},
                      [this](core::RequestId Id) { m_Lending.recordEnd(Id); },
                      [this](const routing::PlacementRequest &Request,
                             core::TimePoint Now) {
                        return m_Lending.awaitSlotFor(Request, Now);
                      }}),
        m_Slots(m_Dispatcher, m_Targets, m_Metrics, Hook),
        m_Lending(m_Dispatcher, m_Targets, m_Slots.leases(),
                  core::DataHallName("hall"), m_Metrics, {Hook, [] {}}) {
    m_Dispatcher.setOverload(routing::OverloadSettings());
    for (int I = 0; I < 12; ++I) {
      routing::Target Announced;
      Announced.m_Name = core::TargetName("t-" + std::to_string(I));
      Announced.m_Pool = core::PoolName("pool");
      Announced.m_Slots = 1;
      m_Targets.announce(Announced);
    }
    m_Targets.setSubset(routing::FleetSubset(Self, Fleet, 8));
  }
  /// Returns how many slots of the own subset are free.
  std::size_t freeSlots() {
    std::size_t Out = 0;
    for (auto *Each : m_Targets.subsetOf(core::PoolName("pool")))
      Out += Each->running() == 0 ? 1 : 0;
    return Out;
  }
  bool hasCounted(const std::string &Line) const {
    return m_Metrics.exposition().find(Line + "\n") != std::string::npos;
  }

  int m_Refused = 0;
  routing::TargetDirectory m_Targets;
  routing::Dispatcher m_Dispatcher;
  metrics::MetricsRegistry m_Metrics;
  gateway::SlotService m_Slots;
  gateway::SlotLendingService m_Lending;
};

} // namespace

class SlotLendingServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotLendingServiceTest);
  CPPUNIT_TEST(testBorrowsAndReturns);
  CPPUNIT_TEST(testAsksBeforeItRefuses);
  CPPUNIT_TEST(testLostAnswerEndsWithItsLease);
  CPPUNIT_TEST(testStoppingInstanceGrantsNothing);
  CPPUNIT_TEST_SUITE_END();

  struct Datagram {
    bool m_IsToLender = false;
    config::Endpoint m_From;
    peer::PeerBody m_Body;
  };

  static config::Endpoint address(std::size_t Index) {
    return {"10.0.0." + std::to_string(Index + 1), 7600};
  }
  static routing::FleetSubset::Fleet fleet() {
    routing::FleetSubset::Fleet Out;
    for (std::size_t I = 0; I < 16; ++I)
      Out[address(I)] = core::DataHallName("hall");
    return Out;
  }
  /// Returns an instance of the other group.
  static config::Endpoint lenderAddress() {
    routing::FleetSubset Division(address(0), fleet(), 8);
    std::size_t I = 1;
    while (Division.isGroupPeer(address(I)))
      ++I;
    return address(I);
  }

  core::TimePoint m_Now{std::chrono::hours(1)};
  std::deque<Datagram> m_Sent;
  // One instance answers for all of the other group.
  Side m_Borrower{address(0), fleet(),
                  [this](const config::Endpoint &, const peer::PeerBody &Body) {
                    m_Sent.push_back({true, address(0), Body});
                  }};
  Side m_Lender{lenderAddress(), fleet(),
                [this](const config::Endpoint &, const peer::PeerBody &Body) {
                  m_Sent.push_back({false, lenderAddress(), Body});
                }};

  void deliver() {
    while (!m_Sent.empty()) {
      Datagram Next = m_Sent.front();
      m_Sent.pop_front();
      peer::PeerMessage Message;
      Message.m_From.m_Peer = Next.m_From;
      Message.m_Body = Next.m_Body;
      Side &To = Next.m_IsToLender ? m_Lender : m_Borrower;
      To.m_Slots.handle(Message, m_Now);
      To.m_Lending.handle(Message, m_Now);
    }
  }
  /// Lets a request wait at the borrower, whose slots are all taken.
  void placeAndAsk(core::Duration Objective = seconds(2)) {
    core::PoolName Pool("pool");
    for (auto *Each : m_Borrower.m_Targets.subsetOf(Pool))
      if (Each->running() == 0)
        m_Borrower.m_Targets.tryStartRequest(Each->m_Target.incarnation(), 0,
                                             m_Now);
    routing::PlacementRequest Request;
    Request.m_Request = core::RequestId(1);
    Request.m_Pool = Pool;
    Request.m_IsInference = true;
    Request.m_ArrivedAt = m_Now;
    Request.m_FirstByteDue = m_Now + Objective;
    Request.m_FirstEventDeadline = Request.m_EndsAt = m_Now + seconds(9);
    m_Borrower.m_Dispatcher.place(Request, m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Borrower.m_Dispatcher.waiting());
    m_Borrower.m_Lending.update(m_Now);
  }

public:
  void testAsksBeforeItRefuses() {
    // Shorter than a first event takes: no time is left to wait for a slot.
    placeAndAsk(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Sent.size());
    m_Sent.clear();
    m_Now += milliseconds(50);
    m_Borrower.m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(0, m_Borrower.m_Refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Sent.size());
    // The question has timed out.
    m_Now += milliseconds(50);
    m_Borrower.m_Dispatcher.dispatchWaiting(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Sent.size());
    CPPUNIT_ASSERT_EQUAL(1, m_Borrower.m_Refused);
  }

  void testBorrowsAndReturns() {
    placeAndAsk();
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Sent.size());
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Borrower.m_Dispatcher.waiting());
    // The second grant has come back.
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_Lender.freeSlots());
    CPPUNIT_ASSERT(m_Lender.hasCounted("yardrill_slots_lent_total 2"));
    CPPUNIT_ASSERT(m_Borrower.hasCounted("yardrill_slots_borrowed_total 1"));
    CPPUNIT_ASSERT(m_Borrower.hasCounted("yardrill_borrow_questions_total 1"));
    m_Now += milliseconds(500);
    m_Borrower.m_Dispatcher.recordEnd(core::RequestId(1), m_Now);
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_Lender.freeSlots());
  }

  /// A borrower that exits looks the same: no return comes.
  void testLostAnswerEndsWithItsLease() {
    placeAndAsk();
    auto Questions = m_Sent;
    m_Sent.clear();
    for (const Datagram &Each : Questions) {
      peer::PeerMessage Message;
      Message.m_From.m_Peer = Each.m_From;
      Message.m_Body = Each.m_Body;
      m_Lender.m_Lending.handle(Message, m_Now);
    }
    m_Sent.clear(); // The answers.
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), m_Lender.freeSlots());
    m_Now += routing::SlotLending::MaxLeaseTime;
    m_Lender.m_Slots.upkeep(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_Lender.freeSlots());
    // The request has not stopped to ask.
    m_Borrower.m_Lending.update(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_Sent.size());
  }

  void testStoppingInstanceGrantsNothing() {
    m_Lender.m_Lending.setStopping();
    placeAndAsk();
    deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Borrower.m_Dispatcher.waiting());
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), m_Lender.freeSlots());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotLendingServiceTest);
