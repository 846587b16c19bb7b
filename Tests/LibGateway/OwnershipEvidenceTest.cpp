//===-- OwnershipEvidenceTest.cpp - When an owner of quotas may go on -----===//
//
// Guards against owners that go on without the store although others may have
// replaced them, and against owners that stop in an outage of the store.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/PeerExchange.h"

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace yardrill;
using namespace yardrill::gateway;
using routing::OwnershipEvidence;
using std::chrono::milliseconds;
using std::chrono::seconds;

class OwnershipEvidenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OwnershipEvidenceTest);
  CPPUNIT_TEST(testStoreOfAPeerIsEnough);
  CPPUNIT_TEST(testHalfOfTheWitnessesIsEnough);
  CPPUNIT_TEST(testAddedInstancesAreNoWitnesses);
  CPPUNIT_TEST(testRemovedInstancesAreNoWitnesses);
  CPPUNIT_TEST(testWitnessWithNewerStateDoesNotCount);
  CPPUNIT_TEST(testSilentWitnessDoesNotCount);
  CPPUNIT_TEST(testOwnGroupIsNotEnough);
  CPPUNIT_TEST(testWitnessesOfOtherGroupsReportWithoutStore);
  CPPUNIT_TEST(testLeaseEndsWhateverWitnessesAgree);
  CPPUNIT_TEST(testLoneInstanceKnowsWhetherItReachesTheStore);
  CPPUNIT_TEST(testRemovedMemberRenewsNoLease);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t WallSeconds = 1000000;

  core::TimePoint m_Now{std::chrono::hours(1)};
  GatewaySettings m_Settings;
  platform::StoreMirror m_Mirror{1};
  bool m_IsStoreConnected = false;
  std::set<config::Endpoint> m_Receivers;
  std::unique_ptr<PeerExchange> m_Exchange;
  std::map<std::size_t, std::uint64_t> m_Sequences;

  static config::Endpoint address(std::size_t Index) {
    return {"10.1.0." + std::to_string(10 + Index), 7600};
  }
  static FleetMembers members(std::size_t Count) {
    FleetMembers Out;
    for (std::size_t I = 0; I < Count; ++I)
      Out.emplace(address(I), core::DataHallName("hall"));
    return Out;
  }

  /// Creates instance 0 of a fleet in which the first \p Owners own quotas.
  void create(std::size_t Owners, std::size_t Members) {
    m_Settings.m_PeerAddress = address(0);
    m_Settings.m_DataHall = core::DataHallName("hall");
    m_Mirror.apply(platform::Revision(7), {});
    PeerExchangeHooks Hooks;
    Hooks.m_FillReport = [this](peer::LoadReport &Report) {
      Report.m_IsStoreConnected = m_IsStoreConnected;
    };
    Hooks.m_Changed = [] {};
    Hooks.m_LargestPoolSize = [] { return std::size_t(3000); };
    Hooks.m_Repartitioned = [](const routing::FleetSubset &) {};
    Hooks.m_MessageReceived = [](const peer::PeerMessage &) {};
    Hooks.m_Send = [this](const std::vector<config::Endpoint> &To,
                          const peer::PeerBody &) {
      m_Receivers.insert(To.begin(), To.end());
    };
    Hooks.m_Defer = [](const std::function<void()> &Call) { Call(); };
    m_Exchange = std::make_unique<PeerExchange>(
        decision::InstanceRef{core::IncarnationId(1), address(0)}, m_Settings,
        m_Mirror, Hooks, m_Now, 1);
    m_Exchange->setRecorded(members(Members));
    m_Exchange->setQuotaOwners(members(Owners), members(Members));
  }
  void tick(core::Duration Time) {
    for (core::TimePoint End = m_Now + Time; m_Now < End;) {
      m_Now += PeerExchange::TickPeriod;
      m_Exchange->tick(m_Now);
    }
  }
  void report(std::size_t From, std::int64_t At, bool IsStoreConnected) {
    peer::PeerMessage Message;
    Message.m_From = {core::IncarnationId(100 + From), address(From)};
    Message.m_Sequence = ++m_Sequences[From];
    Message.m_WallSeconds = WallSeconds;
    peer::LoadReport Report;
    Report.m_IsFull = true;
    Report.m_DataHall = core::DataHallName("hall");
    Report.m_StoreRevision = At;
    Report.m_CompleteRevision = At;
    Report.m_IsStoreConnected = IsStoreConnected;
    Message.m_Body = Report;
    CPPUNIT_ASSERT(!m_Exchange->handle(Message, m_Now, WallSeconds));
  }
  void reportFrom(std::size_t First, std::size_t End, std::int64_t At = 7) {
    for (std::size_t I = First; I < End; ++I)
      report(I, At, false);
  }
  OwnershipEvidence evidence() const {
    return m_Exchange->ownershipEvidence(m_Now);
  }

