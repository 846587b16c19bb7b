//===-- SlotLeasesTest.cpp - Slots granted to other instances -------------===//
//
// Guards against slots that stay taken after a lease has ended, that come free
// twice, or that are taken from a target that has restarted meanwhile.
//
//===----------------------------------------------------------------------===//
#include "LibRouting/SlotLeases.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::routing;
using std::chrono::milliseconds;

class SlotLeasesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotLeasesTest);
  CPPUNIT_TEST(testGrantedSlotCountsUntilReleased);
  CPPUNIT_TEST(testLeaseExpires);
  CPPUNIT_TEST(testLeaseOfEndedTargetFreesNothing);
  CPPUNIT_TEST(testUnknownTargetIsNotGranted);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  config::Endpoint m_Peer{"10.1.0.2", 7600};
  TargetDirectory m_Targets;
  SlotLeases m_Leases{m_Targets, 100};

  void announce(std::int64_t StartTime) {
    Target Announced;
    Announced.m_Name = core::TargetName("a");
    Announced.m_StartTime = core::TargetStartTime(StartTime);
    Announced.m_Pool = core::PoolName("pool");
    Announced.m_Slots = 2;
    m_Targets.announce(Announced);
  }
  static TargetIncarnation incarnation(std::int64_t StartTime) {
    return {core::TargetName("a"), core::TargetStartTime(StartTime)};
  }
  SlotLease grant(std::int64_t StartTime, milliseconds HeldTime) {
    auto Granted =
        m_Leases.grant(incarnation(StartTime), m_Peer, HeldTime, m_Now);
    CPPUNIT_ASSERT(Granted.has_value());
    return *Granted;
  }
  std::size_t running() {
    return m_Targets.find(core::TargetName("a"))->running();
  }

public:
  void testGrantedSlotCountsUntilReleased() {
    announce(1);
    SlotLease First = grant(1, milliseconds(150));
    SlotLease Second = grant(1, milliseconds(150));
    CPPUNIT_ASSERT(First.m_Id != Second.m_Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), running());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_Targets.busyTargets().size());
    CPPUNIT_ASSERT(m_Leases.find(First.m_Id)->m_Receiver == m_Peer);
    CPPUNIT_ASSERT(m_Leases.release(First.m_Id).has_value());
    CPPUNIT_ASSERT(!m_Leases.release(First.m_Id).has_value());
    CPPUNIT_ASSERT(!m_Leases.find(First.m_Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running());
    m_Leases.release(Second.m_Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running());
    CPPUNIT_ASSERT(m_Targets.busyTargets().empty());
  }

  void testLeaseExpires() {
    announce(1);
    SlotLease Short = grant(1, milliseconds(150));
    SlotLease Long = grant(1, milliseconds(3000));
    m_Now += milliseconds(149);
    CPPUNIT_ASSERT(m_Leases.releaseExpired(m_Now).empty());
    m_Now += milliseconds(1);
    std::vector<SlotLease> Ended = m_Leases.releaseExpired(m_Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Ended.size());
    CPPUNIT_ASSERT_EQUAL(Short.m_Id, Ended.front().m_Id);
    CPPUNIT_ASSERT(m_Leases.find(Long.m_Id));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running());
    CPPUNIT_ASSERT(!m_Leases.release(Short.m_Id).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running());
  }

  void testLeaseOfEndedTargetFreesNothing() {
    announce(1);
    SlotLease Granted = grant(1, milliseconds(150));
    announce(2);
    m_Targets.tryStartRequest(incarnation(2), 0, m_Now);
    CPPUNIT_ASSERT(m_Leases.release(Granted.m_Id).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running());
    // The same incarnation, announced again after it was removed.
    Granted = grant(2, milliseconds(150));
    m_Targets.withdraw(core::TargetName("a"), m_Now);
    m_Targets.removeExpired(m_Now + std::chrono::seconds(10));
    announce(2);
    m_Targets.tryStartRequest(incarnation(2), 0, m_Now);
    CPPUNIT_ASSERT(m_Leases.release(Granted.m_Id).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), running());
  }

  void testUnknownTargetIsNotGranted() {
    CPPUNIT_ASSERT(
        !m_Leases.grant(incarnation(1), m_Peer, milliseconds(150), m_Now));
    announce(1);
    CPPUNIT_ASSERT(
        !m_Leases.grant(incarnation(2), m_Peer, milliseconds(150), m_Now));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_Leases.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), running());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotLeasesTest);
