//===-- PeerTableTest.cpp - Liveness, groups and followers of peers -------===//
#include "LibGateway/PeerTable.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PeerTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTableTest);
  CPPUNIT_TEST(testFirstReportMustBeFull);
  CPPUNIT_TEST(testReplayedReportIsDropped);
  CPPUNIT_TEST(testGroupPeerExpiresAndReturns);
  CPPUNIT_TEST(testOtherGroupPeerExpiresLater);
  CPPUNIT_TEST(testNewIncarnationReplacesOldOne);
  CPPUNIT_TEST(testFollowersBefore);
  CPPUNIT_TEST(testSilentFollowerIsNotCounted);
  CPPUNIT_TEST(testFleetChangeIsReportedOnce);
  CPPUNIT_TEST(testMessagesOfUnknownPeersAreAccepted);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t WallSeconds = 1000;
  const config::Endpoint m_Self{"10.1.0.1", 7600};
  PeerTable m_Table{m_Self};
  core::TimePoint m_Now{std::chrono::hours(1)};
  std::uint64_t m_Sequence = 0;

  static config::Endpoint address(std::size_t Index) {
    return {"10.1.0." + std::to_string(10 + Index), 7600};
  }
  peer::PeerMessage message(std::uint64_t Incarnation, std::size_t Index) {
    peer::PeerMessage Out;
    Out.m_From = {core::IncarnationId(Incarnation), address(Index)};
    Out.m_Sequence = ++m_Sequence;
    Out.m_WallSeconds = WallSeconds;
    return Out;
  }
  PeerTable::ReportResult handle(std::uint64_t Incarnation, std::size_t Index,
                                 bool IsFull = true, bool IsFollower = false) {
    peer::LoadReport Report;
    Report.m_IsFull = IsFull;
    Report.m_DataHall = core::DataHallName("hall");
    Report.m_IsStoreConnected = IsFollower;
    return m_Table.handle(message(Incarnation, Index), Report, m_Now,
                          WallSeconds);
  }
  /// Puts this instance and its peers into one group.
  void useOneGroup(std::size_t Count) {
    routing::FleetSubset::Fleet Fleet{{m_Self, core::DataHallName("hall")}};
    for (std::size_t I = 0; I < Count; ++I)
      Fleet[address(I)] = core::DataHallName("hall");
    m_Table.setSubset(routing::FleetSubset(m_Self, Fleet));
  }

public:
  void testFirstReportMustBeFull() {
    CPPUNIT_ASSERT(!handle(1, 0, false).m_IsNew);
    CPPUNIT_ASSERT(m_Table.all().empty());
    CPPUNIT_ASSERT(handle(1, 0).m_IsNew);
    CPPUNIT_ASSERT(!handle(1, 0, false).m_IsNew);
    const LivePeer *Peer = m_Table.find(core::IncarnationId(1));
    CPPUNIT_ASSERT(Peer->m_Report.m_DataHall.value() == "hall");
  }

  void testReplayedReportIsDropped() {
    handle(1, 0);
    --m_Sequence;
    CPPUNIT_ASSERT(*handle(1, 0).m_Dropped == peer::DropReason::Replayed);
  }

  void testGroupPeerExpiresAndReturns() {
    handle(1, 0, true, true);
    useOneGroup(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.groupPeers().size());
    m_Now += milliseconds(800);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.expire(m_Now).size());
    CPPUNIT_ASSERT(m_Table.expire(m_Now).empty());
    // Its report does not count any more, but it still belongs to the fleet.
    CPPUNIT_ASSERT(m_Table.groupPeers().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Table.followerCount());
    CPPUNIT_ASSERT(m_Table.isKnown(address(0)));
    CPPUNIT_ASSERT(!handle(1, 0, false).m_IsNew);
    CPPUNIT_ASSERT(m_Table.groupPeers().empty());
    CPPUNIT_ASSERT(handle(1, 0).m_IsNew);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.groupPeers().size());
  }

  void testOtherGroupPeerExpiresLater() {
    handle(1, 0);
    m_Now += seconds(9);
    CPPUNIT_ASSERT(m_Table.expire(m_Now).empty());
    CPPUNIT_ASSERT(m_Table.isKnown(address(0)));
    m_Now += seconds(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.expire(m_Now).size());
    CPPUNIT_ASSERT(m_Table.all().empty());
    CPPUNIT_ASSERT(!m_Table.isKnown(address(0)));
  }

  void testNewIncarnationReplacesOldOne() {
    handle(1, 0);
    handle(2, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.all().size());
    CPPUNIT_ASSERT(m_Table.find(core::IncarnationId(2)));
    CPPUNIT_ASSERT(m_Table.isKnown(address(0)));
  }

  void testFollowersBefore() {
    // About half of the followers precede this instance in the hash order.
    for (std::size_t I = 0; I < 40; ++I)
      handle(I + 1, I, true, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(40), m_Table.followerCount());
    std::size_t Before = m_Table.followersBefore();
    CPPUNIT_ASSERT(Before > 5 && Before < 35);
    for (std::size_t I = 0; I < 40; ++I)
      handle(I + 1, I, false, false);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Table.followerCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Table.followersBefore());
  }

  void testSilentFollowerIsNotCounted() {
    handle(1, 0, true, true);
    CPPUNIT_ASSERT(*m_Table.firstFollower() == address(0));
    m_Now += seconds(2);
    m_Table.expire(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.followerCount());
    m_Now += seconds(1);
    m_Table.expire(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Table.followerCount());
    CPPUNIT_ASSERT(!m_Table.firstFollower());
    // It is still known, and counts again after its next report.
    handle(1, 0, true, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Table.followerCount());
  }

  void testFleetChangeIsReportedOnce() {
    m_Table.consumeFleetChange();
    handle(1, 0);
    CPPUNIT_ASSERT(m_Table.consumeFleetChange());
    handle(1, 0);
    CPPUNIT_ASSERT(!m_Table.consumeFleetChange());
    m_Now += seconds(11);
    m_Table.expire(m_Now);
    CPPUNIT_ASSERT(m_Table.consumeFleetChange());
  }

  void testMessagesOfUnknownPeersAreAccepted() {
    peer::PeerMessage Message = message(1, 0);
    CPPUNIT_ASSERT(!m_Table.check(Message, m_Now, WallSeconds));
    handle(1, 0);
    CPPUNIT_ASSERT(*m_Table.check(Message, m_Now, WallSeconds) ==
                   peer::DropReason::Replayed);
    CPPUNIT_ASSERT(!m_Table.check(message(1, 0), m_Now, WallSeconds));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTableTest);