public:
  void testStoreOfAPeerIsEnough() {
    create(6, 6);
    tick(seconds(1));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    report(3, 7, true);
    tick(milliseconds(40));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Store);
    // Its last report is too old. The witnesses have 2 s to report.
    tick(seconds(2));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
    tick(seconds(1));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
  }

  void testHalfOfTheWitnessesIsEnough() {
    create(6, 6);
    tick(seconds(1));
    reportFrom(1, 3);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    reportFrom(3, 4);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
  }

  void testAddedInstancesAreNoWitnesses() {
    // Any of three instances may be added as a witness.
    create(6, 9);
    tick(seconds(1));
    reportFrom(3, 9);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    reportFrom(2, 3);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
  }

  void testRemovedInstancesAreNoWitnesses() {
    create(6, 4);
    tick(seconds(1));
    reportFrom(2, 6);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    reportFrom(1, 2);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
  }

  void testWitnessWithNewerStateDoesNotCount() {
    create(6, 6);
    tick(seconds(1));
    reportFrom(1, 4);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
    report(1, 8, false);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    m_Mirror.apply(platform::Revision(8), {});
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
  }

  void testSilentWitnessDoesNotCount() {
    create(6, 6);
    tick(seconds(1));
    reportFrom(1, 4);
    tick(milliseconds(800));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
  }

  void testOwnGroupIsNotEnough() {
    create(40, 40);
    tick(seconds(1));
    routing::FleetSubset Group(address(0), members(40));
    auto Witnesses = ringOf(members(40)).witnessesOf(address(0));
    CPPUNIT_ASSERT_EQUAL(std::size_t(15), Witnesses.size());
    std::size_t Heard = 0;
    for (std::size_t I = 1; I < 40; ++I) {
      bool IsWitness = std::find(Witnesses.begin(), Witnesses.end(),
                                 address(I)) != Witnesses.end();
      if (Group.isGroupPeer(address(I)) && !IsWitness)
        report(I, 7, false);
    }
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
    for (std::size_t I = 1; I < 40 && Heard < 8; ++I)
      if (std::find(Witnesses.begin(), Witnesses.end(), address(I)) !=
          Witnesses.end()) {
        CPPUNIT_ASSERT(evidence() == OwnershipEvidence::None);
        report(I, 7, false);
        ++Heard;
      }
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
  }

  void testWitnessesOfOtherGroupsReportWithoutStore() {
    // Each of 40 owners has 15 witnesses, and its group has 7 others.
    create(40, 40);
    tick(seconds(2));
    CPPUNIT_ASSERT(m_Receivers.size() >= 15);
    // Followers report to the others as well, so the store is left to a peer.
    m_Receivers.clear();
    for (int I = 0; I < 10; ++I) {
      report(39, 7, true);
      tick(milliseconds(400));
    }
    CPPUNIT_ASSERT(m_Receivers.size() <= 10);
  }

  void testLeaseEndsWhateverWitnessesAgree() {
    create(6, 6);
    CPPUNIT_ASSERT(!m_Exchange->hasQuotaLease(m_Now));
    m_IsStoreConnected = true;
    tick(seconds(1));
    m_IsStoreConnected = false;
    tick(QuotaLeaseTime);
    CPPUNIT_ASSERT(m_Exchange->hasQuotaLease(m_Now));
    tick(seconds(1));
    reportFrom(1, 6);
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
    CPPUNIT_ASSERT(!m_Exchange->hasQuotaLease(m_Now));
  }

  void testLoneInstanceKnowsWhetherItReachesTheStore() {
    create(1, 1);
    m_IsStoreConnected = true;
    tick(seconds(1));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Store);
    CPPUNIT_ASSERT(m_Exchange->hasQuotaLease(m_Now));
    m_IsStoreConnected = false;
    tick(QuotaLeaseTime + seconds(1));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Witnesses);
    CPPUNIT_ASSERT(!m_Exchange->hasQuotaLease(m_Now));
  }

  void testRemovedMemberRenewsNoLease() {
    create(6, 6);
    m_IsStoreConnected = true;
    tick(seconds(1));
    FleetMembers Others = members(6);
    Others.erase(address(0));
    m_Exchange->setRecorded(Others);
    tick(QuotaLeaseTime + seconds(1));
    CPPUNIT_ASSERT(evidence() == OwnershipEvidence::Store);
    CPPUNIT_ASSERT(!m_Exchange->hasQuotaLease(m_Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnershipEvidenceTest);
