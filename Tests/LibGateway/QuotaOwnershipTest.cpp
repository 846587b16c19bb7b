//===-- QuotaOwnershipTest.cpp - Owners of quotas while members change ----===//
//
// Guards against owners that are replaced while they may still grant: they do
// not reach the store, and go on while most of their witnesses know of no newer
// membership.
//
//===----------------------------------------------------------------------===//
#include "LibGateway/QuotaOwnership.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace yardrill;
using namespace yardrill::gateway;
using platform::Revision;
using std::chrono::seconds;

class QuotaOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaOwnershipTest);
  CPPUNIT_TEST(testFirstOwnersAreTheMembers);
  CPPUNIT_TEST(testAddedInstanceWaitsForAllOwners);
  CPPUNIT_TEST(testSilentOwnerDelaysAdditions);
  CPPUNIT_TEST(testMinorityReplacesNoOwner);
  CPPUNIT_TEST(testMajorityReplacesSilentOwner);
  CPPUNIT_TEST(testWitnessesChangeOnlyForOwnersThatKnow);
  CPPUNIT_TEST(testHeardOwnerMustKnowItsRemoval);
  CPPUNIT_TEST(testRestartedWitnessCountsAnew);
  CPPUNIT_TEST(testReportsBeforeAPauseDoNotCount);
  CPPUNIT_TEST(testStoppedOwnersAreReplaced);
  CPPUNIT_TEST(testAdditionsInSeriesTakeEffect);
  CPPUNIT_TEST(testRestoredStoreBringsBackNoOwners);
  CPPUNIT_TEST(testAllOwnersLostForGoodAreReplacedInTheEnd);
  CPPUNIT_TEST(testDepartedOwnersAreReplacedAtOnce);
  CPPUNIT_TEST(testDepartedOwnerThatIsBackStays);
  CPPUNIT_TEST(testLeasesOfALostMajorityPassToSurvivors);
  CPPUNIT_TEST(testLeasesEndWithoutSurvivingWitness);
  CPPUNIT_TEST(testFewOwnersKeepTheirLeases);
  CPPUNIT_TEST(testOwnerOutlastsItsLease);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint m_Now{std::chrono::hours(1)};
  QuotaOwnership m_Ownership;
  MemberReports m_Live;

  static config::Endpoint address(std::size_t Index) {
    return {"10.1.0." + std::to_string(10 + Index), 7600};
  }
  /// Returns instances \p First to \p End - 1.
  static FleetMembers members(std::size_t First, std::size_t End) {
    FleetMembers Out;
    for (std::size_t I = First; I < End; ++I)
      Out.emplace(address(I), core::DataHallName("hall"));
    return Out;
  }
  void setLive(std::size_t First, std::size_t End, std::int64_t At) {
    for (std::size_t I = First; I < End; ++I)
      m_Live[address(I)] = {Revision(At), false};
  }
  void silence(std::size_t First, std::size_t End) {
    for (std::size_t I = First; I < End; ++I)
      m_Live.erase(address(I));
  }
  /// Puts instances 0 to \p Count - 1 in place as members and owners, at
  /// revision 1.
  void start(std::size_t Count) {
    m_Ownership.setMembers(members(0, Count), Revision(1));
    m_Ownership.setOwners(members(0, Count), Revision(1));
    setLive(0, Count, 1);
    CPPUNIT_ASSERT(!updateAfter(seconds(20)));
  }
  /// Returns the last proposal within \p Time.
  std::optional<FleetMembers> updateAfter(core::Duration Time) {
    std::optional<FleetMembers> Out;
    for (core::TimePoint End = m_Now + Time; m_Now < End;) {
      m_Now += std::chrono::milliseconds(250);
      Out = m_Ownership.proposeUpdate(m_Live, m_Now);
    }
    return Out;
  }

  /// Puts leaseholders in place after start().
  void startLeases(std::size_t Count) {
    m_Ownership.setLeaseholders(members(0, Count));
    CPPUNIT_ASSERT(!leaseholdersAfter(seconds(1)));
  }
  /// Returns the last proposal of leaseholders within \p Time; there must be
  /// none of owners.
  std::optional<FleetMembers> leaseholdersAfter(core::Duration Time) {
    std::optional<FleetMembers> Out;
    for (core::TimePoint End = m_Now + Time; m_Now < End;) {
      CPPUNIT_ASSERT(!updateAfter(std::chrono::milliseconds(250)));
      Out = m_Ownership.proposeLeaseholders(m_Now);
    }
    return Out;
  }

