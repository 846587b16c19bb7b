//===-- SlotHandoverTest.cpp - Which instance gets a freed slot -----------===//
//
// Guards against slots that go to a lower tier while a higher one waits at a
// group peer, and against more grants to a peer than requests wait there.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/SlotHandover.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class SlotHandoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotHandoverTest);
  CPPUNIT_TEST(testHigherTierAtPeerGetsTheSlot);
  CPPUNIT_TEST(testEqualTierStaysLocal);
  CPPUNIT_TEST(testAnyTierGetsWhatNobodyNeedsHere);
  CPPUNIT_TEST(testChoiceIsWeightedByWhatWaits);
  CPPUNIT_TEST(testGrantsAreSubtractedUntilReported);
  CPPUNIT_TEST(testReturnEndsOffersUntilReported);
  CPPUNIT_TEST_SUITE_END();

  static constexpr PoolHash Pool = 7;
  core::TimePoint m_Now{std::chrono::hours(1)};
  SlotHandover m_Handover;
  SlotHandover::PeerDemand m_Peers;

  static Priority tier(std::uint32_t Tier) {
    Priority Out;
    Out.m_Route = core::TierNumber(Tier);
    return Out;
  }
  static config::Endpoint peer(int Number) {
    return {"10.1.0." + std::to_string(Number), 7600};
  }
  void setWaiting(int Peer, std::uint32_t Tier, std::uint32_t Count,
                  PoolHash Where = Pool) {
    m_Peers[peer(Peer)][Where][tier(Tier)].m_Waiting = Count;
  }
  /// Returns the number of the peer that is chosen; 0 if the slot stays.
  int choose(std::optional<std::uint32_t> LocalTier, double Random = 0.5) {
    std::optional<Priority> Local;
    if (LocalTier)
      Local = tier(*LocalTier);
    auto Chosen = m_Handover.choose(Pool, Local, m_Peers, Random);
    for (int I = 1; Chosen && I < 10; ++I)
      if (Chosen->m_Peer == peer(I))
        return I;
    return 0;
  }

public:
  void testHigherTierAtPeerGetsTheSlot() {
    setWaiting(2, 2, 9);
    setWaiting(3, 1, 1);
    for (double Random : {0.0, 0.5, 0.99}) {
      CPPUNIT_ASSERT_EQUAL(3, choose(2, Random));
      CPPUNIT_ASSERT_EQUAL(3, choose(std::nullopt, Random));
    }
  }

  void testEqualTierStaysLocal() {
    setWaiting(2, 2, 9);
    setWaiting(3, 3, 9);
    CPPUNIT_ASSERT_EQUAL(0, choose(2));
    CPPUNIT_ASSERT_EQUAL(0, choose(1));
  }

  void testAnyTierGetsWhatNobodyNeedsHere() {
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    setWaiting(2, 1, 3, Pool + 1);
    setWaiting(2, 1, 0);
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    setWaiting(3, 3, 1);
    CPPUNIT_ASSERT_EQUAL(3, choose(std::nullopt));
  }

  void testChoiceIsWeightedByWhatWaits() {
    setWaiting(2, 1, 1);
    setWaiting(3, 1, 3);
    std::map<int, int> Counts;
    for (int I = 0; I < 100; ++I)
      ++Counts[choose(2, I / 100.0)];
    CPPUNIT_ASSERT_EQUAL(25, Counts[2]);
    CPPUNIT_ASSERT_EQUAL(75, Counts[3]);
  }

  void testGrantsAreSubtractedUntilReported() {
    setWaiting(2, 1, 1);
    setWaiting(2, 2, 1);
    m_Handover.recordGrant({peer(2), tier(1)}, Pool, m_Now);
    CPPUNIT_ASSERT_EQUAL(0, choose(2));
    CPPUNIT_ASSERT_EQUAL(2, choose(3));
    m_Handover.recordGrant({peer(2), tier(2)}, Pool, m_Now);
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    // A report from before the grants says nothing about them.
    m_Handover.recordReport(peer(2), m_Now - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    m_Handover.recordReport(peer(2), m_Now);
    CPPUNIT_ASSERT_EQUAL(2, choose(2));
  }

  void testReturnEndsOffersUntilReported() {
    setWaiting(2, 1, 5);
    m_Handover.recordReturn(peer(2), Pool, m_Now);
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    m_Handover.removeOld(m_Now - milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(0, choose(std::nullopt));
    m_Handover.removeOld(m_Now);
    CPPUNIT_ASSERT_EQUAL(2, choose(std::nullopt));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotHandoverTest);
