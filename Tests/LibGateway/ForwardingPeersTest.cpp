//===-- ForwardingPeersTest.cpp - Which peer gets a request ---------------===//
//
// Guards against requests that are forwarded to peers that can't serve them,
// and against one peer that gets those of all instances that are cut off.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/ForwardingPeers.h"

#include "LibRouting/TierDemand.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;

class ForwardingPeersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ForwardingPeersTest);
  CPPUNIT_TEST(testOnlyPeersThatReachThePoolAreChosen);
  CPPUNIT_TEST(testEachPeerIsOfferedARequestOnce);
  CPPUNIT_TEST(testNoPeerGetsAll);
  CPPUNIT_TEST(testRequestStaysInItsRegions);
  CPPUNIT_TEST(testBusyPeersAreAvoided);
  CPPUNIT_TEST(testFailedPeerIsLeftOutForAMoment);
  CPPUNIT_TEST(testForwardedRequestsAreBounded);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t Wall = 1800000000;
  core::TimePoint m_Now = core::TimePoint() + std::chrono::hours(1);
  core::PoolName m_Pool{"pool"};
  config::Endpoint m_Self{"10.0.0.1", 7600};
  PeerTable m_Table{m_Self};
  ForwardingPeers m_Chooser{
      [this]() -> const PeerTable & { return m_Table; },
      core::DataHallName("hall"),
      {{core::DataHallName("hall"), core::RegionName("here")},
       {core::DataHallName("near"), core::RegionName("here")},
       {core::DataHallName("home"), core::RegionName("home")},
       {core::DataHallName("far"), core::RegionName("far")}},
      1};

  static config::Endpoint address(int Number) {
    return {"10.0.0." + std::to_string(Number), 7600};
  }
  peer::LoadReport report() const {
    peer::LoadReport Out;
    Out.m_Name = core::InstanceName("peer");
    Out.m_DataHall = core::DataHallName("hall");
    Out.m_StoreRevision = 1;
    return Out;
  }
  void add(int Number, const peer::LoadReport &Report) {
    peer::PeerMessage Message;
    Message.m_From = {core::IncarnationId(static_cast<std::uint64_t>(Number)),
                      address(Number)};
    Message.m_Sequence = 1;
    Message.m_WallSeconds = Wall;
    m_Table.handle(Message, Report, m_Now, Wall);
  }
  std::map<config::Endpoint, int> chooseOften(int Count) {
    std::map<config::Endpoint, int> Out;
    for (int I = 0; I < Count; ++I) {
      auto Chosen = m_Chooser.choose(m_Pool, std::nullopt, {}, m_Now);
      CPPUNIT_ASSERT(Chosen.has_value());
      ++Out[*Chosen];
    }
    return Out;
  }

public:
  void testOnlyPeersThatReachThePoolAreChosen() {
    peer::LoadReport Lost = report();
    Lost.m_LostPools = {routing::hashOf(m_Pool)};
    add(2, Lost);
    peer::LoadReport Stopping = report();
    Stopping.m_IsStopping = true;
    add(3, Stopping);
    peer::LoadReport Empty = report();
    Empty.m_StoreRevision = 0;
    add(4, Empty);
    CPPUNIT_ASSERT(!m_Chooser.hasPeer(m_Pool, std::nullopt, m_Now));
    peer::LoadReport OtherLost = report();
    OtherLost.m_LostPools = {routing::hashOf(core::PoolName("other"))};
    add(5, OtherLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), chooseOften(50).size());
    CPPUNIT_ASSERT(*m_Chooser.choose(m_Pool, std::nullopt, {}, m_Now) ==
                   address(5));
  }
  void testEachPeerIsOfferedARequestOnce() {
    std::set<config::Endpoint> Tried;
    for (int I = 2; I < 5; ++I)
      add(I, report());
    for (int I = 2; I < 5; ++I)
      CPPUNIT_ASSERT(
          Tried.insert(*m_Chooser.choose(m_Pool, std::nullopt, Tried, m_Now))
              .second);
    CPPUNIT_ASSERT(!m_Chooser.choose(m_Pool, std::nullopt, Tried, m_Now));
  }
  void testNoPeerGetsAll() {
    static constexpr int Peers = 40;
    for (int I = 2; I < 2 + Peers; ++I)
      add(I, report());
    for (const auto &[Peer, Count] : chooseOften(Peers * 50))
      CPPUNIT_ASSERT(Count < 100);
  }
  void testRequestStaysInItsRegions() {
    int Next = 2;
    for (const char *Hall : {"near", "home", "far", "unknown"}) {
      peer::LoadReport Report = report();
      Report.m_DataHall = core::DataHallName(Hall);
      add(Next++, Report);
    }
    routing::AllowedRegions Allowed =
        std::set<core::RegionName>{core::RegionName("home")};
    std::set<config::Endpoint> Chosen;
    for (int I = 0; I < 200; ++I)
      Chosen.insert(*m_Chooser.choose(m_Pool, Allowed, {}, m_Now));
    CPPUNIT_ASSERT((Chosen == std::set{address(2), address(3)}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), chooseOften(200).size());
  }
  void testBusyPeersAreAvoided() {
    peer::LoadReport Busy = report();
    Busy.m_HasWaitingRequests = true;
    add(2, Busy);
    add(3, report());
    std::map<config::Endpoint, int> Chosen = chooseOften(400);
    // Both draws hit the busy peer in a quarter of the cases.
    CPPUNIT_ASSERT(Chosen[address(2)] < 150);
  }
  void testFailedPeerIsLeftOutForAMoment() {
    add(2, report());
    m_Chooser.recordFailure(address(2), m_Now);
    CPPUNIT_ASSERT(!m_Chooser.hasPeer(m_Pool, std::nullopt, m_Now));
    CPPUNIT_ASSERT(m_Chooser.hasPeer(m_Pool, std::nullopt,
                                     m_Now + std::chrono::seconds(1)));
  }
  void testForwardedRequestsAreBounded() {
    add(2, report());
    for (std::size_t I = 0; I < ForwardingPeers::MaxOpen; ++I)
      m_Chooser.recordStart(address(2));
    CPPUNIT_ASSERT(!m_Chooser.hasPeer(m_Pool, std::nullopt, m_Now));
    m_Chooser.recordEnd(address(2));
    CPPUNIT_ASSERT(m_Chooser.hasPeer(m_Pool, std::nullopt, m_Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingPeersTest);