public:
  void testFirstOwnersAreTheMembers() {
    CPPUNIT_ASSERT(!m_Ownership.proposeUpdate(m_Live, m_Now));
    m_Ownership.setMembers(members(0, 3), Revision(1));
    CPPUNIT_ASSERT(*m_Ownership.proposeUpdate(m_Live, m_Now) == members(0, 3));
  }

  void testAddedInstanceWaitsForAllOwners() {
    start(6);
    m_Ownership.setMembers(members(0, 7), Revision(2));
    setLive(6, 7, 2);
    setLive(0, 5, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(30)));
    setLive(5, 6, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(0, 7));
  }

  void testSilentOwnerDelaysAdditions() {
    start(6);
    silence(5, 6);
    m_Ownership.setMembers(members(0, 7), Revision(2));
    setLive(0, 5, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(60)));
    // Once it is removed, and the others know that, nothing delays them.
    FleetMembers Members = members(0, 7);
    Members.erase(address(5));
    m_Ownership.setMembers(Members, Revision(3));
    setLive(0, 5, 3);
    CPPUNIT_ASSERT(*updateAfter(seconds(18)) == Members);
  }

  void testMinorityReplacesNoOwner() {
    // Three are added beside two of six, so the others are a minority of the
    // members, but still a majority of the owners.
    start(6);
    silence(0, 4);
    m_Ownership.setMembers(members(0, 9), Revision(2));
    setLive(4, 9, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(30)));
    m_Ownership.setMembers(members(4, 9), Revision(3));
    setLive(4, 9, 3);
    CPPUNIT_ASSERT(!updateAfter(std::chrono::minutes(60)));
  }

  void testMajorityReplacesSilentOwner() {
    start(6);
    silence(0, 2);
    m_Ownership.setMembers(members(2, 6), Revision(2));
    setLive(2, 6, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(2, 6));
  }

  void testWitnessesChangeOnlyForOwnersThatKnow() {
    // One owner is removed; another may not know that and count it as a
    // witness.
    start(6);
    silence(0, 2);
    m_Ownership.setMembers(members(1, 6), Revision(2));
    setLive(2, 6, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(60)));
    m_Ownership.setMembers(members(2, 6), Revision(3));
    setLive(2, 6, 3);
    CPPUNIT_ASSERT(*updateAfter(seconds(18)) == members(2, 6));
  }

  void testHeardOwnerMustKnowItsRemoval() {
    start(6);
    m_Ownership.setMembers(members(1, 6), Revision(2));
    setLive(1, 6, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(60)));
    setLive(0, 1, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(1, 6));
  }

  void testRestartedWitnessCountsAnew() {
    start(3);
    silence(0, 1);
    m_Ownership.setMembers(members(1, 3), Revision(2));
    setLive(1, 3, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(10)));
    setLive(1, 2, 1);
    CPPUNIT_ASSERT(!updateAfter(seconds(30)));
    setLive(1, 2, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(1, 3));
  }

  void testReportsBeforeAPauseDoNotCount() {
    start(3);
    m_Ownership.setMembers(members(0, 4), Revision(2));
    setLive(0, 4, 2);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    m_Now += seconds(10);
    CPPUNIT_ASSERT(!updateAfter(seconds(14)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(0, 4));
  }

  void testStoppedOwnersAreReplaced() {
    // A roll-out that replaces all instances.
    start(6);
    setLive(6, 12, 2);
    for (std::size_t I = 0; I < 6; ++I)
      m_Live[address(I)].m_IsStopping = true;
    CPPUNIT_ASSERT(!updateAfter(seconds(1)));
    silence(0, 6);
    m_Ownership.setMembers(members(6, 12), Revision(2));
    CPPUNIT_ASSERT(!updateAfter(seconds(13)));
    CPPUNIT_ASSERT(*updateAfter(seconds(3)) == members(6, 12));
  }

  void testAdditionsInSeriesTakeEffect() {
    start(6);
    std::size_t MaxOwners = 6;
    for (std::size_t Count = 7; Count <= 12; ++Count) {
      auto At = static_cast<std::int64_t>(Count);
      m_Ownership.setMembers(members(0, Count), Revision(At));
      setLive(0, Count, At);
      auto Next = updateAfter(seconds(10));
      if (!Next)
        continue;
      m_Ownership.setOwners(*Next, Revision(At));
      MaxOwners = std::max(MaxOwners, Next->size());
    }
    CPPUNIT_ASSERT(MaxOwners >= 9);
  }

  void testRestoredStoreBringsBackNoOwners() {
    start(6);
    m_Ownership.setMembers(members(0, 5), platform::makeRevision(1, 1));
    m_Ownership.setRestoredOwners(members(0, 5), platform::makeRevision(1, 1));
    CPPUNIT_ASSERT(m_Ownership.owners() == members(0, 6));
    CPPUNIT_ASSERT(*updateAfter(seconds(1)) == members(0, 6));
    m_Ownership.setOwners(members(0, 6), platform::makeRevision(1, 2));
    CPPUNIT_ASSERT(!updateAfter(seconds(1)));
    // An instance that knows none before has to take those of the copy.
    QuotaOwnership Started;
    Started.setRestoredOwners(members(0, 5), platform::makeRevision(1, 1));
    CPPUNIT_ASSERT(Started.owners() == members(0, 5));
  }

  void testAllOwnersLostForGoodAreReplacedInTheEnd() {
    start(3);
    silence(0, 3);
    m_Ownership.setMembers(members(3, 6), Revision(2));
    setLive(3, 6, 2);
    CPPUNIT_ASSERT(!updateAfter(std::chrono::minutes(115)));
    CPPUNIT_ASSERT(*updateAfter(std::chrono::minutes(6)) == members(3, 6));
  }

  void testDepartedOwnersAreReplacedAtOnce() {
    // Known to a process that has never heard of them.
    m_Ownership.setMembers(members(3, 6), Revision(2));
    m_Ownership.setOwners(members(0, 3), Revision(1));
    m_Ownership.setDeparted(members(0, 3));
    setLive(3, 6, 2);
    CPPUNIT_ASSERT(*updateAfter(seconds(1)) == members(3, 6));
  }

  void testDepartedOwnerThatIsBackStays() {
    start(3);
    m_Ownership.setDeparted(members(0, 1));
    m_Ownership.setMembers(members(1, 3), Revision(2));
    CPPUNIT_ASSERT(!updateAfter(seconds(30)));
  }

  void testLeasesOfALostMajorityPassToSurvivors() {
    start(6);
    startLeases(6);
    silence(0, 4);
    m_Ownership.setMembers(members(4, 6), Revision(2));
    setLive(4, 6, 2);
    CPPUNIT_ASSERT(!leaseholdersAfter(QuotaLeaseTime + seconds(5)));
    CPPUNIT_ASSERT(*leaseholdersAfter(seconds(2)) == members(4, 6));
  }

  void testLeasesEndWithoutSurvivingWitness() {
    start(6);
    startLeases(6);
    silence(0, 6);
    m_Ownership.setMembers(members(6, 9), Revision(2));
    setLive(6, 9, 2);
    CPPUNIT_ASSERT(!leaseholdersAfter(QuotaLeaseTime + seconds(5)));
    // leaseholdersAfter() asserts that the owners remain.
    CPPUNIT_ASSERT(*leaseholdersAfter(std::chrono::minutes(2)) ==
                   members(6, 9));
  }

  void testFewOwnersKeepTheirLeases() {
    // Each of two holds half, and three successors would hold a third each.
    start(2);
    startLeases(2);
    silence(0, 1);
    m_Ownership.setMembers(members(1, 2), Revision(2));
    CPPUNIT_ASSERT(!leaseholdersAfter(std::chrono::minutes(5)));
  }

  void testOwnerOutlastsItsLease() {
    start(3);
    startLeases(3);
    silence(0, 1);
    m_Ownership.setMembers(members(1, 3), Revision(2));
    setLive(1, 3, 2);
    CPPUNIT_ASSERT(*leaseholdersAfter(seconds(20)) == members(1, 3));
    m_Ownership.setLeaseholders(members(1, 3));
    setLive(1, 3, 3);
    CPPUNIT_ASSERT(*updateAfter(seconds(1)) == members(1, 3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaOwnershipTest);
